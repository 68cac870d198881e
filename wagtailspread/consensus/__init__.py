"""Raft consensus: a replicated log on a few replicas with durable storage."""
