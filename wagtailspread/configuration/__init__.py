"""Configuration files and documents: checks, versions, deltas, approvals."""
