"""Chunked snapshot transfer to followers that lag behind the log."""

from wagtailspread.consensus import messages, states
from wagtailspread.core import identifiers

_MICROSECONDS_PER_SECOND = 1_000_000


class SnapshotSender:
    """Sends the snapshot of the log, one chunk at a time."""

    def __init__(self, state: states.ReplicaState) -> None:
        """Create a sender for the leader with ``state``."""
        self._state = state

    def send(
        self,
        identity: identifiers.ReplicaId,
        progress: states.Progress,
        now: float,
    ) -> bool:
        """Send the next chunk, or repeat the last one after a timeout.

        The timeout is half an election timeout.

        :param now: current time in seconds.
        :returns: whether a chunk was sent.
        """
        state = self._state
        if progress.snapshot is None:
            progress.snapshot = state.log.snapshot
            progress.snapshot_offset = 0
        elif now - progress.snapshot_sent_at < self._resend_seconds():
            return False
        self._send_chunk(identity, progress, now)
        return True

    def handle_reply(
        self,
        reply: messages.SnapshotReply,
        progress: states.Progress,
        now: float,
    ) -> bool:
        """Send the next chunk after an acknowledgement.

        A reply with no higher offset than before is a duplicate, or comes
        from a follower that restarted without the chunks. The next chunk is
        then left to :meth:`send`.

        :param now: current time in seconds.
        :returns: whether the follower holds the complete snapshot.
        """
        snapshot = progress.snapshot
        if snapshot is None or reply.index != snapshot.index:
            return False
        if reply.offset >= len(snapshot.payload):
            progress.snapshot = None
            return True
        is_next = reply.offset > progress.snapshot_offset
        progress.snapshot_offset = reply.offset
        if is_next:
            self._send_chunk(reply.sender, progress, now)
        return False

    def _resend_seconds(self) -> float:
        return self._state.policy.election_timeout / 2

    def _send_chunk(
        self,
        identity: identifiers.ReplicaId,
        progress: states.Progress,
        now: float,
    ) -> None:
        state = self._state
        snapshot = progress.snapshot
        if snapshot is None:
            return
        offset = progress.snapshot_offset
        progress.snapshot_sent_at = now
        chunk = messages.SnapshotChunk(
            state.identity,
            identity,
            state.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            offset,
            len(snapshot.payload),
            snapshot.payload[offset : offset + state.policy.chunk_bytes],
            int(now * _MICROSECONDS_PER_SECOND),
        )
        state.send(chunk)


class SnapshotReceiver:
    """Assembles the chunks of one snapshot.

    Lost and duplicated chunks do no harm: the reply reports how many bytes
    were received, and the sender resumes at that offset.
    """

    def __init__(self, state: states.ReplicaState) -> None:
        """Create a receiver for the follower with ``state``."""
        self._state = state
        self._index = identifiers.LogIndex(0)
        self._term = identifiers.Term(0)
        self._received = bytearray()

    def store(self, chunk: messages.SnapshotChunk) -> None:
        """Add a chunk; the last one installs the snapshot."""
        if chunk.index <= self._state.commit:
            self._reply(chunk, chunk.total)
            return
        if (chunk.index, chunk.last_term) != (self._index, self._term):
            self._index = chunk.index
            self._term = chunk.last_term
            self._received = bytearray()
        if chunk.offset == len(self._received):
            self._received += chunk.payload
        received = len(self._received)
        if received >= chunk.total:
            self._install(chunk)
        self._reply(chunk, received)

    def refuse(self, chunk: messages.SnapshotChunk) -> None:
        """Reply to a leader of an older term with the current term."""
        self._reply(chunk, 0)

    def _install(self, chunk: messages.SnapshotChunk) -> None:
        snapshot = messages.Snapshot(
            chunk.index,
            chunk.last_term,
            chunk.membership,
            bytes(self._received),
        )
        self._state.install(snapshot)
        self._received = bytearray()
        self._index = identifiers.LogIndex(0)

    def _reply(self, chunk: messages.SnapshotChunk, offset: int) -> None:
        reply = messages.SnapshotReply(
            self._state.identity,
            chunk.sender,
            self._state.term,
            chunk.index,
            offset,
            chunk.sent_us,
        )
        self._state.send(reply)
