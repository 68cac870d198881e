"""Tests of the allocator of a region, with the loads that it is meant for."""

import collections
import random

import pytest

from wagtailspread.placement import allocators, budgets, messages, selection
from wagtailspread.registry import records, tables

_REGIONS = {'north': 'r1', 'south': 'r1', 'far': 'r2'}
_GRANTED = messages.Decision.GRANTED
_WAITING = messages.Decision.WAITING


class Region:
    """An allocator with upstreams, and the time."""

    def __init__(self, upstreams=4, slots=2, domain='north', ratio=10.0):
        """Start with upstreams that answer well."""
        rows = [create_record(f'u{n}', domain, slots) for n in range(upstreams)]
        self.selector = selection.create_selector(
            tables.create_table(rows),
            _REGIONS,
            random.Random(1),
        )
        self.allocator = allocators.create_allocator(
            self.selector,
            budgets.SharedRetryBudget(ratio, 0.0, 10.0, lambda: 1),
        )
        self.now = 0.0
        self.numbers = iter(range(1_000_000))

    def submit(self, **changes):
        """Submit a request; return its id and the answer."""
        need = self.create_need(**changes)
        return need.request, self.allocator.submit(need, self.now)

    def create_need(self, **changes):
        """Return a need with the given changes."""
        fields = {
            'request': f'q{next(self.numbers)}',
            'host': 'h1',
            'domain': 'north',
            'service': 'columns',
            'deadline': self.now + 5,
            'objective': 2.0,
            **changes,
        }
        return messages.Need(**fields)

    def settle(self, request, answer, evidence=messages.Evidence.GOOD):
        """End a request after half a second of work."""
        upstream = answer.record.upstream
        self.allocator.settle(request, upstream, evidence, 0.5, self.now)


def create_record(upstream, domain='north', slots=2, service='columns'):
    """Return an upstream that takes work."""
    return records.UpstreamRecord(
        upstream=upstream,
        service=service,
        address=f'10.0.0.1:{upstream}',
        domain=domain,
        slots=slots,
        state=records.UpstreamState.READY,
        born_ms=1,
        sequence=1,
    )


def test_a_burst_of_all_hosts_never_exceeds_the_slots_of_an_upstream():
    """Guards against hosts that all choose the upstream that looks best.

    Load pattern: 44 hosts send at the same moment, and one upstream has just
    become the cheapest. Hosts that chose alone sent it 20 requests at once.
    """
    region = Region(upstreams=9, slots=6)
    region.selector.shared.add_good('u3', 20, 10.0, 0.0)
    granted = collections.Counter()
    waiting = 0
    for number in range(60):
        _, answer = region.submit(host=f'h{number % 44}')
        if answer.decision is _GRANTED:
            granted[answer.record.upstream] += 1
        waiting += answer.decision is _WAITING
    assert max(granted.values()) <= 6
    assert sum(granted.values()) == 54
    assert waiting == 6


def test_a_gray_upstream_loses_one_request_and_not_its_queue():
    """Guards against requests that are lost while the evidence travels.

    Load pattern: a steady flow of orders that cannot be sent again, and an
    upstream that fails all of them from one moment on.
    """
    region = Region(upstreams=6, slots=6)
    for number in range(6):
        region.selector.shared.add_good(f'u{number}', 30, 15.0, 0.0)
    open_requests = collections.deque()
    lost = 0
    for step in range(600):
        region.now = step * 0.05
        request, answer = region.submit()
        if answer.record.upstream == 'u0' and region.now > 5:
            lost += 1
            region.settle(request, answer, messages.Evidence.BAD)
        else:
            open_requests.append((request, answer))
        if len(open_requests) > 10:
            region.settle(*open_requests.popleft())
    assert lost <= 3


def test_a_request_waits_for_a_slot_and_gets_the_next_one():
    """Guards against refusing work that an upstream can soon take."""
    region = Region(upstreams=1, slots=1)
    first = region.submit()
    request, answer = region.submit()
    assert answer.decision is _WAITING
    region.now = 0.4
    region.settle(*first)
    assert region.allocator.tick(region.now) == [request]
    assert region.allocator.take_decision(request).decision is _GRANTED


def test_urgent_work_goes_before_what_waits_longer():
    """Guards against a flood of uploads that delays lookups."""
    region = Region(upstreams=1, slots=1)
    first = region.submit()
    late, _ = region.submit(priority=2)
    urgent, _ = region.submit(priority=0)
    region.settle(*first)
    assert region.allocator.tick(region.now) == [urgent]
    assert late not in region.allocator.tick(region.now)


