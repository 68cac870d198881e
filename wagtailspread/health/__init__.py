"""Health of upstreams, derived from the results of ordinary requests."""
