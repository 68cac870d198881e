"""Tests of the allocator of a region under typical load patterns."""

import collections

import pytest

from wagtailspread.placement import allocators
from wagtailspread.placement import messages, open_requests
from wagtailspread.placement.tests import regions

_GRANTED = messages.Decision.GRANTED
_WAITING = messages.Decision.WAITING


def test_a_burst_of_all_hosts_never_exceeds_the_slots_of_an_upstream():
    """Guards against a herd of hosts that overloads the best upstream.

    Load pattern: 44 hosts send at the same moment, and one upstream has just
    become the cheapest. Hosts that decided alone sent it 20 requests at once.
    """
    region = regions.Region(upstreams=9, slots=6)
    region.selector.risk_table.add_successes('u3', 20, 10.0, 0.0)
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
    """Guards against requests lost before the evidence reaches all hosts.

    Load pattern: a steady flow of orders that cannot be retried, and an
    upstream that suddenly fails all of them.
    """
    region = regions.Region(upstreams=6, slots=6)
    for number in range(6):
        region.selector.risk_table.add_successes(f'u{number}', 30, 15.0, 0.0)
    open_requests = collections.deque()
    lost = 0
    for step in range(600):
        region.now = step * 0.05
        request_id, answer = region.submit()
        if answer.record.upstream == 'u0' and region.now > 5:
            lost += 1
            region.settle(request_id, answer, messages.Evidence.BAD)
        else:
            open_requests.append((request_id, answer))
        if len(open_requests) > 10:
            region.settle(*open_requests.popleft())
    assert lost <= 3


def test_a_hanging_upstream_is_detected_before_the_deadline():
    """Guards against filling all slots of an upstream that never answers."""
    region = regions.Region(upstreams=2, slots=6)
    for number in range(2):
        region.selector.risk_table.add_successes(f'u{number}', 30, 15.0, 0.0)
    _, answer = region.submit(deadline=30.0)
    region.now = 2.5
    region.allocator.tick(region.now)
    hanging = answer.record.upstream
    for _ in range(5):
        _, answer = region.submit()
        assert answer.record.upstream != hanging


def test_lost_answers_are_detected_before_the_deadline():
    """Guards against sending orders to an upstream whose answers are lost.

    Load pattern: an upstream runs orders of half a second and their answers
    are lost, so the missing answers are the only evidence.
    """
    region = regions.Region(upstreams=2, slots=6)
    for number in range(2):
        region.selector.risk_table.add_successes(f'u{number}', 30, 15.0, 0.0)
    request_id, answer = region.submit()
    region.now = 1.3
    region.allocator.tick(region.now)
    silent = answer.record.upstream
    assert region.submit()[1].record.upstream != silent
    risk = region.selector.risk_table.find_risk(silent, region.now)
    region.settle(request_id, answer)
    assert region.selector.risk_table.find_risk(silent, region.now) < risk / 2


def test_requests_take_no_risk_while_the_retry_budget_is_low():
    """Guards against a first failure that is final for lack of a retry.

    Load pattern: most upstreams turn gray, and look-ups that tried them first
    exhausted the retry budget.
    """
    region = regions.Region(upstreams=2, slots=6, ratio=0.2)
    region.selector.risk_table.add_successes('u0', 30, 30.0, 0.0)
    region.selector.risk_table.add_failures('u1', 0.0)
    for _ in range(3):
        region.settle(*region.submit())
    request = region.create_request(is_repeatable=True)
    (suspect,) = (
        candidate
        for candidate in region.allocator._rate_upstreams(request, 0.0)
        if candidate.row.record.upstream == 'u1'
    )
    assert suspect.cost > region.selector.risk_table.find_risk('u1', 0.0) * 0.9


def test_an_upstream_that_turns_slow_gets_few_requests_before_detection():
    """Guards against filling the slots of a slow upstream.

    Load pattern: a steady flow, and an upstream that suddenly takes five times
    as long; none of its answers has arrived yet.
    """
    region = regions.Region(upstreams=4, slots=6)
    for number in range(4):
        region.selector.risk_table.add_successes(f'u{number}', 30, 15.0, 0.0)
    open_requests = collections.deque()
    slow_count = 0
    for step in range(60):
        region.now = step * 0.05
        while open_requests and open_requests[0][0] <= region.now:
            _, request_id, answer = open_requests.popleft()
            region.settle(request_id, answer)
        region.allocator.tick(region.now)
        request_id, answer = region.submit(deadline=region.now + 30)
        if answer.record.upstream == 'u0':
            slow_count += 1
        else:
            open_requests.append((region.now + 0.5, request_id, answer))
    assert slow_count <= 5


