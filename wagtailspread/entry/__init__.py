"""The entry host process."""
