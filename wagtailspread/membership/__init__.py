"""Group membership of hosts by gossip with incarnation numbers."""
