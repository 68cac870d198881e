"""Messages, log entries and memberships of the agreement protocol.

Every message names the identity that it is meant for. A replica drops a
message for another identity, so a replica that lost its data and came back
with a new identity cannot answer for the old one.
"""

import dataclasses
import enum
import typing

from wagtailspread.core import identifiers
from wagtailspread.wire import messages

#: The term and vote of a replica that has taken part in nothing.
NO_VOTE = identifiers.ReplicaId('')


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

    #: Written by a new leader so that it can commit entries of older terms.
    EMPTY = 0
    #: A command of the state machine.
    COMMAND = 1
    #: A membership, in force from its place in the log.
    MEMBERSHIP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One record of the replicated log."""

    index: identifiers.LogIndex
    term: identifiers.Term
    kind: EntryKind
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaNode:
    """A replica's identity and where to reach it."""

    identity: identifiers.ReplicaId
    address: identifiers.Address


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipRecord:
    """Replicas that vote, and those that only receive the log."""

    voters: tuple[ReplicaNode, ...] = ()
    learners: tuple[ReplicaNode, ...] = ()

    def nodes(self) -> tuple[ReplicaNode, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def voter_ids(self) -> frozenset[identifiers.ReplicaId]:
        """Return the identities that vote."""
        return frozenset(node.identity for node in self.voters)

    def quorum(self) -> int:
        """Return how many voters make a majority.

        >>> MembershipRecord().quorum()
        1
        """
        return len(self.voters) // 2 + 1

    def find(self, identity: identifiers.ReplicaId) -> ReplicaNode | None:
        """Return the node with this identity."""
        for node in self.nodes():
            if node.identity == identity:
                return node
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class HardStateRecord:
    """Term and vote; synced before any message that depends on them."""

    term: identifiers.Term = identifiers.Term(0)
    vote: identifiers.ReplicaId = NO_VOTE


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the state machine after the entry at ``index``."""

    index: identifiers.LogIndex
    term: identifiers.Term
    membership: MembershipRecord
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate asks for a vote, or whether it would get one."""

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term
    last_index: identifiers.LogIndex
    last_term: identifiers.Term
    is_pre: bool
    is_transfer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer to a vote request."""

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term
    is_granted: bool
    is_pre: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries from the leader; without entries a heartbeat.

    :param sent_us: the leader's clock in microseconds, echoed by the follower.
    """

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term
    prev_index: identifiers.LogIndex
    prev_term: identifiers.Term
    commit: identifiers.LogIndex
    sent_us: int
    entries: tuple[LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer to an append request.

    :param index: the last matching index, or after a refusal the last index
        at which the two logs may match.
    :param prev_index: copied from the request.
    :param last_index: last index of the follower's log.
    """

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term
    is_accepted: bool
    index: identifiers.LogIndex
    prev_index: identifiers.LogIndex
    sent_us: int
    last_index: identifiers.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of a snapshot, for a follower that is too far behind."""

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term
    index: identifiers.LogIndex
    last_term: identifiers.Term
    membership: MembershipRecord
    offset: int
    total: int
    payload: bytes
    sent_us: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Answer to a chunk.

    :param offset: bytes of the snapshot that the follower holds.
    """

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term
    index: identifiers.LogIndex
    offset: int
    sent_us: int


@dataclasses.dataclass(frozen=True, slots=True)
class TransferRequest:
    """The leader asks a follower to start an election at once."""

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Expulsion:
    """The receiver lost entries that it had acknowledged.

    Its identity is void: it must not vote again, and comes back with a new
    one.
    """

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """A replica outside of any membership makes itself known.

    :param pledge: identity whose first membership it will join.
    """

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    address: identifiers.Address
    is_formed: bool
    pledge: identifiers.ReplicaId


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TransferRequest
    | Expulsion
)


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """Work that a step of a replica asks its driver to do, in this order.

    First ``snapshot``, ``truncate_from``, ``entries`` and ``hard_state`` are
    made durable, then ``messages`` are sent, then ``committed`` is applied.

    :param keeps_tail: whether entries after ``snapshot`` stay in the log.
    """

    hard_state: HardStateRecord | None = None
    entries: tuple[LogEntry, ...] = ()
    truncate_from: identifiers.LogIndex | None = None
    snapshot: Snapshot | None = None
    messages: tuple[Message, ...] = ()
    committed: tuple[LogEntry, ...] = ()
    keeps_tail: bool = True

    def is_empty(self) -> bool:
        """Tell whether there is nothing to do."""
        return not (self.must_persist() or self.messages or self.committed)

    def must_persist(self) -> bool:
        """Tell whether anything has to be made durable."""
        return bool(
            self.entries
            or self.hard_state
            or self.snapshot
            or self.truncate_from is not None,
        )


def encode_membership(membership: MembershipRecord) -> bytes:
    """Return the membership as the payload of a log entry."""
    return messages.encode(to_struct(membership))


def decode_membership(payload: bytes) -> MembershipRecord:
    """Return the membership in the payload of a log entry."""
    struct = messages.decode(messages.structs.MembershipRecord, payload)
    return _membership(struct)


def to_struct(record: object) -> messages.Struct:
    """Return the thrift struct with the name and fields of a data class."""
    struct_type = getattr(messages.structs, type(record).__name__)
    struct = struct_type()
    for name in record.__dataclass_fields__:  # type: ignore[attr-defined]
        setattr(struct, name, _to_thrift(getattr(record, name)))
    return struct


def from_struct(record_type: type, struct: messages.Struct) -> typing.Any:
    """Return the data class with the fields of a thrift struct.

    :raises messages.DecodeError: if a field is missing.
    """
    known = {}
    for name in record_type.__dataclass_fields__:  # type: ignore[attr-defined]
        known[name] = _from_thrift(name, getattr(struct, name))
    return record_type(**known)


def _to_thrift(part: object) -> object:
    if isinstance(part, tuple):
        return [to_struct(one) for one in part]
    if isinstance(part, MembershipRecord):
        return to_struct(part)
    return part


def _from_thrift(name: str, part: object) -> object:
    if part is None:
        raise messages.DecodeError(name)
    if name == 'entries':
        return tuple(_entry(one) for one in part)  # type: ignore[attr-defined]
    if name == 'membership':
        return _membership(part)
    return part


def _entry(struct: messages.Struct) -> LogEntry:
    return LogEntry(
        struct.index,
        struct.term,
        EntryKind(struct.kind),
        struct.payload,
    )


def _membership(struct: messages.Struct) -> MembershipRecord:
    return MembershipRecord(_nodes(struct.voters), _nodes(struct.learners))


def _nodes(structs: list[messages.Struct]) -> tuple[ReplicaNode, ...]:
    return tuple(ReplicaNode(one.identity, one.address) for one in structs)
