"""Identifiers, outcomes, priorities, failures and clocks of all packages."""
