"""Driver of one replica: timers, storage, sending and the state machine.

Syncs are batched: all output that is added while a sync runs shares the next
one. Syncs and snapshots run in threads so that the event loop keeps accepting
messages and proposals. While a snapshot is taken, entries are stored and
acknowledged, but they are not applied.
"""

import asyncio
import collections
import dataclasses
import typing

from concurrent import futures

import logbook

from returns import result

from wagtailspread.consensus import messages, replicas, storage
from wagtailspread.core import clocks, failures, identifiers

#: Interval of the ticks of the replica, in seconds.
TICK_SECONDS = 0.02
#: Largest number of proposals that wait for their commit at a time.
MAX_PENDING_COMMANDS = 10_000
#: Number of entries after which the log is compacted into a snapshot. It bounds
#: the entries that a restart applies again; a configuration change takes about
#: 1 ms to apply.
COMPACT_ENTRIES = 1_000
#: Bytes of entries after which the log is compacted into a snapshot.
COMPACT_BYTES = 4 * 1024 * 1024
#: Both limits grow with the last snapshot so that writing snapshots costs
#: little compared with writing the log: the byte limit is at least the size of
#: the snapshot, the entry limit at least one entry per this many of its bytes.
SNAPSHOT_BYTES_PER_ENTRY = 512

_log = logbook.Logger('replica')

CommandResult = result.Result[bytes, failures.Failure]


