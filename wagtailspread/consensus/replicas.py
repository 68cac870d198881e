"""One replica of the replicated log, free of I/O and clocks.

Each step returns an :class:`~wagtailspread.consensus.messages.Output`. Its
driver makes the output durable, then sends its messages, then applies its
committed entries. Outputs may be written together under one sync as long as
their order is kept.

>>> import random
>>> node = messages.ReplicaNode('a', '127.0.0.1:1')
>>> log = create_first_log(messages.MembershipRecord((node,)), ())
>>> replica = create_replica('a', messages.HardStateRecord(1), log)
>>> _ = replica.tick(0.0)
>>> _ = replica.tick(3.0)
>>> replica.state.role
<Role.LEADER: 'leader'>

References: D. Ongaro and J. Ousterhout, In Search of an Understandable
Consensus Algorithm, 2014; D. Ongaro, Consensus: Bridging Theory and Practice,
2014.
"""

import random as random_module
import typing

from returns import result

from wagtailspread.consensus import (
    elections,
    logs,
    messages,
    reconfiguration,
    replication,
    states,
    transfers,
)
from wagtailspread.core import failures, identifiers

IndexResult = result.Result[identifiers.LogIndex, failures.Failure]

#: Term of the entries that the first membership starts with.
FIRST_TERM = identifiers.Term(1)


