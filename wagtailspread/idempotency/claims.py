"""Claims on idempotency keys, as a state machine of the replicated log.

An attempt may send its first byte to an upstream only after its claim was
granted. Every replica applies the same commands in the same order, so this
module is deterministic: it reads no clock and uses no random numbers. ``now``
is the wall time in seconds that the leader writes into a command; a value that
is lower than an earlier one is raised to the highest so far.

Commands and answers are the thrift structs that processes exchange.

>>> table = create_claim_table()
>>> request = messages.structs.ClaimKey(
...     service_name='contratos', caller='radio', key='k1', attempt='a1',
...     host='h1', deadline_ms=2000, fingerprint=b'f')
>>> table.claim(request, now=0).state
'granted'
>>> request.attempt = 'a2'
>>> table.claim(request, now=1).state
'running'
"""

import dataclasses
import typing

from wagtailspread.idempotency import (
    expiries,
    keys,
    records,
    requests,
    snapshots,
)
from wagtailspread.wire import messages

#: Default lifetime of a key in seconds.
DEFAULT_LIFETIME_SECONDS = 24 * 60 * 60.0
_MILLISECONDS = 1000.0
_KeyState = keys.KeyState
_ClaimState = keys.ClaimState


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimPolicy:
    """Limits of the store; identical on every replica.

    :param max_keys: maximum number of keys created by claims.
    :param spare_keys: additional keys that only releases without a claim may
        create.
    :param max_bytes: maximum accounted size of all records in bytes.
    :param margin: seconds after its deadline until an attempt is unknown.
    :param max_released: maximum number of released attempts stored per key;
        the release of a running attempt may exceed it by one.
    """

    max_keys: int = 1_000_000
    spare_keys: int = 65_536
    max_bytes: int = 2 * 1024**3
    margin: float = 1.0
    max_released: int = 1024


class KeyLifetimes(typing.Protocol):
    """Lifetimes of keys, from the configuration in the same log."""

    def find_lifetime(self, service: str) -> float:
        """Return how long keys of a service are retained, in seconds."""


class FixedLifetimes:
    """The same lifetime for every service."""

    def __init__(self, seconds: float = DEFAULT_LIFETIME_SECONDS) -> None:
        """Create a source that returns ``seconds`` for every service."""
        self._seconds = seconds

    def find_lifetime(self, service: str) -> float:
        """Return how long keys of a service are retained, in seconds."""
        return self._seconds


