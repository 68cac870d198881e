"""Queues for messages to other replicas, and the encoding of batches."""

import asyncio
import collections
import typing

import logbook

from returns import result

from wagtailspread.consensus import messages
from wagtailspread.core import failures, identifiers
from wagtailspread.wire import links
from wagtailspread.wire import messages as wire

#: Time limit for the acknowledgement of a batch, in seconds. After a timeout
#: the connection is dropped, because it may no longer carry data although new
#: connections work.
CALL_TIMEOUT_SECONDS = 1.0
#: Largest number of messages queued for one peer; the oldest are dropped first.
MAX_QUEUED = 1024
#: Largest number of payload bytes queued for one peer.
MAX_QUEUED_BYTES = 16 * 1024 * 1024
#: Payload bytes at which a batch is full; its last message may exceed them.
MAX_BATCH_BYTES = 1024 * 1024
#: Largest number of concurrent calls to one peer.
MAX_CALLS = 4

_log = logbook.Logger('peers')

AnyMessage = messages.Message | messages.Introduction


class PeerQueue:
    """Queue of the messages for one address, which are sent in batches."""

    def __init__(
        self,
        local_address: identifiers.Address,
        address: identifiers.Address,
        pool: links.LinkPool,
    ) -> None:
        """Create an empty queue without opening a connection."""
        self._local_address = local_address
        self._address = address
        self._pool = pool
        self._queue: collections.deque[wire.Struct] = collections.deque()
        self._queued_bytes = 0
        self._calls: set[asyncio.Task[None]] = set()

    def add(self, message: AnyMessage) -> None:
        """Queue a message; start a call if fewer than ``MAX_CALLS`` run."""
        packed = wire.structs.PackedMessage(
            kind=type(message).__name__,
            payload=wire.encode(messages.to_struct(message)),
        )
        self._queue.append(packed)
        self._queued_bytes += len(packed.payload)
        while self._exceeds_limits():
            self._pop_message()
        if len(self._calls) < MAX_CALLS:
            call = asyncio.create_task(self._send())
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    def close(self) -> None:
        """Stop sending."""
        for call in self._calls:
            call.cancel()

    async def _send(self) -> None:
        while self._queue:
            batch = wire.structs.MessageBatch(
                address=self._local_address,
                messages=self._pop_batch(),
            )
            sent = await self._pool.find(self._address).call(
                wire.methods.CONSENSUS,
                wire.structs.ConsensusMessage(payload=wire.encode(batch)),
                wire.structs.Empty,
                CALL_TIMEOUT_SECONDS,
            )
            if isinstance(sent, result.Success):
                continue
            if isinstance(sent.failure(), failures.CallTimeout):
                await self._pool.remove(self._address)

    def _pop_batch(self) -> list[wire.Struct]:
        batch = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            packed = self._pop_message()
            size += len(packed.payload)
            batch.append(packed)
        return batch

    def _pop_message(self) -> wire.Struct:
        packed = self._queue.popleft()
        self._queued_bytes -= len(packed.payload)
        return packed

    def _exceeds_limits(self) -> bool:
        if len(self._queue) > MAX_QUEUED:
            return True
        return self._queued_bytes > MAX_QUEUED_BYTES


class PeerSender:
    """Sends messages to replicas by their identity or address."""

    def __init__(
        self,
        local_address: identifiers.Address,
        pool: links.LinkPool,
    ) -> None:
        """Create a sender that knows no addresses."""
        self._local_address = local_address
        self._pool = pool
        self._queues: dict[identifiers.Address, PeerQueue] = {}
        self._addresses: dict[identifiers.ReplicaId, identifiers.Address] = {}

    def record_address(
        self,
        identity: identifiers.ReplicaId,
        address: identifiers.Address,
    ) -> None:
        """Record an address, used while the membership does not list one."""
        self._addresses[identity] = address

    def send(
        self,
        outgoing: tuple[messages.Message, ...],
        membership: messages.MembershipRecord,
    ) -> None:
        """Queue messages for their recipients.

        Messages to replicas whose address is unknown are dropped.
        """
        for message in outgoing:
            node = membership.find(message.to)
            known = self._addresses.get(message.to)
            address = known if node is None else node.address
            if address is not None:
                self.send_to(address, message)

    def send_to(
        self,
        address: identifiers.Address,
        message: AnyMessage,
    ) -> None:
        """Queue a message for an address."""
        queue = self._queues.get(address)
        if queue is None:
            queue = PeerQueue(self._local_address, address, self._pool)
            self._queues[address] = queue
        queue.add(message)

    def close(self) -> None:
        """Stop sending."""
        for queue in self._queues.values():
            queue.close()


def unpack_batch(
    payload: bytes,
) -> tuple[identifiers.Address, list[AnyMessage]]:
    """Return the address of the sender and the messages of a batch.

    A malformed message is logged and left out. The algorithm tolerates the
    loss of any message, and a peer repeats what is not acknowledged.

    :raises wire.DecodeError: if the batch itself is malformed.
    """
    batch = wire.decode(wire.structs.MessageBatch, payload)
    if not isinstance(batch.address, str):
        raise wire.DecodeError('address of a batch: expected a text')
    unpacked: list[AnyMessage] = []
    for packed in batch.messages or ():
        try:
            unpacked.append(_unpack_message(packed))
        except (wire.DecodeError, TypeError, ValueError) as error:
            _log.warning(
                'consensus message skipped',
                extra={
                    'peer': batch.address,
                    'kind': str(packed.kind)[:40],
                    'reason': str(error),
                },
            )
    return identifiers.Address(batch.address), unpacked


def _unpack_message(packed: wire.Struct) -> AnyMessage:
    """Return one message of a batch.

    :raises wire.DecodeError: if it is malformed or of an unknown kind.
    :raises TypeError: if a field is missing.
    :raises ValueError: if the kind of a log entry is unknown.
    """
    record_type = _MESSAGE_TYPES.get(packed.kind)
    if record_type is None:
        raise wire.DecodeError('unknown kind of consensus message')
    struct_type = getattr(wire.structs, packed.kind)
    struct = wire.decode(struct_type, packed.payload)
    if not wire.has_texts(struct):
        raise wire.DecodeError('a text field is not UTF-8')
    return typing.cast(AnyMessage, messages.from_struct(record_type, struct))


_MESSAGE_TYPES: dict[str, type] = {
    one.__name__: one
    for one in (
        messages.VoteRequest,
        messages.VoteReply,
        messages.AppendRequest,
        messages.AppendReply,
        messages.SnapshotChunk,
        messages.SnapshotReply,
        messages.TransferRequest,
        messages.Expulsion,
        messages.Introduction,
    )
}
