"""Tests of an allocator whose upstreams, hosts or previous owner fail."""

import dataclasses

import pytest

from wagtailspread.allocation import coordination
from wagtailspread.allocation.tests import builders
from wagtailspread.core import outcomes

RESULT = outcomes.ExchangeResult
REASON = outcomes.RefusalReason
STATE = coordination.UpstreamState
FAILED_RESULTS = (RESULT.ERROR, RESULT.TIMEOUT, RESULT.RESET, RESULT.CANCELLED)


class RecordingJudge(coordination.AcceptingJudge):
    """Records evidence and votes."""

    def __init__(self, ejected=(), trials=()):
        self.evidence = []
        self.votes = []
        self.ejected = set(ejected)
        self.trials = list(trials)

    def record(self, upstream, host, domain, result, seconds, now):
        self.evidence.append((upstream, result))

    def record_vote(self, host, now):
        self.votes.append(host)

    def is_usable(self, upstream, domain, now):
        return upstream not in self.ejected

    def claim_trial(self, upstream, now):
        if upstream not in self.trials:
            return False
        self.trials.remove(upstream)
        return True


def submit_and_get_grant(coordinator, now, **fields):
    """Return the grant of a new request."""
    fields.setdefault('deadline', now + 1)
    decisions = builders.submit_all(coordinator, 1, now, **fields)
    return builders.list_grants(decisions)[0]


@pytest.mark.parametrize(
    ('state', 'age', 'expected'),
    [
        (STATE.READY, 0.0, 6),
        (STATE.COLD, 0.0, 1),
        (STATE.DRAINING, 0.0, 0),
        (STATE.READY, 2.6, 0),
        (STATE.READY, -9.0, 6),
    ],
)
def test_first_announcement_determines_the_slots(state, age, expected):
    """Guards against excess grants for cold, draining or silent upstreams."""
    coordinator = builders.make_coordinator()
    announcement = builders.make_announcement(0, state=state, age=age)
    coordinator.announce(announcement, 0.0)
    decisions = builders.submit_all(coordinator, 9)
    assert len(builders.list_grants(decisions)) == expected


@pytest.mark.parametrize(
    ('elapsed', 'expected'),
    [(0.0, 1), (0.4, 1), (3.9, 2), (4.1, 3), (9.9, 5), (10.1, 6)],
)
def test_restarted_upstream_warms_up(elapsed, expected):
    """Guards against a cold upstream that reports READY too early."""
    coordinator = builders.make_coordinator(warm_up=10.0)
    builders.announce_all(coordinator, 1)
    restarted_at = 5.0
    builders.announce_all(coordinator, 1, restarted_at, incarnation=1)
    now = restarted_at + elapsed
    builders.announce_all(coordinator, 1, now, incarnation=1)
    coordinator.tick(now)
    assert coordinator.table.rows['u0'].usable == expected


@pytest.mark.parametrize(
    ('incarnation', 'state', 'expected'),
    [(1, STATE.DRAINING, True), (2, STATE.DRAINING, False)],
)
def test_message_of_an_earlier_incarnation_is_ignored(
    incarnation,
    state,
    expected,
):
    """Guards against a late drain that stops a restarted upstream."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1, incarnation=2)
    late = builders.make_announcement(0, state=state, incarnation=incarnation)
    coordinator.announce(late, 0.1)
    granted = builders.list_grants(builders.submit_all(coordinator, 1, 0.2))
    assert bool(granted) is expected


def test_lost_announcements_do_not_make_an_upstream_cold():
    """Guards against a loss of capacity after a short partition."""
    coordinator = builders.make_coordinator(warm_up=100.0)
    builders.announce_all(coordinator, 2, incarnation=3)
    coordinator.tick(4.0)
    assert not coordinator.table.rows
    builders.announce_all(coordinator, 1, 5.0, incarnation=3)
    assert coordinator.table.rows['u0'].usable == 6


def test_cancelled_drain_restores_the_slots():
    """Guards against an upstream that stays idle after a cancelled drain."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1, state=STATE.DRAINING)
    for second in range(1, 5):
        builders.announce_all(coordinator, 1, float(second))
        coordinator.tick(float(second))
    assert submit_and_get_grant(coordinator, 4.0).upstream == 'u0'


