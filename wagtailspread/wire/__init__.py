"""Authenticated, pipelined connections between the fleet's processes."""
