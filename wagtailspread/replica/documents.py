"""Writes and reads of the configuration document at any replica.

A follower forwards each call to the leader. A put is confirmed once enough
disks store it; only a leader that holds its lease answers a read.
"""

import asyncio
import typing

import logbook

from returns import result

from wagtailspread.configuration import documents
from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.replica import drivers, machines, packing
from wagtailspread.wire import links, listeners, messages

#: Time limit of one put or read, in seconds. It is below one second because
#: callers try another replica after that time.
OPERATION_TIMEOUT_SECONDS = 0.9
#: Delay before the leader is looked up or called again, in seconds.
RETRY_DELAY_SECONDS = 0.05
#: Time limit of one call to the leader, in seconds. After a timeout the
#: connection is replaced, because it may no longer carry data.
CALL_TIMEOUT_SECONDS = 0.45
#: Time since the last request of the leader after which a follower counts as
#: disconnected from the quorum, in seconds.
LEADER_CONTACT_SECONDS = 1.2
#: Time since the last request of the leader up to which the commit index of a
#: follower counts as current, in seconds: two heartbeat intervals.
COMMIT_MAX_AGE_SECONDS = 0.5

_log = logbook.Logger('documents')


class TooFewReplicas(failures.Failure):
    """A quorum stores too few copies to survive the tolerated losses."""


class DocumentNotStored(failures.Failure):
    """The put raised an exception in the state machine of each replica."""


Outcome = result.Result[messages.Struct, failures.Failure]


