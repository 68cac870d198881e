"""Limits of single upstreams while regions lend slots to each other.

The lender and the borrower divide a loan over the same upstreams without a
message about each of them, since both know the upstreams of the lender.
"""

import math
import typing
import zlib

from wagtailspread.core import identifiers
from wagtailspread.placement import costs, messages
from wagtailspread.registry import records, tables

#: Size of a body in bytes from which it counts as an upload.
UPLOAD_BYTES = 16 * 1024
#: Bytes per second of the link between two regions, 30 Mbit/s.
LINK_BYTES_PER_SECOND = 30_000_000 / 8
#: Shares of a second of the link that uploads use, on average and at once.
#: Together they are less than half of any second.
UPLOAD_SHARE = 0.35
UPLOAD_BURST_SHARE = 0.1
#: Cost from which an upstream of the own region is not worth waiting for. It is
#: that of one that has just shed a request.
COSTLY = costs.SHED_COST

_Limits = dict[identifiers.UpstreamId, int]


class Rated(typing.Protocol):
    """An upstream with the cost of sending a request to it."""

    @property
    def row(self) -> tables.RegistryRow:
        """Return its row in the registry."""

    @property
    def cost(self) -> float:
        """Return its cost for the request."""

    @property
    def is_same_region(self) -> bool:
        """Return whether it is in the region of the request."""


class SlotLimits:
    """Limits in force and the link budget. Use :func:`create_limits`.

    :param by_upstream: open requests that each upstream may get.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self.by_upstream: typing.Mapping[identifiers.UpstreamId, int] = {}
        self._services: frozenset[identifiers.ServiceName] = frozenset()
        self._credit = UPLOAD_BURST_SHARE * LINK_BYTES_PER_SECOND
        self._counted_at = 0.0

    def replace(
        self,
        by_upstream: _Limits,
        services: typing.Iterable[identifiers.ServiceName],
    ) -> None:
        """Replace the limits.

        :param services: whose uploads keep to the budget of the link.
        """
        self.by_upstream = by_upstream
        self._services = frozenset(services)

    def is_shared(self, service: identifiers.ServiceName) -> bool:
        """Tell whether another region has told its state of a service."""
        return service in self._services

    def find(self, record: records.UpstreamRecord) -> int:
        """Return the limit of an upstream, its slots if there is none."""
        return self.by_upstream.get(record.upstream, record.slots)

    def list_full(
        self,
        candidates: typing.Sequence[Rated],
        request: messages.PlacementRequest,
        open_requests: typing.Mapping[identifiers.UpstreamId, int],
        now: float,
    ) -> frozenset[int]:
        """Return the places of the candidates that the limits make full.

        Other regions have no limit for a request that would rather go to a
        full upstream there than wait for one of its own region.
        """
        may_cross = self._may_cross(request, now)
        if may_cross and not self.by_upstream:
            return frozenset()
        is_bound = _is_worth_waiting(candidates)
        return frozenset(
            number
            for number, one in enumerate(candidates)
            if (one.is_same_region or is_bound)
            and (
                not (may_cross or one.is_same_region)
                or open_requests.get(one.row.record.upstream, 0)
                >= self.find(one.row.record)
            )
        )

    def record_crossing(self, size: int, now: float) -> None:
        """Count a body that is sent to another region."""
        if size >= UPLOAD_BYTES:
            self._renew(now)
            self._credit -= size

    def _may_cross(
        self, request: messages.PlacementRequest, now: float
    ) -> bool:
        """Tell whether the link to other regions has room for a body."""
        if request.size < UPLOAD_BYTES or request.service not in self._services:
            return True
        self._renew(now)
        burst = UPLOAD_BURST_SHARE * LINK_BYTES_PER_SECOND
        # A body above the burst needs the whole of it.
        return self._credit >= min(request.size, burst)

    def _renew(self, now: float) -> None:
        elapsed = max(now - self._counted_at, 0.0)
        self._counted_at = now
        self._credit = min(
            self._credit + elapsed * UPLOAD_SHARE * LINK_BYTES_PER_SECOND,
            UPLOAD_BURST_SHARE * LINK_BYTES_PER_SECOND,
        )


def divide(upstreams: list[records.UpstreamRecord], count: int) -> _Limits:
    """Return how many slots of each upstream belong to a loan.

    One slot of each upstream stays with its region. The order by a hash mixes
    the failure domains.
    """
    ordered = sorted(
        upstreams,
        key=lambda one: (zlib.crc32(one.upstream.encode()), one.upstream),
    )
    parts = dict.fromkeys((one.upstream for one in ordered), 0)
    left = count
    level = 0
    while left > 0:
        level += 1
        takers = [one for one in ordered if one.slots > level]
        if not takers:
            break
        for record in takers[:left]:
            parts[record.upstream] = level
        left -= min(left, len(takers))
    return parts


def _is_worth_waiting(candidates: typing.Sequence[Rated]) -> bool:
    """Tell whether a request may wait for an upstream of its own region."""
    home = (one.cost for one in candidates if one.is_same_region)
    return min(home, default=math.inf) < COSTLY


def create_limits() -> SlotLimits:
    """Return limits that leave all upstreams free."""
    return SlotLimits()
