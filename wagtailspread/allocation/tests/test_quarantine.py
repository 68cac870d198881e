"""Tests of the quarantine and of the evidence that it holds back."""

import pytest

from wagtailspread.allocation import quarantine
from wagtailspread.allocation.tests import builders, test_faults
from wagtailspread.core import outcomes

RESET = outcomes.ExchangeResult.RESET
POISON = b'poison'


def make_evidence(number):
    """Return the reset of the upstream with this number."""
    return quarantine.ResetEvidence(f'u{number}', 'h1', 'd0', 0.1)


def replay(resets, until, seconds=60.0):
    """Return the upstreams whose evidence counts, and the table.

    :param resets: rows of time, upstream number and fingerprint.
    """
    table = quarantine.CrashTable(seconds)
    counted = []
    for now, number, fingerprint in resets:
        counted += table.tick(now)
        table.record_reset(fingerprint, make_evidence(number), now)
    counted += table.tick(until)
    return [evidence.upstream for evidence in counted], table


@pytest.mark.parametrize(
    ('resets', 'counted', 'is_quarantined'),
    [
        # Crashes of two upstreams by one request.
        ([(0, 1, POISON), (1, 2, POISON)], [], True),
        # The others that ran beside it are not at fault either.
        ([(0, 1, POISON), (0.1, 1, b'a'), (1, 2, POISON)], [], True),
        # The same upstream twice tells nothing about the request.
        ([(0, 1, POISON), (1, 1, POISON)], [], False),
        # An upstream that resets different requests is at fault.
        ([(0, 1, b'a'), (1, 1, b'b')], ['u1', 'u1'], False),
        # So it is when the requests of one crash are many.
        (
            [(0, 1, b'a'), (0, 1, b'b'), (1, 1, b'c')],
            ['u1', 'u1', 'u1'],
            False,
        ),
        # One crash alone is suspicious, but not yet decided.
        ([(0, 1, b'a'), (0, 1, b'b')], [], False),
    ],
)
def test_crashes_tell_poison_from_faulty_upstreams(
    resets,
    counted,
    is_quarantined,
):
    """Guards against ejections by poison, and against sheltered upstreams."""
    found, table = replay(resets, until=2.0)
    assert found == counted
    assert (table.time_left(POISON, 2.0) > 0) is is_quarantined


def test_single_crash_counts_when_the_suspicion_ends():
    """Guards against evidence that is held back forever."""
    found, _ = replay([(0, 1, POISON)], until=60.0)
    assert found == ['u1']


def test_success_ends_the_suspicion():
    """Guards against a popular request that falls under suspicion."""
    _, table = replay([(0, 1, POISON)], until=1.0)
    table.record_success(POISON)
    assert [evidence.upstream for evidence in table.tick(1.0)] == ['u1']
    table.record_reset(POISON, make_evidence(2), 2.0)
    assert table.time_left(POISON, 2.0) == 0


def test_evidence_of_a_poison_crash_never_counts():
    """Guards against a late ejection of upstreams that poison crashed."""
    crashes = [(0, 1, POISON), (0.1, 1, b'a'), (1, 2, POISON)]
    found, _ = replay(crashes, until=70.0)
    assert not found


def test_quarantine_ends():
    """Guards against a request that is held back forever."""
    _, table = replay([(0, 1, POISON), (1, 2, POISON)], until=2.0)
    assert table.time_left(POISON, 60.9) > 0
    assert table.time_left(POISON, 61.0) == 0


def test_tables_are_bounded():
    """Guards against memory that grows with different fingerprints."""
    table = quarantine.CrashTable(60.0)
    counted = 0
    for number in range(5000):
        fingerprint = str(number).encode()
        table.record_reset(fingerprint, make_evidence(number), number / 1000)
        counted += len(table.tick(number / 1000))
    assert len(table._suspicions) <= 1024
    assert counted >= 5000 - 257


def test_waiting_copies_of_a_poison_request_are_refused():
    """Guards against a third crash by a copy that already waits."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 2, slots=1)
    decisions = builders.submit_all(coordinator, 2, fingerprint=POISON)
    copies = builders.submit_all(coordinator, 3, fingerprint=POISON)
    assert not copies
    builders.submit_all(coordinator, 1, fingerprint=b'other')
    grants = builders.list_grants(decisions)
    builders.complete_all(coordinator, grants, 0.1, RESET)
    decided = coordinator.tick(0.1)
    reasons = builders.list_reasons(decided)
    assert reasons.count(outcomes.RefusalReason.QUARANTINED) == 3
    assert len(builders.list_grants(decided)) == 1


def test_quarantined_request_is_refused_and_others_run():
    """Guards against a third crash, and against a quarantine of all."""
    judge = test_faults.RecordingJudge()
    coordinator = builders.make_coordinator(judge)
    builders.announce_all(coordinator, 3)
    for now in (0.0, 0.5):
        decisions = builders.submit_all(
            coordinator,
            1,
            now,
            fingerprint=POISON,
            excluded=('u0',) if now else ('u1', 'u2'),
            deadline=now + 1,
        )
        grants = builders.list_grants(decisions)
        builders.complete_all(coordinator, grants, now + 0.1, RESET)
    refused = builders.submit_all(coordinator, 1, 0.9, fingerprint=POISON)
    granted = builders.submit_all(coordinator, 1, 0.9, fingerprint=b'other')
    assert builders.list_reasons(refused) == [
        outcomes.RefusalReason.QUARANTINED,
    ]
    assert builders.list_grants(granted)
    assert judge.evidence == []
