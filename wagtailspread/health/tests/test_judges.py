"""Fault cases of the judge on manual time."""

import random

from wagtailspread.core import outcomes
from wagtailspread.health import judges, reports, tables

RESULT = outcomes.ExchangeResult
UPSTREAMS = tuple(f'v{number}' for number in range(9))
HOSTS = tuple(f'h{number}' for number in range(44))
DOMAINS = ('andes-bog', 'andes-mde')


def create_judge(floor=0.6, host_count=44):
    policy = judges.HealthPolicy(floor=floor, host_count=host_count)
    return judges.create_judge(policy, random.Random(1))


def list_capacities(slots=6, missing=()):
    return [
        tables.Capacity(upstream, slots, upstream not in missing)
        for upstream in UPSTREAMS
    ]


def run(judge, choose, start=0.0, seconds=2.0, voters=HOSTS, missing=()):
    """Give each upstream 50 results a second and return the changes."""
    changes = []
    for step in range(int(seconds * 50)):
        now = start + step / 50
        for host in voters:
            judge.note_vote(host, now)
        for number, upstream in enumerate(UPSTREAMS):
            host = HOSTS[(step * 7 + number) % len(HOSTS)]
            domain = DOMAINS[(step + number) % 2]
            if judge.is_usable(upstream, domain, now):
                result = choose(upstream, domain, step)
                judge.record(upstream, host, domain, result, 0.05, now)
        changes += judge.tick(list_capacities(missing=missing), now)
    return changes


def fail(*upstreams):
    def choose(upstream, _domain, _step):
        return RESULT.ERROR if upstream in upstreams else RESULT.SUCCESS

    return choose


def test_upstream_that_fails_all_requests_is_ejected_alone():
    judge = create_judge()
    changes = run(judge, fail('v3'))
    assert [change.upstream for change in changes] == ['v3']
    assert changes[0].state is reports.HealthState.EJECTED
    assert not judge.is_usable('v3', 'andes-bog', 1.9)


def test_nobody_is_ejected_without_votes_of_a_majority():
    judge = create_judge()
    assert not run(judge, fail('v3'), voters=HOSTS[:22])


def test_ejections_stop_at_the_floor():
    judge = create_judge(floor=0.6)
    run(judge, fail('v1', 'v2', 'v3', 'v4', 'v5'), seconds=4)
    assert len(judge.find_ejected()) <= 3


def test_fault_seen_from_one_domain_blocks_the_path_only():
    def choose(upstream, domain, _step):
        is_cut = upstream == 'v3' and domain == 'andes-bog'
        return RESULT.CONNECT_FAILED if is_cut else RESULT.SUCCESS

    judge = create_judge()
    changes = run(judge, choose)
    assert {change.state for change in changes} <= {
        reports.HealthState.PATH_BLOCKED,
        reports.HealthState.PATH_OPEN,
    }
    assert changes
    assert changes[0].domain == 'andes-bog'


def test_ejected_upstream_comes_back_after_three_good_trials():
    judge = create_judge()
    run(judge, fail('v3'))
    changes = []
    for step in range(100):
        now = 2 + step / 20
        for host in HOSTS:
            judge.note_vote(host, now)
        if judge.claim_trial('v3', now):
            judge.record(
                'v3', 'h1', DOMAINS[0], RESULT.SUCCESS, 0.0, now + 0.01
            )
        changes += judge.tick(list_capacities(), now + 0.02)
    assert changes[0].reason.cause is reports.Cause.TRIALS
    assert judge.is_usable('v3', 'andes-bog', 7)


def test_ejection_reported_by_hosts_holds_at_the_new_owner():
    judge = create_judge()
    judge.adopt(['v5'], 0.0)
    changes = run(judge, fail(), seconds=0.5)
    assert changes[0].upstream == 'v5'
    assert not judge.is_usable('v5', 'andes-bog', 0.5)
