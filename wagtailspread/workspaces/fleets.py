"""Number of hosts of the fleet, from counts that are wrong at times.

A host that turns to another replica is counted twice for up to 5 s, and during
a partition each side counts its own hosts only. So a higher count is used
when it has lasted for some seconds, and a lower one only after minutes.

>>> fleet = create_size()
>>> fleet.record(40, 0.0)
>>> fleet.record(80, 3.0)
>>> fleet.record(40, 7.0)
>>> fleet.sustained
40
>>> fleet.record(20, 100.0)
>>> fleet.estimate()
40
"""

import collections

#: Time for which a count must last before it is used, in seconds. It is longer
#: than a host is counted at a replica that it has left: 2 s until the replica
#: drops it, or 3 s until the other replicas miss the replica.
SUSTAIN_SECONDS = 6.0
#: Time for which the highest count is used, in seconds. Hosts that are cut off
#: for longer are taken as lost, and their part of the caps goes to the others.
KEEP_SECONDS = 600.0


class FleetSize:
    """The number of hosts. Use :func:`create_size`.

    :param sustained: highest count that has lasted; 0 if there is none yet.
    """

    def __init__(self) -> None:
        """Start without counts."""
        self.sustained = 0
        self._highest = 0
        self._lowest = 0
        self._slot_start = 0.0
        self._kept: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, count: int, now: float) -> None:
        """Record a count of the hosts; 0 is none."""
        if count <= 0:
            return
        self._highest = max(self._highest, count)
        if not self._lowest:
            self._slot_start = now
            self._lowest = count
        self._lowest = min(self._lowest, count)
        if now - self._slot_start < SUSTAIN_SECONDS:
            return
        self._kept.append((now, self._lowest))
        while now - self._kept[0][0] > KEEP_SECONDS:
            self._kept.popleft()
        self.sustained = max(lowest for _, lowest in self._kept)
        self._slot_start = now
        self._lowest = count

    def raise_to(self, count: int, now: float) -> None:
        """Use a higher count at once that has lasted for another process."""
        if count > self.sustained:
            self._kept.append((now, count))
            self.sustained = count

    def estimate(self) -> int:
        """Return the number of hosts.

        Until a count has lasted, it is the highest one, and 0 without any.
        """
        return self.sustained or self._highest


def create_size() -> FleetSize:
    """Return a number of hosts without counts."""
    return FleetSize()
