"""Base file and overlays: parsing, checks, differences, approvals."""
