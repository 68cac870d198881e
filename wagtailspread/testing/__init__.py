"""Fake upstreams, load generators and in-memory networks for tests."""
