"""Selects the upstream of each request for all hosts of a region."""
