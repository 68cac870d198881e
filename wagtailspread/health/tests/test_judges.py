"""Fault cases of the judge on manual time."""

import random

import pytest

from wagtailspread.core import outcomes
from wagtailspread.health import reports
from wagtailspread.health.tests import services

RESULT = outcomes.ExchangeResult
STATE = reports.HealthState
CAUSE = reports.Cause
V3 = 'v3'
GENERATOR = random.Random(7)
FAILING_SHARE = 0.3


def list_upstreams(changes, state):
    return {change.upstream for change in changes if change.state is state}


def fail_some(upstream, _domain, _host, step):
    is_bad = upstream == V3 and step % 10 in {0, 3, 7}
    return (RESULT.ERROR if is_bad else RESULT.SUCCESS), 0.05


def slow_one(upstream, *_):
    return RESULT.SUCCESS, 0.25 if upstream == V3 else 0.05


def slow_mixed_work(upstream, _domain, _host, step):
    # A tenth of the work takes forty times longer than the rest.
    taken = 1.0 if step % 10 == 5 else 0.025
    return RESULT.SUCCESS, taken * (5 if upstream == V3 else 1)


EJECTING = {
    'errors': services.fail(V3),
    'truncates': services.fail(V3, result=RESULT.TRUNCATED),
    'resets': services.fail(V3, result=RESULT.RESET),
    'hangs': services.fail(V3, result=RESULT.TIMEOUT),
    'is unreachable': services.fail(V3, result=RESULT.CONNECT_FAILED),
    'fails three in ten': fail_some,
    'is five times slower': slow_one,
    'is slower with mixed work': slow_mixed_work,
}


def test_few_milliseconds_more_at_a_fast_service_eject_nobody():
    """Guards against ejections for cold connections or a far domain.

    In a fleet of processes an upstream that answered in 5 ms was ejected for
    six answers of 13 ms after its start.
    """

    def answer(upstream, *_):
        return RESULT.SUCCESS, 0.015 if upstream == V3 else 0.005

    assert not services.run(services.create_judge(), answer)


@pytest.mark.parametrize('case', EJECTING)
def test_upstream_is_ejected_alone_when_it(case):
    changes = services.run(services.create_judge(), EJECTING[case])
    assert list_upstreams(changes, STATE.EJECTED) == {V3}


def fail_all(*_):
    return RESULT.ERROR, 0.01


def fail_all_later(_upstream, _domain, _host, step):
    return (RESULT.ERROR if step > 50 else RESULT.SUCCESS), 0.01


def fail_all_in_part(_upstream, _domain, _host, step):
    is_bad = step > 500 and GENERATOR.random() < FAILING_SHARE
    return (RESULT.ERROR if is_bad else RESULT.SUCCESS), 0.05


def slow_all(_upstream, _domain, _host, step):
    usual = 0.25 if step > 500 else 0.05
    return RESULT.SUCCESS, usual * GENERATOR.lognormvariate(0, 0.7)


def fail_in_one_burst(upstream, _domain, _host, step):
    is_bad = upstream == V3 and step in range(60, 66)
    return (RESULT.RESET if is_bad else RESULT.SUCCESS), 0.05


def stall_once(upstream, _domain, _host, step):
    is_stalled = upstream == V3 and step in range(60, 75)
    return RESULT.SUCCESS, 0.4 if is_stalled else 0.05


SPARING = {
    'all are healthy': services.succeed,
    'all fail': fail_all,
    'all begin to fail': fail_all_later,
    'all begin to fail in part': fail_all_in_part,
    'all become slow': slow_all,
    'six requests fail in one burst': fail_in_one_burst,
    'it stalls once for a moment': stall_once,
    'it sheds': services.fail(V3, result=RESULT.SHED),
    'callers cancel': services.fail(V3, result=RESULT.CANCELLED),
    'old connections are silent': services.fail(V3, result=RESULT.SILENT),
}


@pytest.mark.parametrize('case', SPARING)
def test_nobody_is_ejected_or_blocked_when(case):
    judge = services.create_judge()
    assert not services.run(judge, SPARING[case], seconds=13)


