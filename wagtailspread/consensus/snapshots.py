"""Transfer of a snapshot in parts to a follower that is too far behind."""

from wagtailspread.consensus import messages, states
from wagtailspread.core import identifiers

_MICROS = 1_000_000


class SnapshotSender:
    """Sends the snapshot of the log, one part at a time."""

    def __init__(self, state: states.ReplicaState) -> None:
        """Work on ``state``."""
        self._state = state

    def send(
        self,
        identity: identifiers.ReplicaId,
        progress: states.Progress,
        now: float,
    ) -> bool:
        """Send the next part, unless the last one may still be answered.

        :returns: whether a part was sent.
        """
        state = self._state
        if progress.snapshot is None:
            progress.snapshot = state.log.snapshot
            progress.snapshot_offset = 0
        elif now - progress.snapshot_sent_at < self._resend_seconds():
            return False
        self._send_part(identity, progress, now)
        return True

    def count(
        self,
        reply: messages.SnapshotReply,
        progress: states.Progress,
        now: float,
    ) -> bool:
        """Send the next part after an answer.

        An answer that reports no more than known is a repetition; the next
        part is then sent by :meth:`send`, since the follower may have
        restarted with nothing.

        :returns: whether the follower holds the whole snapshot.
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
            self._send_part(reply.sender, progress, now)
        return False

    def _resend_seconds(self) -> float:
        return self._state.policy.election_timeout / 2

    def _send_part(
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
            int(now * _MICROS),
        )
        state.send(chunk)


class SnapshotReceiver:
    """Collects the parts of one snapshot.

    A lost or repeated part changes nothing: the reply tells how many bytes
    are held, and the sender goes on from there.
    """

    def __init__(self, state: states.ReplicaState) -> None:
        """Work on ``state``."""
        self._state = state
        self._index = identifiers.LogIndex(0)
        self._term = identifiers.Term(0)
        self._held = bytearray()

    def store(self, chunk: messages.SnapshotChunk) -> None:
        """Add a part; install the snapshot with the last one."""
        if chunk.index <= self._state.commit:
            self._reply(chunk, chunk.total)
            return
        if (chunk.index, chunk.last_term) != (self._index, self._term):
            self._index = chunk.index
            self._term = chunk.last_term
            self._held = bytearray()
        if chunk.offset == len(self._held):
            self._held += chunk.payload
        held = len(self._held)
        if held >= chunk.total:
            self._install(chunk)
        self._reply(chunk, held)

    def refuse(self, chunk: messages.SnapshotChunk) -> None:
        """Answer a leader of an older term with the own term."""
        self._reply(chunk, 0)

    def _install(self, chunk: messages.SnapshotChunk) -> None:
        snapshot = messages.Snapshot(
            chunk.index,
            chunk.last_term,
            chunk.membership,
            bytes(self._held),
        )
        self._state.install(snapshot)
        self._held = bytearray()
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