@pytest.mark.parametrize(
    ('sheds', 'successes', 'expected'),
    [(1, 0, 3), (6, 0, 3), (1, 2, 5), (1, 9, 6)],
)
def test_shed_replies_halve_the_slots_once(sheds, successes, expected):
    """Guards against a collapse when all open requests are shed."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    decisions = builders.submit_all(coordinator, 6)
    grants = builders.list_grants(decisions)
    builders.complete_all(coordinator, grants[:sheds], 0.1, RESULT.SHED)
    builders.complete_all(coordinator, grants[sheds:], 0.1, RESULT.CANCELLED)
    for _ in range(successes):
        grant = submit_and_get_grant(coordinator, 0.2)
        builders.complete_all(coordinator, [grant], 0.3)
    assert coordinator.table.rows['u0'].usable == expected


def test_upstream_that_sheds_its_only_request_is_paused():
    """Guards against a loop of grants and shed replies."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1, slots=1)
    grant = submit_and_get_grant(coordinator, 0.0)
    builders.complete_all(coordinator, [grant], 0.01, RESULT.SHED)
    assert not builders.submit_all(coordinator, 1, 0.02, deadline=2.0)
    assert builders.list_grants(coordinator.tick(0.4))


@pytest.mark.parametrize(
    ('seconds', 'is_slow_used'), [(0.5, False), (9.0, True)]
)
def test_slow_upstream_gets_no_request_that_would_miss_its_deadline(
    seconds,
    is_slow_used,
):
    """Guards against missed deadlines at a slow upstream."""
    coordinator = builders.make_coordinator()
    for second in range(60):
        now = float(second)
        builders.announce_all(coordinator, 4, now, slots=1)
        decisions = builders.submit_all(coordinator, 4, now, deadline=now + 9)
        for grant in builders.list_grants(decisions):
            is_slow = grant.upstream == 'u0'
            end = now + 0.8 if is_slow else now + 0.05
            builders.complete_all(coordinator, [grant], end)
    used = set()
    for _ in range(20):
        grant = submit_and_get_grant(coordinator, 60.0, deadline=60.0 + seconds)
        cancelled = RESULT.CANCELLED
        builders.complete_all(coordinator, [grant], 60.0, cancelled)
        used.add(grant.upstream)
    assert ('u0' in used) is is_slow_used
    assert 'u1' in used


@pytest.mark.parametrize('result', FAILED_RESULTS)
def test_failed_exchange_releases_its_slot(result):
    """Guards against slots leaked by failures."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1, slots=1)
    grant = submit_and_get_grant(coordinator, 0.0, fingerprint=b'a')
    builders.complete_all(coordinator, [grant], 0.1, result)
    assert submit_and_get_grant(coordinator, 0.2).upstream == 'u0'


def make_adopted_lease(lease, **fields):
    """Return the report of an open lease on ``u0``."""
    fields.setdefault('expires', 1.0)
    return coordination.AdoptedLease(lease, 'h9', 'u0', **fields)


@pytest.mark.parametrize('announced_first', [True, False])
def test_adopted_leases_use_slots_of_a_new_owner(announced_first):
    """Guards against more leases than slots after the loss of an owner."""
    coordinator = builders.make_coordinator()
    if announced_first:
        builders.announce_all(coordinator, 1)
    for lease in (1, 2, 3, 4, 4):
        coordinator.adopt(make_adopted_lease(lease), 0.0)
    builders.announce_all(coordinator, 1)
    decisions = builders.submit_all(coordinator, 9)
    assert len(builders.list_grants(decisions)) == 2
    assert not builders.list_grants(coordinator.tick(1.1))
    assert coordinator.table.rows['u0'].in_use == 2


def test_adoption_after_the_completion_holds_no_slot():
    """Guards against slots that a late adoption holds until it expires."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    completion = coordination.Completion(77, RESULT.SUCCESS, 0.1)
    coordinator.complete(completion, 0.1)
    coordinator.adopt(make_adopted_lease(77), 0.2)
    assert coordinator.table.rows['u0'].in_use == 0


def test_new_owner_waits_for_adoptions():
    """Guards against slots granted twice before hosts report their leases."""
    coordinator = builders.make_coordinator()
    coordinator.await_adoptions(0.5)
    builders.announce_all(coordinator, 1)
    early = builders.submit_all(coordinator, 6)
    for lease in range(1, 5):
        coordinator.adopt(make_adopted_lease(lease), 0.4)
    assert not early
    assert not coordinator.tick(0.4)
    assert len(builders.list_grants(coordinator.tick(0.5))) == 2


