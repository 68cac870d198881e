"""Peer discovery for replicas that belong to no membership.

The initial membership is formed once, by the founder with the lowest address.
It waits until every other founder has announced that it belongs to no
membership and has pledged to join this one. So replicas that lost their data
cannot form a second fleet as long as one replica keeps its data; they introduce
themselves and wait to be admitted.
"""

import dataclasses

from wagtailspread.consensus import messages
from wagtailspread.core import identifiers

#: Interval of the introductions to peers, in seconds.
INTRODUCTION_INTERVAL_SECONDS = 0.25
#: Age after which an introduction is ignored, in seconds.
INTRODUCTION_MAX_AGE_SECONDS = 1.0
#: As recipient, stands for any replica; as pledge, for none.
NO_IDENTITY = identifiers.ReplicaId('')


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedIntroduction:
    introduction: messages.Introduction
    received_at: float


class PeerDiscovery:
    """Introductions of the peers of a replica that has no membership."""

    def __init__(
        self,
        own: messages.ReplicaNode,
        peers: tuple[identifiers.Address, ...],
        founders: tuple[identifiers.Address, ...],
    ) -> None:
        """Start without introductions of peers.

        :param founders: addresses of the initial membership, including the
            own address; empty if this replica can only join an existing one.
        """
        self.pledge = NO_IDENTITY
        self._own = own
        self._peers = peers
        self._founders = founders
        self._introductions: dict[
            identifiers.Address, _ReceivedIntroduction
        ] = {}
        self._next_introduction_at = 0.0
        if own.address == self._find_initiator_address():
            self.pledge = own.identity

    def list_due_peers(self, now: float) -> list[identifiers.Address]:
        """Return the peers that are due for an introduction at ``now``."""
        if now < self._next_introduction_at:
            return []
        self._next_introduction_at = now + INTRODUCTION_INTERVAL_SECONDS
        return [one for one in self._peers if one != self._own.address]

    def create_introduction(
        self,
        to: identifiers.ReplicaId,
        *,
        is_formed: bool,
    ) -> messages.Introduction:
        """Return the introduction of this replica."""
        return messages.Introduction(
            self._own.identity,
            to,
            self._own.address,
            is_formed,
            self.pledge,
        )

    def record_introduction(
        self, introduction: messages.Introduction, now: float
    ) -> bool:
        """Record the introduction of a peer.

        :returns: whether the pledge is still valid. It is invalid if the
            replica that forms the initial membership returns with a new
            identity; messages of its old identity may still be in transit.
        """
        self._introductions[introduction.address] = _ReceivedIntroduction(
            introduction, now
        )
        if introduction.address != self._find_initiator_address():
            return True
        if self.pledge == NO_IDENTITY and not introduction.is_formed:
            self.pledge = introduction.sender
        return introduction.is_formed or self.pledge == introduction.sender

    def find_membership(self, now: float) -> messages.MembershipRecord | None:
        """Return the initial membership once all founders have pledged.

        Otherwise, and at any replica but the one that forms the membership,
        return ``None``.
        """
        if self.pledge != self._own.identity:
            return None
        voters = [self._own]
        for address in self._founders:
            if address == self._own.address:
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
        return introduction.pledge == self._own.identity

    def _find_initiator_address(self) -> identifiers.Address | None:
        return min(self._founders, default=None)