class Machine(typing.Protocol):
    """State machine that committed commands are applied to."""

    def apply(self, index: identifiers.LogIndex, command: bytes) -> bytes:
        """Apply one command and return its encoded answer."""

    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with that of a snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown(failures.Failure):
    """A command was accepted, but this replica does not know its outcome.

    It may be committed later. Repeating the request with the same id returns
    its answer.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class TooManyWaiting(failures.Failure):
    """A command was refused: :data:`MAX_PENDING_COMMANDS` are pending."""


class ReplicaStopped(Exception):
    """The replica cannot continue.

    :param failure: cause, such as a failure of the storage.
    """

    def __init__(self, failure: failures.Failure) -> None:
        """Use the description of the failure as the message."""
        super().__init__(failure.describe())
        self.failure = failure


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingCommand:
    term: identifiers.Term
    answer: asyncio.Future[CommandResult]


class Driver:
    """Runs a replica on an event loop. Use :func:`create_driver`.

    :param send: sends the messages of one step. It is called after the output
        of the step is synced.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        store: storage.Storage,
        machine: Machine,
        clock: clocks.Clock,
        send: typing.Callable[[tuple[messages.Message, ...]], None],
    ) -> None:
        """Restore the machine from the snapshot of the log, if there is one."""
        self.replica = replica
        self.machine = machine
        self.applied = replica.state.log.snapshot.index
        self.on_apply: typing.Callable[[], None] = _do_nothing
        self._store = store
        self._clock = clock
        self._send = send
        self._outputs: list[messages.Output] = []
        self._work_ready = asyncio.Event()
        self._pending_commands: dict[identifiers.LogIndex, _PendingCommand] = {}
        self._bytes_since_snapshot = 0
        self._logged_role = (replica.state.role, replica.state.term)
        self._unapplied: collections.deque[messages.Output]
        self._unapplied = collections.deque()
        self._snapshot: asyncio.Future[messages.Snapshot] | None = None
        self._storage_executor = futures.ThreadPoolExecutor(1, 'storage')
        self._snapshot_executor = futures.ThreadPoolExecutor(1, 'snapshot')
        if replica.state.log.snapshot.payload:
            machine.restore(replica.state.log.snapshot.payload)

    async def run(self) -> None:
        """Run until cancelled.

        :raises ReplicaStopped: if the storage failed.
        """
        ticking = asyncio.create_task(self._tick())
        ticking.add_done_callback(lambda _: self._work_ready.set())
        try:
            while not ticking.done():
                await self._work_ready.wait()
                self._work_ready.clear()
                await self._handle_outputs()
            ticking.result()
        finally:
            ticking.cancel()
            self._close()

    async def run_command(self, command: bytes) -> CommandResult:
        """Propose a command and return its answer after it is applied.

        :returns: the answer, or ``NotLeader``, ``TooManyWaiting`` or
            ``OutcomeUnknown``.
        """
        if len(self._pending_commands) >= MAX_PENDING_COMMANDS:
            return result.Failure(TooManyWaiting())
        proposed = self.replica.propose(command, self._clock.now())
        if not isinstance(proposed, result.Success):
            return result.Failure(proposed.failure())
        index = proposed.unwrap()
        answer: asyncio.Future[CommandResult]
        answer = asyncio.get_running_loop().create_future()
        pending = _PendingCommand(self.replica.state.term, answer)
        self._pending_commands[index] = pending
        self._work_ready.set()
        try:
            return await answer
        finally:
            if self._pending_commands.get(index) is pending:
                self._pending_commands.pop(index)

    def receive(self, message: messages.Message) -> None:
        """Handle a message from another replica."""
        self.add_output(self.replica.receive(message, self._clock.now()))

    def add_output(self, output: messages.Output) -> None:
        """Add the output of a step of the replica to the next batch."""
        if not output.is_empty():
            self._outputs.append(output)
            self._work_ready.set()
        self._log_role_change()
        if self._pending_commands and not self.replica.is_leader:
            self._fail_pending_commands()

    def _log_role_change(self) -> None:
        state = self.replica.state
        if (state.role, state.term) != self._logged_role:
            self._logged_role = (state.role, state.term)
            _log.info('{} in term {}', state.role.value, state.term)

    async def _tick(self) -> None:
        while True:
            self.add_output(self.replica.tick(self._clock.now()))
            await asyncio.sleep(TICK_SECONDS)

    async def _handle_outputs(self) -> None:
        flushed = self.replica.flush(self._clock.now())
        outputs = [*self._outputs, flushed]
        self._outputs = []
        if any(output.must_persist() for output in outputs):
            await self._run_storage_job(self._persist, outputs)
        for output in outputs:
            if output.messages:
                self._send(output.messages)
        self._unapplied.extend(outputs)
        await self._finish_snapshot()
        while self._unapplied and self._snapshot is None:
            self._apply(self._unapplied.popleft())
            self._start_snapshot()

    def _persist(
        self,
        outputs: list[messages.Output],
    ) -> storage.StorageResult:
        for output in outputs:
            written = self._store.write(output)
            if not isinstance(written, result.Success):
                return written
        return self._store.sync()

    async def _run_storage_job(
        self,
        job: typing.Callable[..., storage.StorageResult],
        *arguments: object,
    ) -> None:
        loop = asyncio.get_running_loop()
        outcome = await loop.run_in_executor(
            self._storage_executor, job, *arguments
        )
        if not isinstance(outcome, result.Success):
            raise ReplicaStopped(outcome.failure())

    def _apply(self, output: messages.Output) -> None:
        if output.snapshot is not None:
            self.machine.restore(output.snapshot.payload)
            self.applied = output.snapshot.index
            self._bytes_since_snapshot = 0
        for entry in output.committed:
            self._apply_entry(entry)
        if output.snapshot is not None or output.committed:
            self.on_apply()

    def _apply_entry(self, entry: messages.LogEntry) -> None:
        if entry.index <= self.applied:
            return
        answer = b''
        if entry.kind is messages.EntryKind.COMMAND:
            answer = self.machine.apply(entry.index, entry.payload)
        elif entry.kind is messages.EntryKind.MEMBERSHIP:
            _log_membership(entry)
        self.applied = entry.index
        self._bytes_since_snapshot += len(entry.payload)
        pending = self._pending_commands.pop(entry.index, None)
        if pending is None or pending.answer.done():
            return
        if pending.term == entry.term:
            pending.answer.set_result(result.Success(answer))
        else:
            pending.answer.set_result(result.Failure(OutcomeUnknown()))

    def _start_snapshot(self) -> None:
        log = self.replica.state.log
        term = log.find_term(self.applied)
        if term is None or not self._is_snapshot_due(log.snapshot):
            return
        self._bytes_since_snapshot = 0
        self._snapshot = asyncio.get_running_loop().run_in_executor(
            self._snapshot_executor,
            self._take_snapshot,
            self.applied,
            term,
            log.find_membership(self.applied),
        )
        self._snapshot.add_done_callback(lambda _: self._work_ready.set())

    def _take_snapshot(
        self,
        index: identifiers.LogIndex,
        term: identifiers.Term,
        membership: messages.MembershipRecord,
    ) -> messages.Snapshot:
        payload = self.machine.take_snapshot()
        return messages.Snapshot(index, term, membership, payload)

    async def _finish_snapshot(self) -> None:
        if self._snapshot is None or not self._snapshot.done():
            return
        snapshot = self._snapshot.result()
        await self._run_storage_job(self._save_snapshot, snapshot)
        self.replica.compact(snapshot.payload, snapshot.index)
        self._snapshot = None

    def _is_snapshot_due(self, last: messages.Snapshot) -> bool:
        size = len(last.payload)
        entries = max(COMPACT_ENTRIES, size // SNAPSHOT_BYTES_PER_ENTRY)
        if self.applied - last.index >= entries:
            return True
        return self._bytes_since_snapshot >= max(COMPACT_BYTES, size)

    def _save_snapshot(
        self,
        snapshot: messages.Snapshot,
    ) -> storage.StorageResult:
        return self._store.save_snapshot(snapshot, keeps_tail=True)

    def _close(self) -> None:
        self._fail_pending_commands()
        self._storage_executor.shutdown(wait=True)
        self._snapshot_executor.shutdown(wait=False)

    def _fail_pending_commands(self) -> None:
        for pending in self._pending_commands.values():
            if not pending.answer.done():
                pending.answer.set_result(result.Failure(OutcomeUnknown()))
        self._pending_commands.clear()


def create_driver(
    replica: replicas.Replica,
    store: storage.Storage,
    machine: Machine,
    clock: clocks.Clock,
    send: typing.Callable[[tuple[messages.Message, ...]], None],
) -> Driver:
    """Return a driver that is not running."""
    return Driver(replica, store, machine, clock, send)


def _log_membership(entry: messages.LogEntry) -> None:
    membership = messages.decode_membership(entry.payload)
    _log.info(
        'membership in force',
        extra={
            'index': entry.index,
            'voters': [node.address for node in membership.voters],
            'learners': [node.address for node in membership.learners],
        },
    )


def _do_nothing() -> None:
    """Default of :attr:`Driver.on_apply`."""
