"""Membership changes, one voter at a time and through a learner stage.

A replica that lost its data comes back with a new identity. The leader adds
that identity as a learner, sends it the log, removes the old identity at the
same address and then admits the new one. Each step is an entry of the log, so
a new leader goes on where the last one stopped.

Where the policy says so, a replica at a new address takes the place of a voter
that has been silent for a while, so a lost machine needs no operator.

References: D. Ongaro, Consensus: Bridging Theory and Practice, chapter 4.
"""

import dataclasses
import enum

from returns import result

from wagtailspread.consensus import messages, states
from wagtailspread.core import failures, identifiers


#: How long the identity that was last seen at an address is taken as its own.
INTRODUCTION_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Introduced:
    node: messages.ReplicaNode
    noted_at: float


class ChangeKind(enum.Enum):
    """A single step."""

    ADD_LEARNER = 'add-learner'
    PROMOTE = 'promote'
    REMOVE = 'remove'


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipChange:
    """One step that concerns one identity."""

    kind: ChangeKind
    node: messages.ReplicaNode


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefused(failures.Failure):
    """A membership change cannot be made now.

    :param reason: what has to happen first.
    """

    reason: str


ChangeResult = result.Result[identifiers.LogIndex, failures.Failure]


class Reconfiguration:
    """Makes membership changes as entries of the log."""

    def __init__(self, state: states.ReplicaState) -> None:
        """Work on ``state``."""
        self._state = state
        self._introduced: dict[identifiers.Address, _Introduced] = {}
        self._mark = state.commit
        self._marked_at = float('-inf')

    def introduce(self, node: messages.ReplicaNode, now: float) -> None:
        """Note the identity that answers at a listed address."""
        self._introduced[node.address] = _Introduced(node, now)

    def find_next(self, now: float) -> MembershipChange | None:
        """Return the step that brings the membership up to date, if any."""
        state = self._state
        self._set_mark(now)
        if self._find_obstacle() is not None:
            return None
        for node in self._list_introduced(now):
            if state.membership.find(node.identity) is None:
                return MembershipChange(ChangeKind.ADD_LEARNER, node)
        for learner in state.membership.learners:
            change = self._find_step(learner, now)
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
        """Return the membership after ``change``, if it may be made now."""
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

        Under load the last entries are always on their way, so it has to hold
        what was committed at the last mark, which is set anew every half an
        election timeout.
        """
        state = self._state
        self._set_mark(now)
        progress = state.progress.get(identity)
        if progress is None:
            return False
        is_live = now - progress.active_at < state.policy.election_timeout
        return is_live and progress.match_index >= self._mark

    def _set_mark(self, now: float) -> None:
        if now - self._marked_at >= self._state.policy.election_timeout / 2:
            self._mark = self._state.commit
            self._marked_at = now

    def _find_obstacle(self) -> str | None:
        state = self._state
        if state.log.membership_index > state.commit:
            return 'change-in-progress'
        if state.log.find_term(state.commit) != state.term:
            return 'no-commit-in-term'
        return None

    def _find_step(
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

    def _find_silent_voter(self, now: float) -> messages.ReplicaNode | None:
        """Return a voter that may be replaced, the most silent one first."""
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
            for other in self._list_introduced(now)
        )

    def _list_introduced(self, now: float) -> list[messages.ReplicaNode]:
        since = now - INTRODUCTION_SECONDS
        known = self._introduced.values()
        return [one.node for one in known if one.noted_at > since]

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
    """Return the membership after one step."""
    node = change.node
    voters = membership.voters
    learners = _without(membership.learners, node)
    if change.kind is ChangeKind.ADD_LEARNER:
        if membership.find(node.identity) is not None:
            return membership
        learners = (*learners, node)
    elif change.kind is ChangeKind.PROMOTE:
        if node not in membership.learners:
            return membership
        voters = (*voters, node)
    else:
        voters = _without(voters, node)
    return messages.MembershipRecord(voters, learners)


def _without(
    nodes: tuple[messages.ReplicaNode, ...],
    removed: messages.ReplicaNode,
) -> tuple[messages.ReplicaNode, ...]:
    return tuple(one for one in nodes if one.identity != removed.identity)
