"""In-memory log of a replica: a snapshot, later entries, memberships."""

import bisect

from wagtailspread.consensus import messages
from wagtailspread.core import identifiers

EMPTY_SNAPSHOT = messages.Snapshot(
    identifiers.LogIndex(0),
    identifiers.Term(0),
    messages.MembershipRecord(),
    b'',
)


class Log:
    """Log entries and the latest snapshot. Use :func:`create_log`.

    Some entries covered by the snapshot are retained, so that a follower that
    lags only a little needs no snapshot. ``base_index`` is the index before
    the first retained entry.

    The effective membership is that of the last membership entry, committed
    or not; it reverts to the previous one if that entry is truncated.
    """

    def __init__(self, snapshot: messages.Snapshot) -> None:
        """Create a log without entries after ``snapshot``."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries: list[messages.LogEntry] = []
        self._memberships = [(snapshot.index, snapshot.membership)]

    @property
    def last_index(self) -> identifiers.LogIndex:
        """Index of the last entry; ``base_index`` if there is none."""
        return identifiers.LogIndex(self.base_index + len(self._entries))

    @property
    def last_term(self) -> identifiers.Term:
        """Term of the last entry, or of the entry at ``base_index``."""
        if self._entries:
            return self._entries[-1].term
        return self._base_term

    @property
    def membership(self) -> messages.MembershipRecord:
        """The effective membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> identifiers.LogIndex:
        """Index of the entry that holds the effective membership."""
        return self._memberships[-1][0]

    def find_membership(
        self,
        index: identifiers.LogIndex,
    ) -> messages.MembershipRecord:
        """Return the membership that was effective at ``index``."""
        position = bisect.bisect_right(
            self._memberships,
            index,
            key=lambda known: known[0],
        )
        return self._memberships[position - 1][1]

    def find_term(
        self,
        index: identifiers.LogIndex,
    ) -> identifiers.Term | None:
        """Return the term of the entry at ``index``.

        :returns: None if the log does not hold the term of that index.
        """
        if index == self.base_index:
            return self._base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def read(
        self,
        first: identifiers.LogIndex,
        last: identifiers.LogIndex,
    ) -> tuple[messages.LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def read_bounded(
        self,
        first: identifiers.LogIndex,
        max_entries: int,
        max_bytes: int,
    ) -> tuple[messages.LogEntry, ...]:
        """Return entries from ``first`` on within both limits.

        :param max_entries: maximum number of entries.
        :param max_bytes: maximum payload bytes; the first entry is returned
            even if it is larger.
        """
        start = first - self.base_index - 1
        selected: list[messages.LogEntry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.payload)
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def append(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Append entries that directly follow the last one."""
        for entry in entries:
            self._entries.append(entry)
            if entry.kind is messages.EntryKind.MEMBERSHIP:
                membership = messages.decode_membership(entry.payload)
                self._memberships.append((entry.index, membership))

    def truncate(self, first: identifiers.LogIndex) -> None:
        """Remove the entry at ``first`` and all later ones."""
        del self._entries[first - self.base_index - 1 :]
        while self._memberships[-1][0] >= first:
            self._memberships.pop()

    def find_first_of_term(
        self,
        index: identifiers.LogIndex,
    ) -> identifiers.LogIndex:
        """Return the first index in the log with the term of ``index``."""
        term = self.find_term(index)
        first = index
        while (
            first > self.base_index + 1
            and self.find_term(identifiers.LogIndex(first - 1)) == term
        ):
            first = identifiers.LogIndex(first - 1)
        return first

    def compact(
        self,
        snapshot: messages.Snapshot,
        retained_entries: int,
        retained_bytes: int = 0,
    ) -> None:
        """Remove entries that ``snapshot`` covers.

        :param retained_entries: maximum number of covered entries to retain.
        :param retained_bytes: maximum payload bytes of those entries.
        """
        self.snapshot = snapshot
        base = snapshot.index
        first = max(self.base_index, snapshot.index - retained_entries)
        while base > first:
            position = base - self.base_index - 1
            retained_bytes -= len(self._entries[position].payload)
            if retained_bytes < 0:
                break
            base = identifiers.LogIndex(base - 1)
        removed_count = base - self.base_index
        if not removed_count:
            return
        membership = self.find_membership(identifiers.LogIndex(base))
        later = [known for known in self._memberships if known[0] > base]
        self._base_term = self._entries[removed_count - 1].term
        self._entries = self._entries[removed_count:]
        self.base_index = identifiers.LogIndex(base)
        self._memberships = [(self.base_index, membership), *later]

    def install(self, snapshot: messages.Snapshot) -> bool:
        """Replace the log with a snapshot from the leader.

        :returns: whether later entries were retained; they are if the log has
            an entry with the index and term of the snapshot.
        """
        if self.find_term(snapshot.index) == snapshot.term:
            self.compact(snapshot, 0)
            return True
        self._reset(snapshot)
        return False

    def _reset(self, snapshot: messages.Snapshot) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries = []
        self._memberships = [(snapshot.index, snapshot.membership)]


def create_log(
    snapshot: messages.Snapshot = EMPTY_SNAPSHOT,
    entries: tuple[messages.LogEntry, ...] = (),
) -> Log:
    """Return a log with ``entries`` after ``snapshot``."""
    log = Log(snapshot)
    log.append(entries)
    return log