def test_a_new_upstream_gets_requests():
    """Guards against new upstreams that stay idle beside established ones.

    Load pattern: a steady flow well below the capacity of the known upstreams.
    """
    region = regions.Region(upstreams=10, slots=6)
    for number in range(10):
        region.selector.risk_table.add_successes(f'u{number}', 30, 15.0, 0.0)
    region.selector.registry.merge(
        regions.create_record('joined', slots=6), 0.0
    )
    used = set()
    for step in range(80):
        region.now = step * 0.05
        request_id, answer = region.submit()
        used.add(answer.record.upstream)
        region.settle(request_id, answer)
    assert 'joined' in used


def test_slots_of_a_restarted_host_are_freed():
    """Guards against slots leaked when hosts are killed and restarted."""
    region = regions.Region(upstreams=1, slots=2)
    region.submit(host='h1')
    region.submit(host='h1')
    assert region.submit(host='h2')[1].decision is _WAITING
    region.allocator.drop_host('h1', region.now)
    assert len(region.allocator.tick(region.now)) == 1


def test_a_restarted_host_leaves_no_evidence_against_its_upstreams():
    """Guards against sound upstreams that stay unused after hosts fail.

    Load pattern: a host is killed with requests open at sound upstreams. They
    become overdue before it starts again.
    """
    region = regions.Region(upstreams=4)
    table = region.selector.risk_table
    for number in range(4):
        table.add_successes(f'u{number}', 30, 15.0, 0.0)
    before = table.find_risk('u0', 0.0)
    granted = region.submit(host='killed')[1].record.upstream
    region.now = 2.0
    region.allocator.tick(region.now)
    region.allocator.record_contact('killed', region.now)
    assert table.find_risk(granted, region.now) > 5 * before
    region.now = 2.5
    region.allocator.drop_host('killed', region.now)
    others = {'u0', 'u1', 'u2', 'u3'} - {granted}
    highest = max(table.find_risk(other, region.now) for other in others)
    assert table.find_risk(granted, region.now) <= 1.5 * highest


def test_requests_of_a_silent_host_are_no_evidence_and_hold_no_slot():
    """Guards against sound upstreams that look gray and full.

    Load pattern: hosts are lost with requests open and do not come back.
    """
    region = regions.Region(upstreams=2, slots=2)
    table = region.selector.risk_table
    for number in range(2):
        table.add_successes(f'u{number}', 30, 15.0, 0.0)
    for _ in range(4):
        region.submit(host='lost', deadline=15.0)
    assert region.submit(deadline=15.0)[1].decision is _WAITING
    region.now = 1.5
    region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED
    assert max(table.find_risk(f'u{n}', region.now) for n in range(2)) < 0.1


def test_requests_during_a_stall_of_the_allocator_are_no_evidence():
    """Guards against sound upstreams that look gray after an allocator froze.

    Load pattern: when it wakes, hosts ask for upstreams on connections that
    came first, and the ends of earlier requests come later.
    """
    region = regions.Region(upstreams=1, slots=2)
    table = region.selector.risk_table
    table.add_successes('u0', 30, 15.0, 0.0)
    region.allocator.tick(0.0)
    region.submit(deadline=15.0)
    region.now = 4.0
    region.allocator.record_contact('h1', region.now)
    region.allocator.tick(region.now)
    region.allocator.record_contact('h1', region.now + 0.1)
    assert table.find_risk('u0', region.now) < 0.1
    assert not region.selector._open


def test_a_request_without_an_end_counts_once_its_host_is_heard_from():
    """Guards against hanging upstreams that look sound for good."""
    region = regions.Region(upstreams=1, slots=2)
    table = region.selector.risk_table
    table.add_successes('u0', 30, 15.0, 0.0)
    first = region.submit(deadline=15.0)
    region.now = 3.0
    region.allocator.tick(region.now)
    assert table.find_risk('u0', region.now) < 0.1
    region.allocator.record_contact('h1', region.now)
    assert table.find_risk('u0', region.now) > 0.1
    assert region.selector.rate(region.create_request(), 3.0)[0].overdue == 1
    region.settle(*first)
    assert region.selector.rate(region.create_request(), 3.0)[0].overdue == 0
    assert not region.selector._open


