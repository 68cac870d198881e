"""One replica of the replicated log, without I/O or clocks.

Each step returns an :class:`~wagtailspread.consensus.messages.Output`. The
driver makes the output durable, then sends its messages, then applies its
committed entries. Several outputs may share one sync if they are written in
order.

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

#: Term of the entries in the initial log of a fleet.
FIRST_TERM = identifiers.Term(1)


class Replica:
    """A consensus replica. Use :func:`create_replica`.

    The class attributes select the component types, so that a test can
    replace one.
    """

    elections_type = elections.Elections
    replication_type = replication.Replication
    reconfiguration_type = reconfiguration.Reconfiguration

    def __init__(self, state: states.ReplicaState) -> None:
        """Create the components for ``state``."""
        self.state = state
        self.elections = self.elections_type(state)
        self.replication = self.replication_type(state)
        self.reconfiguration = self.reconfiguration_type(state)
        self.transfers = transfers.Transfers(state)

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it leads the current term."""
        return self.state.role is states.Role.LEADER

    def receive(
        self,
        message: messages.Message,
        now: float,
    ) -> messages.Output:
        """Handle a message from another replica.

        A message for another identity is dropped.

        :param now: current time in seconds.
        """
        self._start_timers(now)
        if message.to == self.state.identity and not self.state.is_expelled:
            self._dispatch(message, now)
            self._run_leader_step(now)
        return self.state.pop_output()

    def tick(self, now: float) -> messages.Output:
        """Run due timers: elections, transfers, membership changes, heartbeats.

        :param now: current time in seconds.
        """
        self._start_timers(now)
        if self.state.is_expelled:
            return self.state.pop_output()
        self.elections.tick(now)
        if self.is_leader:
            self.transfers.tick(now)
            self._propose_next_change(now)
            self.replication.tick(now)
        self._run_leader_step(now)
        return self.state.pop_output()

    def propose(self, command: bytes, now: float) -> IndexResult:
        """Append a command to the log; the output of the next step holds it.

        :param now: current time in seconds.
        :returns: the index at which the command is committed if this replica
            stays leader of the current term until then; NotLeader if it
            cannot accept commands.
        """
        if not self._can_accept(now):
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
        """Append a membership change; only one may be uncommitted at a time.

        :param now: current time in seconds.
        :returns: the index of the entry; NotLeader or ChangeRefused if the
            change is not possible now.
        """
        if not self._can_accept(now):
            return result.Failure(self._not_leader())
        prepared = self.reconfiguration.prepare(change, now)
        if not isinstance(prepared, result.Success):
            return result.Failure(prepared.failure())
        payload = messages.encode_membership(prepared.unwrap())
        state = self.state
        entry = state.create_entry(messages.EntryKind.MEMBERSHIP, payload)
        state.append((entry,))
        self._reconcile_progress(now)
        return result.Success(entry.index)

    def read_index(self, now: float) -> IndexResult:
        """Return the index that must be applied for a linearizable read.

        It relies on the lease of the leader: a majority acknowledged a
        request that was sent within the lease, and those voters refuse to
        vote for longer than the lease lasts.

        :param now: current time in seconds.
        :returns: the commit index; NotLeader without a valid lease.
        """
        state = self.state
        if not self._can_accept(now):
            return result.Failure(self._not_leader())
        lease = state.policy.election_timeout * state.policy.lease_share
        start = replication.find_lease_start(state, now)
        if state.log.find_term(state.commit) != state.term:
            return result.Failure(self._not_leader())
        if now >= start + lease:
            return result.Failure(self._not_leader())
        return result.Success(state.commit)

    def introduce(self, node: messages.ReplicaNode, now: float) -> None:
        """Record that ``node`` asks to join; a leader adds it as a learner.

        :param now: current time in seconds.
        """
        self.reconfiguration.introduce(node, now)

    def needs_introduction(self, now: float) -> bool:
        """Tell whether this replica should introduce itself to its peers.

        Being in its own membership is not enough: the entry that added this
        replica may have been lost with the leader that sent it.

        :param now: current time in seconds.
        """
        state = self.state
        if state.is_expelled:
            return False
        if state.membership.find(state.identity) is None:
            return True
        elapsed = now - (
            now if state.leader_contact_at is None else state.leader_contact_at
        )
        has_lost_leader = elapsed > 2 * state.policy.election_timeout
        return has_lost_leader and not self.is_leader

    def form(self, first: logs.Log, now: float) -> messages.Output:
        """Start a new fleet with the log of :func:`create_first_log`.

        :param first: the initial log.
        :param now: current time in seconds.
        """
        state = self.state
        state.follow(max(state.term, FIRST_TERM), None, now)
        state.append(first.read(identifiers.LogIndex(1), first.last_index))
        return state.pop_output()

    def transfer(self, now: float) -> messages.Output:
        """Start to transfer the leadership to a voter with a complete log.

        :param now: current time in seconds.
        """
        if self.is_leader:
            self.transfers.start(now)
        return self.state.pop_output()

    def compact(self, payload: bytes, index: identifiers.LogIndex) -> None:
        """Replace entries up to ``index`` with a snapshot of the state there.

        :param payload: state of the state machine after that entry.
        """
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
        """Return the output of the proposals made since the last step.

        :param now: current time in seconds.
        """
        self._run_leader_step(now)
        return self.state.pop_output()

    def _start_timers(self, now: float) -> None:
        if self.state.leader_contact_at is None:
            self.state.leader_contact_at = now
            self.state.reset_election_timer(now)

    def _can_accept(self, now: float) -> bool:
        if not self.is_leader or self.state.transfer_deadline is not None:
            return False
        return elections.has_quorum(self.state, now)

    def _not_leader(self) -> failures.NotLeader:
        return failures.NotLeader(self.find_leader_address())

    def find_leader_address(self) -> identifiers.Address | None:
        """Return the address of the leader if it is another, known replica."""
        leader = self.state.leader
        if leader is None or leader == self.state.identity:
            return None
        node = self.state.membership.find(leader)
        return None if node is None else node.address

    def _dispatch(self, message: messages.Message, now: float) -> None:
        handlers: dict[type, typing.Callable[[typing.Any, float], None]] = {
            messages.AppendRequest: self.replication.handle_append,
            messages.AppendReply: self.replication.handle_append_reply,
            messages.VoteRequest: self.elections.handle_vote_request,
            messages.VoteReply: self.elections.handle_vote_reply,
            messages.SnapshotChunk: self.replication.handle_chunk,
            messages.SnapshotReply: self.replication.handle_chunk_reply,
            messages.TransferRequest: self._handle_transfer,
            messages.Expulsion: self._handle_expulsion,
        }
        handlers[type(message)](message, now)

    def _handle_transfer(
        self,
        request: messages.TransferRequest,
        now: float,
    ) -> None:
        is_current = request.term == self.state.term
        if is_current and self.state.is_voter() and not self.is_leader:
            self.elections.start(now, is_pre=False, is_transfer=True)

    def _handle_expulsion(
        self, expulsion: messages.Expulsion, now: float
    ) -> None:
        state = self.state
        is_leader = expulsion.sender == state.leader
        if is_leader and expulsion.term == state.term:
            state.follow(state.term, None, now)
            state.is_expelled = True

    def _run_leader_step(self, now: float) -> None:
        if not self.is_leader:
            return
        self._reconcile_progress(now)
        self.replication.commit_replicated()
        self._step_down_if_removed(now)
        if self.is_leader:
            self.replication.send_entries(now)

    def _reconcile_progress(self, now: float) -> None:
        """Add and remove progress records to match the membership."""
        state = self.state
        wanted = state.other_nodes()
        for identity in wanted:
            if identity not in state.progress:
                progress = elections.create_progress(state, now)
                state.progress[identity] = progress
        for identity in list(state.progress):
            if identity not in wanted:
                state.progress.pop(identity)

    def _step_down_if_removed(self, now: float) -> None:
        state = self.state
        is_settled = state.log.membership_index <= state.commit
        if is_settled and not state.is_voter():
            self.replication.send_heartbeats(now)
            state.follow(state.term, None, now)

    def _propose_next_change(self, now: float) -> None:
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
    """Return a replica that resumes from its stored state.

    :param random: source of election timeouts; seeded with the identity by
        default.
    :param replica_type: class of the replica, replaced by tests.
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
    """Return the initial log of a new fleet.

    It holds the initial membership and commands. Only one replica creates it;
    the others receive its entries by replication.
    """
    membership_entry = messages.LogEntry(
        identifiers.LogIndex(1),
        FIRST_TERM,
        messages.EntryKind.MEMBERSHIP,
        messages.encode_membership(membership),
    )
    command_entries = [
        messages.LogEntry(
            identifiers.LogIndex(index),
            FIRST_TERM,
            messages.EntryKind.COMMAND,
            command,
        )
        for index, command in enumerate(commands, start=2)
    ]
    return logs.create_log(entries=(membership_entry, *command_entries))
