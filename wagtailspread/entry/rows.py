"""Latest announcements of upstreams, one row for each."""

import dataclasses
import hashlib

from wagtailspread.core import identifiers
from wagtailspread.entry import slots

#: Lifetime of a row after its last announcement, in seconds.
ROW_SECONDS = 2.5
#: Maximum number of rows of one service.
MAX_ROWS = 2048

_DIGEST_BYTES = 7
_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """An announcement and the time at which the upstream sent it.

    :param announced_at: seconds on the clock of this host.
    """

    announcement: slots.Announcement
    announced_at: float


class RowTable:
    """The upstreams of one service.

    A row expires :data:`ROW_SECONDS` after its last announcement.
    """

    def __init__(self) -> None:
        """Start with no rows."""
        self._rows: dict[identifiers.UpstreamId, Row] = {}

    def record(self, announcement: slots.Announcement, now: float) -> bool:
        """Store an announcement unless a later one is known.

        :returns: whether it was stored; ``False`` also if the table is full.
        """
        announced_at = now - announcement.age
        stored = self._rows.get(announcement.upstream)
        if stored is None:
            if len(self._rows) >= MAX_ROWS:
                self._expire(now)
            if len(self._rows) >= MAX_ROWS:
                return False
        elif not _is_later(announcement, announced_at, stored):
            return False
        self._rows[announcement.upstream] = Row(announcement, announced_at)
        return True

    def find(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> Row | None:
        """Return the row of an upstream, ``None`` if it has expired."""
        row = self._rows.get(upstream)
        if row is None or row.announced_at <= now - ROW_SECONDS:
            return None
        return row

    def list_rows(self, now: float) -> list[slots.Announcement]:
        """Return the unexpired rows with their ages, by upstream id."""
        self._expire(now)
        return [
            dataclasses.replace(row.announcement, age=now - row.announced_at)
            for _, row in sorted(self._rows.items())
        ]

    def list_ages_ms(self, now: float) -> list[int]:
        """Return the ages of the unexpired rows in ms, by upstream id."""
        self._expire(now)
        return [
            int((now - row.announced_at) * _MS)
            for _, row in sorted(self._rows.items())
        ]

    def refresh(self, ages_ms: list[int], now: float) -> None:
        """Reduce the ages of the rows to those of a table with the same digest.

        :param ages_ms: ages in milliseconds, by upstream id.
        """
        for (upstream, row), age_ms in zip(
            sorted(self._rows.items()),
            ages_ms,
            strict=False,
        ):
            announced_at = max(row.announced_at, now - age_ms / _MS)
            self._rows[upstream] = Row(row.announcement, announced_at)

    def replace(self, listed: list[slots.Announcement], now: float) -> None:
        """Replace all rows by those of the owner's table."""
        self._rows = {
            row.upstream: Row(row, now - row.age) for row in listed[:MAX_ROWS]
        }

    def compute_digest(self, now: float) -> int:
        """Return a digest of all fields except the ages."""
        self._expire(now)
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for _, row in sorted(self._rows.items()):
            fields = dataclasses.astuple(
                dataclasses.replace(row.announcement, age=0.0),
            )
            digest.update(repr(fields).encode())
        return int.from_bytes(digest.digest(), 'big')

    def _expire(self, now: float) -> None:
        cutoff = now - ROW_SECONDS
        expired = [
            upstream
            for upstream, row in self._rows.items()
            if row.announced_at <= cutoff
        ]
        for upstream in expired:
            self._rows.pop(upstream)


def _is_later(
    announcement: slots.Announcement,
    announced_at: float,
    stored: Row,
) -> bool:
    if announcement.incarnation != stored.announcement.incarnation:
        return announcement.incarnation > stored.announcement.incarnation
    return announced_at >= stored.announced_at
