"""Checks that hold for replicas at all times, whatever fails."""

import typing

from wagtailspread.consensus import logs, messages, replicas
from wagtailspread.core import identifiers


class InvariantBroken(AssertionError):
    """Replicas disagree in a way that must never occur."""


class Observer:
    """Remembers what replicas did and compares later steps with it.

    It keeps one leader for each term, one entry for each index and term, and
    one applied entry for each index, over the whole history.
    """

    def __init__(self) -> None:
        """Start with no history."""
        self.leaders: dict[identifiers.Term, identifiers.ReplicaId] = {}
        self.applied: dict[identifiers.LogIndex, messages.LogEntry] = {}
        self._entries: dict[
            tuple[identifiers.LogIndex, identifiers.Term],
            tuple[identifiers.Term | None, messages.LogEntry],
        ] = {}

    @property
    def last_applied(self) -> int:
        """Highest index that any replica has applied."""
        return max(self.applied, default=0)

    def note_leader(self, replica: replicas.Replica) -> None:
        """Check that the term has no other leader and nothing is missing."""
        state = replica.state
        known = self.leaders.setdefault(state.term, state.identity)
        if known != state.identity:
            raise InvariantBroken('two leaders', state.term)
        for index, entry in self.applied.items():
            if entry.term < state.term and index > state.log.base_index:
                if state.log.find_term(index) != entry.term:
                    raise InvariantBroken('leader lacks', index)

    def note_log(self, replica: replicas.Replica) -> None:
        """Check that equal index and term mean equal logs up to there."""
        log = replica.state.log
        first = identifiers.LogIndex(log.base_index + 1)
        before = log.find_term(log.base_index)
        for entry in log.read(first, log.last_index):
            place = (entry.index, entry.term)
            known = self._entries.setdefault(place, (before, entry))
            if known != (before, entry):
                raise InvariantBroken('logs differ', place)
            before = entry.term

    def note_applied(self, entry: messages.LogEntry) -> None:
        """Check that no other entry was applied at this index."""
        known = self.applied.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantBroken('applied differs', entry.index)

    def check_durability(
        self,
        stored: dict[identifiers.ReplicaId, logs.Log],
        wiped: set[identifiers.ReplicaId],
    ) -> None:
        """Check that a majority of the voters holds all applied entries.

        :param wiped: identities that lost their store on purpose; one of them
            may still count as a voter until it is replaced.
        """
        membership = self._find_membership()
        voters = membership.voter_ids()
        needed = membership.quorum() - len(voters & wiped)
        for entry in self.applied.values():
            holders = [
                identity
                for identity, log in stored.items()
                if identity in voters and _holds(log, entry)
            ]
            if len(holders) < needed:
                raise InvariantBroken('too few hold', entry.index)

    def _find_membership(self) -> messages.MembershipRecord:
        known = messages.MembershipRecord()
        for _index, entry in sorted(self.applied.items()):
            if entry.kind is messages.EntryKind.MEMBERSHIP:
                known = messages.decode_membership(entry.payload)
        return known

    def note_sequence(
        self,
        applied: typing.Sequence[tuple[identifiers.LogIndex, bytes]],
    ) -> None:
        """Check that a sequence follows the history without a gap."""
        commands = [
            (index, entry.payload)
            for index, entry in sorted(self.applied.items())
            if entry.kind is messages.EntryKind.COMMAND
        ]
        if list(applied) != commands[: len(applied)]:
            raise InvariantBroken('sequence is not a prefix')

    def note_read(self, index: identifiers.LogIndex, started: int) -> None:
        """Check a read as current.

        :param started: highest index that was applied when the read began.
        """
        if index < started:
            raise InvariantBroken('stale read', index)


def _holds(log: logs.Log, entry: messages.LogEntry) -> bool:
    if entry.index <= log.snapshot.index:
        return True
    return log.find_term(entry.index) == entry.term
