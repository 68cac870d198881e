"""The table of upstreams of one service, its capacity and its floor.

The floor is a share of the capacity that the region had within the last
minute, so that a wave of crashes or drains does not lower it at once and let
ejections take away what is left.
"""

import array
import dataclasses
import math
import typing

from wagtailspread.core import identifiers

#: Time for which capacity that went away still counts for the floor, seconds.
BASE_SECONDS = 60.0
#: Part of a slot that comes from binary fractions such as 0.7 * 10.
ROUNDING = 1e-6
#: Time after which an upstream that is not announced is forgotten, seconds.
FORGET_SECONDS = 60.0


class CapacityRow(typing.Protocol):
    """What the judge needs to know of an announced upstream."""

    @property
    def upstream(self) -> identifiers.UpstreamId:
        """The upstream."""

    @property
    def slots(self) -> int:
        """Requests that it runs at a time."""

    @property
    def is_ready(self) -> bool:
        """Whether it is announced, not draining and warmed up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """A row for :meth:`Judge.tick <wagtailspread.health.judges.Judge.tick>`.

    :param slots: requests that the upstream runs at a time.
    :param is_ready: announced, not draining and warmed up.
    """

    upstream: identifiers.UpstreamId
    slots: int
    is_ready: bool = True


class UpstreamTable:
    """Rows of upstreams with their slots, and the floor. Rows are numbers."""

    def __init__(self, floor_share: float) -> None:
        """Start without rows.

        :param floor_share: share of the capacity, from 0 to 1.
        """
        self.names: list[identifiers.UpstreamId | None] = []
        self.ready_slots = array.array('I')
        self._floor_share = floor_share
        self._rows: dict[identifiers.UpstreamId, int] = {}
        self._free: list[int] = []
        self._seen_at = array.array('d')
        self._base = 0
        self._earlier_base = 0
        self._base_since = 0.0

    def change_floor(self, floor_share: float) -> None:
        """Take another floor, as a share of the capacity from 0 to 1."""
        self._floor_share = floor_share

    def find(self, upstream: identifiers.UpstreamId) -> int | None:
        """Return the row of an upstream, if it has one."""
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
        """Take the announced upstreams and return the rows forgotten."""
        total = 0
        for capacity in capacities:
            row = self.ensure(capacity.upstream, now)
            self.ready_slots[row] = capacity.slots if capacity.is_ready else 0
            self._seen_at[row] = now
            total += capacity.slots
        self._update_base(total, now)
        return self._drop_unseen(now)

    @property
    def minimum(self) -> int:
        """Return the slots that ejections must leave."""
        base = max(self._base, self._earlier_base)
        return math.ceil(self._floor_share * base - ROUNDING)

    def count_slots(self, without: typing.Container[int]) -> int:
        """Return the ready slots except those of the given rows."""
        return sum(
            slots
            for row, slots in enumerate(self.ready_slots)
            if row not in without
        )

    def _update_base(self, total: int, now: float) -> None:
        if now - self._base_since > BASE_SECONDS:
            self._earlier_base = self._base
            self._base = 0
            self._base_since = now
        self._base = max(self._base, total)

    def _drop_unseen(self, now: float) -> list[int]:
        dropped = []
        for row, seen_at in enumerate(self._seen_at):
            if seen_at == now:
                continue
            self.ready_slots[row] = 0
            name = self.names[row]
            if name is not None and now - seen_at > FORGET_SECONDS:
                self._rows.pop(name)
                self.names[row] = None
                self._free.append(row)
                dropped.append(row)
        return dropped
