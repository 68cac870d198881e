"""Which upstream runs a request, decided by each host from shared evidence."""
