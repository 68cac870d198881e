"""Messages, log entries and memberships of the consensus protocol.

Every message holds the identity of its receiver. A replica drops a message for
another identity, so a replica that lost its data and restarted with a new
identity cannot reply in the name of the old one.
"""

import dataclasses
import enum
import typing

from wagtailspread.core import identifiers
from wagtailspread.wire import messages

#: Vote of a replica that has not voted in its term.
NO_VOTE = identifiers.ReplicaId('')
#: Largest term of a received message. A candidate increments the term, which
#: must fit its field afterwards.
MAX_TERM = 2**62


class EntryKind(enum.IntEnum):
    """Type of the payload of a log entry."""

    #: No payload; a new leader appends it to commit entries of older terms.
    EMPTY = 0
    #: A command for the state machine.
    COMMAND = 1
    #: A membership, effective as soon as it is in the log.
    MEMBERSHIP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """Entry of the replicated log."""

    index: identifiers.LogIndex
    term: identifiers.Term
    kind: EntryKind
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaNode:
    """Identity and network address of a replica."""

    identity: identifiers.ReplicaId
    address: identifiers.Address


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipRecord:
    """Voters, and learners that receive the log without a vote."""

    voters: tuple[ReplicaNode, ...] = ()
    learners: tuple[ReplicaNode, ...] = ()

    def nodes(self) -> tuple[ReplicaNode, ...]:
        """Return the voters, followed by the learners."""
        return self.voters + self.learners

    def voter_ids(self) -> frozenset[identifiers.ReplicaId]:
        """Return the identities of the voters."""
        return frozenset(node.identity for node in self.voters)

    def quorum(self) -> int:
        """Return the number of voters in a majority.

        >>> MembershipRecord().quorum()
        1
        """
        return len(self.voters) // 2 + 1

    def find(self, identity: identifiers.ReplicaId) -> ReplicaNode | None:
        """Return the voter or learner with this identity, if any."""
        for node in self.nodes():
            if node.identity == identity:
                return node
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class HardStateRecord:
    """Term and vote; synced before messages that depend on them are sent."""

    term: identifiers.Term = identifiers.Term(0)
    vote: identifiers.ReplicaId = NO_VOTE


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the state machine after the entry at ``index``.

    :param term: term of that entry.
    :param membership: membership that was effective at that entry.
    """

    index: identifiers.LogIndex
    term: identifiers.Term
    membership: MembershipRecord
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request of a candidate for a vote or, before that, for a pre-vote."""

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term
    last_index: identifiers.LogIndex
    last_term: identifiers.Term
    is_pre: bool
    is_transfer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a vote request."""

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term
    is_granted: bool
    is_pre: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Log entries from the leader; a heartbeat if there are none.

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
    """Reply to an append request.

    :param index: last index at which the logs match or, after a rejection,
        the last index at which they may match.
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
    """Part of a snapshot, for a follower that lags behind the log.

    :param offset: position of the payload in the snapshot, in bytes.
    :param total: size of the snapshot in bytes.
    :param sent_us: the leader's clock in microseconds, echoed by the follower.
    """

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
    """Reply to a snapshot chunk.

    :param offset: bytes of the snapshot that the follower has received.
    """

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term
    index: identifiers.LogIndex
    offset: int
    sent_us: int


@dataclasses.dataclass(frozen=True, slots=True)
class TransferRequest:
    """Request of the leader that a follower start an election at once."""

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Expulsion:
    """Notice that the receiver lost entries that it had acknowledged.

    It must not vote again under its identity, and has to restart with a new
    one.
    """

    sender: identifiers.ReplicaId
    to: identifiers.ReplicaId
    term: identifiers.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """Announcement of a replica that may not be a member yet.

    :param is_formed: whether the sender has a membership already.
    :param pledge: identity of the replica whose initial membership the sender
        has agreed to join; empty if none.
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
    """Work that a step of a replica leaves to its driver, in this order.

    The driver makes ``snapshot``, ``truncate_from``, ``entries`` and
    ``hard_state`` durable, then sends ``messages``, then applies
    ``committed``.

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
        """Tell whether the output contains no work."""
        return not (self.must_persist() or self.messages or self.committed)

    def must_persist(self) -> bool:
        """Tell whether the driver has to make anything durable."""
        return bool(
            self.entries
            or self.hard_state
            or self.snapshot
            or self.truncate_from is not None,
        )


def encode_membership(membership: MembershipRecord) -> bytes:
    """Return the membership encoded as the payload of a log entry."""
    return messages.encode(to_struct(membership))


def decode_membership(payload: bytes) -> MembershipRecord:
    """Return the membership encoded in the payload of a log entry."""
    struct = messages.decode(messages.structs.MembershipRecord, payload)
    return _create_membership(struct)


def to_struct(record: object) -> messages.Struct:
    """Return the thrift struct with the same name and fields as ``record``."""
    struct_type = getattr(messages.structs, type(record).__name__)
    struct = struct_type()
    for name in record.__dataclass_fields__:  # type: ignore[attr-defined]
        setattr(struct, name, _to_thrift(getattr(record, name)))
    return struct


def from_struct(record_type: type, struct: messages.Struct) -> typing.Any:
    """Return an instance of a data class with the fields of a thrift struct.

    :raises messages.DecodeError: if a field is missing; it names the field.
    :raises ValueError: if the kind of a log entry is unknown.
    """
    fields = {}
    for name in record_type.__dataclass_fields__:  # type: ignore[attr-defined]
        fields[name] = _from_thrift(name, getattr(struct, name))
    return record_type(**fields)


def _to_thrift(field: object) -> object:
    if isinstance(field, tuple):
        return [to_struct(record) for record in field]
    if isinstance(field, MembershipRecord):
        return to_struct(field)
    return field


def _from_thrift(name: str, field: object) -> object:
    if field is None:
        raise messages.DecodeError(f'required field {name} is missing')
    if name == 'term' and not messages.is_integer(field, 0, MAX_TERM):
        raise messages.DecodeError(f'term: expected 0 to {MAX_TERM}')
    if name == 'entries':
        return tuple(
            _create_entry(struct)
            for struct in field  # type: ignore[attr-defined]
        )
    if name == 'membership':
        return _create_membership(field)
    return field


def _create_entry(struct: messages.Struct) -> LogEntry:
    if None in (struct.index, struct.term, struct.payload):
        raise messages.DecodeError('log entry: a required field is missing')
    return LogEntry(
        struct.index,
        struct.term,
        EntryKind(struct.kind),
        struct.payload,
    )


def _create_membership(struct: messages.Struct) -> MembershipRecord:
    return MembershipRecord(
        _create_nodes(struct.voters), _create_nodes(struct.learners)
    )


def _create_nodes(
    structs: list[messages.Struct],
) -> tuple[ReplicaNode, ...]:
    return tuple(
        ReplicaNode(struct.identity, struct.address) for struct in structs
    )
