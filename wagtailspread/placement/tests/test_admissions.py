"""Tests of what waits and what is refused when capacity is short."""

import collections
import heapq
import itertools

import pytest

from wagtailspread.placement import estimates, messages, returns, sheds
from wagtailspread.placement.tests import regions

_GRANTED = messages.Decision.GRANTED
_WAITING = messages.Decision.WAITING
_NO_ROOM = messages.Decision.NO_ROOM
_TICK_SECONDS = 0.05


class _Flow:
    """Requests of one group at a steady rate.

    :param rate: requests/s.
    :param work: seconds of each.
    :param fields: of its placement requests.
    """

    def __init__(self, rate, work=0.5, seconds=3.0, **fields):
        """Create a flow."""
        self.rate = rate
        self.work = work
        self.seconds = seconds
        self.fields = fields
        self.results = collections.Counter()
        self.held = []

    @property
    def share(self):
        """Return the share of its requests that were granted."""
        return self.results[_GRANTED] / self.results.total()


class _Service:
    """Callers of an allocator on manual time."""

    def __init__(self, flows, upstreams=2, slots=3):
        """Create upstreams that have answered some requests."""
        self.region = regions.Region(upstreams, slots)
        for number in range(upstreams):
            self.region.selector.risk_table.add_successes(
                f'u{number}', 30, 15.0, 0.0
            )
        self.flows = flows
        self._running = []
        self._waiting = {}
        self._numbers = itertools.count()

    def run(self, seconds):
        """Send the requests of all flows for some time."""
        due = [0.0 for _ in self.flows]
        for step in range(int(seconds / _TICK_SECONDS)):
            self._step(step * _TICK_SECONDS)
            for number, flow in enumerate(self.flows):
                while due[number] <= self.region.now:
                    due[number] += 1 / flow.rate
                    self._submit(flow)

    def _step(self, now):
        region = self.region
        region.now = now
        while self._running and self._running[0][0] <= now:
            _, _, request_id, answer, flow = heapq.heappop(self._running)
            region.allocator.settle(
                request_id,
                answer.record.upstream,
                messages.Evidence.GOOD,
                flow.work,
                now,
            )
        for request, _ in self._waiting.values():
            region.allocator.submit(request, now)
        for request_id in region.allocator.tick(now):
            request, flow = self._waiting.pop(request_id)
            answer = region.allocator.pop_decision(request_id)
            self._handle(request, flow, answer)

    def _submit(self, flow):
        request = self.region.create_request(
            deadline=self.region.now + flow.seconds, **flow.fields
        )
        answer = self.region.allocator.submit(request, self.region.now)
        self._handle(request, flow, answer)

    def _handle(self, request, flow, answer):
        if answer.decision is _WAITING:
            self._waiting[request.request_id] = (request, flow)
            return
        flow.results[answer.decision] += 1
        if answer.decision is _GRANTED:
            end = self.region.now + flow.work
            heapq.heappush(
                self._running,
                (end, next(self._numbers), request.request_id, answer, flow),
            )
        else:
            asked_at = request.deadline - flow.seconds
            flow.held.append(self.region.now - asked_at)


def _find_common_share(flows):
    granted = sum(flow.results[_GRANTED] for flow in flows)
    return granted / sum(flow.results.total() for flow in flows)


def test_a_large_workspace_does_not_starve_a_small_one():
    """Guards against a flood of one customer that refuses all others.

    Load pattern: one workspace sends five times the capacity, three others
    a sixth of it each.
    """
    small = [_Flow(2.0, workspace=f'small{number}') for number in range(3)]
    large = _Flow(60.0, workspace='large')
    _Service([large, *small]).run(10.0)
    assert min(flow.share for flow in small) >= 0.9
    assert large.share >= 0.25 * _find_common_share([large, *small])


@pytest.mark.parametrize(
    'fields',
    [
        [{'route_class': 1}, {'route_class': 2}],
        [{'domain': 'north'}, {'domain': 'south'}],
        [{'priority': 0}, {'priority': 1}],
        [{'priority': 0}, {'priority': 7}],
        [{'workspace': 'a'}, {'workspace': 'b'}],
    ],
)
@pytest.mark.parametrize('rates', [(40.0, 40.0), (60.0, 4.0), (10.0, 60.0)])
@pytest.mark.parametrize('works', [(0.5, 0.5), (0.2, 1.0)])
def test_no_group_is_starved(fields, rates, works):
    """Guards against a rank, kind, domain or workspace that gets nothing.

    Load pattern: two groups send far more than the capacity, also with five
    times the work for each request of one of them.
    """
    flows = [
        _Flow(rate, work, objective=1.5, **common)
        for rate, work, common in zip(rates, works, fields, strict=True)
    ]
    _Service(flows).run(20.0)
    common = _find_common_share(flows)
    assert min(flow.share for flow in flows) >= 0.25 * common


