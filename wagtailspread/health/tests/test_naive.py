"""Comparison with a naive judge on faults that both must detect."""

import collections

from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailspread.core import outcomes
from wagtailspread.health.tests import services

RESULT = outcomes.ExchangeResult
FAULTS = st.sampled_from((RESULT.ERROR, RESULT.TRUNCATED, RESULT.RESET))
NAIVE_FAILURES = 5


class NaiveJudge:
    """Ejects per host, permanently, after five failures in a row."""

    def __init__(self):
        self.failures = collections.Counter()

    def record(self, upstream, host, _domain, result, _seconds, _now):
        key = (upstream, host)
        if self.failures[key] < NAIVE_FAILURES:
            is_good = result is RESULT.SUCCESS
            self.failures[key] = 0 if is_good else self.failures[key] + 1

    def find_ejected(self):
        return {
            upstream
            for upstream in services.UPSTREAMS
            if all(
                self.failures[upstream, host] >= NAIVE_FAILURES
                for host in services.HOSTS
            )
        }


@settings(max_examples=20)
@given(
    faulty=st.sets(st.sampled_from(services.UPSTREAMS), max_size=3),
    result=FAULTS,
)
def test_both_judges_eject_only_upstreams_that_always_fail(faulty, result):
    """Guards against statistics that miss the most obvious faults."""
    judge = services.create_judge(floor=0.5)
    naive = NaiveJudge()
    choose = services.fail(*faulty, result=result)
    services.run(judge, choose, seconds=1)
    for round_number in range(NAIVE_FAILURES):
        for host in services.HOSTS:
            for upstream in services.UPSTREAMS:
                outcome, seconds = choose(upstream)
                now = float(round_number)
                naive.record(upstream, host, 'd', outcome, seconds, now)
    assert set(judge.find_ejected()) == naive.find_ejected() == faulty
