"""Choice of an upstream for a caller's failure domain.

Each failure domain of callers has a view: two heaps of upstreams with a free
slot, near ones and far ones, ordered by load. A heap entry is outdated when
the version of its row has moved on. So a choice costs O(log n).
"""

import heapq
import random as random_module

from collections import abc

from wagtailspread.allocation import judges, tables
from wagtailspread.core import identifiers

#: Failure domains of callers with a view of their own; the others share one.
VIEW_LIMIT = 16
#: Failure domain that stands for those without a view.
SHARED_VIEW = identifiers.FailureDomain('')
#: Outdated entries that a heap may hold before it is rebuilt, per row.
_OUTDATED_SHARE = 4
_OUTDATED_MINIMUM = 64

_Entry = tuple[float, float, int, tables.UpstreamRow]


class View:
    """Upstreams with free slots as seen from one failure domain.

    ``parked`` holds the upstreams that the judge does not accept from there,
    and ``usable`` is the number of the others that are announced and not
    draining. ``heaps`` hold the near and the far ones with free slots.
    """

    def __init__(self, domain: identifiers.FailureDomain) -> None:
        """Start without upstreams."""
        self.domain = domain
        self.usable = 0
        self.parked: dict[identifiers.UpstreamId, tables.UpstreamRow] = {}
        self.heaps: tuple[list[_Entry], list[_Entry]] = ([], [])

    def push(self, row: tables.UpstreamRow, tiebreak: float) -> None:
        """Offer a row that has a free slot."""
        if row.upstream in self.parked:
            return
        heap = self.heaps[row.domain != self.domain]
        load = row.in_use / row.usable
        heapq.heappush(heap, (load, tiebreak, row.version, row))

    def pop(self) -> tables.UpstreamRow | None:
        """Take out the best row, or none if no row has a free slot."""
        for heap in self.heaps:
            while heap:
                entry = heapq.heappop(heap)
                if entry[2] == entry[3].version:
                    return entry[3]
        return None

    def has_candidate(self) -> bool:
        """Return whether a row with a free slot is left."""
        return any(_has_current(heap) for heap in self.heaps)

    def has_near_candidate(self) -> bool:
        """Return whether one in the failure domain of the view is left."""
        return _has_current(self.heaps[0])

    def count_entries(self) -> int:
        """Return the number of entries, outdated ones included."""
        return len(self.heaps[0]) + len(self.heaps[1])

    def clear(self) -> None:
        """Forget all entries."""
        for heap in self.heaps:
            heap.clear()


def _has_current(heap: list[_Entry]) -> bool:
    while heap and heap[0][2] != heap[0][3].version:
        heapq.heappop(heap)
    return bool(heap)


class Selector:
    """Chooses upstreams: near first, then the least loaded."""

    def __init__(
        self,
        table: tables.UpstreamTable,
        judge: judges.HealthJudge,
        random: random_module.Random,
    ) -> None:
        """Start without views; callers create them."""
        self.views: dict[identifiers.FailureDomain, View] = {}
        self._table = table
        self._judge = judge
        self._random = random

    def find_view(
        self,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> View:
        """Return the view of a failure domain."""
        view = self.views.get(domain)
        if view is not None:
            return view
        if len(self.views) >= VIEW_LIMIT:
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
        """Return whether any caller may find a free slot."""
        return any(view.has_candidate() for view in self.views.values())

    def has_parked(self) -> bool:
        """Return whether any upstream is not usable for some callers."""
        return any(view.parked for view in self.views.values())

    def update(self, row: tables.UpstreamRow, now: float) -> None:
        """Move a row to its place after a change of its slots or leases."""
        row.version += 1
        if row.in_use >= row.usable or not row.check_active(now):
            return
        load = row.in_use / row.usable
        entry = (load, self._random.random(), row.version, row)
        for view in self.views.values():
            if not view.parked or row.upstream not in view.parked:
                is_far = row.domain != view.domain
                heapq.heappush(view.heaps[is_far], entry)

    def choose(
        self,
        view: View,
        excluded: abc.Collection[identifiers.UpstreamId],
        slowness_limit: float,
        now: float,
    ) -> tables.UpstreamRow | None:
        """Return the upstream for a request, or none if none is free.

        The caller changes the row's leases and calls :meth:`update`.

        :param slowness_limit: slowness of an upstream at which the request
            would miss its deadline there.
        """
        skipped: list[tables.UpstreamRow] = []
        row = self._pop_usable(view, now)
        while row is not None and (
            row.upstream in excluded or row.slowness > slowness_limit
        ):
            skipped.append(row)
            row = self._pop_usable(view, now)
        for passed in skipped:
            view.push(passed, self._random.random())
        return row

    def claim_trial(
        self,
        view: View,
        excluded: abc.Collection[identifiers.UpstreamId],
        now: float,
    ) -> tables.UpstreamRow | None:
        """Return an ejected upstream that may get one trial request."""
        for row in view.parked.values():
            is_free = row.in_use < row.usable and row.check_active(now)
            if not is_free or row.upstream in excluded:
                continue
            if self._judge.claim_trial(row.upstream, now):
                return row
        return None

    def refresh(self, now: float) -> None:
        """Ask the judge again about each row, and drop outdated entries."""
        for row in self._table.rows.values():
            row.is_accepted = not self.views
        for view in self.views.values():
            self._refresh_view(view, now)
        self.recount(now)

    def recount(self, now: float) -> None:
        """Count the upstreams that each failure domain may use."""
        for view in self.views.values():
            self._recount_view(view, now)

    def _recount_view(self, view: View, now: float) -> None:
        view.usable = sum(
            row.check_active(now) and row.upstream not in view.parked
            for row in self._table.rows.values()
        )

    def _pop_usable(
        self,
        view: View,
        now: float,
    ) -> tables.UpstreamRow | None:
        """Take out the best row that the judge accepts."""
        row = view.pop()
        while row is not None:
            if row.check_active(now):
                if self._judge.is_usable(row.upstream, view.domain, now):
                    return row
                view.parked[row.upstream] = row
            row = view.pop()
        return None

    def _refresh_view(self, view: View, now: float) -> None:
        readmitted = []
        for row in self._table.rows.values():
            usable = self._judge.is_usable(row.upstream, view.domain, now)
            row.is_accepted = row.is_accepted or usable
            if not usable:
                view.parked[row.upstream] = row
            elif view.parked.pop(row.upstream, None) is not None:
                readmitted.append(row)
        for upstream in view.parked.keys() - self._table.rows.keys():
            del view.parked[upstream]
        limit = _OUTDATED_SHARE * len(self._table.rows) + _OUTDATED_MINIMUM
        if view.count_entries() > limit:
            self._rebuild(view, now)
            return
        for row in readmitted:
            self._offer(view, row, now)

    def _rebuild(self, view: View, now: float) -> None:
        view.clear()
        for row in self._table.rows.values():
            self._offer(view, row, now)

    def _offer(self, view: View, row: tables.UpstreamRow, now: float) -> None:
        if row.in_use < row.usable and row.check_active(now):
            view.push(row, self._random.random())
