"""Tests of how a host finds an allocator."""

import asyncio
import dataclasses
import math
import random

from wagtailspread.core import identifiers
from wagtailspread.gateway import placements
from wagtailspread.placement import allocators, budgets, costs, messages
from wagtailspread.placement import selection, services
from wagtailspread.registry import records, tables
from wagtailspread.wire import credentials, links, listeners, signing
from wagtailspread.wire import messages as wire
from wagtailspread.workspaces import caps

_REGIONS = {'north': 'r1', 'far': 'r2'}
_MEMBER = identifiers.MemberId('m')
_KEY = signing.create_key()
_DIRECTORY = credentials.FixedDirectory({_MEMBER: signing.public_bytes(_KEY)})


class LoopClock:
    """Clock of the event loop."""

    def now(self):
        """Return the event loop's seconds."""
        return asyncio.get_running_loop().time()


def create_selector():
    """Return a selector that knows one upstream with one slot."""
    record = records.UpstreamRecord(
        upstream='u1',
        service='columns',
        address='10.0.0.1:80',
        domain='north',
        slots=1,
        state=records.UpstreamState.READY,
        born_ms=1,
        sequence=1,
    )
    table = tables.create_table([record])
    return selection.create_selector(table, _REGIONS, random.Random(1))


def create_own(role):
    """Return the credentials of a process."""
    return credentials.Credentials(credentials.Peer('m', 'h1', role), _KEY)


async def start_allocator():
    """Return a listener with an allocator, and its address."""
    listener = listeners.create_listener(create_own('replica'), _DIRECTORY)
    budget = budgets.SharedRetryBudget(0.2, 10.0, 10.0, lambda: 1)
    allocator = allocators.create_allocator(create_selector(), budget)
    service = services.create_service(allocator, LoopClock(), lambda _now: ())
    service.register(listener)
    return listener, await listener.start('127.0.0.1:0'), allocator


def create_placer(*addresses):
    """Return a placer that knows these allocators."""
    placer = placements.create_placer(
        'h1',
        costs.Location('north', _REGIONS),
        links.LinkPool(create_own('host'), _DIRECTORY, 0.2),
        create_selector(),
        budgets.SharedRetryBudget(0.2, 10.0, 10.0, lambda: 1),
        LoopClock(),
    )
    placer.update_allocators([], [])
    placer._allocators = list(addresses)
    return placer


def create_placement_request(placer, seconds=2.0, fingerprint=0):
    """Return a request for an upstream."""
    return messages.PlacementRequest(
        request_id=placer.create_id(),
        host='h1',
        domain='north',
        service='columns',
        deadline=LoopClock().now() + seconds,
        objective=1.0,
        fingerprint=fingerprint,
    )


async def test_a_request_waits_until_the_slot_is_settled():
    """Guards against a slot that stays unused after it was settled."""
    listener, address, _ = await start_allocator()
    placer = create_placer(address)
    first = create_placement_request(placer)
    placed = await placer.place(first)
    assert placed.allocator == address
    waiting = asyncio.create_task(
        placer.place(create_placement_request(placer))
    )
    await asyncio.sleep(0.3)
    assert not waiting.done()
    placer.settle(first.request_id, placed, messages.Evidence.GOOD, 0.1)
    async with asyncio.timeout(1):
        assert (await waiting).answer.record.upstream == 'u1'
    await placer.close()
    await listener.close()


async def test_a_disconnected_caller_does_not_stay_queued():
    """Guards against waiting entries of callers that have disconnected."""
    listener, address, allocator = await start_allocator()
    placer = create_placer(address)
    await placer.place(create_placement_request(placer))
    leaving = asyncio.create_task(
        placer.place(create_placement_request(placer))
    )
    await asyncio.sleep(0.05)
    assert allocator.count_waiting() == 1
    leaving.cancel()
    await asyncio.sleep(0.1)
    assert allocator.count_waiting() == 0
    await placer.close()
    await listener.close()


