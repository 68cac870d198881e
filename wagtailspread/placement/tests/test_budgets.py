"""Tests of the budget of repeated sends."""

from wagtailspread.placement import budgets


def spend_all(budget, start, seconds):
    """Return the repeats granted to a steady flow that always asks for one."""
    granted = 0
    for step in range(int(seconds * 10)):
        now = start + step / 10
        budget.add_request('columns', now)
        granted += budget.spend('columns', now)
    return granted


def test_a_decider_that_takes_over_does_not_use_the_fixed_number_again():
    """Guards against a budget that starts anew with each allocator.

    Load pattern: all replicas are killed while a service fails, and the
    allocators that start have seen nothing of the last window.
    """
    window = 10.0
    first = budgets.SharedRetryBudget(0.2, 60.0, window, lambda: 1)
    spend_all(first, 0.0, 20.0)
    before = spend_all(first, 20.0, 5.0)
    second = budgets.SharedRetryBudget(0.2, 60.0, window, lambda: 1)
    after = spend_all(second, 25.0, 5.0)
    requests = 100
    assert before + after <= 0.2 * requests + 60.0


def test_the_whole_budget_is_there_after_a_window():
    """Guards against a budget that stays below what the fleet may use."""
    budget = budgets.SharedRetryBudget(0.2, 60.0, 10.0, lambda: 1)
    spend_all(budget, 0.0, 20.0)
    granted = spend_all(budget, 20.0, 10.0)
    assert granted >= 0.8 * (0.2 * 100 + 60.0)


def test_all_deciders_together_keep_the_fixed_number():
    """Guards against a number that each kind of decider has to itself.

    Load pattern: a service rejects all its requests, and some hosts of each
    region ask one replica, some another one, some a substitute, and the rest
    decide alone.
    """
    terms = budgets.RetryBudgetSettings(0.0, 214.0, 10.0)
    counts = {
        budgets.BudgetShare.REPLICA: 5,
        budgets.BudgetShare.SUBSTITUTE: 6,
        budgets.BudgetShare.HOST: 131,
    }
    granted = 0
    for kind, count in counts.items():
        for _ in range(count):
            budget = budgets.create_budget(terms, kind, lambda: counts[kind])
            spend_all(budget, 0.0, 20.0)
            granted += spend_all(budget, 20.0, 10.0)
    assert granted <= terms.slack
