"""Selection of an upstream for callers of a failure domain.

Each failure domain of callers has a view with two heaps of upstreams that have
a free slot, ordered by load. The near heap holds the upstreams of the same
failure domain, the far heap all others. A heap entry is outdated when its
version differs from that of its row, so a selection takes O(log n) time.
"""

import heapq
import random as random_module

from collections import abc

from wagtailspread.allocation import judges, tables
from wagtailspread.core import identifiers

#: Maximum number of views of single failure domains; further failure domains
#: share one view.
MAX_DOMAIN_VIEWS = 16
#: Failure domain of the shared view.
SHARED_VIEW = identifiers.FailureDomain('')
#: A view is rebuilt when its heaps have more entries than this number for each
#: row, plus the extra entries.
_MAX_ENTRIES_PER_ROW = 4
_MAX_EXTRA_ENTRIES = 64

_Entry = tuple[float, float, int, tables.UpstreamRow]


class View:
    """Upstreams with free slots for callers of one failure domain.

    ``unusable`` contains the upstreams that the judge does not accept for this
    failure domain, and ``usable_count`` is the number of other upstreams that
    are active. ``heaps`` contains the near and the far heap.
    """

    def __init__(self, domain: identifiers.FailureDomain) -> None:
        """Start without upstreams."""
        self.domain = domain
        self.usable_count = 0
        self.unusable: dict[identifiers.UpstreamId, tables.UpstreamRow] = {}
        self.heaps: tuple[list[_Entry], list[_Entry]] = ([], [])

    def push(self, row: tables.UpstreamRow, tiebreak: float) -> None:
        """Add a row that has a free slot, unless it is unusable."""
        if row.upstream in self.unusable:
            return
        heap = self.heaps[row.domain != self.domain]
        load = row.in_use / row.usable
        heapq.heappush(heap, (load, tiebreak, row.version, row))

    def pop(self) -> tables.UpstreamRow | None:
        """Remove and return the least loaded row, near ones first."""
        for heap in self.heaps:
            while heap:
                entry = heapq.heappop(heap)
                if entry[2] == entry[3].version:
                    return entry[3]
        return None

    def has_candidate(self) -> bool:
        """Return whether a row has a free slot."""
        return any(_has_current(heap) for heap in self.heaps)

    def has_near_candidate(self) -> bool:
        """Return whether a near row has a free slot."""
        return _has_current(self.heaps[0])

    def count_entries(self) -> int:
        """Return the number of heap entries, including outdated ones."""
        return len(self.heaps[0]) + len(self.heaps[1])

    def clear(self) -> None:
        """Remove all heap entries."""
        for heap in self.heaps:
            heap.clear()


def _has_current(heap: list[_Entry]) -> bool:
    while heap and heap[0][2] != heap[0][3].version:
        heapq.heappop(heap)
    return bool(heap)


