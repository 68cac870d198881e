"""Introductions between replicas, and the initial membership.

The initial membership is formed once, by the initiator: the founder with the
lowest address. The initiator waits until every other founder has announced
that it belongs to no membership and has pledged to join that of the initiator.
So replicas that lost their data cannot form a second fleet as long as one
founder still has its data; they introduce themselves and wait to be admitted.

The initiator may be killed, or lose its disk, before it has formed the
membership. It then waits for the pledges again when it is back, unless it hears
from a replica that belongs to a membership.
"""

import dataclasses

from wagtailspread.consensus import messages
from wagtailspread.core import identifiers

#: Interval of the introductions to peers, in seconds.
INTRODUCTION_INTERVAL_SECONDS = 0.25
#: Age after which an introduction no longer counts as a pledge, in seconds.
INTRODUCTION_MAX_AGE_SECONDS = 1.0
#: Minimum number of founders for which the initiator starts again. A replica
#: that is back knows the founders from its seeds only, and a single one of them
#: proves little.
MIN_RETURN_FOUNDERS = 3
#: As recipient, stands for any replica; as pledge, for none.
NO_IDENTITY = identifiers.ReplicaId('')


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedIntroduction:
    introduction: messages.Introduction
    received_at: float


class PeerDiscovery:
    """Introductions that one replica sends and receives."""

    def __init__(
        self,
        local_node: messages.ReplicaNode,
        peers: tuple[identifiers.Address, ...],
        founders: tuple[identifiers.Address, ...],
    ) -> None:
        """Start without introductions of peers.

        :param local_node: identity and address of this replica.
        :param founders: addresses of the initial membership, including that of
            this replica; empty if it can only join an existing membership.
        """
        self.pledge = NO_IDENTITY
        self._local_node = local_node
        self._peers = peers
        self._founders = founders
        self._introductions: dict[
            identifiers.Address, _ReceivedIntroduction
        ] = {}
        self._next_introduction_at = 0.0
        self._has_heard_of_fleet = False
        #: Whether a replica that belongs to the first ones has started again
        #: without being told so.
        self._is_back = not founders and local_node.address in peers
        self._first_members = founders
        if self._is_back and len(peers) >= MIN_RETURN_FOUNDERS:
            self._first_members = peers
        if local_node.address == min(self._first_members, default=None):
            self.pledge = local_node.identity

    def list_due_peers(self, now: float) -> list[identifiers.Address]:
        """Return the peers to send introductions to at ``now``.

        Introductions are due once every :data:`INTRODUCTION_INTERVAL_SECONDS`.
        A call at a due time schedules the next ones.
        """
        if now < self._next_introduction_at:
            return []
        self._next_introduction_at = now + INTRODUCTION_INTERVAL_SECONDS
        return [
            peer for peer in self._peers if peer != self._local_node.address
        ]

    def create_introduction(
        self,
        to: identifiers.ReplicaId,
        *,
        is_formed: bool,
    ) -> messages.Introduction:
        """Return the introduction of this replica.

        :param to: identity of the replica whose introduction it answers;
            :data:`NO_IDENTITY` if it is not an answer.
        """
        return messages.Introduction(
            self._local_node.identity,
            to,
            self._local_node.address,
            is_formed,
            self.pledge,
        )

    def record_introduction(
        self, introduction: messages.Introduction, now: float
    ) -> bool:
        """Record the introduction of a peer.

        :returns: whether the pledge of this replica is still valid. It is
            invalid if the initiator has a new identity and belongs to no
            membership; messages of its old identity may still be in transit.
        """
        self._introductions[introduction.address] = _ReceivedIntroduction(
            introduction, now
        )
        self._has_heard_of_fleet |= introduction.is_formed
        if self._is_back and _is_initiator(introduction):
            self.pledge = introduction.sender
        if introduction.address != self._find_initiator_address():
            return True
        if self.pledge == NO_IDENTITY and not introduction.is_formed:
            self.pledge = introduction.sender
        return introduction.is_formed or self.pledge == introduction.sender

    def find_membership(self, now: float) -> messages.MembershipRecord | None:
        """Return the initial membership once all founders have pledged.

        :returns: ``None`` before that, and at any replica but the initiator.
        """
        if self.pledge != self._local_node.identity:
            return None
        if self._has_heard_of_fleet:
            return None
        voters = [self._local_node]
        for address in self._first_members:
            if address == self._local_node.address:
                continue
            received = self._introductions.get(address)
            if received is None or not self._has_pledged(received, now):
                return None
            sender = received.introduction.sender
            voters.append(messages.ReplicaNode(sender, address))
        return messages.MembershipRecord(tuple(voters))

    def _has_pledged(self, received: _ReceivedIntroduction, now: float) -> bool:
        if now - received.received_at > INTRODUCTION_MAX_AGE_SECONDS:
            return False
        introduction = received.introduction
        if introduction.is_formed:
            return False
        return introduction.pledge == self._local_node.identity

    def _find_initiator_address(self) -> identifiers.Address | None:
        return min(self._founders, default=None)


def _is_initiator(introduction: messages.Introduction) -> bool:
    """Tell whether a replica waits for pledges to form the first membership.

    Only that at the lowest address does. Once it has formed a membership, it
    never forms another one, whoever pledges to it.
    """
    has_own_pledge = introduction.pledge == introduction.sender
    return has_own_pledge and not introduction.is_formed