class ClaimTable:
    """Table of all idempotency keys. Use :func:`create_claim_table`."""

    def __init__(self, policy: ClaimPolicy, lifetimes: KeyLifetimes) -> None:
        """Create an empty table."""
        self._policy = policy
        self._lifetimes = lifetimes
        self._records: dict[keys.Scope, records.Record] = {}
        self._expiries = expiries.create_expiries()
        self._bytes = 0
        self._now = 0.0

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._records)

    @property
    def bytes_used(self) -> int:
        """Return the accounted size of all records in bytes."""
        return self._bytes

    def claim(self, request: messages.Struct, now: float) -> messages.Struct:
        """Claim a key for an attempt.

        A repeated claim of the running attempt is granted again, since the
        answer to the first claim may have been lost.

        :param request: a thrift ``ClaimKey``.
        :param now: wall seconds.
        :returns: a thrift ``ClaimAnswer``; see :class:`keys.ClaimState`.
        """
        now = self._advance(now)
        scope = requests.read_scope(request)
        record = self._find(scope, now)
        if record is None:
            return requests.create_answer(self._claim_new(scope, request, now))
        if requests.read_attempt(request) in record.released:
            return requests.create_answer(_ClaimState.RELEASED)
        if record.fingerprint not in {None, request.fingerprint or b''}:
            return requests.create_answer(_ClaimState.MISMATCH)
        if record.state is _KeyState.FINISHED:
            return requests.create_answer(_ClaimState.FINISHED, record.answer)
        if record.state is _KeyState.RELEASED:
            return requests.create_answer(
                self._claim_released(scope, record, request, now)
            )
        return requests.create_answer(self._claim_unreleased(record, request))

    def finish(self, request: messages.Struct, now: float) -> bool:
        """Complete the running attempt with its answer or as unknown.

        :param request: a thrift ``FinishKey``.
        :param now: wall seconds.
        :returns: whether the attempt was running; if not, nothing is changed.
        """
        now = self._advance(now)
        scope = requests.read_scope(request)
        record = self._find(scope, now)
        if record is None or not requests.is_running(record, request):
            return False
        if request.state != _ClaimState.FINISHED.value:
            updated = dataclasses.replace(record, state=_KeyState.UNKNOWN)
        else:
            free_bytes = self._policy.max_bytes - self._bytes
            updated = dataclasses.replace(
                record,
                state=_KeyState.FINISHED,
                answer=records.bound_answer(request.answer, free_bytes),
            )
        self._replace(scope, record, updated)
        return True

    def release(self, request: messages.Struct, now: float) -> bool:
        """Release an attempt that sent nothing and will not run.

        A release that arrives before its claim is stored, so the claim is
        rejected later.

        :param request: a thrift ``ReleaseKey``.
        :param now: wall seconds.
        :returns: whether the attempt is released; if not, it may have run or
            the store is full.
        """
        now = self._advance(now)
        scope = requests.read_scope(request)
        record = self._find(scope, now)
        if record is None:
            return self._release_early(scope, request, now)
        attempt = requests.read_attempt(request)
        if attempt in record.released:
            return True
        if record.attempt != attempt:
            return self._add_released_attempt(scope, record, attempt)
        if record.state is not _KeyState.RUNNING:
            return False
        released = dataclasses.replace(
            record,
            state=_KeyState.RELEASED,
            released=(*record.released, attempt),
        )
        self._replace(scope, record, released)
        return True

    def expire(self, now: float) -> int:
        """Remove the keys whose lifetime has passed.

        :param now: wall seconds.
        :returns: the number of removed keys.
        """
        now = self._advance(now)
        expired_count = 0
        for scope in self._expiries.pop_due(now):
            record = self._records.get(scope)
            if record is None:
                continue
            if record.expires > now:
                self._expiries.add(scope, record.expires)
            else:
                self._remove(scope, record)
                expired_count += 1
        return expired_count

    def take_snapshot(self) -> bytes:
        """Return the encoded table."""
        return self.freeze().encode()

    def freeze(self) -> snapshots.Table:
        """Return an immutable copy of the current table.

        Encoding a large table takes seconds. The copy may be encoded in another
        thread while this table applies further commands.
        """
        return snapshots.Table(self._now, self._records.copy())

    def restore(self, snapshot: bytes) -> None:
        """Replace the content of the table by a snapshot.

        :param snapshot: bytes from :meth:`take_snapshot`.
        :raises ValueError: if the bytes are not a valid snapshot.
        """
        table = snapshots.decode_table(snapshot)
        self._now = table.now
        self._records = table.records
        self._expiries = expiries.create_expiries()
        self._bytes = 0
        for scope, record in self._records.items():
            self._expiries.add(scope, record.expires)
            self._bytes += record.count_bytes()

    def _advance(self, now: float) -> float:
        self._now = max(self._now, now)
        return self._now

    def _find(self, scope: keys.Scope, now: float) -> records.Record | None:
        """Return a record unless it has expired.

        A running attempt whose deadline has passed becomes unknown.
        """
        record = self._records.get(scope)
        if record is None:
            return None
        if record.expires <= now:
            self._remove(scope, record)
            return None
        if record.state is _KeyState.RUNNING and record.deadline <= now:
            timed_out = dataclasses.replace(record, state=_KeyState.UNKNOWN)
            self._replace(scope, record, timed_out)
            return timed_out
        return record

    def _remove(self, scope: keys.Scope, record: records.Record) -> None:
        self._bytes -= record.count_bytes()
        self._records.pop(scope)

    def _claim_new(
        self,
        scope: keys.Scope,
        request: messages.Struct,
        now: float,
    ) -> keys.ClaimState:
        if self._is_full(self._policy.max_keys):
            return _ClaimState.FULL
        self._add(scope, self._grant(None, request, now))
        return _ClaimState.GRANTED

    def _claim_released(
        self,
        scope: keys.Scope,
        record: records.Record,
        request: messages.Struct,
        now: float,
    ) -> keys.ClaimState:
        if not self._has_room_for_attempt(record):
            return _ClaimState.FULL
        self._replace(scope, record, self._grant(record, request, now))
        return _ClaimState.GRANTED

    def _claim_unreleased(
        self,
        record: records.Record,
        request: messages.Struct,
    ) -> keys.ClaimState:
        if record.state is _KeyState.UNKNOWN:
            return _ClaimState.UNKNOWN
        is_same_attempt = record.attempt == requests.read_attempt(request)
        return _ClaimState.GRANTED if is_same_attempt else _ClaimState.RUNNING

    def _grant(
        self,
        previous: records.Record | None,
        request: messages.Struct,
        now: float,
    ) -> records.Record:
        seconds = max(0, request.deadline_ms or 0) / _MILLISECONDS
        deadline = now + seconds + self._policy.margin
        lifetime_seconds = self._lifetimes.find_lifetime(request.service_name)
        return records.Record(
            state=_KeyState.RUNNING,
            attempt=requests.read_attempt(request),
            host=requests.intern_host(request.host),
            fingerprint=request.fingerprint or b'',
            deadline=deadline,
            expires=max(
                deadline,
                now + lifetime_seconds,
                previous.expires if previous else 0,
            ),
            released=previous.released if previous else (),
        )

    def _add(self, scope: keys.Scope, record: records.Record) -> None:
        self._records[scope] = record
        self._bytes += record.count_bytes()
        self._expiries.add(scope, record.expires)

    def _replace(
        self,
        scope: keys.Scope,
        previous: records.Record,
        updated: records.Record,
    ) -> None:
        self._records[scope] = updated
        self._bytes += updated.count_bytes() - previous.count_bytes()

    def _release_early(
        self,
        scope: keys.Scope,
        request: messages.Struct,
        now: float,
    ) -> bool:
        if self._is_full(self._policy.max_keys + self._policy.spare_keys):
            return False
        lifetime_seconds = self._lifetimes.find_lifetime(request.service_name)
        record = records.Record(
            _KeyState.RELEASED,
            attempt='',
            host='',
            fingerprint=None,
            deadline=0,
            expires=now + lifetime_seconds,
            released=(requests.read_attempt(request),),
        )
        self._add(scope, record)
        return True

    def _add_released_attempt(
        self,
        scope: keys.Scope,
        record: records.Record,
        attempt: str,
    ) -> bool:
        if not self._has_room_for_attempt(record):
            return False
        released = (*record.released, attempt)
        self._replace(
            scope,
            record,
            dataclasses.replace(record, released=released),
        )
        return True

    def _has_room_for_attempt(self, record: records.Record) -> bool:
        if len(record.released) >= self._policy.max_released:
            return False
        return self._bytes + records.ATTEMPT_BYTES <= self._policy.max_bytes

    def _is_full(self, max_keys: int) -> bool:
        if len(self._records) >= max_keys:
            return True
        needed = records.RECORD_BYTES + records.ATTEMPT_BYTES
        return self._bytes + needed > self._policy.max_bytes


def create_claim_table(
    policy: ClaimPolicy | None = None,
    lifetimes: KeyLifetimes | None = None,
) -> ClaimTable:
    """Return an empty table.

    :param policy: limits; 1,000,000 keys by default.
    :param lifetimes: lifetimes of keys; 24 h by default.
    """
    return ClaimTable(policy or ClaimPolicy(), lifetimes or FixedLifetimes())
