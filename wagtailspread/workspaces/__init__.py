"""Workspaces: customers of the fleet with keys, a priority and a cap."""
