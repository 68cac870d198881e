"""Which upstreams exist: a table that replicas and hosts keep alike.

Upstreams register at any replica. Replicas exchange what they heard, hosts
follow one replica each, and a row only ever moves forward.
"""
