"""Claims on idempotency keys, as a state machine of the replicated log.

An attempt may send its first byte to an upstream only after its claim was
granted. Every replica applies the same commands in the same order, so nothing
here reads a clock or draws a random number: ``now`` is the wall time, in
seconds, that the leader puts into a command. A lower ``now`` than before is
raised to the highest so far.

Commands and answers are thrift structs, as they travel between the processes.

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
_State = keys.KeyState
_Claimed = keys.ClaimState


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimPolicy:
    """Limits of the store; the same on every replica.

    :param max_keys: keys that claims may create.
    :param spare_keys: further keys that only early releases may create.
    :param max_bytes: bytes of all records, as they are counted.
    :param margin: seconds after its deadline until an attempt reads as
        unknown.
    :param max_released: released attempts that are remembered for a key.
    """

    max_keys: int = 1_000_000
    spare_keys: int = 65_536
    max_bytes: int = 2 * 1024**3
    margin: float = 1.0
    max_released: int = 1024


class KeyLifetimes(typing.Protocol):
    """Lifetimes of keys, from the configuration in the same log."""

    def find_lifetime(self, service: str) -> float:
        """Return how long keys of a service are kept, in seconds."""


class FixedLifetimes:
    """The same lifetime for every service."""

    def __init__(self, seconds: float = DEFAULT_LIFETIME_SECONDS) -> None:
        """Keep the lifetime."""
        self._seconds = seconds

    def find_lifetime(self, service: str) -> float:
        """Return how long keys of a service are kept, in seconds."""
        return self._seconds


class ClaimTable:
    """All keys. Use :func:`create_claim_table`."""

    def __init__(self, policy: ClaimPolicy, lifetimes: KeyLifetimes) -> None:
        """Start without keys."""
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
        """Return the bytes of all records, as they are counted."""
        return self._bytes

    def claim(self, request: messages.Struct, now: float) -> messages.Struct:
        """Claim a key for an attempt.

        The claim of the running attempt itself is granted again, since the
        answer to the first one may have been lost.

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
            return requests.create_answer(_Claimed.RELEASED)
        if record.fingerprint not in {None, request.fingerprint or b''}:
            return requests.create_answer(_Claimed.MISMATCH)
        if record.state is _State.FINISHED:
            return requests.create_answer(_Claimed.FINISHED, record.answer)
        if record.state is _State.RELEASED:
            return requests.create_answer(
                self._claim_released(scope, record, request, now)
            )
        return requests.create_answer(self._claim_taken(record, request))

    def finish(self, request: messages.Struct, now: float) -> bool:
        """Store the answer of the running attempt, or that it is unknown.

        :param request: a thrift ``FinishKey``.
        :param now: wall seconds.
        :returns: whether the attempt was running; if not, nothing changes.
        """
        now = self._advance(now)
        scope = requests.read_scope(request)
        record = self._find(scope, now)
        if record is None or not requests.is_running(record, request):
            return False
        if request.state != _Claimed.FINISHED.value:
            ended = dataclasses.replace(record, state=_State.UNKNOWN)
        else:
            room = self._policy.max_bytes - self._bytes
            ended = dataclasses.replace(
                record,
                state=_State.FINISHED,
                answer=records.bound_answer(request.answer, room),
            )
        self._replace(scope, record, ended)
        return True

    def release(self, request: messages.Struct, now: float) -> bool:
        """Note that an attempt sent nothing and will not run.

        A release that arrives before its claim is remembered, so that the
        claim is not granted.

        :param request: a thrift ``ReleaseKey``.
        :param now: wall seconds.
        :returns: whether the attempt is released; if not, it may have run or
            the store has no room to remember it.
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
            return self._remember_released(scope, record, attempt)
        if record.state is not _State.RUNNING:
            return False
        released = dataclasses.replace(
            record,
            state=_State.RELEASED,
            released=(*record.released, attempt),
        )
        self._replace(scope, record, released)
        return True

    def expire(self, now: float) -> int:
        """Forget keys whose lifetime has passed.

        :param now: wall seconds.
        :returns: the number of keys forgotten.
        """
        now = self._advance(now)
        forgotten = 0
        for scope in self._expiries.pop_due(now):
            record = self._records.get(scope)
            if record is None:
                continue
            if record.expires > now:
                self._expiries.add(scope, record.expires)
            else:
                self._forget(scope, record)
                forgotten += 1
        return forgotten

    def take_snapshot(self) -> bytes:
        """Return the whole table."""
        return self.freeze().encode()

    def freeze(self) -> snapshots.Table:
        """Return the table as it is now; later commands do not change it.

        Encoding a large table takes seconds. The frozen one may be encoded in
        another thread while this one goes on.
        """
        return snapshots.Table(self._now, self._records.copy())

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole table.

        :param snapshot: what :meth:`take_snapshot` returned.
        :raises ValueError: if the bytes are not a snapshot.
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
        """Return a record that has not expired, brought up to date."""
        record = self._records.get(scope)
        if record is None:
            return None
        if record.expires <= now:
            self._forget(scope, record)
            return None
        if record.state is _State.RUNNING and record.deadline <= now:
            lapsed = dataclasses.replace(record, state=_State.UNKNOWN)
            self._replace(scope, record, lapsed)
            return lapsed
        return record

    def _forget(self, scope: keys.Scope, record: records.Record) -> None:
        self._bytes -= record.count_bytes()
        self._records.pop(scope)

    def _claim_new(
        self,
        scope: keys.Scope,
        request: messages.Struct,
        now: float,
    ) -> keys.ClaimState:
        if self._is_full(self._policy.max_keys):
            return _Claimed.FULL
        self._add(scope, self._grant(None, request, now))
        return _Claimed.GRANTED

    def _claim_released(
        self,
        scope: keys.Scope,
        record: records.Record,
        request: messages.Struct,
        now: float,
    ) -> keys.ClaimState:
        if not self._has_room_for_attempt(record):
            return _Claimed.FULL
        self._replace(scope, record, self._grant(record, request, now))
        return _Claimed.GRANTED

    def _claim_taken(
        self,
        record: records.Record,
        request: messages.Struct,
    ) -> keys.ClaimState:
        if record.state is _State.UNKNOWN:
            return _Claimed.UNKNOWN
        is_resent = record.attempt == requests.read_attempt(request)
        return _Claimed.GRANTED if is_resent else _Claimed.RUNNING

    def _grant(
        self,
        before: records.Record | None,
        request: messages.Struct,
        now: float,
    ) -> records.Record:
        seconds = max(0, request.deadline_ms or 0) / _MILLISECONDS
        deadline = now + seconds + self._policy.margin
        lifetime = self._lifetimes.find_lifetime(request.service_name)
        return records.Record(
            state=_State.RUNNING,
            attempt=requests.read_attempt(request),
            host=requests.share_host(request.host),
            fingerprint=request.fingerprint or b'',
            deadline=deadline,
            expires=max(
                deadline,
                now + lifetime,
                before.expires if before else 0,
            ),
            released=before.released if before else (),
        )

    def _add(self, scope: keys.Scope, record: records.Record) -> None:
        self._records[scope] = record
        self._bytes += record.count_bytes()
        self._expiries.add(scope, record.expires)

    def _replace(
        self,
        scope: keys.Scope,
        before: records.Record,
        after: records.Record,
    ) -> None:
        self._records[scope] = after
        self._bytes += after.count_bytes() - before.count_bytes()

    def _release_early(
        self,
        scope: keys.Scope,
        request: messages.Struct,
        now: float,
    ) -> bool:
        if self._is_full(self._policy.max_keys + self._policy.spare_keys):
            return False
        lifetime = self._lifetimes.find_lifetime(request.service_name)
        record = records.Record(
            _State.RELEASED,
            attempt='',
            host='',
            fingerprint=None,
            deadline=0,
            expires=now + lifetime,
            released=(requests.read_attempt(request),),
        )
        self._add(scope, record)
        return True

    def _remember_released(
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
    """Return a table without keys.

    :param policy: limits; the defaults keep 1,000,000 keys.
    :param lifetimes: lifetimes of keys; 24 h by default.
    """
    return ClaimTable(policy or ClaimPolicy(), lifetimes or FixedLifetimes())