def test_a_higher_rank_is_served_first():
    """Guards against ranks that don't count when capacity is short."""
    flows = [_Flow(8.0, priority=0), _Flow(20.0, priority=1)]
    _Service(flows).run(20.0)
    assert flows[0].share >= 0.85
    assert flows[1].share <= 0.5


def test_most_refusals_come_at_once():
    """Guards against callers that are held until their deadline and refused.

    Load pattern: three times the capacity for some time.
    """
    flow = _Flow(36.0, seconds=4.0)
    _Service([flow]).run(20.0)
    at_once = sum(seconds < 0.25 for seconds in flow.held)
    assert at_once >= 0.5 * len(flow.held)
    assert max(flow.held) < 4.0


def test_responses_come_within_the_objective_while_capacity_is_short():
    """Guards against a queue in which every request becomes late.

    Load pattern: twice the capacity. A queue in the order of arrival grows
    until each request is served just before its deadline.
    """
    flow = _Flow(24.0, seconds=6.0, objective=1.5)
    service = _Service([flow])
    waits = []
    handle = service._handle

    def record(request, owner, answer):
        if answer.decision is _GRANTED and service.region.now > 5:
            waits.append(service.region.now + 6.0 - request.deadline)
        handle(request, owner, answer)

    service._handle = record
    service.run(20.0)
    in_time = sum(wait + flow.work <= 1.5 for wait in waits)
    assert in_time >= 0.7 * len(waits)


def _fill(region, **changes):
    """Fill one slot and refuse a request; return both."""
    running = region.submit(deadline=60.0)
    for _ in range(2):
        region.submit(deadline=region.now + 1.6)
    request = region.create_request(deadline=region.now + 1.6, **changes)
    return running, region.allocator.submit(request, region.now)


def _create_full_region():
    region = regions.Region(upstreams=1, slots=1)
    region.selector.risk_table.add_successes('u0', 10, 5.0, 0.0)
    return region


@pytest.mark.parametrize(('early', 'is_first'), [(0.0, True), (0.1, False)])
def test_a_caller_that_returns_in_time_goes_before_a_new_one(early, is_first):
    """Guards against callers that gain by returning before their time."""
    region = _create_full_region()
    running, refused = _fill(region, fingerprint=7)
    assert refused.decision is _NO_ROOM
    region.now = refused.retry_after - early
    # The others were abandoned meanwhile.
    region.allocator.drop_host('h1', region.now)
    running = region.submit(deadline=60.0)
    new, _ = region.submit(deadline=region.now + 3)
    back, _ = region.submit(deadline=region.now + 3, fingerprint=7)
    region.settle(*running)
    assert region.allocator.tick(region.now) == [back if is_first else new]


def test_a_shared_fingerprint_goes_first_once():
    """Guards against callers that ask the same and overtake all others."""
    table = returns.create_returns()
    for number in range(10):
        entry = returns.create_return(0.0, 0.0, 1.0 + number / 10)
        table.add(7, entry)
    claims = [table.claim(7, 2.0) for _ in range(10)]
    assert sum(claim is not None for claim in claims) == 1


def test_refused_callers_are_told_different_times():
    """Guards against callers that all return at one moment."""
    region = _create_full_region()
    region.submit(deadline=60.0)
    times = [
        answer.retry_after
        for _ in range(200)
        for _, answer in (region.submit(deadline=1.0),)
        if answer.decision is _NO_ROOM
    ]
    assert len(set(times)) > 0.9 * len(times)
    assert min(times) >= estimates.MIN_RETRY_AFTER_SECONDS
    assert max(times) <= estimates.MAX_RETRY_AFTER_SECONDS


def test_a_free_slot_is_used_while_the_first_request_waits_for_another():
    """Guards against idle slots behind a request that cannot use them.

    Load pattern: uploads wait for the slots of their failure domain, look-ups
    come behind them, and a slot of another domain is free.
    """
    region = regions.Region(upstreams=1, slots=2)
    region.selector.registry.merge(
        regions.create_record('away', 'south', 2), 0.0
    )
    for upstream in ('u0', 'away'):
        region.selector.risk_table.add_successes(upstream, 30, 15.0, 0.0)
    for _ in range(2):
        region.submit(size=60_000)
    region.submit(domain='south', size=60_000)
    assert region.submit(size=60_000)[1].decision is _WAITING
    lookup, answer = region.submit()
    if answer.decision is _WAITING:
        assert region.allocator.tick(region.now) == [lookup]
        answer = region.allocator.pop_decision(lookup)
    assert answer.record.upstream == 'away'


def test_refused_retries_leave_the_budget_to_others():
    """Guards against a retry budget spent on requests that are not sent."""
    region = regions.Region(upstreams=1, slots=1, ratio=0.2)
    region.selector.risk_table.add_successes('u0', 10, 5.0, 0.0)
    running = region.submit(deadline=60.0)
    for _ in range(99):
        region.allocator.budget.add_request('columns', 0.0)
    for _ in range(30):
        assert region.submit(is_repeat=True, deadline=0.6)[1].record is None
    region.settle(*running)
    assert region.submit(is_repeat=True)[1].decision is _GRANTED
    described = region.allocator.budget.describe(0.0)
    assert described['columns']['retries'] == 1