class DocumentService:
    """Access to the document at one replica, for one run of its driver.

    :param tolerated_losses: number of lost disks that a confirmed change must
        survive.
    :param saved: copy of the document that this replica had applied before
        the start.
    """

    def __init__(
        self,
        driver: drivers.Driver,
        pool: links.LinkPool,
        clock: clocks.Clock,
        tolerated_losses: int,
        saved: documents.VersionedDocument,
    ) -> None:
        """Create the service; :meth:`register` adds its handlers."""
        self._saved = saved
        self._driver = driver
        self._pool = pool
        self._clock = clock
        self._tolerated_losses = tolerated_losses

    def register(self, listener: listeners.Listener) -> None:
        """Add the handlers for calls of other replicas."""
        structs = messages.structs
        listener.add(
            messages.methods.PUT_DOCUMENT,
            structs.DocumentState,
            self._answer_put,
        )
        listener.add(
            messages.methods.READ_DOCUMENT,
            structs.Empty,
            self._answer_read,
        )

    async def put(self, version: int, body: bytes) -> bool:
        """Put a document and tell whether the put is confirmed.

        A document whose version is not higher than the stored one is confirmed
        without being stored. After ``False`` the document may still be
        committed later.
        """
        request = packing.pack(version, body)
        outcome = await self._run(
            lambda: self._put_locally(request),
            messages.methods.PUT_DOCUMENT,
            request,
            messages.structs.DocumentAnswer,
        )
        return isinstance(outcome, result.Success)

    async def read(self) -> documents.VersionedDocument | None:
        """Return the newest committed document.

        :returns: ``None`` if there is no document, if it is damaged or if no
            leader answered in time.
        """
        outcome = await self._run(
            self._read_locally,
            messages.methods.READ_DOCUMENT,
            messages.structs.Empty(),
            messages.structs.DocumentState,
        )
        if not isinstance(outcome, result.Success):
            return None
        try:
            return packing.unpack(outcome.unwrap())
        except packing.DamagedDocument as error:
            _log.error('document damaged', extra={'reason': str(error)})
            return None

    def list_replicas(self) -> list[identifiers.Address]:
        """Return the addresses of all replicas, including this one."""
        nodes = self._driver.replica.state.membership.nodes()
        return [node.address for node in nodes]

    def has_quorum(self) -> bool:
        """Tell whether this replica is in contact with a majority.

        A leader is, because it steps down without a majority; a follower is
        if its last contact with the leader is recent.
        """
        replica = self._driver.replica
        if replica.is_leader:
            return True
        leader_contact_at = replica.state.leader_contact_at
        if replica.state.leader is None or leader_contact_at is None:
            return False
        return self._clock.now() - leader_contact_at < LEADER_CONTACT_SECONDS

    def is_up_to_date(self) -> bool:
        """Tell whether this replica has applied all recently committed entries.

        Recent contact with the leader is not enough: a replica with a slow
        disk receives heartbeats but still lags. A leader without its lease
        may have been replaced.
        """
        state = self._driver.replica.state
        now = self._clock.now()
        if self._driver.applied < state.commit:
            return False
        if self._driver.replica.is_leader:
            index = self._driver.replica.read_index(now)
            return isinstance(index, result.Success)
        leader_contact_at = state.leader_contact_at
        return (
            leader_contact_at is not None
            and now - leader_contact_at < COMMIT_MAX_AGE_SECONDS
        )

    def is_majority(self, others: typing.Iterable[identifiers.Address]) -> bool:
        """Tell whether this replica and others are a majority of the voters.

        A replica that is new or has lost its disk may have no membership yet.
        A learner is no part of a majority.
        """
        state = self._driver.replica.state
        known = frozenset(others)
        informed = [
            voter
            for voter in state.membership.voters
            if voter.identity == state.identity or voter.address in known
        ]
        return bool(informed) and len(informed) >= state.membership.quorum()

    def read_document(self) -> documents.VersionedDocument:
        """Return the newest document that is known to be committed.

        It is the saved copy until this replica has applied that version. It
        may be older than the document that the leader has confirmed.
        """
        applied = self.read_applied()
        is_behind = applied.version < self._saved.version
        return self._saved if is_behind else applied

    def read_applied(self) -> documents.VersionedDocument:
        """Return the newest document that this replica has applied."""
        return typing.cast(machines.StateMachine, self._driver.machine).document

    async def _run(
        self,
        run_locally: typing.Callable[[], typing.Awaitable[Outcome]],
        method: int,
        request: messages.Struct,
        answer_type: typing.Any,
    ) -> Outcome:
        """Run a call locally or at the leader; repeat it until the deadline."""
        deadline = self._clock.now() + OPERATION_TIMEOUT_SECONDS
        outcome: Outcome = result.Failure(failures.NotLeader())
        while (remaining := deadline - self._clock.now()) > 0:
            leader = self._driver.replica.find_leader_address()
            if self._driver.replica.is_leader:
                outcome = await _run_with_timeout(run_locally(), remaining)
            elif leader is not None:
                limit = min(remaining, CALL_TIMEOUT_SECONDS)
                link = self._pool.find(leader)
                outcome = await link.call(method, request, answer_type, limit)
                await self._drop_timed_out_connection(leader, outcome)
            if isinstance(outcome, result.Success):
                return outcome
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return outcome

    async def _drop_timed_out_connection(
        self,
        leader: identifiers.Address,
        outcome: Outcome,
    ) -> None:
        if isinstance(outcome, result.Success):
            return
        if isinstance(outcome.failure(), failures.CallTimeout):
            await self._pool.remove(leader)

    async def _put_locally(self, request: messages.Struct) -> Outcome:
        quorum = self._driver.replica.state.membership.quorum()
        if quorum <= self._tolerated_losses:
            return result.Failure(TooFewReplicas())
        command = machines.encode_command(
            machines.CommandKind.PUT_DOCUMENT,
            request,
            self._clock.wall(),
        )
        outcome = await self._driver.run_command(command)
        if not isinstance(outcome, result.Success):
            return outcome
        payload = outcome.unwrap()
        if not payload:
            # The command raised an exception, so nothing was stored.
            return result.Failure(DocumentNotStored())
        answer = messages.decode_trusted(
            messages.structs.DocumentAnswer,
            payload,
        )
        return result.Success(answer)

    async def _read_locally(self) -> Outcome:
        read_index = self._driver.replica.read_index(self._clock.now())
        if not isinstance(read_index, result.Success):
            return result.Failure(read_index.failure())
        while self._driver.applied < read_index.unwrap():
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        document = self.read_applied()
        if document.version == documents.NO_VERSION:
            return result.Failure(failures.NotLeader())
        return result.Success(packing.pack(document.version, document.body))

    async def _answer_put(
        self,
        call: listeners.Call,
        request: messages.Struct,
    ) -> listeners.HandlerResult:
        if not self._driver.replica.is_leader:
            return result.Failure(failures.NotLeader())
        return await _run_with_timeout(self._put_locally(request), call.timeout)

    async def _answer_read(
        self,
        call: listeners.Call,
        _request: messages.Struct,
    ) -> listeners.HandlerResult:
        if not self._driver.replica.is_leader:
            return result.Failure(failures.NotLeader())
        return await _run_with_timeout(self._read_locally(), call.timeout)


async def _run_with_timeout(
    operation: typing.Awaitable[Outcome],
    seconds: float,
) -> Outcome:
    try:
        async with asyncio.timeout(seconds):
            return await operation
    except TimeoutError:
        return result.Failure(drivers.OutcomeUnknown())