class Replica:
    """A replica. Use :func:`create_replica`.

    The class attributes name the parts, so that a test can replace one.
    """

    elections_type = elections.Elections
    replication_type = replication.Replication
    reconfiguration_type = reconfiguration.Reconfiguration

    def __init__(self, state: states.ReplicaState) -> None:
        """Start as a follower."""
        self.state = state
        self.elections = self.elections_type(state)
        self.replication = self.replication_type(state)
        self.reconfiguration = self.reconfiguration_type(state)
        self.transfers = transfers.Transfers(state)

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term, as far as it knows."""
        return self.state.role is states.Role.LEADER

    def receive(
        self,
        message: messages.Message,
        now: float,
    ) -> messages.Output:
        """Take a message from another replica."""
        self._start(now)
        if message.to == self.state.identity and not self.state.is_expelled:
            self._dispatch(message, now)
            self._lead_on(now)
        return self.state.take_output()

    def tick(self, now: float) -> messages.Output:
        """Start what is due: heartbeats, elections, membership steps."""
        self._start(now)
        if self.state.is_expelled:
            return self.state.take_output()
        self.elections.tick(now)
        if self.is_leader:
            self.transfers.tick(now)
            self._make_next_change(now)
            self.replication.tick(now)
        self._lead_on(now)
        return self.state.take_output()

    def propose(self, command: bytes, now: float) -> IndexResult:
        """Append a command; the next step's output carries it.

        :returns: the index at which it is committed if this replica stays
            leader of the current term until then.
        """
        if not self._may_accept(now):
            return result.Failure(self._not_leader())
        state = self.state
        entry = state.create_entry(messages.EntryKind.COMMAND, command)
        state.append((entry,))
        return result.Success(entry.index)

    def change_membership(
        self,
        change: reconfiguration.MembershipChange,
        now: float,
    ) -> IndexResult:
        """Append a membership change; one may be under way at a time."""
        if not self._may_accept(now):
            return result.Failure(self._not_leader())
        prepared = self.reconfiguration.prepare(change, now)
        if not isinstance(prepared, result.Success):
            return result.Failure(prepared.failure())
        payload = messages.encode_membership(prepared.unwrap())
        state = self.state
        entry = state.create_entry(messages.EntryKind.MEMBERSHIP, payload)
        state.append((entry,))
        self._match_progress(now)
        return result.Success(entry.index)

    def read_index(self, now: float) -> IndexResult:
        """Return the index that must be applied before a current read.

        It relies on the leader's lease: a majority answered a request that was
        sent within the lease, and refuses to vote for longer than that.
        """
        state = self.state
        if not self._may_accept(now):
            return result.Failure(self._not_leader())
        lease = state.policy.election_timeout * state.policy.lease_share
        start = replication.find_lease_start(state, now)
        if state.log.find_term(state.commit) != state.term:
            return result.Failure(self._not_leader())
        if now >= start + lease:
            return result.Failure(self._not_leader())
        return result.Success(state.commit)

    def introduce(self, node: messages.ReplicaNode, now: float) -> None:
        """Note that ``node`` asks to be a member; a leader admits it."""
        self.reconfiguration.introduce(node, now)

    def needs_introduction(self, now: float) -> bool:
        """Tell whether the leader may not know this replica.

        The own membership does not settle it: the entry that added this
        replica may have been lost with the leader that sent it.
        """
        state = self.state
        if state.is_expelled:
            return False
        if state.membership.find(state.identity) is None:
            return True
        silence = now - (
            now if state.leader_contact_at is None else state.leader_contact_at
        )
        is_silent = silence > 2 * state.policy.election_timeout
        return is_silent and not self.is_leader

    def form(self, first: logs.Log, now: float) -> messages.Output:
        """Start a new fleet with the log of :func:`create_first_log`."""
        state = self.state
        state.follow(max(state.term, FIRST_TERM), None, now)
        state.append(first.read(identifiers.LogIndex(1), first.last_index))
        return state.take_output()

    def transfer(self, now: float) -> messages.Output:
        """Ask the follower that holds most of the log to lead."""
        if self.is_leader:
            self.transfers.start(now)
        return self.state.take_output()

    def compact(self, payload: bytes, index: identifiers.LogIndex) -> None:
        """Replace entries up to ``index`` by a snapshot of the state there."""
        log = self.state.log
        term = log.find_term(index)
        if term is not None and index > log.snapshot.index:
            membership = log.find_membership(index)
            snapshot = messages.Snapshot(index, term, membership, payload)
            policy = self.state.policy
            log.compact(
                snapshot, policy.retained_entries, policy.retained_bytes
            )

    def flush(self, now: float) -> messages.Output:
        """Return the output of the proposals made since the last step."""
        self._lead_on(now)
        return self.state.take_output()

    def _start(self, now: float) -> None:
        if self.state.leader_contact_at is None:
            self.state.leader_contact_at = now
            self.state.reset_election(now)

    def _may_accept(self, now: float) -> bool:
        if not self.is_leader or self.state.transfer_until is not None:
            return False
        return elections.has_quorum(self.state, now)

    def _not_leader(self) -> failures.NotLeader:
        return failures.NotLeader(self.find_leader_address())

    def find_leader_address(self) -> identifiers.Address | None:
        """Return the address of the leader, if another one is known."""
        leader = self.state.leader
        if leader is None or leader == self.state.identity:
            return None
        node = self.state.membership.find(leader)
        return None if node is None else node.address

    def _dispatch(self, message: messages.Message, now: float) -> None:
        handlers: dict[type, typing.Callable[[typing.Any, float], None]] = {
            messages.AppendRequest: self.replication.answer,
            messages.AppendReply: self.replication.count,
            messages.VoteRequest: self.elections.answer,
            messages.VoteReply: self.elections.count,
            messages.SnapshotChunk: self.replication.store_chunk,
            messages.SnapshotReply: self.replication.count_chunk,
            messages.TransferRequest: self._take_over,
            messages.Expulsion: self._become_void,
        }
        handlers[type(message)](message, now)

    def _take_over(
        self,
        request: messages.TransferRequest,
        now: float,
    ) -> None:
        is_current = request.term == self.state.term
        if is_current and self.state.is_voter() and not self.is_leader:
            self.elections.start(now, is_pre=False, is_transfer=True)

    def _become_void(self, expulsion: messages.Expulsion, now: float) -> None:
        state = self.state
        is_leader = expulsion.sender == state.leader
        if is_leader and expulsion.term == state.term:
            state.follow(state.term, None, now)
            state.is_expelled = True

    def _lead_on(self, now: float) -> None:
        if not self.is_leader:
            return
        self._match_progress(now)
        self.replication.commit_replicated()
        self._leave_if_removed(now)
        if self.is_leader:
            self.replication.send_entries(now)

    def _match_progress(self, now: float) -> None:
        """Keep one progress for each other node of the membership."""
        state = self.state
        wanted = state.other_nodes()
        for identity in wanted:
            if identity not in state.progress:
                known = elections.create_progress(state, now)
                state.progress[identity] = known
        for identity in list(state.progress):
            if identity not in wanted:
                state.progress.pop(identity)

    def _leave_if_removed(self, now: float) -> None:
        state = self.state
        is_settled = state.log.membership_index <= state.commit
        if is_settled and not state.is_voter():
            self.replication.send_heartbeats(now)
            state.follow(state.term, None, now)

    def _make_next_change(self, now: float) -> None:
        change = self.reconfiguration.find_next(now)
        if change is not None:
            self.change_membership(change, now)


def create_replica(
    identity: identifiers.ReplicaId,
    hard_state: messages.HardStateRecord,
    log: logs.Log,
    policy: states.Policy | None = None,
    random: random_module.Random | None = None,
    replica_type: type[Replica] = Replica,
    commit: identifiers.LogIndex = identifiers.LogIndex(0),
) -> Replica:
    """Return a replica that continues from what its storage held.

    :param random: draws the election timeouts; seeded by the identity if not
        given.
    :param replica_type: another class, for tests.
    :param commit: index up to which entries are known to be committed.
    """
    state = states.ReplicaState(
        identity,
        hard_state,
        log,
        policy or states.Policy(),
        random or random_module.Random(identity),
        commit,
    )
    return replica_type(state)


def create_first_log(
    membership: messages.MembershipRecord,
    commands: tuple[bytes, ...],
) -> logs.Log:
    """Return the log that a new fleet starts with.

    It holds the first membership and the first commands, and exists at one
    replica only; the others receive it like any other entries.
    """
    first = messages.LogEntry(
        identifiers.LogIndex(1),
        FIRST_TERM,
        messages.EntryKind.MEMBERSHIP,
        messages.encode_membership(membership),
    )
    rest = [
        messages.LogEntry(
            identifiers.LogIndex(place),
            FIRST_TERM,
            messages.EntryKind.COMMAND,
            command,
        )
        for place, command in enumerate(commands, start=2)
    ]
    return logs.create_log(entries=(first, *rest))
