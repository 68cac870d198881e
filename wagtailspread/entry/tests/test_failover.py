"""Tests of failed owners, on loopback sockets."""

import asyncio
import time

import pytest

from returns import result

from wagtailspread.core import clocks, outcomes
from wagtailspread.entry import (
    allocations,
    liveness,
    rows,
    shares,
    slots,
    votes,
)
from wagtailspread.entry.tests import fleets, test_exchanges
from wagtailspread.wire import messages

#: Longest accepted time of a request whose owner has stopped, in seconds.
MAX_STOPPED_OWNER_SECONDS = 0.3
#: Longest accepted time of a request whose owner is hanging, in seconds.
MAX_HANGING_OWNER_SECONDS = 0.6


async def prepare(hosts, ups):
    """Let the second host copy the rows and send one request.

    After that, the upstreams send no announcements.
    """
    await hosts[1].heartbeat_sender.send_heartbeat(fleets.SERVICE)
    answer, _ = await test_exchanges.fetch(hosts[1])
    assert answer.status == 200
    for up in ups:
        up.mode.announces = False
    await asyncio.sleep(0.05)


def block_answers(host):
    """Make the listener of a host receive calls without answering."""
    unblocked = asyncio.Event()
    for method, route in list(host.listener.routes.items()):
        handler = route.handler

        async def wait(call, request, handler=handler):
            await unblocked.wait()
            return await handler(call, request)

        host.listener.add(method, route.request_type, wait)
    return unblocked


async def test_host_uses_its_local_share_when_the_owner_has_stopped():
    """Guards against refusals before a new owner is known."""
    async with fleets.start_fleet(2) as (hosts, ups):
        await prepare(hosts, ups)
        await hosts[0].listener.close()
        started = time.monotonic()
        answer, _ = await test_exchanges.fetch(hosts[1])
        assert answer.status == 200
        assert time.monotonic() - started < MAX_STOPPED_OWNER_SECONDS


async def test_hanging_owner_counts_as_failed_and_its_grant_is_released():
    """Guards against slots lost to grants for which no request waits."""
    async with fleets.start_fleet(2) as (hosts, ups):
        await prepare(hosts, ups)
        unblocked = block_answers(hosts[0])
        started = time.monotonic()
        answer, _ = await test_exchanges.fetch(hosts[1])
        assert answer.status == 200
        assert time.monotonic() - started < MAX_HANGING_OWNER_SECONDS
        unblocked.set()
        await asyncio.sleep(0.3)
        assert not hosts[0].coordinator.leases
        owner = hosts[1].client.find_state(fleets.SERVICE).owner
        assert not hosts[1].client.find_calls(owner).is_failed


async def test_long_wait_is_not_mistaken_for_a_failed_owner():
    """Guards against local shares that add to an overload."""
    async with fleets.start_fleet(2, slots=1) as (hosts, ups):
        await prepare(hosts, ups)
        ups[0].mode.service_seconds = 0.5
        answers = await asyncio.gather(
            *(test_exchanges.fetch(hosts[1]) for _ in range(2)),
        )
        assert {answer.status for answer, _ in answers} == {200}
        await asyncio.sleep(0.05)
        assert ups[0].peak_running == 1
        assert len(hosts[0].coordinator.completed) == 3


async def test_open_leases_and_completions_are_reported_to_a_new_owner():
    """Guards against a new owner that grants slots still in use."""
    async with fleets.start_fleet(3) as (hosts, ups):
        await prepare(hosts, ups)
        ups[0].mode.service_seconds = 0.4
        running = asyncio.create_task(test_exchanges.fetch(hosts[1]))
        await asyncio.sleep(0.1)
        hosts[1].ownership.endpoints.reverse()
        await asyncio.sleep(0.1)
        hosts[1].client.find_state(fleets.SERVICE)
        await asyncio.sleep(0.1)
        assert len(hosts[2].coordinator.adopted) == 1
        await running
        await asyncio.sleep(0.1)
        assert not hosts[2].coordinator.leases
        assert not hosts[0].coordinator.leases


async def test_a_new_owner_learns_open_leases_before_the_next_request():
    """Guards against a slot that is granted while it is in use."""
    async with fleets.start_fleet(3) as (hosts, ups):
        await prepare(hosts, ups)
        ups[0].mode.service_seconds = 0.4
        running = asyncio.create_task(test_exchanges.fetch(hosts[1]))
        await asyncio.sleep(0.1)
        coordinator = hosts[2].coordinator
        events = []
        adopt, submit = coordinator.adopt, coordinator.submit
        coordinator.adopt = lambda *args: (events.append('adopt'), adopt(*args))
        coordinator.submit = lambda *args: (
            events.append('submit'),
            submit(*args),
        )
        hosts[1].ownership.endpoints.reverse()
        await asyncio.sleep(0.1)
        await test_exchanges.fetch(hosts[1])
        await running
        assert events[:2] == ['adopt', 'submit']


async def test_new_owner_starts_with_its_copy_of_the_rows():
    """Guards against an allocator that refuses requests until rows arrive."""
    async with fleets.start_fleet(2) as (hosts, ups):
        await prepare(hosts, ups)
        hosts[1].ownership.endpoints.reverse()
        await hosts[0].listener.close()
        await asyncio.sleep(0.06)
        answer, _ = await test_exchanges.fetch(hosts[1])
        assert answer.status == 200
        assert hosts[1].coordinator.completed


