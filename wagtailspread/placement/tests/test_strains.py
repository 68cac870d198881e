"""Tests of the tracks of failing services."""

import hypothesis
from hypothesis import strategies as st

from wagtailspread.core import identifiers
from wagtailspread.placement import strains

_SERVICE = identifiers.ServiceName('columns')


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=80)
)
def test_the_window_counts_what_a_full_count_does(steps):
    """Guards against failures that stay counted or are dropped twice."""
    tracker = strains.create_tracker()
    completions = []
    now = 0.0
    for elapsed, is_served in steps:
        now += elapsed
        tracker.record_completion(_SERVICE, is_served, now)
        completions.append((now, is_served))
        since = now - strains.WINDOW_SECONDS
        recent = [served for at, served in completions if at >= since]
        failed = recent.count(False)
        wanted = (
            len(recent) >= strains.MIN_COMPLETIONS
            and failed >= strains.MIN_FAILURES
            and failed >= strains.STRAINED_SHARE * len(recent)
        )
        assert tracker.is_strained(_SERVICE, now) == wanted


def test_old_failures_are_forgotten_without_new_completions():
    """Guards against a service that stays strained when it gets nothing."""
    tracker = strains.create_tracker()
    for _ in range(strains.MIN_COMPLETIONS):
        tracker.record_completion(_SERVICE, False, 0.0)
    assert tracker.is_strained(_SERVICE, strains.WINDOW_SECONDS)
    assert not tracker.is_strained(_SERVICE, strains.WINDOW_SECONDS + 0.1)
