"""Identifiers, states, failures and clocks that all packages share."""
