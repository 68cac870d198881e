"""Tests of the estimated failure probability of upstreams."""

from wagtailspread.health import risks


def create_sound_table(count=20):
    """Return a table with one upstream that has had only successes."""
    table = risks.RiskTable()
    for number in range(count):
        table.add_successes('u1', 1, 0.5, number * 0.2)
    return table


def test_failures_raise_risk_of_sound_upstream_at_once():
    """Guards against sending a second order to an upstream that turned gray."""
    table = create_sound_table()
    table.add_failures('u1', 4.0)
    assert table.find_risk('u1', 4.0) > table.find_risk('unknown', 4.0) / 2
    table.add_failures('u1', 4.0)
    assert table.find_risk('u1', 4.0) > 0.5


def test_successes_after_an_occasional_error_restore_low_risk():
    """Guards against avoiding upstreams for their ordinary share of errors."""
    table = create_sound_table()
    table.add_failures('u1', 4.0)
    for number in range(3):
        table.add_successes('u1', 1, 0.5, 4.1 + number * 0.1)
    assert table.find_risk('u1', 4.4) < 0.03


def test_risk_drifts_to_prior_without_results():
    """Guards against an upstream that never gets requests again."""
    table = risks.RiskTable()
    for _ in range(3):
        table.add_failures('u1', 0.0)
    assert table.find_risk('u1', 0.0) > 0.6
    assert table.find_risk('u1', 30.0) < 0.2


def test_single_connect_failure_raises_risk_only_slightly():
    """Guards against attributing the fault of a path to the upstream."""
    table = create_sound_table()
    table.add_unreachable('u1', 4.0)
    assert table.find_risk('u1', 4.0) < 0.05
