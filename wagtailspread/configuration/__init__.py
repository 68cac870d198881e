"""Base file and overlays: parsing, checks, deltas and approvals."""
