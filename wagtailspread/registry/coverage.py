"""Regions whose own requests do not keep their upstreams in use.

The allocator of a region uses the upstreams of that region. If its callers or
hosts are gone, so that it gets too few requests, the allocators of the other
regions use these upstreams as well.

>>> far = identifiers.RegionName('far')
>>> uncovered = combine_reports([(far, None), (far, frozenset(['columns']))])
>>> uncovered.is_uncovered(far, 'columns'), uncovered.is_uncovered(far, 'mail')
(True, False)
>>> combine_reports([(far, None)]).is_uncovered(far, 'mail')
True
"""

import typing

from wagtailspread.core import identifiers
from wagtailspread.wire import messages

#: Services with too few requests at one allocator; ``None`` if it gets no
#: requests at all.
Underused = frozenset[identifiers.ServiceName] | None


class UncoveredRegions:
    """Services by region that get too few requests there.

    Use :func:`combine_reports`.
    """

    def __init__(
        self, underused: dict[identifiers.RegionName, Underused]
    ) -> None:
        """Store the services; ``None`` stands for all of a region."""
        self._underused = underused

    def __len__(self) -> int:
        """Return the number of regions with such services."""
        return len(self._underused)

    def is_uncovered(
        self,
        region: identifiers.RegionName,
        service: identifiers.ServiceName,
    ) -> bool:
        """Tell whether a service gets too few requests in a region."""
        if region not in self._underused:
            return False
        services = self._underused[region]
        return services is None or service in services


def combine_reports(
    reports: typing.Iterable[tuple[identifiers.RegionName, Underused]],
) -> UncoveredRegions:
    """Return what the reports of the replicas of each region have in common.

    A region without a report is covered: if its replicas can't be reached,
    nothing is known of its requests.
    """
    combined: dict[identifiers.RegionName, Underused] = {}
    for region, services in reports:
        combined[region] = _intersect(combined.get(region), services)
    covered = frozenset[identifiers.ServiceName]()
    return UncoveredRegions(
        {name: found for name, found in combined.items() if found != covered}
    )


def _intersect(first: Underused, second: Underused) -> Underused:
    if first is None or second is None:
        return second if first is None else first
    return first & second


def read_report(batch: messages.Struct) -> Underused:
    """Return the services in a struct ``ChangeBatch`` of a replica."""
    if batch.underused is None:
        return None
    return frozenset(map(identifiers.ServiceName, batch.underused))
