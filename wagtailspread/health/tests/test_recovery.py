"""Tests of trials, readmission and the votes that ejections require."""

from wagtailspread.core import outcomes
from wagtailspread.health import reports
from wagtailspread.health.tests import services

RESULT = outcomes.ExchangeResult
CAUSE = reports.Cause
FAULTY = 'v3'


def create_judge_with_ejection(result=RESULT.ERROR):
    judge = services.create_judge()
    services.run(judge, services.fail(FAULTY, result=result))
    assert judge.find_ejected() == [FAULTY]
    return judge


def test_three_successful_trials_readmit_an_upstream():
    """Guards against a recovered upstream that stays ejected."""
    judge = create_judge_with_ejection()
    changes, trials = services.run_trials(judge, FAULTY, RESULT.SUCCESS, 2, 3)
    assert trials == 3
    assert [change.reason.cause for change in changes] == [CAUSE.TRIALS]


def test_interval_of_failed_trials_grows():
    """Guards against many requests that are lost as trials."""
    judge = create_judge_with_ejection()
    _, trials = services.run_trials(judge, FAULTY, RESULT.ERROR, 2, 30)
    assert 4 <= trials <= 6
    assert judge.find_ejected() == [FAULTY]


def test_trial_without_an_answer_counts_as_failed():
    """Guards against trials that accumulate at an upstream that hangs."""
    judge = create_judge_with_ejection()
    claims = 0
    for step in range(300):
        now = 2 + step / 10
        services.vote(judge, now)
        claims += judge.claim_trial(FAULTY, now)
        judge.tick(services.list_capacities(), now)
    assert claims <= 6


def test_trial_with_neutral_result_is_repeated_without_readmission():
    """Guards against a readmission after trials that show nothing."""
    judge = create_judge_with_ejection()
    _, trials = services.run_trials(judge, FAULTY, RESULT.SHED, 2, 3)
    assert trials > 5
    assert judge.find_ejected() == [FAULTY]


def test_result_of_request_from_before_the_trial_is_ignored():
    """Guards against a readmission by requests sent before the trial."""
    judge = create_judge_with_ejection()
    for step in range(100):
        now = 2 + step / 10
        services.vote(judge, now)
        judge.tick(services.list_capacities(), now)
        if judge.claim_trial(FAULTY, now):
            judge.record(
                FAULTY, 'h1', 'andes-bog', RESULT.SUCCESS, 3.0, now + 1
            )
    assert judge.find_ejected() == [FAULTY]


def test_slow_trials_do_not_readmit_a_slow_upstream():
    """Guards against readmitting an upstream that is still slow."""

    def slow(upstream, *_):
        return RESULT.SUCCESS, 0.3 if upstream == FAULTY else 0.05

    judge = services.create_judge()
    services.run(judge, slow)
    services.run_trials(judge, FAULTY, RESULT.SUCCESS, 2, 4, taken=0.3)
    assert judge.find_ejected() == [FAULTY]
    services.run_trials(judge, FAULTY, RESULT.SUCCESS, 6, 9, taken=0.05)
    assert not judge.find_ejected()


def test_flapping_upstream_waits_longer_each_time():
    """Guards against an upstream that is readmitted and fails in a loop."""
    judge = services.create_judge()
    now = 0.0
    outages = []
    for _ in range(4):
        services.run(judge, services.fail(FAULTY), start=now, seconds=1)
        start = now + 1
        for step in range(2000):
            now = start + step / 20
            services.vote(judge, now)
            if judge.claim_trial(FAULTY, now):
                judge.record(FAULTY, 'h1', 'andes-bog', RESULT.SUCCESS, 0, now)
            judge.tick(services.list_capacities(), now)
            if not judge.find_ejected():
                break
        outages.append(now - start)
    assert outages == sorted(outages)
    assert outages[3] > 4 * outages[0]


def test_hint_advances_one_trial_without_readmission():
    """Guards against a readmission by probes, and against extra trials."""
    judge = create_judge_with_ejection()
    _, trials = services.run_trials(judge, FAULTY, RESULT.ERROR, 2, 8)
    now = 10.0
    services.vote(judge, now)
    judge.tick(services.list_capacities(), now)
    claims = []
    for _ in range(5):
        judge.record_hint(FAULTY, now)
        claims.append(judge.claim_trial(FAULTY, now))
        judge.record(FAULTY, 'h1', 'andes-bog', RESULT.SHED, 0, now)
    assert claims == [True, False, False, False, False]
    assert judge.find_ejected() == [FAULTY]


def test_no_ejection_without_votes_of_a_majority():
    """Guards against two allocators that eject at the same time."""
    judge = services.create_judge()
    voters = services.HOSTS[:22]
    assert not services.run(judge, services.fail(FAULTY), voters=voters)


def test_half_of_the_votes_is_enough_with_the_tie_breaker():
    """Guards against two allocators that eject, or none, after a split."""
    voters = services.HOSTS[:22]
    for tie_breaker, is_ejected in (('h0', True), ('h30', False)):
        judge = services.create_judge(tie_breaker=tie_breaker)
        changes = services.run(judge, services.fail(FAULTY), voters=voters)
        assert bool(changes) == is_ejected


def test_ejection_is_suspended_without_votes_and_resumed_with_them():
    """Guards against ejections without votes, and against losing them."""
    judge = create_judge_with_ejection()
    assert judge.is_usable(FAULTY, 'andes-bog', 4.0)
    lost = judge.tick(services.list_capacities(), 4.0)
    assert [change.reason.cause for change in lost] == [CAUSE.VOTES_LOST]
    services.vote(judge, 5.0)
    judge.tick(services.list_capacities(), 5.0)
    assert judge.find_ejected() == [FAULTY]


def test_ejection_reported_by_hosts_is_adopted_by_the_new_owner():
    """Guards against requests to an ejected upstream after an owner change."""
    judge = services.create_judge()
    judge.adopt(['v5'], 0.0)
    assert judge.is_usable('v5', 'andes-bog', 0.0)
    changes = services.run(judge, services.succeed, seconds=0.5)
    assert changes[0].reason.cause is CAUSE.ADOPTED
    assert not judge.is_usable('v5', 'andes-bog', 0.5)


def test_adopted_ejections_stop_at_the_floor():
    """Guards against adopted ejections that leave too few slots."""
    judge = services.create_judge(floor=0.6)
    judge.adopt(services.UPSTREAMS, 0.0)
    services.run(judge, services.succeed, seconds=0.1)
    assert len(judge.find_ejected()) == 3


def test_ejection_of_upstream_gone_for_a_minute_is_dropped():
    """Guards against a returning upstream that is still ejected."""
    judge = create_judge_with_ejection()
    capacities = services.list_capacities()
    capacities.pop(3)
    for second in range(2, 66):
        services.vote(judge, second)
        judge.tick(capacities, second)
    assert not judge.find_ejected()
    services.vote(judge, 66)
    judge.tick(services.list_capacities(), 66)
    assert judge.is_usable(FAULTY, 'andes-bog', 66)