async def test_a_silent_allocator_is_asked_by_one_request_only():
    """Guards against each request waiting for a frozen replica in turn."""
    accepted = []

    async def stay_silent(_reader, _writer):
        accepted.append(True)
        await asyncio.sleep(10)

    silent = await asyncio.start_server(stay_silent, '127.0.0.1', 0)
    port = silent.sockets[0].getsockname()[1]
    placer = create_placer(f'127.0.0.1:{port}')
    request = create_placement_request(placer)
    placed = await placer.place(request)
    assert placed.allocator is None
    assert placed.answer.decision is messages.Decision.GRANTED
    connections = len(accepted)
    for _ in range(5):
        placer.withdraw(request, placed)
        request = create_placement_request(placer)
        placed = await placer.place(request)
        assert placed.allocator is None
        assert placed.answer.decision is messages.Decision.GRANTED
    assert len(accepted) == connections
    await placer.close()
    silent.close()


async def test_a_late_answer_does_not_lose_the_allocator():
    """Guards against hosts that leave their allocator for one late answer.

    Load pattern: an upload of the host delays the call or its answer. The
    request got a second upstream elsewhere, and its cap was counted twice.
    """
    listener, address, allocator = await start_allocator()
    route = listener.routes[wire.methods.PLACE]
    calls = []

    async def place_late(call, request):
        calls.append(request.request)
        answer = await route.handler(call, request)
        if len(calls) == 1:
            await asyncio.sleep(0.35)
        return answer

    listener.routes[wire.methods.PLACE] = dataclasses.replace(
        route, handler=place_late
    )
    placer = create_placer(address)
    request = create_placement_request(placer)
    placed = await placer.place(request)
    assert placed.allocator == address
    assert calls == [request.request_id, request.request_id]
    assert allocator.selector.count_open('u1') == 1
    assert len(allocator.budget._requests['columns']) == 1
    placer.settle(request.request_id, placed, messages.Evidence.GOOD, 0.1)
    await placer.close()
    assert allocator.selector.count_open('u1') == 0
    await listener.close()


async def test_a_request_placed_again_counts_once_for_the_retry_budget():
    """Guards against a budget that grows with each allocator that is asked.

    Load pattern: the first allocator counts the request and its answer is
    lost, so the host asks the second one.
    """
    listener, address, allocator = await start_allocator()
    place = allocator.submit

    def place_late(request, now):
        place(request, now)
        return messages.Answer(messages.Decision.WAITING)

    allocator.submit = place_late
    other_listener, other_address, other = await start_allocator()
    placer = create_placer(address, other_address)
    request = create_placement_request(placer)
    waiting = asyncio.create_task(placer.place(request))
    await asyncio.sleep(0.1)
    await listener.close()
    await waiting
    counted = [
        len(budget._requests.get('columns', ()))
        for budget in (allocator.budget, other.budget, placer._lone._budget)
    ]
    assert sum(counted) == 1, counted
    await placer.close()
    await other_listener.close()


async def test_an_allocator_that_starts_is_asked_again():
    """Guards against refusals while an allocator learns of the upstreams.

    The host knows one already, so the allocator will in a moment.
    """
    listener, address, allocator = await start_allocator()
    registry = allocator.selector.registry
    row = registry.rows.pop('u1')
    placer = create_placer(address)
    placing = asyncio.create_task(
        placer.place(create_placement_request(placer))
    )
    await asyncio.sleep(0.15)
    registry.rows['u1'] = row
    placed = await placing
    assert placed.answer.decision is messages.Decision.GRANTED
    assert placed.allocator == address
    await placer.close()
    await listener.close()


async def test_a_service_without_upstreams_is_refused_at_once():
    """Guards against waiting for upstreams that nobody knows."""
    listener, address, allocator = await start_allocator()
    allocator.selector.registry.rows.clear()
    placer = create_placer(address)
    placer._selector.registry.rows.clear()
    async with asyncio.timeout(0.09):
        placed = await placer.place(create_placement_request(placer))
    assert placed.answer.decision is messages.Decision.NO_UPSTREAM
    await placer.close()
    await listener.close()


async def test_a_host_that_decides_alone_blocks_crashing_requests():
    """Guards against crashed upstreams while no allocator answers."""
    placer = create_placer()
    registry = placer._selector.registry
    for number in range(3):
        request = create_placement_request(placer, fingerprint=7)
        placed = await placer.place(request)
        assert placed.answer.decision is messages.Decision.GRANTED
        placer.settle(
            request.request_id,
            placed,
            messages.Evidence.BAD,
            0.1,
            is_reset=True,
            fingerprint=7,
        )
        # The upstream comes back as a new incarnation.
        record = placed.answer.record
        born = dataclasses.replace(record, born_ms=number + 2)
        registry.merge(born, LoopClock().now())
    blocked = await placer.place(create_placement_request(placer, 2.0, 7))
    assert blocked.answer.decision is messages.Decision.BLOCKED
    assert blocked.answer.retry_after > 200
    other = await placer.place(create_placement_request(placer, 2.0, 8))
    assert other.answer.decision is messages.Decision.GRANTED
    await placer.close()


