"""State of one replica that its elections, replication and changes share."""

import dataclasses
import enum
import math
import random as random_module

from wagtailspread.consensus import logs, messages
from wagtailspread.core import identifiers


class Role(enum.Enum):
    """What a replica does in its term. A learner is a follower."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Times in seconds and sizes of the protocol.

    :param election_timeout: silence of the leader after which a follower asks
        for votes; each replica draws between one and two of it. It is also
        how long a follower that heard the leader refuses to vote.
    :param lease_share: share of the election timeout for which a leader that
        a majority answered may serve reads; less than one, for clocks that
        run at different speeds.
    :param silent_voter_seconds: silence after which a voter may be removed
        to make room for a replica at another address; the default never does.
    :param min_voters: voters are only removed for their silence if this
        many remain or a replica that holds the log takes the place.
    """

    election_timeout: float = 1.0
    heartbeat_interval: float = 0.15
    lease_share: float = 0.8
    max_append_entries: int = 1024
    max_append_bytes: int = 512 * 1024
    max_entries_in_flight: int = 8192
    chunk_bytes: int = 256 * 1024
    retained_entries: int = 2048
    retained_bytes: int = 4 * 1024 * 1024
    silent_voter_seconds: float = math.inf
    min_voters: int = 0


@dataclasses.dataclass(slots=True)
class Progress:
    """What a leader knows of one follower.

    :param match_index: last index known to be the same there.
    :param next_index: index to send next.
    :param is_probing: the match is not known; one request at a time.
    :param is_paused: a probe is under way; the next heartbeat ends the pause.
    :param matched_at: when the match was learnt.
    :param is_expelled: the follower lost entries that it had acknowledged.
    :param active_at: when the last answer came.
    :param lease_at: when the last answered request was sent.
    :param snapshot: what is being sent, if the log no longer reaches back.
    :param snapshot_offset: bytes of it that the follower reported to hold.
    :param snapshot_sent_at: when a part of it was sent last.
    """

    match_index: identifiers.LogIndex
    next_index: identifiers.LogIndex
    is_probing: bool = True
    is_paused: bool = False
    matched_at: float = 0.0
    is_expelled: bool = False
    active_at: float = 0.0
    lease_at: float = float('-inf')
    snapshot: messages.Snapshot | None = None
    snapshot_offset: int = 0
    snapshot_sent_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _Pending:
    """The output of the current step so far."""

    hard_state: messages.HardStateRecord | None = None
    entries: list[messages.LogEntry] = dataclasses.field(default_factory=list)
    truncate_from: identifiers.LogIndex | None = None
    snapshot: messages.Snapshot | None = None
    to_send: list[messages.Message] = dataclasses.field(default_factory=list)
    keeps_tail: bool = True


class ReplicaState:
    """Variables of one replica and the output of its current step."""

    def __init__(
        self,
        identity: identifiers.ReplicaId,
        hard_state: messages.HardStateRecord,
        log: logs.Log,
        policy: Policy,
        random: random_module.Random,
        commit: identifiers.LogIndex,
    ) -> None:
        """Start as a follower that has heard no leader."""
        self.identity = identity
        self.hard_state = hard_state
        self.log = log
        self.policy = policy
        self.random = random
        self.role = Role.FOLLOWER
        self.leader: identifiers.ReplicaId | None = None
        self.commit = max(commit, log.snapshot.index)
        self.emitted = log.snapshot.index
        self.progress: dict[identifiers.ReplicaId, Progress] = {}
        self.leader_contact_at: float | None = None
        self.election_at = 0.0
        self.transfer_until: float | None = None
        self.is_expelled = False
        self._out = _Pending()

    @property
    def term(self) -> identifiers.Term:
        """The current term."""
        return self.hard_state.term

    @property
    def membership(self) -> messages.MembershipRecord:
        """The membership in force."""
        return self.log.membership

    def is_voter(self) -> bool:
        """Tell whether this replica votes in its own membership."""
        return self.identity in self.membership.voter_ids()

    def other_nodes(self) -> list[identifiers.ReplicaId]:
        """Return all other identities of the membership."""
        known = [node.identity for node in self.membership.nodes()]
        return [one for one in known if one != self.identity]

    def other_voters(self) -> list[identifiers.ReplicaId]:
        """Return the other identities that vote."""
        voters = [node.identity for node in self.membership.voters]
        return [one for one in voters if one != self.identity]

    def enter_term(
        self,
        term: identifiers.Term,
        vote: identifiers.ReplicaId,
    ) -> None:
        """Change term and vote; both become durable before messages go."""
        self.hard_state = messages.HardStateRecord(term, vote)
        self._out.hard_state = self.hard_state

    def follow(
        self,
        term: identifiers.Term,
        leader: identifiers.ReplicaId | None,
        now: float,
    ) -> None:
        """Become a follower in ``term``."""
        if term > self.term:
            self.enter_term(term, messages.NO_VOTE)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.progress = {}
        self.transfer_until = None
        self.reset_election(now)

    def reset_election(self, now: float) -> None:
        """Draw a new time at which to ask for votes."""
        timeout = self.policy.election_timeout
        self.election_at = now + self.random.uniform(timeout, 2 * timeout)

    def has_recent_leader(self, now: float) -> bool:
        """Tell whether a leader may still hold its lease.

        A replica that has just started may have heard a leader before it
        stopped, so it waits one election timeout as well.
        """
        if self.leader_contact_at is None:
            return False
        return now - self.leader_contact_at < self.policy.election_timeout

    def append(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Append entries to the log and to the output."""
        self.log.append(entries)
        self._out.entries.extend(entries)

    def truncate(self, first: identifiers.LogIndex) -> None:
        """Drop entries from ``first`` on, in the log and on disk."""
        self.log.truncate(first)
        self._out.truncate_from = first

    def install(self, snapshot: messages.Snapshot) -> None:
        """Replace the log and the applied state by a snapshot."""
        self._out.keeps_tail = self.log.install(snapshot)
        self._out.snapshot = snapshot
        self.commit = max(self.commit, snapshot.index)
        self.emitted = snapshot.index

    def send(self, message: messages.Message) -> None:
        """Add a message to the output."""
        self._out.to_send.append(message)

    def take_output(self) -> messages.Output:
        """Return the output of this step and start an empty one."""
        committed: tuple[messages.LogEntry, ...] = ()
        if self.commit > self.emitted:
            committed = self.log.read(
                identifiers.LogIndex(self.emitted + 1),
                self.commit,
            )
            self.emitted = self.commit
        out = self._out
        self._out = _Pending()
        return messages.Output(
            out.hard_state,
            tuple(out.entries),
            out.truncate_from,
            out.snapshot,
            tuple(out.to_send),
            committed,
            out.keeps_tail,
        )

    def create_entry(
        self,
        kind: messages.EntryKind,
        payload: bytes,
    ) -> messages.LogEntry:
        """Return a new last entry of the current term."""
        index = identifiers.LogIndex(self.log.last_index + 1)
        return messages.LogEntry(index, self.term, kind, payload)
