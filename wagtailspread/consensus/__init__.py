"""A replicated log among a few replicas with disks."""
