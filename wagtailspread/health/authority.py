"""Votes by which an allocator may eject upstreams of its pair.

Two allocators of one pair may run at the same time, since membership views
differ for a while. Each host's messages are its vote for two seconds and a
host addresses one allocator in that time, so at most one of them holds the
votes of a majority.

>>> authority = create_authority(host_count=3)
>>> authority.record_vote('h1', 0.0)
>>> authority.record_vote('h2', 0.0)
>>> authority.holds_votes(0.1), authority.holds_votes(2.1)
(True, False)
"""

from wagtailspread.core import identifiers

#: Time for which a vote counts, in seconds.
VOTE_SECONDS = 2.0
#: Width of one generation of votes, in seconds. A vote counts from the start
#: of its generation, so it may lapse this much early but never late.
GENERATION_SECONDS = 0.125
#: Time after which the index of a silent host is given to another, seconds.
REUSE_SECONDS = 60.0
_GENERATIONS = int(VOTE_SECONDS / GENERATION_SECONDS)


class HostIndex:
    """Small numbers for hosts, shared by all authorities of a process.

    Votes are bits of an integer at these positions, which keeps the votes of
    1,200 hosts for 1,200 services within a few megabytes.
    """

    def __init__(self) -> None:
        """Start without hosts."""
        self._positions: dict[identifiers.HostId, int] = {}
        self._used: list[float] = []
        self._free: list[int] = []
        self._swept = 0.0

    def find(self, host: identifiers.HostId, now: float) -> int:
        """Return the position of ``host``, assigning one if needed."""
        position = self._positions.get(host)
        if position is None:
            position = self._assign(host, now)
        self._used[position] = now
        return position

    def _assign(self, host: identifiers.HostId, now: float) -> int:
        if now - self._swept > REUSE_SECONDS:
            self._sweep(now)
        if self._free:
            position = self._free.pop()
        else:
            position = len(self._used)
            self._used.append(now)
        self._positions[host] = position
        return position

    def _sweep(self, now: float) -> None:
        self._swept = now
        for host, position in list(self._positions.items()):
            if now - self._used[position] > REUSE_SECONDS:
                self._free.append(position)
                self._positions.pop(host)


class Authority:
    """The votes that one allocator holds. Use :func:`create_authority`."""

    def __init__(
        self,
        host_count: int,
        tie_breaker: identifiers.HostId | None,
        index: HostIndex,
    ) -> None:
        """Start without votes."""
        self._host_count = host_count
        self._tie_breaker = tie_breaker
        self._index = index
        self._votes: dict[int, int] = {}

    def change_host_count(self, host_count: int) -> None:
        """Take another number of hosts, of which a majority must vote.

        :param host_count: at least the number of hosts that can vote, or two
            allocators could hold a majority at once.
        """
        self._host_count = host_count

    def change_tie_breaker(
        self,
        tie_breaker: identifiers.HostId | None,
    ) -> None:
        """Take another host whose vote decides when exactly half vote."""
        self._tie_breaker = tie_breaker

    def record_vote(self, host: identifiers.HostId, now: float) -> None:
        """Count a vote of ``host`` until two seconds after ``now``.

        :param now: a time at which the host had not yet sent the message,
            such as the time of the answer that the message refers to. The
            time of receipt is too late if the message waited in a buffer.
        """
        generation = int(now // GENERATION_SECONDS)
        bit = 1 << self._index.find(host, now)
        self._votes[generation] = self._votes.get(generation, 0) | bit

    def holds_votes(self, now: float) -> bool:
        """Tell whether the votes of a majority are held."""
        return now < self.lapses_at(now)

    def lapses_at(self, now: float) -> float:
        """Return when the majority ends if no vote is renewed, in seconds."""
        current = int(now // GENERATION_SECONDS)
        self._expire(current)
        held = 0
        for generation in sorted(self._votes, reverse=True):
            held |= self._votes[generation]
            if self._is_majority(held, now):
                return (generation + _GENERATIONS) * GENERATION_SECONDS
        return now

    def count_votes(self, now: float) -> int:
        """Return how many hosts' votes are held, for the status page."""
        self._expire(int(now // GENERATION_SECONDS))
        held = 0
        for votes in self._votes.values():
            held |= votes
        return held.bit_count()

    def _expire(self, current: int) -> None:
        for generation in list(self._votes):
            if generation <= current - _GENERATIONS:
                self._votes.pop(generation)

    def _is_majority(self, held: int, now: float) -> bool:
        doubled = 2 * held.bit_count()
        if doubled != self._host_count or self._tie_breaker is None:
            return doubled > self._host_count
        bit = 1 << self._index.find(self._tie_breaker, now)
        return bool(held & bit)


class Ballot:
    """A host's own side: which allocator of a pair it may address.

    :param started: when the host started; it votes two seconds later, since
        its earlier life may have voted just before.
    """

    def __init__(self, started: float) -> None:
        """Start without a choice."""
        self._free_at = started + VOTE_SECONDS
        self._choice: identifiers.HostId | None = None

    def address(self, owner: identifiers.HostId, now: float) -> bool:
        """Tell whether a message to ``owner`` may be sent now.

        A true answer counts as sent: another owner is refused for two
        seconds from ``now``.
        """
        if now < self._free_at and owner != self._choice:
            return False
        self._choice = owner
        self._free_at = now + VOTE_SECONDS
        return True


def create_authority(
    host_count: int,
    tie_breaker: identifiers.HostId | None = None,
    index: HostIndex | None = None,
) -> Authority:
    """Return an authority without votes.

    :param host_count: configured hosts of the region.
    :param tie_breaker: the lowest host id of the region; exactly half of the
        votes is enough if this host is among them.
    :param index: shared by the authorities of a process.
    """
    return Authority(host_count, tie_breaker, index or HostIndex())
