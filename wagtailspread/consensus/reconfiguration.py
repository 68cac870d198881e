"""Membership changes: one replica at a time; a new one starts as a learner.

A replica that lost its data restarts with a new identity. The leader adds that
identity as a learner, replicates the log to it, removes the old identity at
the same address and then promotes the new one to a voter. Each step is a log
entry, so a new leader resumes where the previous one stopped.

If the policy allows it, a replica at a new address replaces a voter that has
not replied for some time, so a lost machine needs no operator. A voter that
stops as planned says so and is removed at once if there are more voters than
the policy asks for: as a silent one of an even number of voters, it would
reduce the number of further losses that the group survives.

References: D. Ongaro, Consensus: Bridging Theory and Practice, chapter 4.
"""

import dataclasses
import enum

from returns import result

from wagtailspread.consensus import messages, states
from wagtailspread.core import failures, identifiers


#: Seconds for which the last identity introduced at an address is used.
INTRODUCTION_TTL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _IntroducedNode:
    node: messages.ReplicaNode
    received_at: float


class ChangeKind(enum.Enum):
    """Kind of a single membership change."""

    ADD_LEARNER = 'add-learner'
    PROMOTE = 'promote'
    REMOVE = 'remove'


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipChange:
    """Change of the membership of one node."""

    kind: ChangeKind
    node: messages.ReplicaNode


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefused(failures.Failure):
    """A membership change is not possible at present.

    :param reason: code of the condition that prevents it.
    """

    reason: str


ChangeResult = result.Result[identifiers.LogIndex, failures.Failure]