async def test_a_blocked_request_is_refused_without_an_allocator():
    """Guards against sends of a request that replicas have blocked."""
    placer = create_placer('127.0.0.1:1')
    placer.crashes.block(7, LoopClock().now() + 10.0)
    blocked = await placer.place(create_placement_request(placer, 2.0, 7))
    assert blocked.answer.decision is messages.Decision.BLOCKED
    assert not placer._settler.is_failed('127.0.0.1:1')
    await placer.close()


async def test_a_request_is_not_held_past_its_deadline():
    """Guards against asking further allocators after the deadline."""
    silent = await asyncio.start_server(
        lambda _reader, _writer: asyncio.sleep(10),
        '127.0.0.1',
        0,
    )
    port = silent.sockets[0].getsockname()[1]
    placer = create_placer(f'127.0.0.1:{port}')
    async with asyncio.timeout(0.25):
        placed = await placer.place(
            create_placement_request(placer, seconds=0.05)
        )
    assert placed.answer.decision is messages.Decision.NO_ROOM
    await placer.close()
    silent.close()


def delay_answers(listener, method, seconds):
    """Let a listener answer the calls of a method late."""
    route = listener.routes[method]

    async def answer_late(call, request):
        answer = await route.handler(call, request)
        await asyncio.sleep(seconds)
        return answer

    listener.add(method, route.request_type, answer_late)
    return route


async def test_a_grant_that_comes_too_late_is_returned():
    """Guards against requests that stay open although nobody runs them.

    Load pattern: an allocator is frozen or overloaded, its hosts turn away, and
    then it grants what they had asked.
    """
    listener, address, allocator = await start_allocator()
    # Longer than the host waits for the second answer.
    delay_answers(listener, wire.methods.PLACE, 0.6)
    placer = create_placer(address)
    request = create_placement_request(placer, seconds=15.0)
    assert (await placer.place(request)).allocator is None
    assert allocator.selector._open == {'u1': 1}
    async with asyncio.timeout(2):
        while allocator.selector._open:
            await asyncio.sleep(0.05)
    await placer.close()
    await listener.close()


async def test_ends_that_an_allocator_missed_are_reported_when_it_answers():
    """Guards against slots that are taken until the deadline.

    Load pattern: an allocator is cut off from a host while a request runs.
    """
    listener, address, allocator = await start_allocator()
    placer = create_placer(address)
    request = create_placement_request(placer, seconds=15.0)
    placed = await placer.place(request)
    assert placed.allocator == address
    placer._settler.record_failure(address)
    placer.settle(request.request_id, placed, messages.Evidence.GOOD, 0.1)
    assert allocator.selector._open == {'u1': 1}
    async with asyncio.timeout(2):
        while allocator.selector._open:
            await asyncio.sleep(0.05)
    assert not placer._settler.is_failed(address)
    await placer.close()
    await listener.close()


async def test_an_allocator_that_is_gone_is_not_probed():
    """Guards against probes of replaced replicas that never end."""
    placer = create_placer()
    place = wire.structs.ReplicaPlace
    gone, other = '127.0.0.1:1', '127.0.0.1:2'
    for address in (gone, other):
        placer._settler.record_failure(address)
        placer._settler.start(address, wire.structs.Settlement(request='q'))
    placer.update_allocators([place(address=other, domain='north')], [])
    await asyncio.sleep(0)
    assert not placer._settler.is_failed(gone)
    assert placer._settler.is_failed(other)
    assert list(placer._settler._kept) == [other]
    await placer.close()


