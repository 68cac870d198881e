"""Tests of the faults that the judge detects or ignores, on manual time."""

import random

import pytest

from wagtailspread.core import outcomes
from wagtailspread.health import reports
from wagtailspread.health.tests import services

RESULT = outcomes.ExchangeResult
STATE = reports.HealthState
CAUSE = reports.Cause
FAULTY = 'v3'
RANDOM = random.Random(7)
FAILING_SHARE = 0.3


def list_upstreams(changes, state):
    return {change.upstream for change in changes if change.state is state}


def fail_in_part(upstream, _domain, _host, step):
    is_bad = upstream == FAULTY and step % 10 in {0, 3, 7}
    return (RESULT.ERROR if is_bad else RESULT.SUCCESS), 0.05


def slow_down_one(upstream, *_):
    return RESULT.SUCCESS, 0.25 if upstream == FAULTY else 0.05


def slow_down_mixed_requests(upstream, _domain, _host, step):
    # A tenth of the requests takes forty times as long as the others.
    seconds = 1.0 if step % 10 == 5 else 0.025
    return RESULT.SUCCESS, seconds * (5 if upstream == FAULTY else 1)


EJECTING_CASES = {
    'errors': services.fail(FAULTY),
    'truncates': services.fail(FAULTY, result=RESULT.TRUNCATED),
    'resets': services.fail(FAULTY, result=RESULT.RESET),
    'hangs': services.fail(FAULTY, result=RESULT.TIMEOUT),
    'is unreachable': services.fail(FAULTY, result=RESULT.CONNECT_FAILED),
    'fails three in ten': fail_in_part,
    'is five times slower': slow_down_one,
    'is slower with mixed work': slow_down_mixed_requests,
}


def test_few_extra_milliseconds_at_a_fast_service_cause_no_ejection():
    """Guards against ejections for new connections or a distant domain.

    An upstream that usually answered in 5 ms was ejected after its start for
    six answers of 13 ms.
    """

    def answer(upstream, *_):
        return RESULT.SUCCESS, 0.015 if upstream == FAULTY else 0.005

    assert not services.run(services.create_judge(), answer)


@pytest.mark.parametrize('case', EJECTING_CASES)
def test_only_faulty_upstream_is_ejected_when_it(case):
    """Guards against missed faults, and against ejections of healthy peers."""
    changes = services.run(services.create_judge(), EJECTING_CASES[case])
    assert list_upstreams(changes, STATE.EJECTED) == {FAULTY}


def fail_all(*_):
    return RESULT.ERROR, 0.01


def begin_failing_all(_upstream, _domain, _host, step):
    return (RESULT.ERROR if step > 50 else RESULT.SUCCESS), 0.01


def begin_failing_all_in_part(_upstream, _domain, _host, step):
    is_bad = step > 500 and RANDOM.random() < FAILING_SHARE
    return (RESULT.ERROR if is_bad else RESULT.SUCCESS), 0.05


def begin_slowing_all(_upstream, _domain, _host, step):
    usual = 0.25 if step > 500 else 0.05
    return RESULT.SUCCESS, usual * RANDOM.lognormvariate(0, 0.7)


def fail_in_burst(upstream, _domain, _host, step):
    is_bad = upstream == FAULTY and step in range(60, 66)
    return (RESULT.RESET if is_bad else RESULT.SUCCESS), 0.05


def stall_once(upstream, _domain, _host, step):
    is_stalled = upstream == FAULTY and step in range(60, 75)
    return RESULT.SUCCESS, 0.4 if is_stalled else 0.05


HARMLESS_CASES = {
    'all are healthy': services.succeed,
    'all fail': fail_all,
    'all begin to fail': begin_failing_all,
    'all begin to fail in part': begin_failing_all_in_part,
    'all become slow': begin_slowing_all,
    'six requests fail in one burst': fail_in_burst,
    'it stalls once for a moment': stall_once,
    'it sheds': services.fail(FAULTY, result=RESULT.SHED),
    'callers cancel': services.fail(FAULTY, result=RESULT.CANCELLED),
    'old connections are silent': services.fail(FAULTY, result=RESULT.SILENT),
}


