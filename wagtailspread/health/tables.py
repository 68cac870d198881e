"""Upstreams of one service with their capacity, and the floor of ejections.

The floor is a share of the highest capacity of the last one to two minutes. So
a wave of crashes or drains does not lower it at once, and ejections cannot
remove the remaining capacity.
"""

import array
import dataclasses
import math
import typing

from wagtailspread.core import identifiers

#: Period of the highest capacity, in seconds. The floor is based on this period
#: and the previous one.
CAPACITY_PERIOD_SECONDS = 60.0
#: Tolerance for rounding errors of products such as 0.7 * 10, in slots.
ROUNDING_TOLERANCE_SLOTS = 1e-6
#: Time after which the row of an upstream that is not announced is dropped, in
#: seconds.
ROW_RETENTION_SECONDS = 60.0


class CapacityRow(typing.Protocol):
    """Properties of an announced upstream that the judge requires."""

    @property
    def upstream(self) -> identifiers.UpstreamId:
        """Id of the upstream."""

    @property
    def slots(self) -> int:
        """Number of requests that it runs at the same time."""

    @property
    def is_ready(self) -> bool:
        """Whether it is announced, not draining and warmed up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity for :meth:`Judge.tick <wagtailspread.health.judges.Judge.tick>`.

    :param slots: number of requests that the upstream runs at the same time.
    :param is_ready: whether it is announced, not draining and warmed up.
    """

    upstream: identifiers.UpstreamId
    slots: int
    is_ready: bool = True


class CapacityTable:
    """Row numbers and slots of upstreams, and the floor."""

    def __init__(self, floor_share: float) -> None:
        """Create a table without rows.

        :param floor_share: share of the capacity that ejections must leave,
            from 0 to 1.
        """
        self.names: list[identifiers.UpstreamId | None] = []
        self.ready_slots = array.array('I')
        self._floor_share = floor_share
        self._rows: dict[identifiers.UpstreamId, int] = {}
        self._free: list[int] = []
        self._seen_at = array.array('d')
        self._peak_slots = 0
        self._previous_peak_slots = 0
        self._period_started_at = 0.0

    def change_floor(self, floor_share: float) -> None:
        """Replace the floor, a share of the capacity from 0 to 1."""
        self._floor_share = floor_share

    def find(self, upstream: identifiers.UpstreamId) -> int | None:
        """Return the row of an upstream, or ``None`` if it has no row."""
        return self._rows.get(upstream)

    def ensure(self, upstream: identifiers.UpstreamId, now: float) -> int:
        """Return the row of an upstream, adding one if needed."""
        row = self._rows.get(upstream)
        if row is not None:
            return row
        if self._free:
            row = self._free.pop()
            self.names[row] = upstream
        else:
            row = len(self.names)
            self.names.append(upstream)
            self.ready_slots.append(0)
            self._seen_at.append(now)
        self._seen_at[row] = now
        self._rows[upstream] = row
        return row

    def update(
        self,
        capacities: typing.Iterable[CapacityRow],
        now: float,
    ) -> list[int]:
        """Update the capacities from the announced upstreams.

        :param now: monotonic time in seconds.
        :returns: rows that were dropped.
        """
        total = 0
        for capacity in capacities:
            row = self.ensure(capacity.upstream, now)
            self.ready_slots[row] = capacity.slots if capacity.is_ready else 0
            self._seen_at[row] = now
            total += capacity.slots
        self._update_peak(total, now)
        return self._drop_unseen(now)

    @property
    def min_slots(self) -> int:
        """Return the number of ready slots that ejections must leave."""
        peak_slots = max(self._peak_slots, self._previous_peak_slots)
        return math.ceil(
            self._floor_share * peak_slots - ROUNDING_TOLERANCE_SLOTS
        )

    def count_slots(self, without: typing.Container[int]) -> int:
        """Return the number of ready slots outside the given rows."""
        return sum(
            slots
            for row, slots in enumerate(self.ready_slots)
            if row not in without
        )

    def _update_peak(self, total: int, now: float) -> None:
        if now - self._period_started_at > CAPACITY_PERIOD_SECONDS:
            self._previous_peak_slots = self._peak_slots
            self._peak_slots = 0
            self._period_started_at = now
        self._peak_slots = max(self._peak_slots, total)

    def _drop_unseen(self, now: float) -> list[int]:
        dropped = []
        for row, seen_at in enumerate(self._seen_at):
            if seen_at == now:
                continue
            self.ready_slots[row] = 0
            name = self.names[row]
            if name is not None and now - seen_at > ROW_RETENTION_SECONDS:
                self._rows.pop(name)
                self.names[row] = None
                self._free.append(row)
                dropped.append(row)
        return dropped