def test_state_of_lost_hosts_is_dropped():
    """Guards against memory that grows with each host that is replaced."""
    region = regions.Region(upstreams=1, slots=4)
    for number in range(3):
        region.submit(host=f'lost{number}')
    region.now = 2.0
    region.allocator.tick(region.now)
    open_requests_table = region.allocator._open
    region.allocator.prune(region.now)
    assert len(open_requests_table._unconfirmed) == 3
    region.now = 90.0
    region.allocator.tick(region.now)
    region.allocator.prune(region.now)
    assert not open_requests_table._unconfirmed
    assert not open_requests_table._contacts


def test_a_suspect_upstream_is_tried_again_beside_a_request_without_an_end():
    """Guards against upstreams that are idle until a lost request's deadline.

    Load pattern: an upstream fails for a moment and loses one answer, and
    serves well from then on.
    """
    region = regions.Region(upstreams=4, slots=6)
    for number in range(4):
        region.selector.risk_table.add_successes(f'u{number}', 30, 15.0, 0.0)
    lost = region.submit(deadline=16.0)[1].record.upstream
    used = []
    for step in range(1, 180):
        region.now = step * 0.05
        if step == 25:
            region.selector.risk_table.add_failures(lost, region.now, count=2)
        region.allocator.tick(region.now)
        request_id, answer = region.submit()
        if answer.record.upstream == lost and step > 25:
            used.append(region.now)
        region.settle(request_id, answer)
    assert used[0] < 7.5


def test_slots_of_a_failed_host_are_freed_after_the_deadline():
    """Guards against slots leaked when hosts fail permanently."""
    region = regions.Region(upstreams=1, slots=1)
    region.submit(deadline=5.0)
    region.now = 5.0 + open_requests.SETTLE_GRACE_SECONDS + 0.1
    region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED


def test_a_gray_upstream_is_not_used_while_a_sound_one_is_nearly_free():
    """Guards against sending an order to a gray upstream that is free."""
    region = regions.Region(upstreams=2, slots=1)
    region.selector.risk_table.add_successes('u0', 30, 15.0, 0.0)
    for _ in range(3):
        region.selector.risk_table.add_failures('u1', 0.0)
    assert region.submit()[1].record.upstream == 'u0'
    request = region.create_request()
    assert region.allocator.submit(request, 0.0).decision is _WAITING
    region.now = 0.6
    region.allocator.submit(request, region.now)
    region.allocator.tick(region.now)
    decided = region.allocator.pop_decision(request.request_id)
    assert decided.record.upstream == 'u1'


@pytest.mark.parametrize(
    ('size', 'expected'),
    [(300, 'u-south'), (60_000, 'u-north')],
)
def test_small_requests_cross_domains_for_less_than_uploads(size, expected):
    """Guards against uploads that cross failure domains for a small risk."""
    region = regions.Region(upstreams=0)
    region.selector.registry.merge(
        regions.create_record('u-north', 'north'), 0.0
    )
    region.selector.registry.merge(
        regions.create_record('u-south', 'south'), 0.0
    )
    region.selector.risk_table.add_successes('u-south', 30, 15.0, 0.0)
    region.selector.risk_table.add_successes('u-north', 2, 1.0, 0.0)
    region.selector.risk_table.add_failures('u-north', 0.0)
    region.selector.risk_table.add_successes('u-north', 2, 1.0, 0.0)
    risk = region.selector.risk_table.find_risk('u-north', 0.0)
    assert 0.05 < risk < 0.13
    counted = collections.Counter()
    for _ in range(20):
        request_id, answer = region.submit(size=size)
        counted[answer.record.upstream] += 1
        region.allocator.settle(
            request_id,
            answer.record.upstream,
            messages.Evidence.NONE,
            0.0,
            0.0,
        )
    assert counted.most_common(1)[0][0] == expected


