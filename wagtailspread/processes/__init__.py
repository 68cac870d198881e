"""Processes of the fleet: their settings and how components are connected."""
