"""Tests of the lag of a host behind the newest configuration."""

from wagtailspread.registry import lags


def test_each_newer_version_is_reported_once():
    """Guards against a log line for each answer, and against none at all."""
    lag = lags.create_lag()
    assert not lag.record_answer(version=-1, now=0.0)
    assert lag.record_answer(version=4, now=1.0)
    lag.record_active_version(4)
    assert lag.record_answer(version=5, now=2.0)
    assert not lag.record_answer(version=5, now=3.0)
    assert lag.record_answer(version=6, now=4.0)
    # An answer of a replica that is itself behind.
    assert not lag.record_answer(version=5, now=5.0)
    assert lag.describe(7.5) == {
        'configuration_version': 4,
        'heard_version': 6,
        'behind_seconds': 5.5,
        'unanswered_seconds': 2.5,
    }


def test_a_host_with_the_newest_version_is_not_behind():
    """Guards against a lag that grows after the newest version is active."""
    lag = lags.create_lag()
    assert lag.describe(1.0)['unanswered_seconds'] is None
    lag.record_answer(version=5, now=1.0)
    lag.record_active_version(4)
    assert lag.describe(2.0)['behind_seconds'] == 1.0
    lag.record_active_version(5)
    assert lag.describe(3.0)['behind_seconds'] == 0.0
    lag.record_answer(version=7, now=4.0)
    assert lag.describe(5.0)['behind_seconds'] == 1.0


def test_a_version_is_current_while_an_up_to_date_replica_confirms_it():
    """Guards against refusals by a host that newer versions do not reach."""
    lag = lags.create_lag()
    assert not lag.is_current(0.0)
    lag.record_answer(version=4, now=1.0)
    assert not lag.is_current(1.0)
    lag.record_active_version(4)
    assert lag.is_current(1.0 + lags.MAX_CONFIRMATION_AGE_SECONDS)
    lag.record_answer(version=4, now=3.0, is_up_to_date=False)
    assert not lag.is_current(3.0)
    lag.record_answer(version=4, now=3.5)
    assert lag.is_current(4.0)
    lag.record_answer(version=5, now=4.0)
    assert not lag.is_current(4.0)


def test_a_version_is_obsolete_once_a_newer_one_is_heard_of_too_late():
    """Guards against requests by routes that were replaced seconds ago."""
    lag = lags.create_lag()
    lag.record_answer(20, 0.0)
    lag.record_active_version(20)
    lag.record_answer(20, 0.6)
    # No replica answers for six seconds: the version may be the newest.
    assert not lag.is_obsolete(6.0)
    lag.record_answer(84, 6.7)
    assert lag.is_obsolete(6.7)
    lag.record_active_version(84)
    assert not lag.is_obsolete(6.8)


def test_a_version_is_used_while_the_next_one_is_on_its_way():
    """Guards against refusals at each change of the configuration."""
    lag = lags.create_lag()
    lag.record_answer(1, 0.0)
    lag.record_active_version(1)
    for now in (0.7, 1.4):
        lag.record_answer(1, now)
    lag.record_answer(2, 2.0)
    assert not lag.is_obsolete(3.0)
    assert lag.is_obsolete(1.5 + lags.MAX_OBSOLETE_SECONDS)


def test_a_version_is_confirmed_by_replicas_that_know_the_newest_one():
    """Guards against a host that is cut off and counts as in contact."""
    lag = lags.create_lag()
    assert not lag.was_confirmed_since(0.0)
    lag.record_answer(1, 1.0)
    lag.record_active_version(1)
    lag.record_answer(1, 2.0)
    lag.record_answer(1, 3.0, is_up_to_date=False)
    assert lag.was_confirmed_since(2.0)
    assert not lag.was_confirmed_since(2.1)
    lag.record_answer(2, 4.0)
    assert not lag.was_confirmed_since(2.1)
    lag.record_active_version(2)
    assert lag.was_confirmed_since(4.0)
