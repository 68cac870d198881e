"""Tests of slots of other regions within the byte budget of the link."""

import pytest

from returns import result

from wagtailspread.core import clocks, failures, outcomes, priorities
from wagtailspread.entry import slots, spills
from wagtailspread.entry.tests import fleets

REASONS = outcomes.RefusalReason
URGENT, STANDARD, BULK = priorities.Priority


class Region:
    """Slot source that grants or refuses every request."""

    def __init__(self, reason=None):
        self.reason = reason
        self.calls = 0
        self.completed = []

    async def acquire(self, _service, request):
        self.calls += 1
        if self.reason is not None:
            return result.Failure(
                failures.Refusal(request.request, self.reason, 7.0),
            )
        return result.Success(
            slots.Grant(request.request, 1, 'u1', 'a:1', 9.0),
        )

    def complete(self, _service, grant, _ended, _seconds, transferred=0):
        self.completed.append((grant.lease, transferred))


def create_source(local, remote, rate=1_000_000.0):
    clock = clocks.ManualClock(1.0)
    budget = spills.LinkBudget(rate)
    return spills.SpillSource(local, [remote], budget, clock)


async def acquire(source, priority=STANDARD):
    request = slots.SlotRequest('r', 'h1', fleets.DOMAIN, priority, 5.0)
    return await source.acquire(fleets.SERVICE, request)


@pytest.mark.parametrize(
    ('reason', 'calls'),
    [
        (None, 0),
        (REASONS.NO_CAPACITY, 1),
        (REASONS.QUEUE_FULL, 1),
        (REASONS.QUARANTINED, 0),
        (REASONS.RETRY_BUDGET, 0),
    ],
)
async def test_requests_spill_only_for_lack_of_capacity(reason, calls):
    """Guards against paid traffic that the local region could serve."""
    remote = Region()
    await acquire(create_source(Region(reason), remote))
    assert remote.calls == calls


async def test_spilled_lease_is_released_in_its_region():
    """Guards against slots of another region that are never released."""
    local, remote = Region(REASONS.NO_CAPACITY), Region()
    source = create_source(local, remote)
    grant = (await acquire(source)).unwrap()
    ended = outcomes.ExchangeResult.SUCCESS
    source.complete(fleets.SERVICE, grant, ended, 0.1, 500)
    assert remote.completed == [(1, 500)]
    assert not local.completed


async def test_link_bytes_are_reserved_for_urgent_requests():
    """Guards against bulk requests that exhaust the budget of the link."""
    rate = 3 * spills.INITIAL_ESTIMATE_BYTES / spills.BURST_SECONDS
    source = create_source(Region(REASONS.QUEUE_FULL), Region(), rate)
    assert isinstance(await acquire(source, BULK), result.Success)
    refused = (await acquire(source, BULK)).failure()
    assert (refused.reason, refused.retry_after) == (REASONS.LINK_BUDGET, 7.0)
    assert isinstance(await acquire(source, STANDARD), result.Success)
    assert isinstance(await acquire(source, STANDARD), result.Failure)
    assert isinstance(await acquire(source, URGENT), result.Success)
    assert isinstance(await acquire(source, URGENT), result.Failure)


async def test_long_answers_exhaust_budget():
    """Guards against a budget that counts requests instead of bytes."""
    source = create_source(Region(REASONS.QUEUE_FULL), Region(), 100_000.0)
    grant = (await acquire(source, URGENT)).unwrap()
    ended = outcomes.ExchangeResult.SUCCESS
    source.complete(fleets.SERVICE, grant, ended, 0.1, 900_000)
    assert isinstance(await acquire(source, URGENT), result.Failure)


async def test_refusal_by_other_region_consumes_no_budget():
    """Guards against a budget spent on requests that were not sent."""
    rate = spills.INITIAL_ESTIMATE_BYTES / spills.BURST_SECONDS
    remote = Region(REASONS.NO_CAPACITY)
    source = create_source(Region(REASONS.NO_CAPACITY), remote, rate)
    for _ in range(3):
        assert (await acquire(source, URGENT)).failure().reason is (
            REASONS.NO_CAPACITY
        )
    assert remote.calls == 3


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
    grant = (await acquire(source, URGENT)).unwrap()
    ended = outcomes.ExchangeResult.SUCCESS
    source.complete(fleets.SERVICE, grant, ended, 0.1, 5000)
    assert counted == [(URGENT, 5000)]