def test_the_least_urgent_work_is_not_kept_waiting_for_ever():
    """Guards against starvation under a steady flood of urgent work."""
    region = Region(upstreams=1, slots=1)
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


def test_what_cannot_be_served_in_time_is_refused_at_once():
    """Guards against holding a request that has no chance.

    Load pattern: far more work than slots, with short deadlines.
    """
    region = Region(upstreams=1, slots=1)
    region.selector.shared.add_good('u0', 10, 5.0, 0.0)
    answers = [region.submit(deadline=1.6)[1] for _ in range(6)]
    decisions = [answer.decision for answer in answers]
    assert decisions[:3] == [_GRANTED, _WAITING, _WAITING]
    assert set(decisions[3:]) == {messages.Decision.NO_ROOM}
    assert answers[-1].retry_after >= allocators.LEAST_RETRY_AFTER


def test_a_request_that_waited_too_long_is_refused_before_its_deadline():
    """Guards against an answer that comes only when time is over."""
    region = Region(upstreams=1, slots=1)
    region.selector.shared.add_good('u0', 10, 5.0, 0.0)
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


def test_a_hanging_upstream_is_noticed_before_its_deadline():
    """Guards against filling all slots of an upstream that never answers."""
    region = Region(upstreams=2, slots=6)
    for number in range(2):
        region.selector.shared.add_good(f'u{number}', 30, 15.0, 0.0)
    _, answer = region.submit(deadline=30.0)
    region.now = 2.5
    region.allocator.tick(region.now)
    hanging = answer.record.upstream
    for _ in range(5):
        _, answer = region.submit()
        assert answer.record.upstream != hanging


def test_lost_answers_are_noticed_before_a_request_is_late():
    """Guards against sending orders to an upstream that loses its answers.

    Load pattern: an upstream runs orders of half a second and their answers
    are lost, so that nothing but their silence shows it.
    """
    region = Region(upstreams=2, slots=6)
    for number in range(2):
        region.selector.shared.add_good(f'u{number}', 30, 15.0, 0.0)
    request, answer = region.submit()
    region.now = 1.3
    region.allocator.tick(region.now)
    silent = answer.record.upstream
    assert region.submit()[1].record.upstream != silent
    risk = region.selector.shared.find_risk(silent, region.now)
    region.settle(request, answer)
    assert region.selector.shared.find_risk(silent, region.now) < risk / 2


def test_requests_take_no_risk_while_repeated_sends_are_short():
    """Guards against a first failure that is final for lack of a repeat.

    Load pattern: most upstreams turn gray, and look-ups that tried them first
    used up the budget of repeated sends.
    """
    region = Region(upstreams=2, slots=6, ratio=0.2)
    region.selector.shared.add_good('u0', 30, 30.0, 0.0)
    region.selector.shared.add_bad('u1', 0.0)
    for _ in range(3):
        region.settle(*region.submit())
    need = region.create_need(is_repeatable=True)
    (doubtful,) = (
        one
        for one in region.allocator._rate(need, 0.0)
        if one.row.record.upstream == 'u1'
    )
    assert doubtful.cost > region.selector.shared.find_risk('u1', 0.0) * 0.9


def test_an_upstream_that_turns_slow_gets_few_requests_before_it_shows():
    """Guards against filling the slots of a slow upstream.

    Load pattern: a steady flow, and an upstream that suddenly takes five times
    as long; none of its answers has come yet.
    """
    region = Region(upstreams=4, slots=6)
    for number in range(4):
        region.selector.shared.add_good(f'u{number}', 30, 15.0, 0.0)
    open_requests = collections.deque()
    stuck = 0
    for step in range(60):
        region.now = step * 0.05
        while open_requests and open_requests[0][0] <= region.now:
            _, request, answer = open_requests.popleft()
            region.settle(request, answer)
        region.allocator.tick(region.now)
        request, answer = region.submit(deadline=region.now + 30)
        if answer.record.upstream == 'u0':
            stuck += 1
        else:
            open_requests.append((region.now + 0.5, request, answer))
    assert stuck <= 5


def test_most_upstreams_stay_in_use_while_many_requests_fail():
    """Guards against idle upstreams beside requests that are not served.

    Load pattern: upstreams are released one after the other and answers are
    lost, so that a quarter of the requests fails; the doubts leave most of the
    upstreams unused although some of them would serve.
    """
    region = Region(upstreams=11, slots=6)
    for number in range(11):
        for _ in range(3 if number > 3 else 0):
            region.selector.shared.add_bad(f'u{number}', 0.0)
    used = collections.deque()
    for step in range(200):
        region.now = step * 0.05
        request, answer = region.submit()
        used.append((region.now, answer.record.upstream))
        evidence = messages.Evidence.GOOD
        if step % 4 == 0:
            evidence = messages.Evidence.BAD
        region.settle(request, answer, evidence)
        while used[0][0] < region.now - 2.0:
            used.popleft()
        if region.now > 3:
            assert len({upstream for _, upstream in used}) >= 0.7 * 11


