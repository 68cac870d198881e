"""Tests of slots of other regions within the byte budget of the link."""

import pytest

from returns import result

from wagtailspread.core import clocks, failures, outcomes, priorities
from wagtailspread.entry import slots, spills
from wagtailspread.entry.tests import fleets

REASONS = outcomes.RefusalReason
URGENT, STANDARD, BULK = priorities.Priority


class Region:
    """Grants or refuses every request."""

    def __init__(self, reason=None):
        self.reason = reason
        self.asked = 0
        self.completed = []

    async def acquire(self, _service, request):
        self.asked += 1
        if self.reason is not None:
            return result.Failure(
                failures.Refusal(request.request, self.reason, 7.0),
            )
        return result.Success(
            slots.Grant(request.request, 1, 'u1', 'a:1', 9.0),
        )

    def complete(self, _service, grant, _ended, _seconds, transferred=0):
        self.completed.append((grant.lease, transferred))


def create_source(home, away, rate=1_000_000.0):
    clock = clocks.ManualClock(1.0)
    budget = spills.LinkBudget(rate)
    return spills.SpillSource(home, [away], budget, clock)


async def ask(source, priority=STANDARD):
    request = slots.SlotRequest('r', 'h1', fleets.DOMAIN, priority, 5.0)
    return await source.acquire(fleets.SERVICE, request)


@pytest.mark.parametrize(
    ('reason', 'asked'),
    [
        (None, 0),
        (REASONS.NO_CAPACITY, 1),
        (REASONS.QUEUE_FULL, 1),
        (REASONS.QUARANTINED, 0),
        (REASONS.RETRY_BUDGET, 0),
    ],
)
async def test_only_lack_of_capacity_spills(reason, asked):
    """Guards against paid traffic that the local region could serve."""
    away = Region()
    await ask(create_source(Region(reason), away))
    assert away.asked == asked


async def test_spilled_lease_goes_back_to_its_region():
    """Guards against slots of another region that are never released."""
    home, away = Region(REASONS.NO_CAPACITY), Region()
    source = create_source(home, away)
    grant = (await ask(source)).unwrap()
    ended = outcomes.ExchangeResult.SUCCESS
    source.complete(fleets.SERVICE, grant, ended, 0.1, 500)
    assert away.completed == [(1, 500)]
    assert not home.completed


async def test_narrow_link_is_left_to_the_most_urgent():
    """Guards against bulk requests that use up the link between regions."""
    rate = 3 * spills.INITIAL_ESTIMATE_BYTES / spills.BURST_SECONDS
    source = create_source(Region(REASONS.QUEUE_FULL), Region(), rate)
    assert isinstance(await ask(source, BULK), result.Success)
    refused = (await ask(source, BULK)).failure()
    assert (refused.reason, refused.retry_after) == (REASONS.LINK_BUDGET, 7.0)
    assert isinstance(await ask(source, STANDARD), result.Success)
    assert isinstance(await ask(source, STANDARD), result.Failure)
    assert isinstance(await ask(source, URGENT), result.Success)
    assert isinstance(await ask(source, URGENT), result.Failure)


async def test_long_answers_use_up_the_budget():
    """Guards against a budget that counts requests instead of bytes."""
    source = create_source(Region(REASONS.QUEUE_FULL), Region(), 100_000.0)
    grant = (await ask(source, URGENT)).unwrap()
    ended = outcomes.ExchangeResult.SUCCESS
    source.complete(fleets.SERVICE, grant, ended, 0.1, 900_000)
    assert isinstance(await ask(source, URGENT), result.Failure)


async def test_refusal_by_the_other_region_costs_no_budget():
    """Guards against a budget spent on requests that were not sent."""
    rate = spills.INITIAL_ESTIMATE_BYTES / spills.BURST_SECONDS
    away = Region(REASONS.NO_CAPACITY)
    source = create_source(Region(REASONS.NO_CAPACITY), away, rate)
    for _ in range(3):
        assert (await ask(source, URGENT)).failure().reason is (
            REASONS.NO_CAPACITY
        )
    assert away.asked == 3


async def test_bytes_between_regions_are_counted_by_priority():
    """Guards against paid traffic that no metric shows."""
    counted = []
    source = spills.SpillSource(
        Region(REASONS.NO_CAPACITY),
        [Region()],
        spills.LinkBudget(1_000_000.0),
        clocks.ManualClock(1.0),
        lambda priority, size: counted.append((priority, size)),
    )
    grant = (await ask(source, URGENT)).unwrap()
    ended = outcomes.ExchangeResult.SUCCESS
    source.complete(fleets.SERVICE, grant, ended, 0.1, 5000)
    assert counted == [(URGENT, 5000)]
