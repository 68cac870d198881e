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
INTRODUCTION_SECONDS = 0.25
#: Age after which what a peer said of itself is not used, in seconds.
FRESH_SECONDS = 1.0
ANYONE = identifiers.ReplicaId('')


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    introduction: messages.Introduction
    heard_at: float


class Introductions:
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
        self.pledge = ANYONE
        self._own = own
        self._peers = peers
        self._founders = founders
        self._heard: dict[identifiers.Address, _Heard] = {}
        self._next_at = 0.0
        if own.address == self._leading_address():
            self.pledge = own.identity

    def tick(self, now: float) -> list[identifiers.Address]:
        """Return the addresses to introduce this replica to now."""
        if now < self._next_at:
            return []
        self._next_at = now + INTRODUCTION_SECONDS
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

    def hear(self, introduction: messages.Introduction, now: float) -> bool:
        """Note what a peer says of itself.

        :returns: whether the pledge still holds. It does not if the replica
            that forms the first membership came back with a new identity;
            messages of its old one may still be on their way.
        """
        self._heard[introduction.address] = _Heard(introduction, now)
        if introduction.address != self._leading_address():
            return True
        if self.pledge == ANYONE and not introduction.is_formed:
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
            heard = self._heard.get(address)
            if heard is None or not self._is_pledged(heard, now):
                return None
            sender = heard.introduction.sender
            voters.append(messages.ReplicaNode(sender, address))
        return messages.MembershipRecord(tuple(voters))

    def _is_pledged(self, heard: _Heard, now: float) -> bool:
        if now - heard.heard_at > FRESH_SECONDS:
            return False
        introduction = heard.introduction
        if introduction.is_formed:
            return False
        return introduction.pledge == self._own.identity

    def _leading_address(self) -> identifiers.Address | None:
        return min(self._founders, default=None)