def test_waiting_requests_are_refused_when_all_upstreams_drain():
    """Guards against requests that wait instead of using another region."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1, now=2.0, slots=1)
    coordinator.tick(2.0)
    waiting = builders.submit_all(coordinator, 3, 2.0, deadline=9.0)
    builders.announce_all(coordinator, 1, now=2.1, state=STATE.DRAINING)
    decisions = waiting + coordinator.tick(3.3)
    assert builders.list_reasons(decisions) == [
        REASON.NO_CAPACITY,
        REASON.NO_CAPACITY,
    ]


def test_request_without_a_path_is_refused_immediately():
    """Guards against requests that wait for a blocked path."""
    judge = RecordingJudge(ejected=['u0', 'u1'])
    coordinator = builders.make_coordinator(judge)
    builders.announce_all(coordinator, 2)
    coordinator.tick(0.0)
    refused = builders.submit_all(coordinator, 1)
    assert builders.list_reasons(refused) == [REASON.NO_CAPACITY]
    judge.trials = ['u1']
    assert submit_and_get_grant(coordinator, 0.2).is_trial


def test_every_message_of_a_host_counts_as_a_vote():
    """Guards against an allocator without votes although hosts use it."""
    judge = RecordingJudge()
    coordinator = builders.make_coordinator(judge)
    builders.announce_all(coordinator, 1)
    grant = submit_and_get_grant(coordinator, 0.0, host='h1')
    builders.complete_all(coordinator, [grant], 0.1)
    coordinator.adopt(make_adopted_lease(5), 0.2)
    assert judge.votes == ['h1', 'h1', 'h9']


def test_ejected_upstream_gets_trials_only():
    """Guards against missing trials and further grants after an ejection."""
    judge = RecordingJudge(ejected=['u0'], trials=['u0'])
    coordinator = builders.make_coordinator(judge)
    builders.announce_all(coordinator, 2, slots=2)
    coordinator.tick(0.0)
    decisions = builders.submit_all(coordinator, 6)
    grants = builders.list_grants(decisions)
    tried = [grant for grant in grants if grant.upstream == 'u0']
    assert [grant.is_trial for grant in tried] == [True]
    assert len(grants) == 3


def test_urgent_requests_are_not_used_for_trials():
    """Guards against trials at the expense of the most urgent requests."""
    judge = RecordingJudge(ejected=['u0'], trials=['u0'])
    coordinator = builders.make_coordinator(judge)
    builders.announce_all(coordinator, 2)
    coordinator.tick(0.0)
    for priority in (builders.BULK, builders.URGENT, builders.BULK):
        grant = submit_and_get_grant(coordinator, 0.2, priority=priority)
        judge.trials = ['u0']
        assert grant.is_trial is (priority is builders.BULK)


def test_ejection_takes_effect_on_the_next_grant():
    """Guards against grants that use an outdated verdict of the judge."""
    judge = RecordingJudge()
    coordinator = builders.make_coordinator(judge)
    builders.announce_all(coordinator, 2)
    submit_and_get_grant(coordinator, 0.0)
    judge.ejected.add('u0')
    decisions = builders.submit_all(coordinator, 9, 0.01)
    used = {grant.upstream for grant in builders.list_grants(decisions)}
    assert used == {'u1'}


def test_fallback_uses_its_own_share_without_retries():
    """Guards against a host that uses all slots without an owner."""
    owner = builders.make_coordinator()
    fallback = coordination.create_fallback_coordinator(
        dataclasses.replace(owner.policy, retry_share=0.5),
        hosts=3,
        random=owner._selector._random,
    )
    fallback.announce(builders.make_announcement(0, slots=6), 0.0)
    fallback.announce(builders.make_announcement(1, slots=2), 0.0)
    decisions = builders.submit_all(fallback, 9)
    used = [grant.upstream for grant in builders.list_grants(decisions)]
    assert sorted(used) == ['u0', 'u0', 'u1']
    retried = builders.submit_all(fallback, 1, 0.1, attempt=2)
    assert builders.list_reasons(retried) == [REASON.RETRY_BUDGET]


class HangingJudge(RecordingJudge):
    """Treats a request as overdue after half a second."""

    def get_overdue_seconds(self):
        return 0.5

    def record_overdue(self, upstream, host, domain, now):
        self.evidence.append((upstream, 'overdue', now))


def test_hanging_request_is_evidence_once_before_its_deadline():
    """Guards against hangs that are detected only by timeouts."""
    judge = HangingJudge()
    coordinator = builders.make_coordinator(judge)
    builders.announce_all(coordinator, 1)
    submit_and_get_grant(coordinator, 0.0, deadline=5.0)
    for step in range(1, 12):
        coordinator.tick(step / 10)
    assert [entry[1] for entry in judge.evidence] == ['overdue']
    assert 0.5 <= judge.evidence[0][2] <= 0.7
