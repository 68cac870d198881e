"""Tests of the budget of the link between regions."""

import pytest

from wagtailspread.allocation import budgets
from wagtailspread.allocation.tests import builders
from wagtailspread.core import priorities

RATE_BYTES_PER_SECOND = 1000.0
SHARES = (0.6, 0.3, 0.1)
DURATION_SECONDS = 60


def run_link(senders):
    """Return the bytes per second that each priority sent over the link.

    :param senders: priorities that send 10 bytes whenever they may.
    """
    budget = budgets.LinkBudget(RATE_BYTES_PER_SECOND, SHARES)
    sent = [0 for _ in priorities.Priority]
    for step in range(DURATION_SECONDS * 200):
        now = step / 200
        for priority in senders:
            if budget.may_use(priority, now):
                budget.count(priority, 10, now)
                sent[priority] += 10
    return [size / DURATION_SECONDS for size in sent]


@pytest.mark.parametrize(
    ('senders', 'expected'),
    [
        (tuple(priorities.Priority), (600, 300, 100)),
        ((builders.BULK,), (0, 0, 1000)),
        ((builders.URGENT, builders.BULK), (900, 0, 100)),
        ((builders.STANDARD, builders.BULK), (0, 900, 100)),
    ],
)
def test_link_is_shared_by_priority(senders, expected):
    """Guards against bulk transfers that fill the link between regions."""
    assert run_link(senders) == pytest.approx(expected, rel=0.05, abs=5)


def test_negative_balance_is_refilled_before_further_use():
    """Guards against answers that exceed the rate on average."""
    budget = budgets.LinkBudget(RATE_BYTES_PER_SECOND, SHARES)
    budget.count(builders.URGENT, 10_600, 0.0)
    assert budget.may_use(builders.BULK, 1.0)
    assert not budget.may_use(builders.URGENT, 9.9)
    assert budget.may_use(builders.URGENT, 10.2)