def test_most_upstreams_are_in_use_before_many_requests_fail():
    """Guards against a floor that is only kept once requests have failed.

    Load pattern: single ordinary errors have put most upstreams in doubt, the
    rest carries all work with ease, and then every host loses power at once.
    """
    region = Region(upstreams=10, slots=6)
    for number in range(10):
        region.selector.shared.add_good(f'u{number}', 30, 15.0, 0.0)
    for number in range(3, 10):
        region.selector.shared.add_bad(f'u{number}', 0.0)
    used = collections.deque()
    for step in range(200):
        region.now = step * 0.05
        request, answer = region.submit()
        used.append((region.now, answer.record.upstream))
        region.settle(request, answer)
        while used[0][0] < region.now - 2.0:
            used.popleft()
        if region.now > 5:
            assert len({upstream for _, upstream in used}) >= 0.7 * 10


def test_uploads_do_not_cross_for_the_floor():
    """Guards against large bodies between failure domains for a test.

    Load pattern: uploads of one failure domain, and upstreams of another one
    that were in doubt and get nothing.
    """
    region = Region(upstreams=2, slots=6)
    for away in ('away1', 'away2'):
        region.selector.registry.merge(create_record(away, 'south', 6), 0.0)
        region.selector.shared.add_good(away, 30, 15.0, 0.0)
        region.selector.shared.add_bad(away, 0.0)
    for number in range(2):
        region.selector.shared.add_good(f'u{number}', 30, 15.0, 0.0)
    for step in range(200):
        region.now = step * 0.05
        request, answer = region.submit(size=60_000)
        assert answer.record.domain == 'north'
        region.settle(request, answer)


def test_what_is_known_of_departed_upstreams_is_dropped():
    """Guards against memory that grows with each release of a service."""
    region = Region(upstreams=2)
    floor = region.allocator.floor
    request, answer = region.submit()
    region.settle(request, answer, messages.Evidence.BAD)
    floor.keep({})
    assert not floor._used
    assert not floor._failed


def test_a_region_without_failures_keeps_its_part_of_the_floor():
    """Guards against idle upstreams of a service that fails elsewhere."""
    region = Region(upstreams=10, slots=6)
    for number in range(2, 10):
        for _ in range(3):
            region.selector.shared.add_bad(f'u{number}', 0.0)
    region.allocator.floor.note_strained({'columns'})
    used = set()
    for step in range(30):
        region.now = step * 0.05
        request, answer = region.submit()
        used.add(answer.record.upstream)
        region.settle(request, answer)
    assert len(used) >= 7


def test_requests_for_the_floor_do_not_keep_a_service_strained():
    """Guards against a floor that causes the failures which it answers.

    Load pattern: half of the upstreams turns gray, and a few requests are lost
    at once. The floor then sent orders to gray ones every 1.4 s, these failed,
    and so the service stayed strained until the end of the day.
    """
    region = Region(upstreams=12, slots=6)
    gray = {'u0', 'u1', 'u2', 'u3', 'u4', 'u5'}
    lost = 0
    for step in range(400):
        region.now = step * 0.05
        request, answer = region.submit()
        evidence = messages.Evidence.GOOD
        if answer.record.upstream in gray:
            evidence = messages.Evidence.BAD
            lost += 1
        region.settle(request, answer, evidence)
    assert lost <= 3 * len(gray)


def test_a_failed_request_that_is_sent_again_does_not_strain_its_service():
    """Guards against orders to doubtful upstreams for what is served after all.

    Load pattern: look-ups try doubtful upstreams first and are repeated.
    """
    region = Region(upstreams=12, slots=6)
    for step in range(30):
        region.now = step * 0.05
        request, answer = region.submit(is_repeatable=True)
        region.settle(request, answer, messages.Evidence.BAD)
        request, answer = region.submit(is_repeat=True)
        region.settle(request, answer)
    assert not region.allocator.floor.list_strained(region.now)


def test_doubtful_upstreams_are_left_alone_while_requests_succeed():
    """Guards against losing requests for the sake of the floor alone."""
    region = Region(upstreams=11, slots=6)
    for number in range(4, 11):
        for _ in range(3):
            region.selector.shared.add_bad(f'u{number}', 0.0)
    for step in range(40):
        region.now = step * 0.05
        request, answer = region.submit()
        assert answer.record.upstream in {'u0', 'u1', 'u2', 'u3'}
        region.settle(request, answer)


