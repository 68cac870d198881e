"""Compares the claim table with a simple model under random commands."""

import dataclasses

import hypothesis
import pytest

from hypothesis import stateful
from hypothesis import strategies as st

from wagtailspread.idempotency import claims, records
from wagtailspread.idempotency.tests import test_claims as factories

KEYS = st.sampled_from(['k1', 'k2', 'k3'])
ATTEMPTS = st.sampled_from(['a1', 'a2', 'a3', 'a4'])
LIFETIME_SECONDS = 100
MARGIN_SECONDS = 1.0
SETTINGS = hypothesis.settings(
    max_examples=100,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
#: A test with a faulty table only has to fail; shrinking is not needed.
FAULTY_TABLE_SETTINGS = hypothesis.settings(
    SETTINGS,
    max_examples=2000,
    phases=[hypothesis.Phase.generate],
)


class ModelTable:
    """Model that stores all events of a key and derives each answer."""

    def __init__(self):
        """Create a model without events."""
        self.events = {}

    def claim(self, key, attempt, fingerprint, deadline, now):
        """Return the expected state of the answer to a claim."""
        events = self.list_events(key, now)
        released = {event[1] for event in events if event[0] == 'release'}
        granted = [event for event in events if event[0] == 'grant']
        ends = {event[1]: event for event in events if event[0] == 'end'}
        if attempt in released:
            return 'released'
        if granted and granted[0][2] != fingerprint:
            return 'mismatch'
        running = [event for event in granted if event[1] not in released]
        if not running:
            ends_at = now + deadline + MARGIN_SECONDS
            expires = max(now + LIFETIME_SECONDS, ends_at)
            event = ('grant', attempt, fingerprint, ends_at, expires)
            self.events.setdefault(key, []).append(event)
            return 'granted'
        last = running[-1]
        if last[1] in ends:
            return ends[last[1]][2]
        if last[3] <= now:
            return 'unknown'
        return 'granted' if last[1] == attempt else 'running'

    def finish(self, key, attempt, state, now):
        """Record the end of the running attempt."""
        if self.is_running(key, attempt, now):
            self.events[key].append(('end', attempt, state, 0, 0))

    def release(self, key, attempt, now):
        """Record a release unless the attempt may have run."""
        events = self.list_events(key, now)
        granted = {event[1] for event in events if event[0] == 'grant'}
        if attempt in granted and not self.is_running(key, attempt, now):
            return
        expires = now + LIFETIME_SECONDS if not events else 0
        event = ('release', attempt, None, 0, expires)
        self.events.setdefault(key, []).append(event)

    def is_running(self, key, attempt, now):
        """Return whether the attempt was granted and has not ended."""
        events = self.list_events(key, now)
        if any(event[:2] == ('release', attempt) for event in events):
            return False
        if any(event[:2] == ('end', attempt) for event in events):
            return False
        return any(
            event[:2] == ('grant', attempt) and event[3] > now
            for event in events
        )

    def list_events(self, key, now):
        """Return the events of a key, none once it has expired."""
        events = self.events.get(key, [])
        if events and max(event[4] for event in events) <= now:
            self.events.pop(key)
            return []
        return events


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Compares the table with the model after every command."""

    policy = claims.ClaimPolicy(margin=MARGIN_SECONDS)
    table_type = claims.ClaimTable

    def __init__(self):
        """Create an empty table and an empty model at time 0."""
        super().__init__()
        self.now = 0.0
        self.table = self.create()
        self.model = ModelTable()
        self.granted = {}
        self.frozen = None
        self.released = set()

    def create(self):
        """Return an empty table."""
        return self.table_type(
            self.policy, claims.FixedLifetimes(LIFETIME_SECONDS)
        )

    @stateful.rule(seconds=st.sampled_from([0.25, 0.5, 2.0, 99.0]))
    def wait(self, seconds):
        """Advance the clock."""
        self.now += seconds

    @stateful.rule(
        key=KEYS,
        attempt=ATTEMPTS,
        fingerprint=st.sampled_from([b'f', b'f', b'f', b'g']),
        deadline=st.sampled_from([1, 2, 150]),
        lag=st.sampled_from([0, 0, 5]),
    )
    def claim(self, key, attempt, fingerprint, deadline, lag):
        """Claim a key; the leader's clock may lag."""
        request = factories.create_claim(
            attempt,
            key,
            fingerprint,
            deadline_ms=deadline * 1000,
        )
        self.table.expire(self.now)
        state = self.table.claim(request, self.now - lag).state
        expected = self.model.claim(
            key,
            attempt,
            fingerprint,
            deadline,
            self.now,
        )
        assert state == expected
        if state == 'granted':
            assert (key, attempt) not in self.released
            others = self.granted.setdefault(key, {})
            for other, ends_at in others.items():
                is_over = (key, other) in self.released
                assert other == attempt or is_over or ends_at <= self.now
            others.setdefault(attempt, self.now + LIFETIME_SECONDS)

    @stateful.rule(
        key=KEYS,
        attempt=ATTEMPTS,
        state=st.sampled_from(['finished', 'unknown']),
    )
    def finish(self, key, attempt, state):
        """End an attempt."""
        finish = factories.create_finish(attempt, state, key, attempt.encode())
        self.table.finish(finish, self.now)
        self.model.finish(key, attempt, state, self.now)

    @stateful.rule(key=KEYS, attempt=ATTEMPTS)
    def release(self, key, attempt):
        """Release an attempt, possibly one that was never claimed."""
        self.model.release(key, attempt, self.now)
        request = factories.create_release(attempt, key)
        if self.table.release(request, self.now):
            self.released.add((key, attempt))

    @stateful.rule(is_used=st.booleans())
    def restart(self, is_used):
        """Take a snapshot and optionally continue from it."""
        snapshot = self.table.take_snapshot()
        self.frozen = (self.table.freeze(), snapshot)
        other = self.create()
        other.restore(snapshot)
        assert other.take_snapshot() == snapshot
        assert other.bytes_used == self.table.bytes_used
        if is_used:
            self.table = other

    @stateful.rule()
    def expire(self):
        """Remove expired keys with their released attempts."""
        self.table.expire(self.now)

    @stateful.invariant()
    def stored_answers_are_the_first_ones(self):
        """Check that the stored body is that of the first finished attempt."""
        for key, events in list(self.model.events.items()):
            finished = [event[1] for event in events if event[2] == 'finished']
            list_events = self.model.list_events(key, self.now)
            if finished and list_events:
                grants = [event for event in list_events if event[0] == 'grant']
                request = factories.create_claim('a9', key, grants[0][2])
                answer = self.table.claim(request, self.now)
                assert answer.state == 'finished'
                assert answer.answer.body == finished[0].encode()

    @stateful.invariant()
    def frozen_table_does_not_change(self):
        """Check that later commands do not change a frozen table."""
        if self.frozen:
            table, snapshot = self.frozen
            assert table.encode() == snapshot

    @stateful.invariant()
    def remove_expired(self):
        """Remove attempts of expired keys; no guarantee applies to them."""
        for key in ('k1', 'k2', 'k3'):
            if not self.model.list_events(key, self.now):
                self.granted.pop(key, None)
                self.released = {
                    event for event in self.released if event[0] != key
                }

    @stateful.invariant()
    def bytes_match_the_records(self):
        """Check that the accounted size is the sum over all records."""
        counted = sum(
            record.count_bytes() for record in self.table._records.values()
        )
        assert self.table.bytes_used == counted


class SmallClaimMachine(stateful.RuleBasedStateMachine):
    """Checks that a table with small limits never exceeds them."""

    policy = claims.ClaimPolicy(
        max_keys=3,
        spare_keys=2,
        max_bytes=4000,
        max_released=3,
    )
    table_type = claims.ClaimTable

    def __init__(self):
        """Create an empty table."""
        super().__init__()
        self.table = self.table_type(self.policy, claims.FixedLifetimes())
        self.running = []

    @stateful.rule(key=st.integers(0, 9), attempt=st.integers(0, 4))
    def claim(self, key, attempt):
        """Claim one of more keys than the table can hold."""
        request = factories.create_claim(f'a{attempt}', f'k{key}')
        if self.table.claim(request, 0).state == 'granted':
            self.running.append((request.attempt, request.key))

    @stateful.precondition(lambda machine: machine.running)
    @stateful.rule(
        number=st.integers(0, 9),
        size=st.sampled_from([0, 100, 1500, 3000, 70_000]),
    )
    def finish(self, number, size):
        """Store answers of all sizes."""
        attempt, key = self.running.pop(number % len(self.running))
        finish = factories.create_finish(attempt, key=key, body=b'x' * size)
        self.table.finish(finish, 0)

    @stateful.precondition(lambda machine: machine.running)
    @stateful.rule(number=st.integers(0, 9))
    def release(self, number):
        """Release running attempts."""
        attempt, key = self.running.pop(number % len(self.running))
        self.table.release(factories.create_release(attempt, key), 0)

    @stateful.rule(key=st.integers(0, 9), attempt=st.integers(5, 9))
    def release_early(self, key, attempt):
        """Release attempts of more keys than the table can hold, unclaimed."""
        self.table.release(
            factories.create_release(f'a{attempt}', f'k{key}'), 0
        )

    @stateful.invariant()
    def stays_inside_its_limits(self):
        """Check the limits of keys, bytes and released attempts."""
        assert len(self.table) <= 5
        assert self.table.bytes_used <= 4000
        for record in self.table._records.values():
            assert len(record.released) <= 4


ClaimMachine.TestCase.settings = SETTINGS
TestClaimMachine = ClaimMachine.TestCase
SmallClaimMachine.TestCase.settings = SETTINGS
TestSmallClaimMachine = SmallClaimMachine.TestCase


class DoubleGrantTable(claims.ClaimTable):
    """Grants a key to a second attempt while the first is running."""

    def _claim_unreleased(self, record, request):
        return claims.keys.ClaimState.GRANTED


class MutableSnapshotTable(claims.ClaimTable):
    """Returns a snapshot that shares the mutable dictionary."""

    def freeze(self):
        return claims.snapshots.Table(self._now, self._records)


class LostReleaseTable(claims.ClaimTable):
    """Does not store releases that arrive before their claim."""

    def _release_early(self, scope, request, now):
        return True


class ReleasedOnTimeoutTable(claims.ClaimTable):
    """Releases a key when the deadline of its attempt has passed."""

    def _find(self, scope, now):
        record = super()._find(scope, now)
        if record and record.state is claims.keys.KeyState.UNKNOWN:
            return dataclasses.replace(
                record,
                state=claims.keys.KeyState.RELEASED,
            )
        return record


class OverwrittenAnswerTable(claims.ClaimTable):
    """Replaces the first answer when an attempt finishes a second time."""

    def finish(self, request, now):
        scope = claims.requests.read_scope(request)
        record = self._records.get(scope)
        if record and record.answer:
            answer = records.bound_answer(request.answer, 1000)
            other = dataclasses.replace(record, answer=answer)
            self._replace(scope, record, other)
        return super().finish(request, now)


class IgnoredFingerprintTable(claims.ClaimTable):
    """Treats all requests with the same key as equal."""

    def claim(self, request, now):
        request.fingerprint = b'f'
        return super().claim(request, now)


class NonMonotonicTable(claims.ClaimTable):
    """Accepts a time that is lower than an earlier one."""

    def _advance(self, now):
        return now


class UnlimitedTable(claims.ClaimTable):
    """Has no limit of keys or bytes."""

    def _is_full(self, max_keys):
        return False


class LargeAnswerTable(claims.ClaimTable):
    """Stores answers regardless of the available bytes."""

    def finish(self, request, now):
        self._bytes -= 10**6
        is_running = super().finish(request, now)
        self._bytes += 10**6
        return is_running


@pytest.mark.parametrize(
    ('machine', 'broken'),
    [
        (ClaimMachine, DoubleGrantTable),
        (ClaimMachine, MutableSnapshotTable),
        (ClaimMachine, LostReleaseTable),
        (ClaimMachine, ReleasedOnTimeoutTable),
        (ClaimMachine, OverwrittenAnswerTable),
        (ClaimMachine, IgnoredFingerprintTable),
        (ClaimMachine, NonMonotonicTable),
        (SmallClaimMachine, UnlimitedTable),
        (SmallClaimMachine, LargeAnswerTable),
    ],
)
def test_machine_detects_a_faulty_table(machine, broken):
    """Guards against a state machine that accepts any behaviour."""
    other = type(broken.__name__, (machine,), {'table_type': broken})
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            other, settings=FAULTY_TABLE_SETTINGS
        )
