"""Tests of the quarantine and of deferred evidence."""

import pytest

from wagtailspread.allocation import quarantine
from wagtailspread.allocation.tests import builders, test_faults
from wagtailspread.core import outcomes

RESET = outcomes.ExchangeResult.RESET
POISON = b'poison'


def make_evidence(number):
    """Return the evidence of a reset of the upstream with this number."""
    return quarantine.ResetEvidence(f'u{number}', 'h1', 'd0', 0.1)


def replay(resets, until, seconds=60.0):
    """Return the upstreams of the released evidence, and the table.

    :param resets: tuples of time in seconds, upstream number and fingerprint.
    :param until: time of the last tick in seconds.
    :param seconds: duration of the quarantine.
    """
    table = quarantine.CrashTable(seconds)
    released = []
    for now, number, fingerprint in resets:
        released += table.tick(now)
        table.record_reset(fingerprint, make_evidence(number), now)
    released += table.tick(until)
    return [evidence.upstream for evidence in released], table


@pytest.mark.parametrize(
    ('resets', 'released', 'is_quarantined'),
    [
        # One request crashes two upstreams.
        ([(0, 1, POISON), (1, 2, POISON)], [], True),
        # Resets of concurrent requests are not evidence either.
        ([(0, 1, POISON), (0.1, 1, b'a'), (1, 2, POISON)], [], True),
        # Two crashes of the same upstream are no evidence against the request.
        ([(0, 1, POISON), (1, 1, POISON)], [], False),
        # An upstream that resets different requests is at fault.
        ([(0, 1, b'a'), (1, 1, b'b')], ['u1', 'u1'], False),
        # The same applies if several requests were reset in one crash.
        (
            [(0, 1, b'a'), (0, 1, b'b'), (1, 1, b'c')],
            ['u1', 'u1', 'u1'],
            False,
        ),
        # The evidence of a single crash is deferred.
        ([(0, 1, b'a'), (0, 1, b'b')], [], False),
    ],
)
def test_poison_is_distinguished_from_faulty_upstreams(
    resets,
    released,
    is_quarantined,
):
    """Guards against ejections for poison requests, and missing ejections."""
    upstreams, table = replay(resets, until=2.0)
    assert upstreams == released
    assert (table.get_remaining_time(POISON, 2.0) > 0) is is_quarantined


def test_evidence_of_a_single_crash_is_released_after_the_suspicion():
    """Guards against evidence that is deferred forever."""
    upstreams, _ = replay([(0, 1, POISON)], until=60.0)
    assert upstreams == ['u1']


def test_success_ends_the_suspicion():
    """Guards against the quarantine of a frequent harmless request."""
    _, table = replay([(0, 1, POISON)], until=1.0)
    table.record_success(POISON)
    assert [evidence.upstream for evidence in table.tick(1.0)] == ['u1']
    table.record_reset(POISON, make_evidence(2), 2.0)
    assert table.get_remaining_time(POISON, 2.0) == 0


def test_evidence_of_a_poison_crash_is_discarded():
    """Guards against a late ejection of upstreams that poison has crashed."""
    crashes = [(0, 1, POISON), (0.1, 1, b'a'), (1, 2, POISON)]
    upstreams, _ = replay(crashes, until=70.0)
    assert not upstreams


def test_quarantine_ends():
    """Guards against a request that is quarantined forever."""
    _, table = replay([(0, 1, POISON), (1, 2, POISON)], until=2.0)
    assert table.get_remaining_time(POISON, 60.9) > 0
    assert table.get_remaining_time(POISON, 61.0) == 0


def test_tables_are_bounded():
    """Guards against memory growth with the number of fingerprints."""
    table = quarantine.CrashTable(60.0)
    released = 0
    for number in range(5000):
        fingerprint = str(number).encode()
        table.record_reset(fingerprint, make_evidence(number), number / 1000)
        released += len(table.tick(number / 1000))
    assert len(table._suspicions) <= 1024
    assert released >= 5000 - 257


def test_waiting_copies_of_a_poison_request_are_refused():
    """Guards against a third crash by a copy that is already queued."""
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
    """Guards against a third crash, and against refusal of all requests."""
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
