"""Registry of upstreams, replicated on replicas and hosts.

Upstreams register at any replica. Replicas exchange their registrations and
each host follows one replica. A row is only replaced by a newer one.
"""
