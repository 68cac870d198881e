"""Tests of message queues and of the encoding of batches."""

import asyncio

from wagtailspread.consensus import messages
from wagtailspread.replica import peers


class SilentPool:
    """Pool of links whose calls get no answer."""

    def find(self, _address):
        return self

    async def call(self, *_):
        await asyncio.sleep(60)


async def test_queue_for_a_silent_peer_is_bounded_in_bytes():
    """Guards against unbounded memory use for an unresponsive follower."""
    queue = peers.PeerQueue('a:1', 'b:1', SilentPool())
    payload = b'x' * 500_000
    entry = messages.LogEntry(1, 1, messages.EntryKind.COMMAND, payload)
    request = messages.AppendRequest('a', 'b', 1, 0, 0, 0, 0, (entry,))
    for _ in range(100):
        queue.add(request)
    queued_bytes = sum(len(packed.payload) for packed in queue._queue)
    assert queued_bytes <= peers.MAX_QUEUED_BYTES
    queue.close()


def test_batch_preserves_its_messages():
    """Guards against message fields that encoding or decoding omits."""
    entry = messages.LogEntry(3, 2, messages.EntryKind.MEMBERSHIP, b'\xff')
    node = messages.ReplicaNode('a', 'a:1')
    membership = messages.MembershipRecord((node,), (node,))
    sent = [
        messages.VoteRequest('a', 'b', 1, 2, 3, True, False),
        messages.VoteReply('a', 'b', 1, False, True),
        messages.AppendRequest('a', 'b', 1, 2, 3, 4, 5, (entry,)),
        messages.AppendReply('a', 'b', 1, True, 2, 3, 4, 5),
        messages.SnapshotChunk('a', 'b', 1, 2, 3, membership, 4, 5, b'6', 7),
        messages.SnapshotReply('a', 'b', 1, 2, 3, 4),
        messages.TransferRequest('a', 'b', 1),
        messages.Expulsion('a', 'b', 1),
        messages.Introduction('a', 'b', 'a:1', True, 'c'),
    ]
    packed = [
        peers.wire.structs.PackedMessage(
            kind=type(one).__name__,
            payload=peers.wire.encode(messages.to_struct(one)),
        )
        for one in sent
    ]
    batch = peers.wire.structs.MessageBatch(address='a:1', messages=packed)
    unpacked = peers.unpack_batch(peers.wire.encode(batch))
    assert unpacked == ('a:1', sent)
