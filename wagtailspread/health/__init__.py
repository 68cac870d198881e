"""Judgement of upstreams by evidence from real work."""