async def test_a_report_that_may_have_arrived_counts_once():
    """Guards against evidence that counts twice after a lost answer."""
    listener, address, allocator = await start_allocator()
    route = delay_answers(listener, wire.methods.SETTLE, 1.2)
    placer = create_placer(address)
    request = create_placement_request(placer, seconds=15.0)
    placed = await placer.place(request)
    reported = []
    settle = allocator.settle

    def record_report(request_id, upstream, evidence, *values, **options):
        reported.append(evidence)
        settle(request_id, upstream, evidence, *values, **options)

    allocator.settle = record_report
    placer.settle(request.request_id, placed, messages.Evidence.GOOD, 0.1)
    await asyncio.sleep(1.1)
    listener.add(wire.methods.SETTLE, route.request_type, route.handler)
    async with asyncio.timeout(3):
        while placer._settler.is_failed(address) or not reported:
            await asyncio.sleep(0.05)
    await asyncio.sleep(0.1)
    assert reported == [messages.Evidence.GOOD, messages.Evidence.NONE]
    assert not allocator.selector._open
    await placer.close()
    await listener.close()


def test_replicas_of_the_region_come_before_hosts_of_it():
    """Guards against asking another region, and different orders per host."""
    placer = create_placer()
    place = wire.structs.ReplicaPlace
    placer.update_allocators(
        [
            place(address='r3:1', domain='north'),
            place(address='r2:1', domain='far'),
            place(address='r1:1', domain='north'),
        ],
        [place(address='h1:1', domain='north')],
    )
    assert placer._allocators == ['r1:1', 'r3:1', 'h1:1']


async def test_a_cap_reaches_the_allocator_and_its_refusal_the_host():
    """Guards against a cap that is lost between host and allocator."""
    listener, address, allocator = await start_allocator()
    placer = create_placer(address)
    placer._permits.fleet.raise_to(3, 0.0)
    decisions = []
    for _ in range(60):
        request = dataclasses.replace(
            create_placement_request(placer),
            workspace='friolink',
            cap=caps.Cap(1.0, 2.0, 1),
        )
        placed = await placer.place(request)
        decisions.append(placed.answer.decision)
        placer.settle(request.request_id, placed, messages.Evidence.GOOD, 0.1)
        if placed.answer.decision is messages.Decision.OVER_CAP:
            break
    assert placed.answer.decision is messages.Decision.OVER_CAP
    assert placed.answer.retry_after > 0
    assert placed.allocator == address
    assert allocator.permits._shares.fleet.estimate() == 3
    await placer.close()
    await listener.close()


async def test_a_host_states_its_presence_from_the_first_cap_on():
    """Guards against hosts that two allocators count, and against new fields
    in fleets without caps.
    """
    listener, address, allocator = await start_allocator()
    placer = create_placer(address)
    stated = []
    allocator.permits._shares.record = lambda _host, presence, _now: (
        stated.append(presence)
    )
    for workspace in ({}, {'workspace': 'friolink', 'cap': caps.Cap(9, 9, 1)}):
        request = dataclasses.replace(
            create_placement_request(placer), **workspace
        )
        placed = await placer.place(request)
        placer.settle(request.request_id, placed, messages.Evidence.GOOD, 0.1)
        await asyncio.sleep(0.05)
    assert len(stated) == 1
    assert math.isinf(stated[0].elsewhere_seconds)
    assert stated[0].interval_seconds > 0
    await placer.close()
    await listener.close()


async def test_a_host_without_an_allocator_enforces_its_part_of_a_cap():
    """Guards against a cap that ends when no allocator answers."""
    placer = create_placer()
    placer._permits.fleet.raise_to(2, 0.0)
    granted = 0
    for _ in range(100):
        request = dataclasses.replace(
            create_placement_request(placer),
            workspace='friolink',
            cap=caps.Cap(100.0, 20.0, 1),
        )
        placed = await placer.place(request)
        granted += placed.answer.record is not None
        placer.settle(request.request_id, placed, messages.Evidence.GOOD, 0.1)
    assert placed.answer.decision is messages.Decision.OVER_CAP
    assert granted <= 15


async def test_a_shed_request_returns_the_permit_of_a_lone_host():
    """Guards against a part of a cap that shed requests use up."""
    placer = create_placer()
    for _ in range(100):
        request = dataclasses.replace(
            create_placement_request(placer),
            workspace='friolink',
            cap=caps.Cap(10.0, 20.0, 1),
        )
        placed = await placer.place(request)
        placer.settle(request.request_id, placed, messages.Evidence.SHED, 0.1)
    assert placed.answer.decision is not messages.Decision.OVER_CAP


