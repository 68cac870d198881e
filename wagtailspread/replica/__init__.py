"""The replica process and its client."""
