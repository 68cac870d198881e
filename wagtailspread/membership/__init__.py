"""Which hosts are alive: gossip with incarnation numbers."""