async def test_a_request_that_a_host_places_itself_keeps_its_permit():
    """Guards against refusing a request that an allocator has granted.

    Load pattern: an allocator that has just taken over grants an upstream that
    has asked this host for a pause.
    """
    listener, address, _ = await start_allocator()
    placer = create_placer(address)
    placer._may_send = lambda _record: False
    request = dataclasses.replace(
        create_placement_request(placer),
        workspace='friolink',
        cap=caps.Cap(100.0, 20.0, 1),
    )
    placed = await placer.place(request)
    assert placed.allocator is None
    assert placed.request.is_permitted
    await placer.close()
    await listener.close()


async def test_a_shed_request_returns_the_permit_that_an_allocator_keeps():
    """Guards against a permit lost at the second upstream.

    Load pattern: an upstream has asked this host for a pause, and the one that
    the host chooses in its place sheds the request.
    """
    listener, address, allocator = await start_allocator()
    placer = create_placer(address)
    placer._may_send = lambda _record: False
    request = dataclasses.replace(
        create_placement_request(placer),
        workspace='friolink',
        cap=caps.Cap(100.0, 20.0, 1),
    )
    placed = await placer.place(request)
    await asyncio.sleep(0.05)
    placer.settle(request.request_id, placed, messages.Evidence.SHED, 0.1)
    await placer.close()
    assert allocator.permits.quotas._states['friolink'].admitted == 0
    await listener.close()


async def test_a_refusal_by_a_lone_host_waits_for_an_allocator():
    """Guards against requests within the cap refused in an allocator's restart.

    Load pattern: the only allocator is lost, the part of the host is used up,
    and then the allocator answers.
    """
    listener, address, _ = await start_allocator()
    placer = create_placer(address)
    over_cap = messages.Answer(messages.Decision.OVER_CAP)
    placer._permits.take = lambda _request, _now: over_cap
    usable = iter([[], [], [address]])
    placer._list_usable = lambda: next(usable)
    request = dataclasses.replace(
        create_placement_request(placer),
        workspace='friolink',
        cap=caps.Cap(1.0, 1.0, 1),
    )
    placed = await placer.place(request)
    assert placed.allocator == address
    assert placed.answer.decision is messages.Decision.GRANTED
    placer.settle(request.request_id, placed, messages.Evidence.GOOD, 0.1)
    placer._list_usable = list
    refused = await placer.place(
        dataclasses.replace(request, request_id=placer.create_id())
    )
    assert refused.answer.decision is messages.Decision.OVER_CAP
    await placer.close()
    await listener.close()


async def test_a_request_is_asked_again_under_another_id():
    """Guards against a refusal by a withdrawal that comes late.

    Load pattern: no allocator answers and no slot is free, so the request is
    withdrawn and asked again.
    """
    placer = create_placer()
    asked = []

    async def decide(request, _number):
        asked.append(request.request_id)
        decisions = [messages.Decision.WAITING, messages.Decision.NO_ROOM]
        return messages.Answer(decisions[len(asked) - 1])

    placer._lone.place = decide
    placed = await placer.place(create_placement_request(placer))
    assert len(set(asked)) == 2
    assert placed.request.request_id == asked[-1]


async def test_an_objective_below_a_millisecond_is_placed():
    """Guards against an exception in the allocator, which then seems lost."""
    listener, address, _ = await start_allocator()
    placer = create_placer(address)
    request = dataclasses.replace(
        create_placement_request(placer), objective=0.0004
    )
    placed = await placer.place(request)
    assert placed.allocator == address
    await placer.close()
    await listener.close()


async def test_a_granted_request_without_another_upstream_is_withdrawn():
    """Guards against a permit of a request that is not sent.

    Load pattern: the only upstream has asked this host for a pause, which the
    allocator does not know yet.
    """
    listener, address, allocator = await start_allocator()
    placer = create_placer(address)
    placer._may_send = lambda _record: False
    placer._selector.registry.rows.clear()
    request = dataclasses.replace(
        create_placement_request(placer),
        workspace='friolink',
        cap=caps.Cap(100.0, 20.0, 1),
    )
    placed = await placer.place(request)
    assert placed.answer.decision is messages.Decision.NO_UPSTREAM
    await placer.close()
    assert allocator.permits.quotas._states['friolink'].admitted == 0
    await listener.close()
