"""Simulated service with manual time and results chosen by the test."""

import random

from wagtailspread.core import outcomes
from wagtailspread.health import judges, tables

RESULT = outcomes.ExchangeResult
UPSTREAMS = tuple(f'v{number}' for number in range(9))
HOSTS = tuple(f'h{number}' for number in range(44))
DOMAINS = ('andes-bog', 'andes-mde')
STEPS_PER_SECOND = 50


def create_judge(floor=0.6, host_count=44, tie_breaker=None):
    policy = judges.HealthPolicy(floor, host_count, tie_breaker)
    return judges.create_judge(policy, random.Random(1))


def list_capacities(slots=6, unready=()):
    return [
        tables.Capacity(upstream, slots, upstream not in unready)
        for upstream in UPSTREAMS
    ]


def vote(judge, now, voters=HOSTS):
    for host in voters:
        judge.record_vote(host, now)


def succeed(*_):
    return RESULT.SUCCESS, 0.05


def fail(*upstreams, result=RESULT.ERROR):
    def choose(upstream, *_):
        return (result if upstream in upstreams else RESULT.SUCCESS), 0.05

    return choose


def run(judge, choose, start=0.0, seconds=2.0, voters=HOSTS, unready=()):
    """Record 50 results a second for each usable upstream.

    :param choose: returns the result of a request and its duration in seconds.
    :returns: changes that the judge reported.
    """
    changes = []
    for step in range(int(seconds * STEPS_PER_SECOND)):
        now = start + step / STEPS_PER_SECOND
        vote(judge, now, voters)
        for number, upstream in enumerate(UPSTREAMS):
            host = HOSTS[(step * 7 + number) % len(HOSTS)]
            domain = DOMAINS[step % 2]
            if judge.is_usable(upstream, domain, now):
                result, taken = choose(upstream, domain, host, step)
                judge.record(upstream, host, domain, result, taken, now)
        changes += judge.tick(list_capacities(unready=unready), now)
    return changes


def run_trials(judge, upstream, result, start, seconds, taken=0.0):
    """Run each trial that is due, in steps of 50 ms.

    :param taken: duration of a trial in seconds.
    :returns: changes that the judge reported, and the number of trials.
    """
    changes = []
    trials = 0
    for step in range(int(seconds * 20)):
        now = start + step / 20
        vote(judge, now)
        if judge.claim_trial(upstream, now):
            trials += 1
            judge.record(
                upstream,
                HOSTS[0],
                DOMAINS[0],
                result,
                taken,
                now + taken,
            )
        changes += judge.tick(list_capacities(), now)
    return changes, trials
