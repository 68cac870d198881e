"""Tells which groups of requests are served far less than the others.

A group is all requests of a service with the same rank, workspace, route class
or failure domain. While capacity is short, the order of the queue prefers some
of them. None shall be served less than a quarter as often as all.

>>> table = create_shares()
>>> for number in range(40):
...     table.record('vitrina', ('kind', number % 4), number % 4 > 0, 0.0)
>>> table.is_starved('vitrina', [('kind', 0)], 0.1)
True
>>> table.is_starved('vitrina', [('kind', 1)], 0.1)
False
"""

import dataclasses
import math
import typing

from wagtailspread.core import identifiers
from wagtailspread.placement import messages

#: A group is starved below this share of what all requests get. It is twice
#: the bound of a quarter, since decisions take effect later.
GUARD_SHARE = 0.4
#: Time constant of the counts, in seconds.
_MEMORY_SECONDS = 4.0
#: Decisions on a group from which its share counts.
_MIN_DECISIONS = 3.0
#: Count below which a group is dropped.
_FORGOTTEN_COUNT = 0.05

#: What the requests of a group have in common, and its value.
Group = tuple[str, typing.Hashable]

_ALL: typing.Final[Group] = ('all', None)


@dataclasses.dataclass(slots=True)
class _Count:
    """Decisions on one group, in which older ones count less.

    :param counted_at: to which the counts are reduced, in seconds.
    """

    served: float = 0.0
    decided: float = 0.0
    counted_at: float = 0.0

    def reduce(self, now: float) -> None:
        elapsed = max(now - self.counted_at, 0.0)
        weight = math.exp(-elapsed / _MEMORY_SECONDS)
        self.served *= weight
        self.decided *= weight
        self.counted_at = now

    @property
    def share(self) -> float:
        return self.served / max(self.decided, _FORGOTTEN_COUNT)


class ShareTable:
    """Counts decisions by service and group. Use :func:`create_shares`."""

    def __init__(self) -> None:
        """Create a table without decisions."""
        self._counts: dict[tuple[identifiers.ServiceName, Group], _Count] = {}
        self._ranks: dict[identifiers.ServiceName, set[int]] = {}

    def record(
        self,
        service: identifiers.ServiceName,
        group: Group,
        is_served: bool,
        now: float,
    ) -> None:
        """Count a decision on a request of one group."""
        self._find(service, group, now).decided += 1
        self._find(service, _ALL, now).decided += 1
        if is_served:
            self._find(service, group, now).served += 1
            self._find(service, _ALL, now).served += 1

    def record_request(
        self, request: messages.PlacementRequest, is_served: bool, now: float
    ) -> None:
        """Count a decision on a request in all its groups."""
        self._ranks.setdefault(request.service, set()).add(request.priority)
        for group in (_ALL, *list_groups(request)):
            count = self._find(request.service, group, now)
            count.decided += 1
            count.served += is_served

    def is_starved(
        self,
        service: identifiers.ServiceName,
        groups: typing.Iterable[Group],
        now: float,
    ) -> bool:
        """Tell whether one of the groups is served too seldom."""
        least = GUARD_SHARE * self._find(service, _ALL, now).share
        for group in groups:
            count = self._find(service, group, now)
            if count.decided >= _MIN_DECISIONS and count.share < least:
                return True
        return False

    def has_higher(self, service: identifiers.ServiceName, rank: int) -> bool:
        """Tell whether a service has requests of a higher rank."""
        ranks = self._ranks.get(service)
        return ranks is not None and min(ranks, default=rank) < rank

    def prune(self, now: float) -> None:
        """Drop groups without recent decisions."""
        for key, count in list(self._counts.items()):
            count.reduce(now)
            if count.decided < _FORGOTTEN_COUNT:
                self._counts.pop(key)
                service, (name, number) = key
                if name == 'rank':
                    self._ranks.get(service, set()).discard(number)

    def _find(
        self, service: identifiers.ServiceName, group: Group, now: float
    ) -> _Count:
        count = self._counts.get((service, group))
        if count is None:
            count = _Count(counted_at=now)
            self._counts[service, group] = count
        elif count.counted_at < now:
            count.reduce(now)
        return count


def list_groups(request: messages.PlacementRequest) -> list[Group]:
    """Return the groups of a request."""
    return [
        ('rank', request.priority),
        ('kind', request.route_class),
        ('domain', request.domain),
        ('workspace', request.workspace),
    ]


def create_shares() -> ShareTable:
    """Return a table without decisions."""
    return ShareTable()
