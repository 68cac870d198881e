"""Votes of hosts that authorize an allocator to eject upstreams.

Two allocators for the same service and region may run at the same time while
membership views differ. Each message of a host is, for two seconds, its vote
for the allocator that receives it. In that time the host sends to no other
allocator for the service and region, so at most one has a majority of votes.

>>> authority = create_authority(host_count=3)
>>> authority.record_vote('h1', 0.0)
>>> authority.record_vote('h2', 0.0)
>>> authority.holds_votes(0.1), authority.holds_votes(2.1)
(True, False)
"""

from wagtailspread.core import identifiers

#: Time for which a vote is valid, in seconds.
VOTE_SECONDS = 2.0
#: Width of one generation of votes, in seconds. A vote is valid from the start
#: of its generation, so it may expire this much early but never late.
GENERATION_SECONDS = 0.125
#: Time after which the position of a host without votes is reused, in seconds.
INDEX_RETENTION_SECONDS = 60.0
_GENERATIONS = int(VOTE_SECONDS / GENERATION_SECONDS)


class HostIndex:
    """Bit positions of hosts, shared by all authorities of a process.

    Votes are bits of an integer at these positions, so that the votes of 1,200
    hosts for 1,200 services fit in a few megabytes.
    """

    def __init__(self) -> None:
        """Create an index without hosts."""
        self._positions: dict[identifiers.HostId, int] = {}
        self._last_used_at: list[float] = []
        self._free: list[int] = []
        self._swept_at = 0.0

    def find(self, host: identifiers.HostId, now: float) -> int:
        """Return the position of ``host``, assigning one if needed."""
        position = self._positions.get(host)
        if position is None:
            position = self._assign(host, now)
        self._last_used_at[position] = now
        return position

    def _assign(self, host: identifiers.HostId, now: float) -> int:
        if now - self._swept_at > INDEX_RETENTION_SECONDS:
            self._sweep(now)
        if self._free:
            position = self._free.pop()
        else:
            position = len(self._last_used_at)
            self._last_used_at.append(now)
        self._positions[host] = position
        return position

    def _sweep(self, now: float) -> None:
        self._swept_at = now
        for host, position in list(self._positions.items()):
            if now - self._last_used_at[position] > INDEX_RETENTION_SECONDS:
                self._free.append(position)
                self._positions.pop(host)


class Authority:
    """Votes for one allocator; create it with :func:`create_authority`."""

    def __init__(
        self,
        host_count: int,
        tie_breaker: identifiers.HostId | None,
        index: HostIndex,
    ) -> None:
        """Create an authority without votes."""
        self._host_count = host_count
        self._tie_breaker = tie_breaker
        self._index = index
        self._votes: dict[int, int] = {}

    def change_host_count(self, host_count: int) -> None:
        """Replace the number of hosts of which a majority must vote.

        :param host_count: at least the number of hosts that can vote, or two
            allocators could have a majority at the same time.
        """
        self._host_count = host_count

    def change_tie_breaker(
        self,
        tie_breaker: identifiers.HostId | None,
    ) -> None:
        """Replace the host whose vote decides if exactly half vote."""
        self._tie_breaker = tie_breaker

    def record_vote(self, host: identifiers.HostId, now: float) -> None:
        """Count a vote of ``host`` until two seconds after ``now``.

        :param now: a monotonic time in seconds before the host sent the
            message, such as that of the answer which the message refers to.
            The time of receipt is too late if the message was buffered.
        """
        generation = int(now // GENERATION_SECONDS)
        bit = 1 << self._index.find(host, now)
        self._votes[generation] = self._votes.get(generation, 0) | bit

    def holds_votes(self, now: float) -> bool:
        """Return whether a majority of the hosts has valid votes."""
        return now < self.find_majority_expiry(now)

    def find_majority_expiry(self, now: float) -> float:
        """Return when the majority expires if no vote is renewed.

        :returns: monotonic time in seconds; ``now`` without a majority.
        """
        current = int(now // GENERATION_SECONDS)
        self._expire(current)
        voters = 0
        for generation in sorted(self._votes, reverse=True):
            voters |= self._votes[generation]
            if self._is_majority(voters, now):
                return (generation + _GENERATIONS) * GENERATION_SECONDS
        return now

    def count_votes(self, now: float) -> int:
        """Return the number of hosts with valid votes, for the status page."""
        self._expire(int(now // GENERATION_SECONDS))
        voters = 0
        for voters_of_generation in self._votes.values():
            voters |= voters_of_generation
        return voters.bit_count()

    def _expire(self, current: int) -> None:
        for generation in list(self._votes):
            if generation <= current - _GENERATIONS:
                self._votes.pop(generation)

    def _is_majority(self, voters: int, now: float) -> bool:
        doubled = 2 * voters.bit_count()
        if doubled != self._host_count or self._tie_breaker is None:
            return doubled > self._host_count
        bit = 1 << self._index.find(self._tie_breaker, now)
        return bool(voters & bit)


class Ballot:
    """Vote of one host: the allocator to which it may send messages.

    :param started: monotonic time of the host's start, in seconds. It votes
        two seconds later, since it may have voted just before a restart.
    """

    def __init__(self, started: float) -> None:
        """Create a ballot without a vote."""
        self._locked_until = started + VOTE_SECONDS
        self._owner: identifiers.HostId | None = None

    def try_vote(self, owner: identifiers.HostId, now: float) -> bool:
        """Vote for ``owner`` unless a vote for another one is still valid.

        :param now: monotonic time in seconds.
        :returns: whether a message to ``owner`` may be sent. If so, other
            owners are refused for two seconds.
        """
        if now < self._locked_until and owner != self._owner:
            return False
        self._owner = owner
        self._locked_until = now + VOTE_SECONDS
        return True


def create_authority(
    host_count: int,
    tie_breaker: identifiers.HostId | None = None,
    index: HostIndex | None = None,
) -> Authority:
    """Return an authority without votes.

    :param host_count: number of configured hosts of the region.
    :param tie_breaker: lowest host id of the region; exactly half of the votes
        is a majority if this host is among the voters.
    :param index: positions of hosts, shared by the authorities of a process.
    """
    return Authority(host_count, tie_breaker, index or HostIndex())
