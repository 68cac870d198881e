"""How ejected upstreams come back, and under whose authority."""

from wagtailspread.core import outcomes
from wagtailspread.health import reports
from wagtailspread.health.tests import services

RESULT = outcomes.ExchangeResult
CAUSE = reports.Cause
V3 = 'v3'


def create_ejecting_judge(result=RESULT.ERROR):
    judge = services.create_judge()
    services.run(judge, services.fail(V3, result=result))
    assert judge.find_ejected() == [V3]
    return judge


def test_three_good_trials_bring_an_upstream_back():
    judge = create_ejecting_judge()
    changes, trials = services.try_upstream(judge, V3, RESULT.SUCCESS, 2, 3)
    assert trials == 3
    assert [change.reason.cause for change in changes] == [CAUSE.TRIALS]


def test_failed_trials_become_rare():
    judge = create_ejecting_judge()
    _, trials = services.try_upstream(judge, V3, RESULT.ERROR, 2, 30)
    assert 4 <= trials <= 6
    assert judge.find_ejected() == [V3]


def test_trial_without_an_answer_counts_as_failed():
    judge = create_ejecting_judge()
    claims = 0
    for step in range(300):
        now = 2 + step / 10
        services.vote(judge, now)
        claims += judge.claim_trial(V3, now)
        judge.tick(services.list_capacities(), now)
    assert claims <= 6


def test_neutral_trial_is_repeated_soon_and_proves_nothing():
    judge = create_ejecting_judge()
    _, trials = services.try_upstream(judge, V3, RESULT.SHED, 2, 3)
    assert trials > 5
    assert judge.find_ejected() == [V3]


def test_result_of_work_from_before_the_trial_proves_nothing():
    judge = create_ejecting_judge()
    for step in range(100):
        now = 2 + step / 10
        services.vote(judge, now)
        judge.tick(services.list_capacities(), now)
        if judge.claim_trial(V3, now):
            judge.record(V3, 'h1', 'andes-bog', RESULT.SUCCESS, 3.0, now + 1)
    assert judge.find_ejected() == [V3]


def test_slow_trials_do_not_bring_a_slow_upstream_back():
    def slow(upstream, *_):
        return RESULT.SUCCESS, 0.3 if upstream == V3 else 0.05

    judge = services.create_judge()
    services.run(judge, slow)
    services.try_upstream(judge, V3, RESULT.SUCCESS, 2, 4, taken=0.3)
    assert judge.find_ejected() == [V3]
    services.try_upstream(judge, V3, RESULT.SUCCESS, 6, 9, taken=0.05)
    assert not judge.find_ejected()


def test_flapping_upstream_waits_longer_each_time():
    judge = services.create_judge()
    now = 0.0
    waits = []
    for _ in range(4):
        services.run(judge, services.fail(V3), start=now, seconds=1)
        start = now + 1
        for step in range(2000):
            now = start + step / 20
            services.vote(judge, now)
            if judge.claim_trial(V3, now):
                judge.record(V3, 'h1', 'andes-bog', RESULT.SUCCESS, 0, now)
            judge.tick(services.list_capacities(), now)
            if not judge.find_ejected():
                break
        waits.append(now - start)
    assert waits == sorted(waits)
    assert waits[3] > 4 * waits[0]


def test_hint_starts_one_early_trial_and_readmits_nobody():
    judge = create_ejecting_judge()
    _, trials = services.try_upstream(judge, V3, RESULT.ERROR, 2, 8)
    now = 10.0
    services.vote(judge, now)
    judge.tick(services.list_capacities(), now)
    claims = []
    for _ in range(5):
        judge.note_hint(V3, now)
        claims.append(judge.claim_trial(V3, now))
        judge.record(V3, 'h1', 'andes-bog', RESULT.SHED, 0, now)
    assert claims == [True, False, False, False, False]
    assert judge.find_ejected() == [V3]


def test_nobody_is_ejected_without_votes_of_a_majority():
    judge = services.create_judge()
    voters = services.HOSTS[:22]
    assert not services.run(judge, services.fail(V3), voters=voters)


def test_half_of_the_votes_is_enough_with_the_tie_breaker():
    voters = services.HOSTS[:22]
    for tie_breaker, is_ejected in (('h0', True), ('h30', False)):
        judge = services.create_judge(tie_breaker=tie_breaker)
        changes = services.run(judge, services.fail(V3), voters=voters)
        assert bool(changes) == is_ejected


def test_ejection_ends_with_the_votes_and_resumes_with_them():
    judge = create_ejecting_judge()
    assert judge.is_usable(V3, 'andes-bog', 4.0)
    lost = judge.tick(services.list_capacities(), 4.0)
    assert [change.reason.cause for change in lost] == [CAUSE.VOTES_LOST]
    services.vote(judge, 5.0)
    judge.tick(services.list_capacities(), 5.0)
    assert judge.find_ejected() == [V3]


def test_ejection_reported_by_hosts_holds_at_the_new_owner():
    judge = services.create_judge()
    judge.adopt(['v5'], 0.0)
    assert judge.is_usable('v5', 'andes-bog', 0.0)
    changes = services.run(judge, services.succeed, seconds=0.5)
    assert changes[0].reason.cause is CAUSE.ADOPTED
    assert not judge.is_usable('v5', 'andes-bog', 0.5)


def test_reported_ejections_stop_at_the_floor():
    judge = services.create_judge(floor=0.6)
    judge.adopt(services.UPSTREAMS, 0.0)
    services.run(judge, services.succeed, seconds=0.1)
    assert len(judge.find_ejected()) == 3


def test_upstream_that_is_gone_for_a_minute_is_forgotten():
    judge = create_ejecting_judge()
    kept = services.list_capacities()
    kept.pop(3)
    for second in range(2, 66):
        services.vote(judge, second)
        judge.tick(kept, second)
    assert not judge.find_ejected()
    services.vote(judge, 66)
    judge.tick(services.list_capacities(), 66)
    assert judge.is_usable(V3, 'andes-bog', 66)