def cut_path(upstream, domain, _host, _step):
    is_cut = upstream == V3 and domain == 'andes-bog'
    return (RESULT.CONNECT_FAILED if is_cut else RESULT.SUCCESS), 0.05


def test_fault_seen_from_one_domain_blocks_the_path_only():
    judge = services.create_judge()
    changes = services.run(judge, cut_path, seconds=8)
    assert not list_upstreams(changes, STATE.EJECTED)
    blocked = [one for one in changes if one.state is STATE.PATH_BLOCKED]
    assert {(one.upstream, one.domain) for one in blocked} == {
        (V3, 'andes-bog'),
    }
    assert not judge.is_usable(V3, 'andes-bog', 8)
    assert judge.is_usable(V3, 'andes-mde', 8)


def test_failures_of_one_busy_host_neither_block_nor_eject():
    judge = services.create_judge()
    changes = []
    for step in range(200):
        now = step / 50
        services.vote(judge, now)
        for upstream in services.UPSTREAMS:
            is_cut = upstream == V3 and step % 4 == 0
            host = 'h0' if step % 4 == 0 else services.HOSTS[1 + step % 40]
            result = RESULT.CONNECT_FAILED if is_cut else RESULT.SUCCESS
            domain = services.DOMAINS[step % 2]
            judge.record(upstream, host, domain, result, 0.05, now)
        changes += judge.tick(services.list_capacities(), now)
    assert not changes


def test_fault_that_has_ended_ejects_nobody_when_votes_arrive():
    judge = services.create_judge()
    services.run(judge, fail_some, seconds=5, voters=())
    services.run(judge, services.succeed, start=5, seconds=2, voters=())
    assert not services.run(judge, services.succeed, start=7)


@pytest.mark.parametrize('start', (3e7, 3e7 - 0.26))
def test_long_running_judge_tells_bursts_from_faults(start):
    """Guards against moments that lose precision over months."""
    judge = services.create_judge()
    services.run(judge, services.succeed)
    assert not services.run(judge, fail_in_one_burst, start=start, seconds=3)
    choose = services.fail(V3)
    changes = services.run(judge, choose, start=start + 3, seconds=1)
    assert list_upstreams(changes, STATE.EJECTED) == {V3}


