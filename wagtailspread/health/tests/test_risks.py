"""Tests of the probability that a request fails."""

from wagtailspread.health import risks


def create_sound_table(count=20):
    """Return a table with an upstream that answered well for a while."""
    table = risks.RiskTable()
    for number in range(count):
        table.add_successes('u1', 1, 0.5, number * 0.2)
    return table


def test_one_failure_makes_a_sound_upstream_worse_than_an_unknown_one():
    """Guards against losing a second order to an upstream that turned gray."""
    table = create_sound_table()
    table.add_failures('u1', 4.0)
    assert table.find_risk('u1', 4.0) > table.find_risk('unknown', 4.0) / 2
    table.add_failures('u1', 4.0)
    assert table.find_risk('u1', 4.0) > 0.5


def test_good_answers_after_an_ordinary_error_restore_an_upstream():
    """Guards against ejections for the ordinary share of errors."""
    table = create_sound_table()
    table.add_failures('u1', 4.0)
    for number in range(3):
        table.add_successes('u1', 1, 0.5, 4.1 + number * 0.1)
    assert table.find_risk('u1', 4.4) < 0.03


def test_doubt_fades_without_results():
    """Guards against an upstream that is never tried again."""
    table = risks.RiskTable()
    for _ in range(3):
        table.add_failures('u1', 0.0)
    assert table.find_risk('u1', 0.0) > 0.6
    assert table.find_risk('u1', 30.0) < 0.2


def test_one_host_that_cannot_connect_does_not_condemn_an_upstream():
    """Guards against taking the fault of a path for that of an upstream."""
    table = create_sound_table()
    table.add_unreachable('u1', 4.0)
    assert table.find_risk('u1', 4.0) < 0.05
