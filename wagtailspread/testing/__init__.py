"""Fake upstreams, a load generator, and fleets for tests."""
