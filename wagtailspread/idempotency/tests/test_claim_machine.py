"""The claim table against a naive model, under any order of commands."""

import dataclasses

import hypothesis
import pytest

from hypothesis import stateful
from hypothesis import strategies as st

from wagtailspread.idempotency import claims, records
from wagtailspread.idempotency.tests import test_claims as build

KEYS = st.sampled_from(['k1', 'k2', 'k3'])
ATTEMPTS = st.sampled_from(['a1', 'a2', 'a3', 'a4'])
LIFETIME = 100
MARGIN = 1.0
SETTINGS = hypothesis.settings(
    max_examples=100,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
#: A machine with a broken table only has to fail, not to fail briefly.
BROKEN_SETTINGS = hypothesis.settings(
    SETTINGS,
    max_examples=2000,
    phases=[hypothesis.Phase.generate],
)


class NaiveTable:
    """Keeps every event of a key and derives each answer from all of them."""

    def __init__(self):
        """Start without events."""
        self.events = {}

    def claim(self, key, attempt, fingerprint, deadline, now):
        """Return the state that the claim should be answered with."""
        events = self.live(key, now)
        released = {one[1] for one in events if one[0] == 'release'}
        granted = [one for one in events if one[0] == 'grant']
        ends = {one[1]: one for one in events if one[0] == 'end'}
        if attempt in released:
            return 'released'
        if granted and granted[0][2] != fingerprint:
            return 'mismatch'
        running = [one for one in granted if one[1] not in released]
        if not running:
            ends_at = now + deadline + MARGIN
            expires = max(now + LIFETIME, ends_at)
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
        """Note the end of the running attempt."""
        if self.is_running(key, attempt, now):
            self.events[key].append(('end', attempt, state, 0, 0))

    def release(self, key, attempt, now):
        """Note a release unless the attempt may have run."""
        events = self.live(key, now)
        granted = {one[1] for one in events if one[0] == 'grant'}
        if attempt in granted and not self.is_running(key, attempt, now):
            return
        expires = now + LIFETIME if not events else 0
        event = ('release', attempt, None, 0, expires)
        self.events.setdefault(key, []).append(event)

    def is_running(self, key, attempt, now):
        """Tell whether the attempt was granted and has not ended."""
        events = self.live(key, now)
        if any(one[:2] == ('release', attempt) for one in events):
            return False
        if any(one[:2] == ('end', attempt) for one in events):
            return False
        return any(
            one[:2] == ('grant', attempt) and one[3] > now for one in events
        )

    def live(self, key, now):
        """Return the events of a key, none once it has expired."""
        events = self.events.get(key, [])
        if events and max(one[4] for one in events) <= now:
            self.events.pop(key)
            return []
        return events


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Compares the table with the model after every command."""

    policy = claims.ClaimPolicy(margin=MARGIN)
    table_type = claims.ClaimTable

    def __init__(self):
        """Start with an empty table at time 0."""
        super().__init__()
        self.now = 0.0
        self.table = self.create()
        self.model = NaiveTable()
        self.granted = {}
        self.frozen = None
        self.released = set()

    def create(self):
        """Return an empty table."""
        return self.table_type(self.policy, claims.FixedLifetimes(LIFETIME))

    @stateful.rule(seconds=st.sampled_from([0.25, 0.5, 2.0, 99.0]))
    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds

    @stateful.rule(
        key=KEYS,
        attempt=ATTEMPTS,
        fingerprint=st.sampled_from([b'f', b'f', b'f', b'g']),
        deadline=st.sampled_from([1, 2, 150]),
        lag=st.sampled_from([0, 0, 5]),
    )
    def claim(self, key, attempt, fingerprint, deadline, lag):
        """Claim; the leader's clock may be behind."""
        request = build.create_claim(
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
            others.setdefault(attempt, self.now + LIFETIME)

    @stateful.rule(
        key=KEYS,
        attempt=ATTEMPTS,
        state=st.sampled_from(['finished', 'unknown']),
    )
    def finish(self, key, attempt, state):
        """End an attempt."""
        finish = build.create_finish(attempt, state, key, attempt.encode())
        self.table.finish(finish, self.now)
        self.model.finish(key, attempt, state, self.now)

    @stateful.rule(key=KEYS, attempt=ATTEMPTS)
    def release(self, key, attempt):
        """Release an attempt, also one that was never claimed."""
        self.model.release(key, attempt, self.now)
        request = build.create_release(attempt, key)
        if self.table.release(request, self.now):
            self.released.add((key, attempt))

    @stateful.rule(is_used=st.booleans())
    def restart(self, is_used):
        """Take a snapshot, and maybe go on from it."""
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
        """Sweep; a released attempt may be forgotten with its key."""
        self.table.expire(self.now)

    @stateful.invariant()
    def stored_answers_are_the_first_ones(self):
        """The body names the attempt that finished."""
        for key, events in list(self.model.events.items()):
            finished = [one[1] for one in events if one[2] == 'finished']
            live = self.model.live(key, self.now)
            if finished and live:
                grants = [one for one in live if one[0] == 'grant']
                request = build.create_claim('a9', key, grants[0][2])
                answer = self.table.claim(request, self.now)
                assert answer.state == 'finished'
                assert answer.answer.body == finished[0].encode()

    @stateful.invariant()
    def frozen_table_does_not_change(self):
        """A table frozen before later commands encodes to the same bytes."""
        if self.frozen:
            table, snapshot = self.frozen
            assert table.encode() == snapshot

    @stateful.invariant()
    def forget_expired(self):
        """Attempts of expired keys are outside the guarantee."""
        for key in ('k1', 'k2', 'k3'):
            if not self.model.live(key, self.now):
                self.granted.pop(key, None)
                self.released = {one for one in self.released if one[0] != key}

    @stateful.invariant()
    def bytes_match_the_records(self):
        """The count of bytes is that of all records."""
        counted = sum(
            record.count_bytes() for record in self.table._records.values()
        )
        assert self.table.bytes_used == counted


class SmallClaimMachine(stateful.RuleBasedStateMachine):
    """Keeps a table with tight limits inside them."""

    policy = claims.ClaimPolicy(
        max_keys=3,
        spare_keys=2,
        max_bytes=4000,
        max_released=3,
    )
    table_type = claims.ClaimTable

    def __init__(self):
        """Start with an empty table."""
        super().__init__()
        self.table = self.table_type(self.policy, claims.FixedLifetimes())
        self.running = []

    @stateful.rule(key=st.integers(0, 9), attempt=st.integers(0, 4))
    def claim(self, key, attempt):
        """Claim one of more keys than fit."""
        request = build.create_claim(f'a{attempt}', f'k{key}')
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
        finish = build.create_finish(attempt, key=key, body=b'x' * size)
        self.table.finish(finish, 0)

    @stateful.precondition(lambda machine: machine.running)
    @stateful.rule(number=st.integers(0, 9))
    def release(self, number):
        """Release running attempts."""
        attempt, key = self.running.pop(number % len(self.running))
        self.table.release(build.create_release(attempt, key), 0)

    @stateful.rule(key=st.integers(0, 9), attempt=st.integers(5, 9))
    def release_early(self, key, attempt):
        """Release attempts of more keys than fit, before any claim."""
        self.table.release(build.create_release(f'a{attempt}', f'k{key}'), 0)

    @stateful.invariant()
    def stays_inside_its_limits(self):
        """Keys and bytes are bounded at any time."""
        assert len(self.table) <= 5
        assert self.table.bytes_used <= 4000
        for record in self.table._records.values():
            assert len(record.released) <= 4


ClaimMachine.TestCase.settings = SETTINGS
TestClaimMachine = ClaimMachine.TestCase
SmallClaimMachine.TestCase.settings = SETTINGS
TestSmallClaimMachine = SmallClaimMachine.TestCase


class GrantsAgain(claims.ClaimTable):
    """Grants a key whose attempt is running to another one."""

    def _claim_taken(self, record, request):
        return claims.keys.ClaimState.GRANTED


class SharesRecords(claims.ClaimTable):
    """Freezes the dictionary that it goes on to change."""

    def freeze(self):
        return claims.snapshots.Table(self._now, self._records)


class ForgetsReleases(claims.ClaimTable):
    """Does not remember releases that come before their claim."""

    def _release_early(self, scope, request, now):
        return True


class RevivesLapsed(claims.ClaimTable):
    """Frees a key when the deadline of its attempt has passed."""

    def _find(self, scope, now):
        record = super()._find(scope, now)
        if record and record.state is claims.keys.KeyState.UNKNOWN:
            return dataclasses.replace(
                record,
                state=claims.keys.KeyState.RELEASED,
            )
        return record


class OverwritesAnswers(claims.ClaimTable):
    """Lets a second end of an attempt replace the first answer."""

    def finish(self, request, now):
        scope = claims.requests.read_scope(request)
        record = self._records.get(scope)
        if record and record.answer:
            answer = records.bound_answer(request.answer, 1000)
            other = dataclasses.replace(record, answer=answer)
            self._replace(scope, record, other)
        return super().finish(request, now)


class IgnoresFingerprints(claims.ClaimTable):
    """Takes every request with a key for the same one."""

    def claim(self, request, now):
        request.fingerprint = b'f'
        return super().claim(request, now)


class TimeGoesBack(claims.ClaimTable):
    """Believes each leader's clock."""

    def _advance(self, now):
        return now


class NeverFull(claims.ClaimTable):
    """Has no limit of keys or bytes."""

    def _is_full(self, max_keys):
        return False


class KeepsLargeAnswers(claims.ClaimTable):
    """Stores answers without regard to the room left."""

    def finish(self, request, now):
        self._bytes -= 10**6
        is_running = super().finish(request, now)
        self._bytes += 10**6
        return is_running


@pytest.mark.parametrize(
    ('machine', 'broken'),
    [
        (ClaimMachine, GrantsAgain),
        (ClaimMachine, SharesRecords),
        (ClaimMachine, ForgetsReleases),
        (ClaimMachine, RevivesLapsed),
        (ClaimMachine, OverwritesAnswers),
        (ClaimMachine, IgnoresFingerprints),
        (ClaimMachine, TimeGoesBack),
        (SmallClaimMachine, NeverFull),
        (SmallClaimMachine, KeepsLargeAnswers),
    ],
)
def test_machine_finds_a_broken_table(machine, broken):
    """Guards against machines that accept anything."""
    other = type(broken.__name__, (machine,), {'table_type': broken})
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(other, settings=BROKEN_SETTINGS)
