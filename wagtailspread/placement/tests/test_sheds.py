"""Tests of the limits of open requests where upstreams shed work."""

import heapq
import random

import pytest

from wagtailspread.placement import sheds

#: Upstreams, requests a second, and their mean work in seconds: 0.4 of three
#: slots are in use.
_UPSTREAMS = 43
_RATE = 240.0
_WORK_SECONDS = 0.2
_SHED_AT = 5.0


class Upstreams:
    """Upstreams that run requests, each with a number of open ones."""

    def __init__(self, generator, table):
        """Start idle."""
        self._generator = generator
        self._table = table
        self._open = dict.fromkeys(range(_UPSTREAMS), 0)
        self._ends = []

    def end_due(self, now):
        """End the requests that are due, and record them as accepted."""
        while self._ends and self._ends[0][0] <= now:
            ended_at, upstream, level = heapq.heappop(self._ends)
            self._open[upstream] -= 1
            self._table.record('columns', level, False, ended_at)

    def choose(self, limit):
        """Return an upstream, if possible one with fewer open requests."""
        upstream = self._generator.randrange(_UPSTREAMS)
        if self._open[upstream] >= limit:
            upstream = min(self._open, key=self._open.__getitem__)
        return upstream, self._open[upstream] + 1

    def start(self, upstream, level, now):
        """Run a request."""
        self._open[upstream] = level
        end = now + self._generator.expovariate(1 / _WORK_SECONDS)
        heapq.heappush(self._ends, (end, upstream, level))


def list_limits(seed, is_shed):
    """Return the limits in force for 9 s from the first shedding on.

    :param is_shed: tells by the random generator, the open requests and the
        time since ``_SHED_AT`` whether an upstream sheds.
    """
    generator = random.Random(seed)
    table = sheds.create_limits()
    upstreams = Upstreams(generator, table)
    found = []
    now = 0.0
    while now < _SHED_AT + 9.0:
        now += generator.expovariate(_RATE)
        upstreams.end_due(now)
        limit = table.find('columns', now)
        found.append((now, limit))
        upstream, level = upstreams.choose(limit or 3)
        if level > (limit or 3):
            continue
        if now >= _SHED_AT and is_shed(generator, level, now - _SHED_AT):
            table.record('columns', level, True, now)
        else:
            upstreams.start(upstream, level, now)
    return [limit for at, limit in found if at >= _SHED_AT]


def shed_by_chance(generator, _level, _seconds):
    """Shed 55% of all requests."""
    return generator.random() < 0.55


def shed_beyond_one(_generator, level, _seconds):
    """Shed what comes beyond one open request."""
    return level > 1


def shed_beyond_one_then_by_chance(generator, level, seconds):
    """Shed beyond one for 2 s, and then 55%."""
    if seconds < 2:
        return shed_beyond_one(generator, level, seconds)
    return shed_by_chance(generator, level, seconds)


@pytest.mark.parametrize('seed', range(12))
def test_sheds_by_chance_set_no_limit(seed):
    """Guards against waiting for upstreams that shed whatever they run."""
    limits = list_limits(seed, shed_by_chance)
    assert sum(map(bool, limits)) <= len(limits) * 0.02


@pytest.mark.parametrize('seed', range(12))
def test_a_limit_ends_where_it_does_not_help(seed):
    """Guards against a limit that sheds by chance keep in force.

    Load pattern: upstreams get more than they can run, since hosts decide
    alone, and then shed 55% of the requests for 7 s. An allocator sent one at a
    time to each upstream all that time and refused 464 requests in 5 s.
    """
    limits = list_limits(seed, shed_beyond_one_then_by_chance)
    late = limits[len(limits) // 2 :]
    assert sum(map(bool, late)) <= len(late) * 0.05


@pytest.mark.parametrize('seed', range(4))
def test_a_limit_is_found_where_the_rest_is_shed(seed):
    """Guards against sends that are shed although waiting would help."""
    limits = list_limits(seed, shed_beyond_one)
    assert limits.count(1) >= len(limits) * 0.5
