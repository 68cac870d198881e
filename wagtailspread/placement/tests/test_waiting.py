"""Tests of queueing and refusal of requests."""

import collections

import pytest

from wagtailspread.placement import allocators, budgets, estimates
from wagtailspread.placement import messages
from wagtailspread.placement.tests import regions

_GRANTED = messages.Decision.GRANTED
_WAITING = messages.Decision.WAITING


def test_a_request_waits_for_a_slot_and_gets_the_next_one():
    """Guards against refusing requests for which a slot is soon free."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit()
    request_id, answer = region.submit()
    assert answer.decision is _WAITING
    region.now = 0.4
    region.settle(*first)
    assert region.allocator.tick(region.now) == [request_id]
    assert region.allocator.pop_decision(request_id).decision is _GRANTED


def test_urgent_requests_overtake_queued_ones():
    """Guards against a flood of uploads that delays look-ups."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit()
    late, _ = region.submit(priority=2)
    urgent, _ = region.submit(priority=0)
    region.settle(*first)
    assert region.allocator.tick(region.now) == [urgent]
    assert late not in region.allocator.tick(region.now)


def test_low_priority_requests_are_not_starved():
    """Guards against starvation under a steady flood of urgent work."""
    region = regions.Region(upstreams=1, slots=1)
    running = region.submit()
    low_priority = region.create_request(priority=2, deadline=60.0)
    region.allocator.submit(low_priority, 0.0)
    served_after = None
    for step in range(1, 100):
        region.now = step * 0.1
        region.submit(priority=0, deadline=region.now + 60)
        region.allocator.submit(low_priority, region.now)
        region.settle(*running)
        (request_id,) = region.allocator.tick(region.now)
        running = (request_id, region.allocator.pop_decision(request_id))
        if request_id == low_priority.request_id:
            served_after = region.now
            break
    assert served_after is not None
    assert served_after <= 2 * allocators.PRIORITY_STEP_SECONDS + 0.5


class _Callers:
    """Simulates callers whose requests queue and run for 0.5 s."""

    def __init__(self, region):
        """Create callers without requests."""
        self.region = region
        self.granted = []
        self._running = collections.deque()
        self._waiting = {}

    def submit(self, request):
        """Submit a request."""
        self._handle_answer(
            request, self.region.allocator.submit(request, self.region.now)
        )

    def step(self, now):
        """Settle finished requests, poll, and handle the decisions."""
        region = self.region
        region.now = now
        while self._running and self._running[0][0] <= now:
            _, request_id, answer = self._running.popleft()
            region.settle(request_id, answer)
        for request in self._waiting.values():
            region.allocator.submit(request, now)
        for request_id in region.allocator.tick(now):
            answer = region.allocator.pop_decision(request_id)
            self._handle_answer(self._waiting.pop(request_id), answer)

    def _handle_answer(self, request, answer):
        if answer.decision is _WAITING:
            self._waiting[request.request_id] = request
        elif answer.decision is _GRANTED:
            end = self.region.now + 0.5
            self._running.append((end, request.request_id, answer))
            self.granted.append(request.request_id)


def test_routes_with_a_short_timeout_are_served_while_a_service_is_full():
    """Guards against starving a route with a short timeout.

    Load pattern: look-ups with a timeout of 5 s fill a service and queue;
    every tenth request belongs to a route with a timeout of about 1 s.
    """
    region = regions.Region(upstreams=2, slots=3)
    for number in range(2):
        region.selector.risk_table.add_successes(f'u{number}', 30, 15.0, 0.0)
    callers = _Callers(region)
    short_deadline_ids = set()
    for step in range(300):
        callers.step(step * 0.05)
        seconds = 1.1 if step % 10 == 0 else 5.0
        request = region.create_request(deadline=region.now + seconds)
        callers.submit(request)
        if step % 10 == 0:
            short_deadline_ids.add(request.request_id)
    assert len(short_deadline_ids.intersection(callers.granted)) >= 0.25 * len(
        short_deadline_ids
    )


@pytest.mark.parametrize(
    ('waited_share', 'crosses'), [(0.2, False), (0.3, True)]
)
def test_uploads_wait_in_their_domain_for_a_quarter_of_the_objective(
    waited_share,
    crosses,
):
    """Guards against large bodies that cross domains to avoid a short wait.

    Load pattern: the upstreams of one failure domain are full for some time,
    and those of another one are free.
    """
    region = regions.Region(upstreams=1, slots=1)
    region.selector.registry.merge(regions.create_record('away', 'south'), 0)
    for upstream in ('u0', 'away'):
        region.selector.risk_table.add_successes(upstream, 30, 15.0, 0.0)
    region.submit(size=60_000)
    request = region.create_request(size=60_000)
    region.allocator.submit(request, 0.0)
    decided = region.allocator.tick(waited_share * request.objective)
    assert decided == ([request.request_id] if crosses else [])


def test_an_upload_without_an_upstream_in_its_domain_crosses_at_once():
    """Guards against waiting for a slot that does not exist."""
    region = regions.Region(upstreams=1, domain='south')
    assert region.submit(size=60_000)[1].decision is _GRANTED


