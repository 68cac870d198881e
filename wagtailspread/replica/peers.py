"""Messages between replicas over the fleet's own links."""

import asyncio
import collections

from returns import result

from wagtailspread.consensus import messages
from wagtailspread.core import failures, identifiers
from wagtailspread.wire import links
from wagtailspread.wire import messages as wire

#: Longest wait for the receipt of a batch, in seconds. After it the connection
#: is replaced, since it may have gone silent while new ones work.
CALL_TIMEOUT_SECONDS = 1.0
#: Messages kept for a peer that takes none; older ones are dropped first.
MAX_QUEUED = 1024
#: Payload bytes kept for such a peer.
MAX_QUEUED_BYTES = 16 * 1024 * 1024
#: Payload bytes after which a batch is closed.
MAX_BATCH_BYTES = 1024 * 1024
#: Batches of one peer that may be under way at a time.
MAX_CALLS = 4

AnyMessage = messages.Message | messages.Introduction


class PeerQueue:
    """Sends the messages for one address in batches."""

    def __init__(
        self,
        own_address: identifiers.Address,
        address: identifiers.Address,
        pool: links.LinkPool,
    ) -> None:
        """Start empty; nothing is opened yet."""
        self._own_address = own_address
        self._address = address
        self._pool = pool
        self._queue: collections.deque[wire.Struct] = collections.deque()
        self._queued_bytes = 0
        self._calls: set[asyncio.Task[None]] = set()

    def add(self, message: AnyMessage) -> None:
        """Send ``message`` with the next batch."""
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
                address=self._own_address,
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
                await self._pool.forget(self._address)

    def _pop_batch(self) -> list[wire.Struct]:
        taken = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            packed = self._pop_message()
            size += len(packed.payload)
            taken.append(packed)
        return taken

    def _pop_message(self) -> wire.Struct:
        packed = self._queue.popleft()
        self._queued_bytes -= len(packed.payload)
        return packed

    def _exceeds_limits(self) -> bool:
        if len(self._queue) > MAX_QUEUED:
            return True
        return self._queued_bytes > MAX_QUEUED_BYTES


class PeerSender:
    """Finds the address of an identity and sends to it."""

    def __init__(
        self,
        own_address: identifiers.Address,
        pool: links.LinkPool,
    ) -> None:
        """Start with no known identities."""
        self._own_address = own_address
        self._pool = pool
        self._queues: dict[identifiers.Address, PeerQueue] = {}
        self._addresses: dict[identifiers.ReplicaId, identifiers.Address] = {}

    def record_address(
        self,
        identity: identifiers.ReplicaId,
        address: identifiers.Address,
    ) -> None:
        """Note where an identity answers."""
        self._addresses[identity] = address

    def send(
        self,
        outgoing: tuple[messages.Message, ...],
        membership: messages.MembershipRecord,
    ) -> None:
        """Queue messages for the identities that they are meant for."""
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
            queue = PeerQueue(self._own_address, address, self._pool)
            self._queues[address] = queue
        queue.add(message)

    def close(self) -> None:
        """Stop sending."""
        for queue in self._queues.values():
            queue.close()


def unpack_batch(
    payload: bytes,
) -> tuple[identifiers.Address, list[AnyMessage]]:
    """Return the sender's address and the messages of a batch.

    :raises wire.DecodeError: if the batch holds anything else.
    """
    batch = wire.decode(wire.structs.MessageBatch, payload)
    unpacked: list[AnyMessage] = []
    for packed in batch.messages:
        record_type = _MESSAGE_TYPES.get(packed.kind)
        if record_type is None:
            raise wire.DecodeError(packed.kind)
        struct_type = getattr(wire.structs, packed.kind)
        struct = wire.decode(struct_type, packed.payload)
        unpacked.append(messages.from_struct(record_type, struct))
    return identifiers.Address(batch.address), unpacked


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