@pytest.mark.parametrize('case', HARMLESS_CASES)
def test_nothing_is_ejected_or_blocked_when(case):
    """Guards against a loss of capacity when no single upstream is faulty."""
    judge = services.create_judge()
    assert not services.run(judge, HARMLESS_CASES[case], seconds=13)


def cut_path(upstream, domain, _host, _step):
    is_cut = upstream == FAULTY and domain == 'andes-bog'
    return (RESULT.CONNECT_FAILED if is_cut else RESULT.SUCCESS), 0.05


def test_fault_seen_from_one_domain_blocks_the_path_only():
    """Guards against an ejection in all domains for the fault of one path."""
    judge = services.create_judge()
    changes = services.run(judge, cut_path, seconds=8)
    assert not list_upstreams(changes, STATE.EJECTED)
    blocked = [
        change for change in changes if change.state is STATE.PATH_BLOCKED
    ]
    assert {(change.upstream, change.domain) for change in blocked} == {
        (FAULTY, 'andes-bog'),
    }
    assert not judge.is_usable(FAULTY, 'andes-bog', 8)
    assert judge.is_usable(FAULTY, 'andes-mde', 8)


def test_failures_of_one_busy_host_neither_block_nor_eject():
    """Guards against an ejection of an upstream for the fault of one host."""
    judge = services.create_judge()
    changes = []
    for step in range(200):
        now = step / 50
        services.vote(judge, now)
        for upstream in services.UPSTREAMS:
            is_cut = upstream == FAULTY and step % 4 == 0
            host = 'h0' if step % 4 == 0 else services.HOSTS[1 + step % 40]
            result = RESULT.CONNECT_FAILED if is_cut else RESULT.SUCCESS
            domain = services.DOMAINS[step % 2]
            judge.record(upstream, host, domain, result, 0.05, now)
        changes += judge.tick(services.list_capacities(), now)
    assert not changes


def test_past_fault_causes_no_ejection_when_votes_arrive():
    """Guards against ejecting a recovered upstream by outdated evidence."""
    judge = services.create_judge()
    services.run(judge, fail_in_part, seconds=5, voters=())
    services.run(judge, services.succeed, start=5, seconds=2, voters=())
    assert not services.run(judge, services.succeed, start=7)


@pytest.mark.parametrize('start', (3e7, 3e7 - 0.26))
def test_long_running_judge_distinguishes_bursts_from_faults(start):
    """Guards against timestamps that lose precision over months."""
    judge = services.create_judge()
    services.run(judge, services.succeed)
    assert not services.run(judge, fail_in_burst, start=start, seconds=3)
    choose = services.fail(FAULTY)
    changes = services.run(judge, choose, start=start + 3, seconds=1)
    assert list_upstreams(changes, STATE.EJECTED) == {FAULTY}