def test_upstreams_that_shed_beyond_a_number_get_no_more():
    """Guards against first attempts that are shed where waiting would do.

    Load pattern: each upstream accepts two requests of its four slots.
    """
    region = regions.Region(upstreams=2, slots=4)
    running = collections.deque()
    open_requests = collections.Counter()
    shed = []
    for step in range(200):
        region.now = step * _TICK_SECONDS
        while running and running[0][0] <= region.now:
            _, request_id, answer = running.popleft()
            open_requests[answer.record.upstream] -= 1
            region.settle(request_id, answer)
        region.allocator.tick(region.now)
        request_id, answer = region.submit()
        if answer.record is None:
            region.allocator.settle(
                request_id, '', messages.Evidence.NONE, 0.0, region.now
            )
        elif open_requests[answer.record.upstream] >= 2:
            shed.append(region.now)
            region.settle(request_id, answer, messages.Evidence.SHED)
        else:
            open_requests[answer.record.upstream] += 1
            running.append((region.now + 0.3, request_id, answer))
    assert len([at for at in shed if at > 3]) <= 0.1 * 140


def test_what_is_queued_and_refused_is_counted_by_service_and_rank():
    """Guards against refusals that no log line explains."""
    region = _create_full_region()
    _fill(region, priority=2)
    ((service, rank, events), second) = region.allocator.admission.tally.take()
    assert (service, rank, events['queued']) == ('columns', 0, 2)
    assert second[1] == 2
    assert second[2]['no-room'] == 1


def test_a_service_with_room_keeps_the_order_of_arrival():
    """Guards against a new order where nothing is short."""
    region = regions.Region(upstreams=2, slots=2)
    waiting = []
    for number in range(7):
        request_id, answer = region.submit(deadline=60.0)
        if number >= 4:
            assert answer.decision is _WAITING
            waiting.append(request_id)
        elif number == 0:
            running = (request_id, answer)
    for expected in waiting[:1]:
        region.settle(*running)
        assert region.allocator.tick(region.now) == [expected]


def test_lower_ranks_leave_a_part_of_the_retry_budget():
    """Guards against a retry budget that is gone when urgent work needs it."""
    region = regions.Region(upstreams=30, slots=6, ratio=0.2)
    for number in range(100):
        region.submit(priority=number % 2)
    low = [
        region.submit(is_repeat=True, priority=1)[1].decision for _ in range(20)
    ]
    high = [
        region.submit(is_repeat=True, priority=0)[1].decision for _ in range(20)
    ]
    assert low.count(_GRANTED) == 13
    assert high.count(_GRANTED) == 5


@pytest.mark.parametrize(('is_back', 'granted'), [(False, 7), (True, 18)])
def test_callers_that_came_again_find_a_part_of_the_retry_budget(
    is_back, granted
):
    """Guards against a budget that the first seconds of a fault use up."""
    region = regions.Region(upstreams=30, slots=6, ratio=0.2)
    for number in range(100):
        request_id, answer = region.submit()
        if number % 2:
            region.settle(request_id, answer, messages.Evidence.SHED)
        else:
            region.settle(request_id, answer)
    if is_back:
        known = returns.create_return(0.0, 0.0, 0.0)
        region.allocator.admission.returns.add(7, known)
        region.allocator.admission.returns.claim(7, region.now)
    decisions = [
        region.submit(is_repeat=True, fingerprint=7)[1].decision
        for _ in range(20)
    ]
    assert decisions.count(_GRANTED) == granted


def test_upstreams_that_begin_to_shed_by_chance_get_no_limit():
    """Guards against waiting where a send succeeds as often now as later.

    Load pattern: all is accepted at first; then a part is shed at each number
    of open requests, and by chance most at the highest ones.
    """
    limits = sheds.create_limits()
    for number in range(300):
        limits.record('columns', 1 + number % 5, False, number / 300)
    for number in range(60):
        level = 1 + number % 6
        is_shed = number % 3 == 0 or level == 6
        limits.record('columns', level, is_shed, 1.0 + number / 300)
    assert not limits.find('columns', 1.2)


def test_nothing_is_refused_while_slots_are_free_for_the_queue():
    """Guards against refusals in a calm region with an unusual first request.

    Load pattern: an upload waits for the slot of its failure domain, and
    look-ups come behind it; a new allocator knows no durations.
    """
    region = regions.Region(upstreams=1, slots=1)
    region.selector.registry.merge(
        regions.create_record('away', 'south', 40), 0.0
    )
    for upstream in ('u0', 'away'):
        region.selector.risk_table.add_successes(upstream, 30, 15.0, 0.0)
    region.submit(size=60_000)
    times = {'objective': 0.8, 'deadline': region.now + 1.6}
    assert region.submit(size=60_000, **times)[1].decision is _WAITING
    decisions = [region.submit(**times)[1].decision for _ in range(38)]
    assert _NO_ROOM not in decisions