def test_requests_that_cannot_be_served_in_time_are_refused_at_once():
    """Guards against queueing a request that cannot be served in time.

    Load pattern: far more work than slots, with short deadlines.
    """
    region = regions.Region(upstreams=1, slots=1)
    region.selector.risk_table.add_successes('u0', 10, 5.0, 0.0)
    answers = [region.submit(deadline=1.6)[1] for _ in range(6)]
    decisions = [answer.decision for answer in answers]
    assert decisions[:3] == [_GRANTED, _WAITING, _WAITING]
    assert set(decisions[3:]) == {messages.Decision.NO_ROOM}
    assert answers[-1].retry_after >= estimates.MIN_RETRY_AFTER_SECONDS


def test_a_queued_request_without_a_chance_is_refused_before_its_deadline():
    """Guards against a refusal that arrives only after the deadline."""
    region = regions.Region(upstreams=1, slots=1)
    region.selector.risk_table.add_successes('u0', 10, 5.0, 0.0)
    region.submit(deadline=60.0)
    request = region.create_request(deadline=2.0)
    assert region.allocator.submit(request, 0.0).decision is _WAITING
    region.now = 1.0
    region.allocator.submit(request, 1.0)
    assert not region.allocator.tick(1.0)
    region.now = 1.6
    region.allocator.submit(request, 1.6)
    assert region.allocator.tick(1.6) == [request.request_id]
    decided = region.allocator.pop_decision(request.request_id)
    assert decided.decision is messages.Decision.NO_ROOM


def test_a_service_whose_first_decision_is_on_a_retry_can_be_pruned():
    """Guards against an exception that ends the task of the allocator.

    Load pattern: an allocator that has just taken over refuses a retry before
    any first attempt for the service.
    """
    region = regions.Region(upstreams=1, slots=1)
    region.allocator.budget = budgets.SharedRetryBudget(
        0.2, 10.0, 10.0, lambda: 1
    )
    region.submit(service='other')
    region.now += 10
    _, answer = region.submit(is_repeat=True)
    assert answer.decision is _GRANTED
    _, answer = region.submit(is_repeat=True, deadline=region.now + 0.01)
    assert answer.decision is messages.Decision.NO_ROOM
    region.allocator.prune(region.now + 10)


def test_a_queue_whose_upstreams_are_gone_is_refused_at_once():
    """Guards against requests that wait until their deadlines for nothing."""
    region = regions.Region(upstreams=1, slots=1)
    region.submit(deadline=region.now + 20)
    request_ids = [region.submit(deadline=region.now + 20)[0] for _ in '123']
    region.selector.registry.rows.clear()
    region.now += 0.25
    assert region.allocator.tick(region.now) == request_ids
    for request_id in request_ids:
        answer = region.allocator.pop_decision(request_id)
        assert answer.decision is messages.Decision.NO_UPSTREAM


def test_a_retry_without_an_upstream_left_does_not_queue():
    """Guards against waiting for a slot that the request can't use."""
    region = regions.Region(upstreams=1, slots=1)
    for _ in '123':
        region.submit(deadline=region.now + 20)
    _, answer = region.submit(
        is_repeat=True, excluded=frozenset(('u0',)), deadline=region.now + 20
    )
    assert answer.decision is messages.Decision.NO_UPSTREAM


def test_a_held_request_behind_others_is_refused_at_once():
    """Guards against a wait for upstreams that hold back too long."""
    region = regions.Region(upstreams=1, slots=1)
    for _ in '123':
        region.submit(deadline=region.now + 20)
    region.selector.holds.add('h2', 'u0', 1, region.now + 10)
    _, answer = region.submit(host='h2', deadline=region.now + 5)
    assert answer.decision is messages.Decision.NO_ROOM
    assert answer.retry_after == 10


def test_a_negative_priority_stays_the_highest_rank():
    """Guards against urgent requests that come behind less urgent ones."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit(deadline=region.now + 60)
    for _ in range(3):
        region.submit(priority=-1, deadline=region.now + 60)
    region.now += 0.01
    urgent, _ = region.submit(priority=-2, deadline=region.now + 60)
    region.allocator.admission._credits['columns'] = 8.0
    region.now += 0.25
    region.allocator.tick(region.now)
    region.settle(*first)
    assert region.allocator.tick(region.now) == [urgent]


def test_a_lower_rank_that_has_waited_goes_before_negative_ones():
    """Guards against lower ranks that starve behind negative priorities."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit(deadline=region.now + 60)
    lower, _ = region.submit(priority=1, deadline=region.now + 60)
    region.allocator.admission._credits['columns'] = 1.0
    for _ in range(15):
        region.now += 0.1
        region.submit(priority=-2, deadline=region.now + 60)
        for waiting in region.allocator._waiting.values():
            waiting.polled_at = region.now
        assert not region.allocator.tick(region.now)
    region.settle(*first)
    assert region.allocator.tick(region.now) == [lower]


@pytest.mark.parametrize('is_withdrawn', [True, False])
def test_requests_that_left_the_queue_do_not_count_for_fairness(is_withdrawn):
    """Guards against a workspace that waits for its disconnected callers."""
    region = regions.Region(upstreams=1, slots=1)
    region.submit(deadline=region.now + 60)
    other = region.create_request(deadline=region.now + 60, workspace='b')
    region.allocator.submit(other, region.now)
    request_id, _ = region.submit(deadline=region.now + 60, workspace='a')
    clock = region.allocator._waiting.find('columns').fair_clock
    assert clock.peek('a') > 0
    if is_withdrawn:
        region.allocator.settle(request_id, '', 4, 0.0, region.now)
    else:
        region.now += 1.1
        region.allocator.submit(other, region.now)
        region.allocator.tick(region.now)
    assert region.allocator.count_waiting() == 1
    assert clock.peek('a') == 0