def test_five_failures_are_enough_at_one_request_a_second():
    """Guards against a fast window that is too short for low traffic."""
    judge = services.create_judge()
    changes = []
    for step in range(290):
        now = step / 9
        upstream = services.UPSTREAMS[step % 9]
        services.vote(judge, now)
        is_bad = upstream == V3 and now > 20
        result = RESULT.ERROR if is_bad else RESULT.SUCCESS
        host = services.HOSTS[step % 44]
        domain = services.DOMAINS[step // 9 % 2]
        judge.record(upstream, host, domain, result, 0.05, now)
        changes += judge.tick(services.list_capacities(), now)
    assert list_upstreams(changes, STATE.EJECTED) == {V3}
    assert changes[0].reason.failures <= 5


def test_error_answers_seen_from_one_domain_are_no_path_fault():
    """Guards against blaming the path for what only an upstream can send."""

    def choose(upstream, domain, _host, _step):
        is_bad = upstream == V3 and domain == 'andes-bog'
        return (RESULT.ERROR if is_bad else RESULT.SUCCESS), 0.05

    changes = services.run(services.create_judge(), choose)
    assert not list_upstreams(changes, STATE.PATH_BLOCKED)


def test_fault_that_domains_see_in_turn_is_one_of_the_upstream():
    """Guards against blocking one path after the other for good."""
    judge = services.create_judge()
    services.run(judge, cut_path, seconds=1)
    assert not judge.is_usable(V3, 'andes-bog', 1)
    now = 1.0
    while not judge.is_usable(V3, 'andes-bog', now):
        now += 0.1
        services.vote(judge, now)
        judge.tick(services.list_capacities(), now)
    changes = []
    for step in range(10):
        services.vote(judge, now)
        for upstream in services.UPSTREAMS:
            result = RESULT.RESET if upstream == V3 else RESULT.SUCCESS
            host = services.HOSTS[step]
            judge.record(upstream, host, 'andes-mde', result, 0.05, now)
        changes += judge.tick(services.list_capacities(), now)
        now += 0.05
    assert list_upstreams(changes, STATE.EJECTED) == {V3}


def test_paths_of_a_domain_stay_above_its_floor():
    def choose(_upstream, domain, _host, step):
        is_cut = _upstream in services.UPSTREAMS[:4] and domain == 'andes-bog'
        return (RESULT.RESET if is_cut else RESULT.SUCCESS), 0.05

    judge = services.create_judge(floor=0.6)
    changes = services.run(judge, choose, seconds=1)
    assert len(list_upstreams(changes, STATE.PATH_BLOCKED)) == 3
    services.run(judge, choose, start=1, seconds=4)
    usable = [
        upstream
        for upstream in services.UPSTREAMS
        if judge.is_usable(upstream, 'andes-bog', 5)
    ]
    assert len(usable) >= 6


def test_path_gets_work_again_and_is_blocked_at_its_first_failure():
    judge = services.create_judge()
    services.run(judge, cut_path, seconds=1)
    now = 1.0
    while not judge.is_usable(V3, 'andes-bog', now):
        now += 0.1
        judge.tick(services.list_capacities(), now)
    assert 2 < now < 3
    judge.record(V3, 'h1', 'andes-bog', RESULT.RESET, 0.0, now)
    assert not judge.is_usable(V3, 'andes-bog', now)


def test_ejections_stop_at_the_floor():
    judge = services.create_judge(floor=0.6)
    choose = services.fail('v1', 'v2', 'v3', 'v4')
    for step in range(100):
        services.run(judge, choose, start=step / 50, seconds=0.02)
        assert len(judge.find_ejected()) <= 3
    assert len(judge.find_ejected()) == 3


def test_worse_upstream_takes_the_place_of_a_less_bad_one():
    judge = services.create_judge(floor=0.8)
    services.run(judge, slow_one)
    assert judge.find_ejected() == [V3]
    services.run(judge, services.fail('v5'), start=2)
    assert judge.find_ejected() == ['v5']


def test_lost_capacity_readmits_the_least_bad():
    judge = services.create_judge(floor=0.6)
    services.run(judge, services.fail('v1', 'v2', 'v3'))
    assert len(judge.find_ejected()) == 3
    changes = services.run(
        judge,
        services.fail('v1', 'v2', 'v3'),
        start=2,
        seconds=0.1,
        unready=('v7', 'v8'),
    )
    assert len(judge.find_ejected()) == 1
    assert {change.reason.cause for change in changes} == {CAUSE.FLOOR}


def test_change_tells_the_evidence():
    judge = services.create_judge()
    change = services.run(judge, services.fail(V3))[0]
    assert change.reason.cause is CAUSE.FAILURES
    assert change.reason.failures >= 3
    assert change.reason.ratio == 1
    assert not change.reason.peers_ratio
    assert set(change.reason.domains) == set(services.DOMAINS)


def test_hanging_upstream_is_ejected_before_the_deadline():
    judge = services.create_judge()
    services.run(judge, services.succeed)
    assert judge.hang_seconds() < 1
    for number in range(4):
        judge.record_overdue(
            V3, f'h{number}', services.DOMAINS[number % 2], 2.0
        )
    choose = services.fail(V3, result=RESULT.SHED)
    changes = services.run(judge, choose, start=2, seconds=0.5)
    assert list_upstreams(changes, STATE.EJECTED) == {V3}


def test_late_result_of_an_overdue_request_is_not_counted_twice():
    judge = services.create_judge()
    services.run(judge, services.succeed)
    judge.record_overdue(V3, 'h1', 'andes-bog', 2.0)
    judge.record_overdue(V3, 'h2', 'andes-bog', 2.0)
    for host in ('h1', 'h2'):
        judge.record(V3, host, 'andes-bog', RESULT.TIMEOUT, 2.0, 3.0)
    choose = services.fail(V3, result=RESULT.SHED)
    assert not services.run(judge, choose, start=3, seconds=0.5)