def test_five_failures_are_enough_at_one_request_a_second():
    """Guards against faults that the fast window misses under low traffic."""
    judge = services.create_judge()
    changes = []
    for step in range(290):
        now = step / 9
        upstream = services.UPSTREAMS[step % 9]
        services.vote(judge, now)
        is_bad = upstream == FAULTY and now > 20
        result = RESULT.ERROR if is_bad else RESULT.SUCCESS
        host = services.HOSTS[step % 44]
        domain = services.DOMAINS[step // 9 % 2]
        judge.record(upstream, host, domain, result, 0.05, now)
        changes += judge.tick(services.list_capacities(), now)
    assert list_upstreams(changes, STATE.EJECTED) == {FAULTY}
    assert changes[0].reason.failures <= 5


def test_error_answers_seen_from_one_domain_are_no_path_fault():
    """Guards against a path fault for errors that only an upstream can send."""

    def choose(upstream, domain, _host, _step):
        is_bad = upstream == FAULTY and domain == 'andes-bog'
        return (RESULT.ERROR if is_bad else RESULT.SUCCESS), 0.05

    changes = services.run(services.create_judge(), choose)
    assert not list_upstreams(changes, STATE.PATH_BLOCKED)


def test_fault_seen_by_one_domain_after_another_ejects_upstream():
    """Guards against blocking one path after another without an ejection."""
    judge = services.create_judge()
    services.run(judge, cut_path, seconds=1)
    assert not judge.is_usable(FAULTY, 'andes-bog', 1)
    now = 1.0
    while not judge.is_usable(FAULTY, 'andes-bog', now):
        now += 0.1
        services.vote(judge, now)
        judge.tick(services.list_capacities(), now)
    changes = []
    for step in range(10):
        services.vote(judge, now)
        for upstream in services.UPSTREAMS:
            result = RESULT.RESET if upstream == FAULTY else RESULT.SUCCESS
            host = services.HOSTS[step]
            judge.record(upstream, host, 'andes-mde', result, 0.05, now)
        changes += judge.tick(services.list_capacities(), now)
        now += 0.05
    assert list_upstreams(changes, STATE.EJECTED) == {FAULTY}


def test_paths_of_a_domain_stay_above_its_floor():
    """Guards against blocks that leave a domain too few upstreams."""

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


def test_path_on_probation_is_blocked_at_its_first_failure():
    """Guards against requests lost on a path that fails fast."""
    judge = services.create_judge()
    services.run(judge, cut_path, seconds=1)
    now = 1.0
    while not judge.is_usable(FAULTY, 'andes-bog', now):
        now += 0.1
        judge.tick(services.list_capacities(), now)
    assert 2 < now < 3
    judge.record(FAULTY, 'h1', 'andes-bog', RESULT.RESET, 0.0, now)
    assert not judge.is_usable(FAULTY, 'andes-bog', now)


def test_ejections_stop_at_the_floor():
    """Guards against ejections that leave too few slots."""
    judge = services.create_judge(floor=0.6)
    choose = services.fail('v1', 'v2', 'v3', 'v4')
    for step in range(100):
        services.run(judge, choose, start=step / 50, seconds=0.02)
        assert len(judge.find_ejected()) <= 3
    assert len(judge.find_ejected()) == 3


def test_more_severe_fault_replaces_ejection_at_the_floor():
    """Guards against using a failing upstream while a slow one is ejected."""
    judge = services.create_judge(floor=0.8)
    services.run(judge, slow_down_one)
    assert judge.find_ejected() == [FAULTY]
    services.run(judge, services.fail('v5'), start=2)
    assert judge.find_ejected() == ['v5']


def test_lost_capacity_readmits_least_severe_ejections():
    """Guards against too few slots when healthy upstreams are lost."""
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


def test_change_reports_the_evidence():
    """Guards against changes of health that operators cannot explain."""
    judge = services.create_judge()
    change = services.run(judge, services.fail(FAULTY))[0]
    assert change.reason.cause is CAUSE.FAILURES
    assert change.reason.failures >= 3
    assert change.reason.ratio == 1
    assert not change.reason.peers_ratio
    assert set(change.reason.domains) == set(services.DOMAINS)


def test_hanging_upstream_is_ejected_before_the_deadline():
    """Guards against hangs that are detected only by timeouts."""
    judge = services.create_judge()
    services.run(judge, services.succeed)
    assert judge.get_overdue_seconds() < 1
    for number in range(4):
        judge.record_overdue(
            FAULTY, f'h{number}', services.DOMAINS[number % 2], 2.0
        )
    choose = services.fail(FAULTY, result=RESULT.SHED)
    changes = services.run(judge, choose, start=2, seconds=0.5)
    assert list_upstreams(changes, STATE.EJECTED) == {FAULTY}


def test_late_result_of_an_overdue_request_is_not_counted_twice():
    """Guards against an ejection for two failures that count as four."""
    judge = services.create_judge()
    services.run(judge, services.succeed)
    judge.record_overdue(FAULTY, 'h1', 'andes-bog', 2.0)
    judge.record_overdue(FAULTY, 'h2', 'andes-bog', 2.0)
    for host in ('h1', 'h2'):
        judge.record(FAULTY, host, 'andes-bog', RESULT.TIMEOUT, 2.0, 3.0)
    choose = services.fail(FAULTY, result=RESULT.SHED)
    assert not services.run(judge, choose, start=3, seconds=0.5)
