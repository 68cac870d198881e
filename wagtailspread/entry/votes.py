"""Votes of hosts for the allocator to which they send requests.

A vote returns the latest stamp issued by the allocator. It is valid from the
time of the stamp, not of its arrival. Messages that an allocator reads late,
for example after its process was suspended, therefore renew no vote, and two
allocators never hold the vote of one host at the same time.

See also: section 6 of the design, ``Floor``.
"""

import dataclasses
import secrets

from wagtailspread.core import clocks, identifiers

#: Time for which a vote is valid, in seconds.
VOTE_SECONDS = 2.0

_MICROS = 1_000_000
_BASE_BITS = 60


class StampIssuer:
    """Issues the stamps of one allocator and verifies returned ones.

    The stamps have a random base, so that stamps issued by an earlier process
    are not valid.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Choose a random base."""
        self._clock = clock
        self._base = secrets.randbits(_BASE_BITS)
        self._latest_by_host: dict[identifiers.HostId, float] = {}

    def issue(self) -> int:
        """Return a stamp with the current time."""
        return self._base + int(self._clock.now() * _MICROS)

    def read(self, host: identifiers.HostId, stamp: int) -> float | None:
        """Return when a stamp was issued, ``None`` if it renews no vote."""
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

    The vote is given to another allocator only when the last vote sent has
    expired. A host that has just started first waits for
    :data:`VOTE_SECONDS`, since it may have voted before its restart.

    :param started_at: start of this host, in seconds; ``math.inf`` for a host
        that never votes.
    :param owner: host to which the last vote was sent.
    :param cast_at: time at which that vote was sent, in seconds.
    :param stamped_by: host whose allocator issued ``stamp``.
    """

    started_at: float
    owner: identifiers.HostId | None = None
    cast_at: float = float('-inf')
    stamped_by: identifiers.HostId | None = None
    stamp: int = 0

    def store_stamp(self, owner: identifiers.HostId, stamp: int) -> None:
        """Store the latest stamp of the current allocator."""
        self.stamped_by = owner
        self.stamp = stamp

    def cast(self, owner: identifiers.HostId, now: float) -> int:
        """Return the stamp to send to ``owner``, 0 for no vote."""
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