def test_retries_stay_within_the_budget():
    """Guards against retries that amplify an overload."""
    region = regions.Region(upstreams=30, slots=6, ratio=0.2)
    for _ in range(20):
        region.submit()
    decisions = [region.submit(is_repeat=True)[1].decision for _ in range(20)]
    assert decisions.count(_GRANTED) == 3
    assert decisions[-1] is messages.Decision.NO_BUDGET


def test_queued_retries_stay_within_the_budget_when_they_are_sent():
    """Guards against two windows of retries that arrive within one.

    Load pattern: a service is full, so retries wait. Upstreams start just as
    the window of the waiting retries ends.
    """
    region = regions.Region(upstreams=1, slots=1, ratio=0.2)
    region.submit(deadline=60.0)
    for _ in range(99):
        region.allocator.budget.add_request('columns', 0.0)
    for _ in range(30):
        region.submit(is_repeat=True, deadline=60.0)
    region.now = 0.5
    while region.now < 9.9:
        # The hosts poll, and callers send further requests.
        for waiting in list(region.allocator._waiting.values()):
            region.allocator.submit(waiting.request, region.now)
        region.now += 0.5
        region.allocator.tick(region.now)
    for _ in range(100):
        region.allocator.budget.add_request('columns', region.now)
    region.selector.registry.merge(
        regions.create_record('new', 'north', 100), region.now
    )
    sent = len(region.allocator.tick(region.now))
    region.now += 1.0
    for _ in range(30):
        _, answer = region.submit(is_repeat=True, deadline=60.0)
        sent += answer.decision is _GRANTED
    assert sent <= 0.2 * 100


def test_a_service_without_upstreams_is_refused():
    """Guards against waiting for an upstream that does not exist."""
    region = regions.Region(upstreams=1)
    _, answer = region.submit(service='unknown')
    assert answer.decision is messages.Decision.NO_UPSTREAM


def test_a_withdrawn_request_holds_no_slot():
    """Guards against slots leaked when callers disconnect."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit()
    request_id, _ = region.submit()
    region.allocator.settle(request_id, '', messages.Evidence.NONE, 0.0, 0.0)
    region.settle(*first)
    assert not region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED


def test_a_withdrawn_request_leaves_no_evidence():
    """Guards against sound upstreams that look gray after an allocator froze.

    Load pattern: it grants what came meanwhile, and the hosts, which have
    turned away, withdraw their requests when it answers again.
    """
    region = regions.Region(upstreams=1, slots=1)
    table = region.selector.risk_table
    table.add_successes('u0', 30, 15.0, 0.0)
    request_id, _ = region.submit()
    region.now = 2.0
    region.allocator.tick(region.now)
    region.allocator.record_contact('h1', region.now)
    assert table.find_risk('u0', region.now) > 0.1
    region.allocator.settle(
        request_id, '', messages.Evidence.NONE, 0.0, region.now
    )
    assert table.find_risk('u0', region.now) < 0.1
    assert region.submit()[1].decision is _GRANTED


def test_a_caller_that_leaves_does_not_excuse_a_hanging_upstream():
    """Guards against evidence that is lost when callers disconnect."""
    region = regions.Region(upstreams=1, slots=1)
    table = region.selector.risk_table
    table.add_successes('u0', 30, 15.0, 0.0)
    sent = region.submit()
    region.now = 2.0
    region.allocator.tick(region.now)
    region.allocator.record_contact('h1', region.now)
    region.settle(*sent, messages.Evidence.NONE)
    assert table.find_risk('u0', region.now) > 0.1


def test_a_request_that_comes_after_its_withdrawal_holds_no_slot():
    """Guards against slots leaked when messages overtake each other."""
    region = regions.Region(upstreams=1, slots=1)
    late = region.create_request()
    region.allocator.settle(
        late.request_id, '', messages.Evidence.NONE, 0.0, 0.0
    )
    answer = region.allocator.submit(late, 0.1)
    assert answer.decision is messages.Decision.NO_ROOM
    assert region.submit()[1].decision is _GRANTED
    region.allocator.tick(60.0)
    assert not region.allocator._withdrawn


def test_a_decision_that_no_host_polls_frees_its_slot():
    """Guards against slots and memory leaked by disconnected hosts."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit()
    region.submit(deadline=60.0)
    region.settle(*first)
    assert len(region.allocator.tick(0.0)) == 1
    region.now = allocators.ABANDON_SECONDS + 0.1
    region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED
