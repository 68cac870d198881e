"""How replicas that belong to no membership find each other.

The first membership is formed once: the replica with the lowest of the
addresses listed for the start waits until every other one of them has said
that it belongs to no membership and has pledged to join this one. As long as
one replica of a fleet keeps its data, replicas that lost theirs cannot form a
second fleet beside it; they introduce themselves and wait to be admitted.
"""

import dataclasses

from wagtailspread.consensus import messages
from wagtailspread.core import identifiers

#: Time between two introductions, in seconds.
INTRODUCTION_INTERVAL_SECONDS = 0.25
#: Age after which what a peer said of itself is not used, in seconds.
INTRODUCTION_MAX_AGE_SECONDS = 1.0
NO_IDENTITY = identifiers.ReplicaId('')


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedIntroduction:
    introduction: messages.Introduction
    received_at: float


class PeerDiscovery:
    """What a replica knows of its peers before it has a membership."""

    def __init__(
        self,
        own: messages.ReplicaNode,
        peers: tuple[identifiers.Address, ...],
        founders: tuple[identifiers.Address, ...],
    ) -> None:
        """Start with nothing heard.

        :param founders: addresses of the first membership, own included;
            empty if this replica may only be admitted to an existing one.
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

    def tick(self, now: float) -> list[identifiers.Address]:
        """Return the addresses to introduce this replica to now."""
        if now < self._next_introduction_at:
            return []
        self._next_introduction_at = now + INTRODUCTION_INTERVAL_SECONDS
        return [one for one in self._peers if one != self._own.address]

    def create(
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
        """Note what a peer says of itself.

        :returns: whether the pledge still holds. It does not if the replica
            that forms the first membership came back with a new identity;
            messages of its old one may still be on their way.
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
        """Return the first membership once all founders have pledged."""
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
