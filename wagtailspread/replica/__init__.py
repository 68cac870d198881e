"""The replica process and the client for its calls."""
