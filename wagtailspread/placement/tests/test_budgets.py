"""Tests of the retry budget."""

from wagtailspread.placement import budgets


def spend_all(budget, start, seconds):
    """Return the retries granted if every request of a steady flow asks."""
    granted = 0
    for step in range(int(seconds * 10)):
        now = start + step / 10
        budget.add_request('columns', now)
        granted += budget.spend('columns', now)
    return granted


def test_a_replacement_process_does_not_reuse_the_fixed_allowance():
    """Guards against a budget that is reset with each new allocator.

    Load pattern: all replicas are killed while a service fails, and the new
    allocators have no data of the last window.
    """
    window = 10.0
    first = budgets.SharedRetryBudget(0.2, 60.0, window, lambda: 1)
    spend_all(first, 0.0, 20.0)
    before = spend_all(first, 20.0, 5.0)
    second = budgets.SharedRetryBudget(0.2, 60.0, window, lambda: 1)
    after = spend_all(second, 25.0, 5.0)
    requests = 100
    assert before + after <= 0.2 * requests + 60.0


def test_the_full_budget_is_available_after_one_window():
    """Guards against a budget that stays below the fleet-wide limit."""
    budget = budgets.SharedRetryBudget(0.2, 60.0, 10.0, lambda: 1)
    spend_all(budget, 0.0, 20.0)
    granted = spend_all(budget, 20.0, 10.0)
    assert granted >= 0.8 * (0.2 * 100 + 60.0)


def test_all_processes_together_stay_within_the_fixed_allowance():
    """Guards against each kind of process using the whole allowance.

    Load pattern: a service rejects all its requests, and the hosts of each
    region are split between two replicas, a substitute and deciding alone.
    """
    settings = budgets.RetryBudgetSettings(0.0, 214.0, 10.0)
    counts = {
        budgets.BudgetShare.REPLICA: 5,
        budgets.BudgetShare.SUBSTITUTE: 6,
        budgets.BudgetShare.HOST: 131,
    }
    granted = 0
    for share, count in counts.items():
        for _ in range(count):
            budget = budgets.create_budget(
                settings, share, lambda: counts[share]
            )
            spend_all(budget, 0.0, 20.0)
            granted += spend_all(budget, 20.0, 10.0)
    assert granted <= settings.slack
