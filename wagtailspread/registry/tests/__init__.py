"""Tests of the registry."""
