"""Expected work of a request, learned from the results of its kind.

>>> table = create_works()
>>> for _ in range(20):
...     table.record('vitrina', 7, 0.4)
>>> table.find('vitrina', 7, 0.1)
0.4
>>> table.find('vitrina', 8, 0.1)
0.1
"""

import typing

from wagtailspread.core import identifiers

#: Weight of the newest result in the mean.
_NEWEST_WEIGHT = 0.05
#: Number of results from which their mean alone counts.
_FULL_RESULTS = 10
#: Maximum number of kinds; beyond it, the one that was added first is dropped.
MAX_KINDS = 20_000

_Kind = tuple[identifiers.ServiceName, int]


class _Mean(typing.NamedTuple):
    seconds: float
    results: int


class WorkTable:
    """Mean durations by service and route class. Use :func:`create_works`."""

    def __init__(self) -> None:
        """Create a table without results."""
        self._means: dict[_Kind, _Mean] = {}

    def record(
        self,
        service: identifiers.ServiceName,
        route_class: int,
        seconds: float,
    ) -> None:
        """Record the duration of a request that was served."""
        known = self._means.get((service, route_class))
        if known is None:
            known = _Mean(seconds, 0)
            if len(self._means) >= MAX_KINDS:
                self._means.pop(next(iter(self._means)))
        weight = max(_NEWEST_WEIGHT, 1 / (known.results + 1))
        mean = known.seconds + weight * (seconds - known.seconds)
        self._means[service, route_class] = _Mean(mean, known.results + 1)

    def find(
        self,
        service: identifiers.ServiceName,
        route_class: int,
        typical: float,
    ) -> float:
        """Return the expected work of a request in seconds.

        :param typical: of the service, which counts while there are few
            results of the route class.
        """
        known = self._means.get((service, route_class))
        if known is None:
            return typical
        share = min(known.results / _FULL_RESULTS, 1.0)
        return typical + share * (known.seconds - typical)


def create_works() -> WorkTable:
    """Return a table without results."""
    return WorkTable()
