"""Tests of how requests wait for a slot and are refused."""

import collections

import pytest

from wagtailspread.placement import allocators
from wagtailspread.placement import messages
from wagtailspread.placement.tests import regions

_GRANTED = messages.Decision.GRANTED
_WAITING = messages.Decision.WAITING


def test_a_request_waits_for_a_slot_and_gets_the_next_one():
    """Guards against refusing work that an upstream can soon take."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit()
    request, answer = region.submit()
    assert answer.decision is _WAITING
    region.now = 0.4
    region.settle(*first)
    assert region.allocator.tick(region.now) == [request]
    assert region.allocator.take_decision(request).decision is _GRANTED


def test_urgent_work_goes_before_what_waits_longer():
    """Guards against a flood of uploads that delays lookups."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit()
    late, _ = region.submit(priority=2)
    urgent, _ = region.submit(priority=0)
    region.settle(*first)
    assert region.allocator.tick(region.now) == [urgent]
    assert late not in region.allocator.tick(region.now)


def test_the_least_urgent_work_is_not_kept_waiting_for_ever():
    """Guards against starvation under a steady flood of urgent work."""
    region = regions.Region(upstreams=1, slots=1)
    running = region.submit()
    patient = region.create_need(priority=2, deadline=60.0)
    region.allocator.submit(patient, 0.0)
    served_after = None
    for step in range(1, 100):
        region.now = step * 0.1
        region.submit(priority=0, deadline=region.now + 60)
        region.allocator.submit(patient, region.now)
        region.settle(*running)
        (request,) = region.allocator.tick(region.now)
        running = (request, region.allocator.take_decision(request))
        if request == patient.request:
            served_after = region.now
            break
    assert served_after is not None
    assert served_after <= 2 * allocators.PRIORITY_SECONDS + 0.5


class _Callers:
    """Requests that wait and run for half a second, step by step."""

    def __init__(self, region):
        """Start without requests."""
        self.region = region
        self.granted = []
        self._running = collections.deque()
        self._waiting = {}

    def submit(self, need):
        """Submit a request."""
        self._take(need, self.region.allocator.submit(need, self.region.now))

    def step(self, now):
        """End requests, ask again, and take what was decided."""
        region = self.region
        region.now = now
        while self._running and self._running[0][0] <= now:
            _, request, answer = self._running.popleft()
            region.settle(request, answer)
        for need in self._waiting.values():
            region.allocator.submit(need, now)
        for request in region.allocator.tick(now):
            answer = region.allocator.take_decision(request)
            self._take(self._waiting.pop(request), answer)

    def _take(self, need, answer):
        if answer.decision is _WAITING:
            self._waiting[need.request] = need
        elif answer.decision is _GRANTED:
            end = self.region.now + 0.5
            self._running.append((end, need.request, answer))
            self.granted.append(need.request)


def test_routes_with_a_short_timeout_are_served_while_a_service_is_full():
    """Guards against routes whose every request is refused behind others.

    Load pattern: lookups with five seconds fill a service and wait; requests
    of a route with a timeout of one second come at times.
    """
    region = regions.Region(upstreams=2, slots=3)
    for number in range(2):
        region.selector.shared.add_successes(f'u{number}', 30, 15.0, 0.0)
    callers = _Callers(region)
    hasty = set()
    for step in range(300):
        callers.step(step * 0.05)
        seconds = 1.1 if step % 10 == 0 else 5.0
        need = region.create_need(deadline=region.now + seconds)
        callers.submit(need)
        if step % 10 == 0:
            hasty.add(need.request)
    assert len(hasty.intersection(callers.granted)) >= 0.25 * len(hasty)


@pytest.mark.parametrize(('waited', 'crosses'), [(0.2, False), (0.3, True)])
def test_uploads_wait_beside_their_caller_for_a_quarter_of_the_objective(
    waited,
    crosses,
):
    """Guards against large bodies that cross for a moment of waiting.

    Load pattern: the upstreams of a failure domain are full for a while, and
    those of another one are free.
    """
    region = regions.Region(upstreams=1, slots=1)
    region.selector.registry.merge(regions.create_record('away', 'south'), 0)
    for upstream in ('u0', 'away'):
        region.selector.shared.add_successes(upstream, 30, 15.0, 0.0)
    region.submit(size=60_000)
    need = region.create_need(size=60_000)
    region.allocator.submit(need, 0.0)
    decided = region.allocator.tick(waited * need.objective)
    assert decided == ([need.request] if crosses else [])


def test_an_upload_without_an_upstream_beside_it_crosses_at_once():
    """Guards against waiting for a slot that does not exist."""
    region = regions.Region(upstreams=1, domain='south')
    assert region.submit(size=60_000)[1].decision is _GRANTED


def test_what_cannot_be_served_in_time_is_refused_at_once():
    """Guards against holding a request that has no chance.

    Load pattern: far more work than slots, with short deadlines.
    """
    region = regions.Region(upstreams=1, slots=1)
    region.selector.shared.add_successes('u0', 10, 5.0, 0.0)
    answers = [region.submit(deadline=1.6)[1] for _ in range(6)]
    decisions = [answer.decision for answer in answers]
    assert decisions[:3] == [_GRANTED, _WAITING, _WAITING]
    assert set(decisions[3:]) == {messages.Decision.NO_ROOM}
    assert answers[-1].retry_after >= allocators.LEAST_RETRY_AFTER


def test_a_request_that_waited_too_long_is_refused_before_its_deadline():
    """Guards against an answer that comes only when time is over."""
    region = regions.Region(upstreams=1, slots=1)
    region.selector.shared.add_successes('u0', 10, 5.0, 0.0)
    region.submit(deadline=60.0)
    need = region.create_need(deadline=2.0)
    assert region.allocator.submit(need, 0.0).decision is _WAITING
    region.now = 1.0
    region.allocator.submit(need, 1.0)
    assert not region.allocator.tick(1.0)
    region.now = 1.6
    region.allocator.submit(need, 1.6)
    assert region.allocator.tick(1.6) == [need.request]
    decided = region.allocator.take_decision(need.request)
    assert decided.decision is messages.Decision.NO_ROOM