class Selector:
    """Selects the least loaded upstream, near ones first."""

    def __init__(
        self,
        table: tables.UpstreamTable,
        judge: judges.HealthJudge,
        random: random_module.Random,
    ) -> None:
        """Start without views; :meth:`find_view` creates them."""
        self.views: dict[identifiers.FailureDomain, View] = {}
        self._table = table
        self._judge = judge
        self._random = random

    def find_view(
        self,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> View:
        """Return the view of a failure domain, and create it if needed."""
        view = self.views.get(domain)
        if view is not None:
            return view
        if len(self.views) >= MAX_DOMAIN_VIEWS:
            domain = SHARED_VIEW
        view = self.views.get(domain)
        if view is None:
            view = View(domain)
            self.views[domain] = view
            self._refresh_view(view, now)
            self._rebuild(view, now)
            self._recount_view(view, now)
        return view

    def has_candidate(self) -> bool:
        """Return whether any view has a row with a free slot."""
        return any(view.has_candidate() for view in self.views.values())

    def has_unusable(self) -> bool:
        """Return whether any view has an unusable upstream."""
        return any(view.unusable for view in self.views.values())

    def update(self, row: tables.UpstreamRow, now: float) -> None:
        """Push a new heap entry after a change of the slots or leases."""
        row.version += 1
        if row.in_use >= row.usable or not row.check_active(now):
            return
        load = row.in_use / row.usable
        entry = (load, self._random.random(), row.version, row)
        for view in self.views.values():
            if not view.unusable or row.upstream not in view.unusable:
                is_far = row.domain != view.domain
                heapq.heappush(view.heaps[is_far], entry)

    def choose(
        self,
        view: View,
        excluded: abc.Collection[identifiers.UpstreamId],
        slowness_limit: float,
        now: float,
    ) -> tables.UpstreamRow | None:
        """Return the upstream for a request, or ``None`` if none is free.

        The row loses its heap entry: the caller has to open a lease on it and
        call :meth:`update`.

        :param slowness_limit: slowness above which an upstream is skipped,
            since the request would miss its deadline there.
        """
        skipped: list[tables.UpstreamRow] = []
        row = self._pop_usable(view, now)
        while row is not None and (
            row.upstream in excluded or row.slowness > slowness_limit
        ):
            skipped.append(row)
            row = self._pop_usable(view, now)
        for skipped_row in skipped:
            view.push(skipped_row, self._random.random())
        return row

    def claim_trial(
        self,
        view: View,
        excluded: abc.Collection[identifiers.UpstreamId],
        now: float,
    ) -> tables.UpstreamRow | None:
        """Return an ejected upstream that may receive one trial request."""
        for row in view.unusable.values():
            has_free_slot = row.in_use < row.usable and row.check_active(now)
            if not has_free_slot or row.upstream in excluded:
                continue
            if self._judge.claim_trial(row.upstream, now):
                return row
        return None

    def refresh(self, now: float) -> None:
        """Query the judge for each row, and remove outdated entries."""
        for row in self._table.rows.values():
            row.is_accepted = not self.views
        for view in self.views.values():
            self._refresh_view(view, now)
        self.recount(now)

    def recount(self, now: float) -> None:
        """Update the number of usable upstreams in each view."""
        for view in self.views.values():
            self._recount_view(view, now)

    def _recount_view(self, view: View, now: float) -> None:
        view.usable_count = sum(
            row.check_active(now) and row.upstream not in view.unusable
            for row in self._table.rows.values()
        )

    def _pop_usable(
        self,
        view: View,
        now: float,
    ) -> tables.UpstreamRow | None:
        """Remove and return the best active row that the judge accepts."""
        row = view.pop()
        while row is not None:
            if row.check_active(now):
                if self._judge.is_usable(row.upstream, view.domain, now):
                    return row
                view.unusable[row.upstream] = row
            row = view.pop()
        return None

    def _refresh_view(self, view: View, now: float) -> None:
        readmitted = []
        for row in self._table.rows.values():
            is_usable = self._judge.is_usable(row.upstream, view.domain, now)
            row.is_accepted = row.is_accepted or is_usable
            if not is_usable:
                view.unusable[row.upstream] = row
            elif view.unusable.pop(row.upstream, None) is not None:
                readmitted.append(row)
        for upstream in view.unusable.keys() - self._table.rows.keys():
            del view.unusable[upstream]
        limit = (
            _MAX_ENTRIES_PER_ROW * len(self._table.rows) + _MAX_EXTRA_ENTRIES
        )
        if view.count_entries() > limit:
            self._rebuild(view, now)
            return
        for row in readmitted:
            self._push_if_free(view, row, now)

    def _rebuild(self, view: View, now: float) -> None:
        view.clear()
        for row in self._table.rows.values():
            self._push_if_free(view, row, now)

    def _push_if_free(
        self, view: View, row: tables.UpstreamRow, now: float
    ) -> None:
        if row.in_use < row.usable and row.check_active(now):
            view.push(row, self._random.random())