def test_an_upstream_that_joins_gets_work():
    """Guards against new upstreams that stay idle beside known ones.

    Load pattern: a steady flow that the known upstreams carry with ease.
    """
    region = Region(upstreams=10, slots=6)
    for number in range(10):
        region.selector.shared.add_good(f'u{number}', 30, 15.0, 0.0)
    region.selector.registry.merge(create_record('joined', slots=6), 0.0)
    used = set()
    for step in range(80):
        region.now = step * 0.05
        request, answer = region.submit()
        used.add(answer.record.upstream)
        region.settle(request, answer)
    assert 'joined' in used


def test_slots_of_a_host_that_starts_anew_are_free_again():
    """Guards against slots that are lost when hosts are killed."""
    region = Region(upstreams=1, slots=2)
    region.submit(host='h1')
    region.submit(host='h1')
    assert region.submit(host='h2')[1].decision is _WAITING
    region.allocator.drop_host('h1')
    assert len(region.allocator.tick(region.now)) == 1


def test_slots_of_a_host_that_never_comes_back_are_free_after_the_deadline():
    """Guards against slots that are lost for good."""
    region = Region(upstreams=1, slots=1)
    region.submit(deadline=5.0)
    region.now = 5.0 + allocators.SETTLE_SECONDS + 0.1
    region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED


def test_a_doubtful_upstream_is_not_used_while_a_sound_one_is_nearly_free():
    """Guards against sending an order to the only free, gray upstream."""
    region = Region(upstreams=2, slots=1)
    region.selector.shared.add_good('u0', 30, 15.0, 0.0)
    for _ in range(3):
        region.selector.shared.add_bad('u1', 0.0)
    assert region.submit()[1].record.upstream == 'u0'
    need = region.create_need()
    assert region.allocator.submit(need, 0.0).decision is _WAITING
    region.now = 0.6
    region.allocator.submit(need, region.now)
    region.allocator.tick(region.now)
    decided = region.allocator.take_decision(need.request)
    assert decided.record.upstream == 'u1'


@pytest.mark.parametrize(
    ('size', 'expected'),
    [(300, 'u-south'), (60_000, 'u-north')],
)
def test_small_requests_cross_for_less_than_uploads(size, expected):
    """Guards against uploads between failure domains for a slight doubt."""
    region = Region(upstreams=0)
    region.selector.registry.merge(create_record('u-north', 'north'), 0.0)
    region.selector.registry.merge(create_record('u-south', 'south'), 0.0)
    region.selector.shared.add_good('u-south', 30, 15.0, 0.0)
    region.selector.shared.add_good('u-north', 2, 1.0, 0.0)
    region.selector.shared.add_bad('u-north', 0.0)
    region.selector.shared.add_good('u-north', 2, 1.0, 0.0)
    risk = region.selector.shared.find_risk('u-north', 0.0)
    assert 0.05 < risk < 0.13
    counted = collections.Counter()
    for _ in range(20):
        request, answer = region.submit(size=size)
        counted[answer.record.upstream] += 1
        region.allocator.settle(
            request,
            answer.record.upstream,
            messages.Evidence.NONE,
            0.0,
            0.0,
        )
    assert counted.most_common(1)[0][0] == expected


def test_repeated_sends_keep_to_the_budget():
    """Guards against repeats that feed an overload."""
    region = Region(upstreams=30, slots=6, ratio=0.2)
    for _ in range(20):
        region.submit()
    decisions = [region.submit(is_repeat=True)[1].decision for _ in range(20)]
    assert decisions.count(_GRANTED) == 3
    assert decisions[-1] is messages.Decision.NO_BUDGET


def test_a_service_without_upstreams_is_refused():
    """Guards against waiting for an upstream that does not exist."""
    region = Region(upstreams=1)
    _, answer = region.submit(service='unknown')
    assert answer.decision is messages.Decision.NO_UPSTREAM


def test_a_withdrawn_request_holds_no_slot():
    """Guards against slots that are lost when callers leave."""
    region = Region(upstreams=1, slots=1)
    first = region.submit()
    request, _ = region.submit()
    region.allocator.settle(request, '', messages.Evidence.NONE, 0.0, 0.0)
    region.settle(*first)
    assert not region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED


def test_a_decision_that_no_host_asks_for_frees_its_slot():
    """Guards against slots and memory lost to hosts that are cut off."""
    region = Region(upstreams=1, slots=1)
    first = region.submit()
    region.submit(deadline=60.0)
    region.settle(*first)
    assert len(region.allocator.tick(0.0)) == 1
    region.now = allocators.ABANDONED_SECONDS + 0.1
    region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED
