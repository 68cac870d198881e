"""State of one replica, shared by elections, replication and transfers."""

import dataclasses
import enum
import math
import random as random_module

from wagtailspread.consensus import logs, messages
from wagtailspread.core import identifiers


class Role(enum.Enum):
    """Role of a replica in its current term. A learner is a follower."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Timeouts and limits of the protocol.

    :param election_timeout: seconds without a request from the leader after
        which a follower requests votes; each replica draws its timeout
        between one and two times this value. For one election timeout after
        a request from the leader a follower ignores vote requests.
    :param heartbeat_interval: seconds between heartbeats of the leader.
    :param lease_share: fraction of the election timeout for which a leader
        may serve reads after it sent a request that a majority acknowledged;
        less than 1, since clocks run at different speeds.
    :param max_append_entries: maximum number of entries in an append request.
    :param max_append_bytes: maximum payload bytes in an append request; a
        single entry may exceed it.
    :param max_entries_in_flight: maximum number of entries sent to a follower
        and not yet acknowledged.
    :param chunk_bytes: maximum payload bytes in a snapshot chunk.
    :param retained_entries: maximum number of entries covered by the snapshot
        that stay in the log, for followers that lag only a little.
    :param retained_bytes: maximum payload bytes of those entries.
    :param silent_voter_seconds: seconds without a reply after which a voter
        may be removed in favour of a replica at another address; by default
        never.
    :param min_voters: a silent voter is only removed if at least this many
        voters remain, or if a replica that holds the log replaces it.
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
    """Replication progress of one follower, as its leader knows it.

    All times are in seconds of the leader's clock.

    :param match_index: last index known to be replicated to the follower.
    :param next_index: index of the next entry to send.
    :param is_probing: whether the last common index is still unknown; one
        request is sent at a time then.
    :param is_paused: whether a probe is in flight; the next heartbeat ends
        the pause.
    :param matched_at: when ``match_index`` last advanced.
    :param is_expelled: whether the follower lost acknowledged entries.
    :param active_at: when the last reply arrived; before the first one, when
        the leader created this record.
    :param lease_start_at: when the last acknowledged request was sent.
    :param snapshot: the snapshot in transfer, if the follower needs entries
        that the log no longer holds.
    :param snapshot_offset: bytes of it that the follower has acknowledged.
    :param snapshot_sent_at: when a chunk of it was last sent.
    """

    match_index: identifiers.LogIndex
    next_index: identifiers.LogIndex
    is_probing: bool = True
    is_paused: bool = False
    matched_at: float = 0.0
    is_expelled: bool = False
    active_at: float = 0.0
    lease_start_at: float = float('-inf')
    snapshot: messages.Snapshot | None = None
    snapshot_offset: int = 0
    snapshot_sent_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _PendingOutput:
    """Output that the current step has accumulated so far."""

    hard_state: messages.HardStateRecord | None = None
    entries: list[messages.LogEntry] = dataclasses.field(default_factory=list)
    truncate_from: identifiers.LogIndex | None = None
    snapshot: messages.Snapshot | None = None
    to_send: list[messages.Message] = dataclasses.field(default_factory=list)
    keeps_tail: bool = True


class ReplicaState:
    """Protocol variables of one replica and the output of its current step."""

    def __init__(
        self,
        identity: identifiers.ReplicaId,
        hard_state: messages.HardStateRecord,
        log: logs.Log,
        policy: Policy,
        random: random_module.Random,
        commit: identifiers.LogIndex,
    ) -> None:
        """Start as a follower that knows no leader.

        :param commit: index up to which entries are known to be committed.
        """
        self.identity = identity
        self.hard_state = hard_state
        self.log = log
        self.policy = policy
        self.random = random
        self.role = Role.FOLLOWER
        self.leader: identifiers.ReplicaId | None = None
        self.commit = max(commit, log.snapshot.index)
        self.emitted_index = log.snapshot.index
        self.progress: dict[identifiers.ReplicaId, Progress] = {}
        self.leader_contact_at: float | None = None
        self.election_deadline = 0.0
        self.transfer_deadline: float | None = None
        self.is_expelled = False
        self._pending = _PendingOutput()

    @property
    def term(self) -> identifiers.Term:
        """The current term."""
        return self.hard_state.term

    @property
    def membership(self) -> messages.MembershipRecord:
        """The latest membership in the log, committed or not."""
        return self.log.membership

    def is_voter(self) -> bool:
        """Tell whether this replica is a voter of its latest membership."""
        return self.identity in self.membership.voter_ids()

    def other_nodes(self) -> list[identifiers.ReplicaId]:
        """Return the identities of all other voters and learners."""
        nodes = [node.identity for node in self.membership.nodes()]
        return [identity for identity in nodes if identity != self.identity]

    def other_voters(self) -> list[identifiers.ReplicaId]:
        """Return the identities of all other voters."""
        voters = [node.identity for node in self.membership.voters]
        return [identity for identity in voters if identity != self.identity]

    def enter_term(
        self,
        term: identifiers.Term,
        vote: identifiers.ReplicaId,
    ) -> None:
        """Set term and vote; both become durable before messages are sent."""
        self.hard_state = messages.HardStateRecord(term, vote)
        self._pending.hard_state = self.hard_state

    def follow(
        self,
        term: identifiers.Term,
        leader: identifiers.ReplicaId | None,
        now: float,
    ) -> None:
        """Become a follower in ``term``.

        :param leader: leader of the term, if it is known.
        :param now: current time in seconds.
        """
        if term > self.term:
            self.enter_term(term, messages.NO_VOTE)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.progress = {}
        self.transfer_deadline = None
        self.reset_election_timer(now)

    def reset_election_timer(self, now: float) -> None:
        """Draw a new random deadline for the next election.

        :param now: current time in seconds.
        """
        timeout = self.policy.election_timeout
        self.election_deadline = now + self.random.uniform(timeout, 2 * timeout)

    def has_recent_leader(self, now: float) -> bool:
        """Tell whether a leader may still hold its lease.

        A replica that has just started may have acknowledged a leader before
        it stopped, so its start counts as a contact and it also waits one
        election timeout.

        :param now: current time in seconds.
        """
        if self.leader_contact_at is None:
            return False
        return now - self.leader_contact_at < self.policy.election_timeout

    def append(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Append entries to the log and to the output."""
        self.log.append(entries)
        self._pending.entries.extend(entries)

    def truncate(self, first: identifiers.LogIndex) -> None:
        """Remove entries from ``first`` on, in the log and in storage."""
        self.log.truncate(first)
        self._pending.truncate_from = first

    def install(self, snapshot: messages.Snapshot) -> None:
        """Replace the log and the applied state with a snapshot."""
        self._pending.keeps_tail = self.log.install(snapshot)
        self._pending.snapshot = snapshot
        self.commit = max(self.commit, snapshot.index)
        self.emitted_index = snapshot.index

    def send(self, message: messages.Message) -> None:
        """Add a message to the output."""
        self._pending.to_send.append(message)

    def pop_output(self) -> messages.Output:
        """Return the output of this step and start an empty one."""
        committed: tuple[messages.LogEntry, ...] = ()
        if self.commit > self.emitted_index:
            committed = self.log.read(
                identifiers.LogIndex(self.emitted_index + 1),
                self.commit,
            )
            self.emitted_index = self.commit
        pending = self._pending
        self._pending = _PendingOutput()
        return messages.Output(
            pending.hard_state,
            tuple(pending.entries),
            pending.truncate_from,
            pending.snapshot,
            tuple(pending.to_send),
            committed,
            pending.keeps_tail,
        )

    def create_entry(
        self,
        kind: messages.EntryKind,
        payload: bytes,
    ) -> messages.LogEntry:
        """Return an entry of the current term for the end of the log."""
        index = identifiers.LogIndex(self.log.last_index + 1)
        return messages.LogEntry(index, self.term, kind, payload)
