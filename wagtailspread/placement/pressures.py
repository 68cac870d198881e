"""Decides which region lends slots of a service to another one.

The pressure of a region is the work that is offered to it, and its queue to be
done within a second, over the slots of its own upstreams. A region lends slots
to one that is short, if the difference of their pressures exceeds the cost of
distance by a margin. The loan ends at a lower margin, so that it does not
alternate. The lender alone decides, and uses what it has not lent.

>>> calm = spares.State(100, 40.0, 0.0)
>>> short = spares.State(50, 60.0, 6.0)
>>> round(calm.pressure, 2), round(short.pressure, 2)
(0.4, 1.32)
>>> decide_loan(calm, short, lent=0)
38
>>> decide_loan(calm, spares.State(50, 24.0, 0.0), lent=38)
0
"""

import dataclasses
import math

from wagtailspread.placement import costs
from wagtailspread.registry import spares

#: Pressure of a region from which it may borrow, and below which it returns
#: what it has borrowed.
BORROW_PRESSURE = 0.85
RETURN_PRESSURE = 0.7
#: Difference of pressures in excess of the cost of distance from which a loan
#: begins, and below which it ends.
BEGIN_MARGIN = 0.1
END_MARGIN = 0.02
#: Pressure that a loan leaves to the borrower, if the lender has enough.
TARGET_PRESSURE = 0.75
#: Pressure of a region from which it tells its state, and from which others
#: send it no more than it lends.
REPORT_PRESSURE = 0.6
#: Part of a loan by which the need must fall before the loan is lowered.
LOWERING_SHARE = 0.2
#: Time constant of the offered work, in seconds.
OFFER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RegionView:
    """What is known of a service in one region from all its allocators.

    :param main: report of the allocator with the most load; its loans hold.
    """

    state: spares.State
    main: spares.Report


def combine(reports: list[spares.Report]) -> RegionView:
    """Return the view of a region from the reports of its allocators."""
    main = max(reports, key=lambda report: report.state.load)
    state = spares.State(
        max(report.state.slots for report in reports),
        sum(report.state.load for report in reports),
        sum(report.state.queued for report in reports),
    )
    return RegionView(state, main)


def decide_loan(own: spares.State, other: spares.State, lent: int) -> int:
    """Return how many slots a region lends to another one.

    :param lent: the number that it lends at present.
    """
    margin = END_MARGIN if lent else BEGIN_MARGIN
    least = RETURN_PRESSURE if lent else BORROW_PRESSURE
    difference = other.pressure - own.pressure
    if other.pressure < least or difference < costs.REGION_COST + margin:
        return 0
    # With these slots, the pressures are equal.
    most = (other.demand * own.slots - own.demand * other.slots) / (
        other.demand + own.demand
    )
    need = other.demand / TARGET_PRESSURE - other.slots
    wanted = max(int(min(most, math.ceil(need))), 0)
    if lent * (1 - LOWERING_SHARE) <= wanted < lent:
        return lent
    return wanted


@dataclasses.dataclass(slots=True)
class Offer:
    """Work that was offered lately; older work counts less."""

    work: float = 0.0
    counted_at: float = 0.0
    since: float = 0.0

    def add(self, work: float, now: float) -> None:
        """Count the expected work of a request."""
        elapsed = max(now - self.counted_at, 0.0)
        self.work *= math.exp(-elapsed / OFFER_SECONDS)
        self.work += work
        self.counted_at = now

    def find_load(self, now: float) -> float:
        """Return the slots that the offered work needs."""
        self.add(0.0, now)
        return self.work / OFFER_SECONDS
