"""Votes of hosts for the allocator that they address.

A vote returns the last stamp that the allocator issued, and counts from the
time of the stamp, not from its arrival. Messages that an allocator reads late,
for example after it was frozen, therefore renew nothing, and two allocators
never hold the vote of one host at the same time.

See also: section 6 of the design, ``Floor``.
"""

import dataclasses
import secrets

from wagtailspread.core import clocks, identifiers

#: Time for which a vote counts, in seconds.
VOTE_SECONDS = 2.0

_MICROS = 1_000_000
_BASE_BITS = 60


class StampIssuer:
    """Issues the stamps of one allocator and reads them back.

    A random base keeps stamps of an earlier process from being valid.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Choose the base."""
        self._clock = clock
        self._base = secrets.randbits(_BASE_BITS)
        self._latest_by_host: dict[identifiers.HostId, float] = {}

    def issue(self) -> int:
        """Return a stamp of the present."""
        return self._base + int(self._clock.now() * _MICROS)

    def read(self, host: identifiers.HostId, stamp: int) -> float | None:
        """Return when a stamp was issued, ``None`` if it renews nothing."""
        now = self._clock.now()
        issued_at = (stamp - self._base) / _MICROS
        if not now - VOTE_SECONDS < issued_at <= now:
            return None
        if issued_at < self._latest_by_host.get(host, issued_at):
            return None
        self._latest_by_host[host] = issued_at
        return issued_at


@dataclasses.dataclass(slots=True)
class VoteCaster:
    """The vote of this host for one service.

    The vote moves to another allocator only when the last one sent has
    ended, and a host that has just started waits in case it voted before.

    :param started_at: start of this host, in seconds.
    """

    started_at: float
    owner: identifiers.HostId | None = None
    cast_at: float = float('-inf')
    stamped_by: identifiers.HostId | None = None
    stamp: int = 0

    def note_stamp(self, owner: identifiers.HostId, stamp: int) -> None:
        """Keep the latest stamp of the allocator that is addressed."""
        self.stamped_by = owner
        self.stamp = stamp

    def cast(self, owner: identifiers.HostId, now: float) -> int:
        """Return the stamp to send to ``owner``; 0 casts no vote."""
        if self.stamped_by != owner or not self.stamp:
            return 0
        if now < self.started_at + VOTE_SECONDS:
            return 0
        if self.owner != owner:
            if now < self.cast_at + VOTE_SECONDS:
                return 0
            self.owner = owner
        self.cast_at = now
        return self.stamp
