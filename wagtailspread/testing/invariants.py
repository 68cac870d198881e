"""Safety invariants of the consensus that must hold despite all failures."""

import typing

from wagtailspread.consensus import logs, messages, replicas
from wagtailspread.core import identifiers


class InvariantBroken(AssertionError):
    """A safety invariant does not hold."""


class Observer:
    """Records what replicas did and checks later steps against it.

    The records cover the whole history: the leader of each term, the entry of
    each index and term, and the applied entry of each index.
    """

    def __init__(self) -> None:
        """Create an observer with an empty history."""
        self.leaders: dict[identifiers.Term, identifiers.ReplicaId] = {}
        self.applied: dict[identifiers.LogIndex, messages.LogEntry] = {}
        self._entries: dict[
            tuple[identifiers.LogIndex, identifiers.Term],
            tuple[identifiers.Term | None, messages.LogEntry],
        ] = {}

    @property
    def last_applied(self) -> int:
        """Highest index that any replica has applied; 0 for none."""
        return max(self.applied, default=0)

    def record_leader(self, replica: replicas.Replica) -> None:
        """Record the leader of a term and check its log.

        :raises InvariantBroken: if the term has another leader, or the log
            lacks an entry that was applied in an earlier term.
        """
        state = replica.state
        known = self.leaders.setdefault(state.term, state.identity)
        if known != state.identity:
            raise InvariantBroken('two leaders', state.term)
        for index, entry in self.applied.items():
            if entry.term < state.term and index > state.log.base_index:
                if state.log.find_term(index) != entry.term:
                    raise InvariantBroken(
                        'leader lacks an applied entry', index
                    )

    def record_log(self, replica: replicas.Replica) -> None:
        """Record the entries of a log and check the log matching property.

        Entries with the same index and term must be equal and follow entries
        of the same term.

        :raises InvariantBroken: if they differ between two replicas.
        """
        log = replica.state.log
        first = identifiers.LogIndex(log.base_index + 1)
        previous_term = log.find_term(log.base_index)
        for entry in log.read(first, log.last_index):
            position = (entry.index, entry.term)
            known = self._entries.setdefault(position, (previous_term, entry))
            if known != (previous_term, entry):
                raise InvariantBroken('logs differ', position)
            previous_term = entry.term

    def record_applied(self, entry: messages.LogEntry) -> None:
        """Record an applied entry.

        :raises InvariantBroken: if another entry was applied at its index.
        """
        known = self.applied.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantBroken('applied entries differ', entry.index)

    def check_durability(
        self,
        stored: dict[identifiers.ReplicaId, logs.Log],
        wiped: set[identifiers.ReplicaId],
    ) -> None:
        """Check that a majority of the voters stores each applied entry.

        :param stored: logs in the stores of the replicas.
        :param wiped: identities whose store was lost on purpose; one of them
            may still count as a voter until it is replaced.
        :raises InvariantBroken: if too few voters store an entry.
        """
        membership = self._find_membership()
        voters = membership.voter_ids()
        needed = membership.quorum() - len(voters & wiped)
        for entry in self.applied.values():
            holders = [
                identity
                for identity, log in stored.items()
                if identity in voters and _contains(log, entry)
            ]
            if len(holders) < needed:
                raise InvariantBroken('stored by too few voters', entry.index)

    def _find_membership(self) -> messages.MembershipRecord:
        membership = messages.MembershipRecord()
        for _index, entry in sorted(self.applied.items()):
            if entry.kind is messages.EntryKind.MEMBERSHIP:
                membership = messages.decode_membership(entry.payload)
        return membership

    def check_sequence(
        self,
        applied: typing.Sequence[tuple[identifiers.LogIndex, bytes]],
    ) -> None:
        """Check that applied commands are a prefix of the history.

        :raises InvariantBroken: if a command is missing, added or different.
        """
        commands = [
            (index, entry.payload)
            for index, entry in sorted(self.applied.items())
            if entry.kind is messages.EntryKind.COMMAND
        ]
        if list(applied) != commands[: len(applied)]:
            raise InvariantBroken('sequence is not a prefix')

    def check_read(
        self, index: identifiers.LogIndex, applied_before: int
    ) -> None:
        """Check that a linearizable read is not stale.

        :param index: index of the log at which the read is served.
        :param applied_before: highest index that any replica had applied when
            the read began.
        :raises InvariantBroken: if the read misses an applied entry.
        """
        if index < applied_before:
            raise InvariantBroken('stale read', index)


def _contains(log: logs.Log, entry: messages.LogEntry) -> bool:
    if entry.index <= log.snapshot.index:
        return True
    return log.find_term(entry.index) == entry.term