class Reconfiguration:
    """Selects and validates membership changes of the leader."""

    def __init__(self, state: states.ReplicaState) -> None:
        """Create a reconfiguration component that reads ``state``."""
        self._state = state
        self._introductions: dict[identifiers.Address, _IntroducedNode] = {}
        self._departures: dict[identifiers.ReplicaId, float] = {}
        self._target_index = state.commit
        self._target_set_at = float('-inf')

    def introduce(self, node: messages.ReplicaNode, now: float) -> None:
        """Record the identity that a replica introduced at its address.

        :param now: current time in seconds.
        """
        self._introductions[node.address] = _IntroducedNode(node, now)

    def announce_departure(
        self,
        identity: identifiers.ReplicaId,
        now: float,
    ) -> bool:
        """Record that a replica is about to stop.

        :param now: current time in seconds.
        :returns: whether its removal is due or in progress.
        """
        self._departures[identity] = now
        if self._state.membership.find(identity) is None:
            return True
        is_voter = identity in self._state.membership.voter_ids()
        return is_voter and self._find_departing_voter(now) is not None

    def is_removed(self, identity: identifiers.ReplicaId) -> bool:
        """Tell whether the committed membership lacks a replica."""
        state = self._state
        is_committed = state.log.membership_index <= state.commit
        return is_committed and state.membership.find(identity) is None

    def find_next(self, now: float) -> MembershipChange | None:
        """Return the next change that the membership needs, if any.

        :param now: current time in seconds.
        """
        state = self._state
        self._refresh_target(now)
        if self._find_obstacle() is not None:
            return None
        departing = self._find_departing_voter(now)
        if departing is not None:
            return MembershipChange(ChangeKind.REMOVE, departing)
        for node in self._list_introduced_nodes(now):
            if state.membership.find(node.identity) is None:
                return MembershipChange(ChangeKind.ADD_LEARNER, node)
        for learner in state.membership.learners:
            change = self._find_learner_change(learner, now)
            if change is not None:
                return change
        voters = state.membership.voters
        silent = self._find_silent_voter(now)
        if silent is not None and len(voters) > state.policy.min_voters:
            return MembershipChange(ChangeKind.REMOVE, silent)
        return None

    def prepare(
        self,
        change: MembershipChange,
        now: float,
    ) -> result.Result[messages.MembershipRecord, failures.Failure]:
        """Return the membership after ``change`` if it is allowed now.

        :param now: current time in seconds.
        :returns: the new membership, or a :class:`ChangeRefused`.
        """
        obstacle = self._find_obstacle()
        if obstacle is not None:
            return result.Failure(ChangeRefused(obstacle))
        changed = apply_change(self._state.membership, change)
        if changed == self._state.membership:
            return result.Failure(ChangeRefused('already-done'))
        if not changed.voters:
            return result.Failure(ChangeRefused('last-voter'))
        if change.kind is ChangeKind.PROMOTE:
            if not self.is_caught_up(change.node.identity, now):
                return result.Failure(ChangeRefused('learner-behind'))
        return result.Success(changed)

    def is_caught_up(
        self,
        identity: identifiers.ReplicaId,
        now: float,
    ) -> bool:
        """Tell whether a learner is live and holds the committed entries.

        Under load the last entries are always in flight, so a learner only
        has to reach a target: the commit index, sampled every half election
        timeout.

        :param now: current time in seconds.
        """
        state = self._state
        self._refresh_target(now)
        progress = state.progress.get(identity)
        if progress is None:
            return False
        is_live = now - progress.active_at < state.policy.election_timeout
        return is_live and progress.match_index >= self._target_index

    def _refresh_target(self, now: float) -> None:
        if now - self._target_set_at >= self._state.policy.election_timeout / 2:
            self._target_index = self._state.commit
            self._target_set_at = now

    def _find_obstacle(self) -> str | None:
        state = self._state
        if state.log.membership_index > state.commit:
            return 'change-in-progress'
        if state.log.find_term(state.commit) != state.term:
            return 'no-commit-in-term'
        return None

    def _find_learner_change(
        self,
        learner: messages.ReplicaNode,
        now: float,
    ) -> MembershipChange | None:
        state = self._state
        if self._is_superseded(learner, now):
            return MembershipChange(ChangeKind.REMOVE, learner)
        if not self.is_caught_up(learner.identity, now):
            return None
        for voter in state.membership.voters:
            if voter.address == learner.address:
                if self._is_live(voter, now):
                    return None
                return MembershipChange(ChangeKind.REMOVE, voter)
        silent = self._find_silent_voter(now)
        is_full = len(state.membership.voters) >= state.policy.min_voters
        if silent is not None and is_full:
            return MembershipChange(ChangeKind.REMOVE, silent)
        return MembershipChange(ChangeKind.PROMOTE, learner)

    def _find_departing_voter(self, now: float) -> messages.ReplicaNode | None:
        """Return a voter that is about to stop and may be removed, if any.

        Removing one voter of an odd number does not make the majority smaller,
        and the voter may be back soon, so it stays.
        """
        state = self._state
        since = now - state.policy.silent_voter_seconds
        voters = state.membership.voters
        departing = [
            voter
            for voter in voters
            if self._departures.get(voter.identity, since) > since
        ]
        is_removable = len(voters) % 2 == 0 or len(departing) > 1
        if len(voters) <= state.policy.min_voters or not is_removable:
            return None
        return departing[0] if departing else None

    def _find_silent_voter(self, now: float) -> messages.ReplicaNode | None:
        """Return the silent voter with the oldest reply, if there is any."""
        state = self._state
        since = now - state.policy.silent_voter_seconds
        silent: messages.ReplicaNode | None = None
        for voter in state.membership.voters:
            progress = state.progress.get(voter.identity)
            if progress is not None and progress.active_at < since:
                since = progress.active_at
                silent = voter
        return silent

    def _is_superseded(
        self,
        learner: messages.ReplicaNode,
        now: float,
    ) -> bool:
        if self._is_live(learner, now):
            return False
        return any(
            other.address == learner.address and other != learner
            for other in self._list_introduced_nodes(now)
        )

    def _list_introduced_nodes(self, now: float) -> list[messages.ReplicaNode]:
        since = now - INTRODUCTION_TTL_SECONDS
        recent = self._introductions.values()
        return [known.node for known in recent if known.received_at > since]

    def _is_live(self, node: messages.ReplicaNode, now: float) -> bool:
        if node.identity == self._state.identity:
            return True
        progress = self._state.progress.get(node.identity)
        if progress is None:
            return False
        return now - progress.active_at < self._state.policy.election_timeout


def apply_change(
    membership: messages.MembershipRecord,
    change: MembershipChange,
) -> messages.MembershipRecord:
    """Return the membership after ``change``.

    :returns: ``membership`` itself if it has the change already.
    """
    node = change.node
    voters = membership.voters
    learners = _exclude_node(membership.learners, node)
    if change.kind is ChangeKind.ADD_LEARNER:
        if membership.find(node.identity) is not None:
            return membership
        learners = (*learners, node)
    elif change.kind is ChangeKind.PROMOTE:
        if node not in membership.learners:
            return membership
        voters = (*voters, node)
    else:
        voters = _exclude_node(voters, node)
    return messages.MembershipRecord(voters, learners)


def _exclude_node(
    nodes: tuple[messages.ReplicaNode, ...],
    excluded: messages.ReplicaNode,
) -> tuple[messages.ReplicaNode, ...]:
    return tuple(node for node in nodes if node.identity != excluded.identity)
