"""Puts and reads the configuration document at any replica.

A replica that does not lead asks the leader. A put is confirmed once enough
disks hold it; a read is only answered by a leader that holds its lease.
"""

import asyncio
import typing

import logbook

from returns import result

from wagtailspread.configuration import documents
from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.replica import drivers, machines, packing
from wagtailspread.wire import links, listeners, messages

#: Longest time for one put or read, in seconds; callers turn to another
#: replica after a second.
TOTAL_SECONDS = 0.9
#: Time between two looks for a leader, in seconds.
RETRY_SECONDS = 0.05
#: Longest time for one call to the leader, in seconds. A connection that takes
#: longer is replaced, since it may have gone silent.
CALL_SECONDS = 0.45
#: Silence of the leader after which a follower is not in touch, in seconds.
TOUCH_SECONDS = 1.2

#: Silence of the leader up to which a follower knows what was committed, in
#: seconds: two of its heartbeats.
FRESH_SECONDS = 0.5

_log = logbook.Logger('documents')


class TooFewReplicas(failures.Failure):
    """So few replicas vote that the tolerated losses could lose a change."""


Outcome = result.Result[messages.Struct, failures.Failure]


class DocumentService:
    """The document at one replica, for one life of its driver.

    :param tolerated_losses: lost disks that a confirmed change must survive.
    :param saved: a document that was in force before the start.
    """

    def __init__(
        self,
        driver: drivers.Driver,
        pool: links.LinkPool,
        clock: clocks.Clock,
        tolerated_losses: int,
        saved: documents.VersionedDocument,
    ) -> None:
        """Keep the parts."""
        self._saved = saved
        self._driver = driver
        self._pool = pool
        self._clock = clock
        self._tolerated = tolerated_losses

    def register(self, listener: listeners.Listener) -> None:
        """Serve the other replicas."""
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
        """Put a document; tell whether it is certain to survive."""
        request = packing.pack(version, body)
        outcome = await self._run(
            lambda: self._put_here(request),
            messages.methods.PUT_DOCUMENT,
            request,
            messages.structs.DocumentAnswer,
        )
        return isinstance(outcome, result.Success)

    async def read(self) -> documents.VersionedDocument | None:
        """Return the newest document, or ``None`` if it is not certain."""
        outcome = await self._run(
            self._read_here,
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
        """Return the addresses of all replicas, the own one included."""
        nodes = self._driver.replica.state.membership.nodes()
        return [node.address for node in nodes]

    def has_quorum(self) -> bool:
        """Tell whether most replicas are in touch with this one."""
        replica = self._driver.replica
        if replica.is_leader:
            return True
        leader_contact_at = replica.state.leader_contact_at
        if replica.state.leader is None or leader_contact_at is None:
            return False
        return self._clock.now() - leader_contact_at < TOUCH_SECONDS

    def is_up_to_date(self) -> bool:
        """Tell whether this replica has applied what was committed of late.

        A replica whose disk is slow hears its leader and lags all the same; a
        leader without its lease may have been replaced.
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
            and now - leader_contact_at < FRESH_SECONDS
        )

    def count_needed(self) -> int:
        """Return how many other replicas make a majority with this one."""
        return self._driver.replica.state.membership.quorum() - 1

    def read_document(self) -> documents.VersionedDocument:
        """Return the newest document that is known to be committed.

        It may be older than what the leader has confirmed.
        """
        applied = self.read_applied()
        is_behind = applied.version < self._saved.version
        return self._saved if is_behind else applied

    def read_applied(self) -> documents.VersionedDocument:
        """Return the newest document that this replica has applied."""
        return typing.cast(machines.StateMachine, self._driver.machine).document

    async def _run(
        self,
        run_here: typing.Callable[[], typing.Awaitable[Outcome]],
        method: int,
        request: messages.Struct,
        answer_type: typing.Any,
    ) -> Outcome:
        """Run a call here or at the leader until it succeeds or time is up."""
        until = self._clock.now() + TOTAL_SECONDS
        outcome: Outcome = result.Failure(failures.NotLeader())
        while (left := until - self._clock.now()) > 0:
            leader = self._driver.replica.find_leader_address()
            if self._driver.replica.is_leader:
                outcome = await _limit(run_here(), left)
            elif leader is not None:
                limit = min(left, CALL_SECONDS)
                link = self._pool.find(leader)
                outcome = await link.call(method, request, answer_type, limit)
                await self._replace_silent(leader, outcome)
            if isinstance(outcome, result.Success):
                return outcome
            await asyncio.sleep(RETRY_SECONDS)
        return outcome

    async def _replace_silent(
        self,
        leader: identifiers.Address,
        outcome: Outcome,
    ) -> None:
        if isinstance(outcome, result.Success):
            return
        if isinstance(outcome.failure(), failures.CallTimeout):
            await self._pool.forget(leader)

    async def _put_here(self, request: messages.Struct) -> Outcome:
        quorum = self._driver.replica.state.membership.quorum()
        if quorum <= self._tolerated:
            return result.Failure(TooFewReplicas())
        command = machines.encode_command(
            machines.CommandKind.PUT_DOCUMENT,
            request,
            self._clock.wall(),
        )
        outcome = await self._driver.run_command(command)
        if not isinstance(outcome, result.Success):
            return outcome
        answer = messages.decode_own(
            messages.structs.DocumentAnswer,
            outcome.unwrap(),
        )
        return result.Success(answer)

    async def _read_here(self) -> Outcome:
        found = self._driver.replica.read_index(self._clock.now())
        if not isinstance(found, result.Success):
            return result.Failure(found.failure())
        while self._driver.applied < found.unwrap():
            await asyncio.sleep(RETRY_SECONDS)
        held = self.read_applied()
        if held.version == documents.NO_VERSION:
            return result.Failure(failures.NotLeader())
        return result.Success(packing.pack(held.version, held.body))

    async def _answer_put(
        self,
        call: listeners.Call,
        request: messages.Struct,
    ) -> listeners.HandlerResult:
        if not self._driver.replica.is_leader:
            return result.Failure(failures.NotLeader())
        return await _limit(self._put_here(request), call.timeout)

    async def _answer_read(
        self,
        call: listeners.Call,
        _request: messages.Struct,
    ) -> listeners.HandlerResult:
        if not self._driver.replica.is_leader:
            return result.Failure(failures.NotLeader())
        return await _limit(self._read_here(), call.timeout)


async def _limit(
    running: typing.Awaitable[Outcome],
    seconds: float,
) -> Outcome:
    try:
        async with asyncio.timeout(seconds):
            return await running
    except TimeoutError:
        return result.Failure(drivers.OutcomeUnknown())