async def test_queued_request_of_a_disconnected_caller_is_cancelled():
    """Guards against slots granted to callers that disconnected."""
    async with fleets.start_fleet(2, slots=1) as (hosts, ups):
        await prepare(hosts, ups)
        ups[0].mode.service_seconds = 0.4
        running = asyncio.create_task(test_exchanges.fetch(hosts[1]))
        await asyncio.sleep(0.1)
        cancelled = asyncio.create_task(test_exchanges.fetch(hosts[1]))
        await asyncio.sleep(0.1)
        cancelled.cancel()
        await running
        await asyncio.sleep(0.1)
        assert len(hosts[0].coordinator.cancelled) == 1
        assert not hosts[0].coordinator.leases


async def test_completions_to_one_owner_are_sent_in_one_message(monkeypatch):
    """Guards against a separate message for each completion."""
    async with fleets.start_fleet(2) as (hosts, ups):
        await prepare(hosts, ups)
        monkeypatch.setattr(allocations, 'COMPLETION_BATCH_SECONDS', 0.1)
        route = hosts[0].listener.routes[messages.methods.RELEASE]
        batches = []

        async def count(call, request):
            batches.append(len(request.completions))
            return await route.handler(call, request)

        hosts[0].listener.add(
            messages.methods.RELEASE,
            route.request_type,
            count,
        )
        grants = []
        for name in ('a', 'b'):
            request = slots.SlotRequest(
                name,
                hosts[1].host,
                fleets.DOMAIN,
                1,
                time.monotonic() + 5,
            )
            decision = await hosts[1].client.acquire(fleets.SERVICE, request)
            grants.append(decision.unwrap())
        for grant in grants:
            ended = outcomes.ExchangeResult.SUCCESS
            hosts[1].client.complete(fleets.SERVICE, grant, ended, 0.1)
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.3)
        assert batches == [2]


def test_message_read_late_renews_no_vote():
    """Guards against a suspended allocator that resumes with old votes."""
    clock = clocks.ManualClock(10)
    issuer = votes.StampIssuer(clock)
    stamp = issuer.issue()
    clock.advance(1.5)
    assert issuer.read('h1', stamp) == pytest.approx(10)
    clock.advance(0.6)
    assert issuer.read('h1', stamp) is None


def test_stamp_of_another_process_renews_no_vote():
    """Guards against votes for an earlier process at the same address."""
    clock = clocks.ManualClock(10)
    stamp = votes.StampIssuer(clock).issue()
    assert votes.StampIssuer(clock).read('h1', stamp) is None


def test_vote_moves_only_after_the_last_one_has_expired():
    """Guards against two allocators that hold the vote of one host."""
    caster = votes.VoteCaster(started_at=0.0)
    caster.store_stamp('h1', 7)
    assert caster.cast('h1', 1.0) == 0
    assert caster.cast('h1', 3.0) == 7
    caster.store_stamp('h2', 9)
    assert caster.cast('h2', 4.9) == 0
    assert caster.cast('h2', 5.0) == 9


def create_share(clock, slot_count, host_count):
    table = rows.RowTable()
    table.record(
        slots.Announcement(
            fleets.SERVICE,
            'u1',
            'a:1',
            fleets.REGION,
            fleets.DOMAIN,
            slot_count,
            400,
            slots.UpstreamState.READY,
            1,
        ),
        clock.now(),
    )
    return shares.LocalShare(table, fleets.DOMAIN, lambda: host_count, clock)


async def test_local_share_is_not_exceeded_and_waiting_is_by_priority():
    """Guards against hosts that overload an upstream without an owner."""
    clock = clocks.ManualClock(time.monotonic())
    share = create_share(clock, 8, 4)

    def acquire(name, priority=1):
        return asyncio.ensure_future(
            share.acquire(
                slots.SlotRequest(
                    name,
                    'h1',
                    fleets.DOMAIN,
                    priority,
                    clock.now() + 5,
                ),
            ),
        )

    tasks = [
        acquire('a'),
        acquire('b'),
        acquire('bulk', 2),
        acquire('urgent', 0),
    ]
    await asyncio.sleep(0)
    assert [task.done() for task in tasks] == [True, True, False, False]
    share.complete('u1')
    await asyncio.sleep(0.01)
    assert tasks[3].done() and not tasks[2].done()
    tasks[2].cancel()


async def test_local_share_uses_no_expired_row():
    """Guards against requests to upstreams that have stopped."""
    clock = clocks.ManualClock(100.0)
    share = create_share(clock, 8, 4)
    clock.advance(rows.ROW_SECONDS)
    request = slots.SlotRequest('a', 'h1', fleets.DOMAIN, 1, 200.0)
    decision = await share.acquire(request)
    assert decision.failure().reason is outcomes.RefusalReason.NO_CAPACITY


async def test_local_delay_is_not_mistaken_for_a_failed_owner():
    """Guards against a stalled host that counts healthy owners as failed."""

    class Link:
        address = 'a:1'

        async def call(self, *_):
            await asyncio.sleep(0.1)
            return result.Success(messages.structs.Empty())

    calls = liveness.OwnerCalls(Link(), clocks.SystemClock())
    request = asyncio.create_task(calls.call(1, None, None, 2.0))
    await asyncio.sleep(0)
    time.sleep(liveness.FAILURE_SECONDS + 0.1)
    assert isinstance(await request, result.Success)
    assert not calls.is_failed
    await calls.close()
