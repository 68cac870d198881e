"""Exchange of requests that crash upstreams between all allocators.

>>> first, second = create_exchange(), create_exchange()
>>> first.publish({7: 30.0}, [], now=0.0)
True
>>> batch = messages.structs.ChangeBatch()
>>> first.add_rows(batch, now=10.0, is_replica=True)
>>> second.receive(batch, now=10.0)
>>> second.pop_remote()
{7: 20.0}
"""

import typing

from wagtailspread.core import identifiers
from wagtailspread.wire import messages

_MILLISECONDS = 1000


class Suspicion(typing.NamedTuple):
    """A request that was lost at one incarnation of an upstream.

    :param born_ms: start of the incarnation, in milliseconds since the epoch.
    :param age: seconds since the loss.
    """

    fingerprint: int
    upstream: identifiers.UpstreamId
    born_ms: int
    age: float


class BlockedExchange:
    """Requests that this and other replicas block or suspect.

    Use :func:`create_exchange`. A request is known by its fingerprint, see
    :mod:`wagtailspread.placement.crashes`.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._ends: dict[int, float] = {}
        self._known_ends: dict[int, float] = {}
        self._suspicions: list[Suspicion] = []
        self._published_at = 0.0
        self._remote: dict[int, float] = {}
        self._remote_suspicions: list[Suspicion] = []

    def publish(
        self,
        blocked: typing.Mapping[int, float],
        suspicions: list[Suspicion],
        now: float,
    ) -> bool:
        """Replace the requests that this replica blocks and suspects.

        :param blocked: seconds that are left, by fingerprint.
        :param now: seconds on the replica's clock.
        :returns: whether there are new ones.
        """
        known = {one[:3] for one in self._suspicions}
        is_new = bool(blocked.keys() - self._ends.keys()) or any(
            one[:3] not in known for one in suspicions
        )
        self._ends = {
            fingerprint: now + seconds
            for fingerprint, seconds in blocked.items()
        }
        self._suspicions = suspicions
        self._published_at = now
        return is_new

    def add_rows(
        self, batch: messages.Struct, now: float, *, is_replica: bool
    ) -> None:
        """Add the rows for a follower to a struct ``ChangeBatch``.

        Replicas get what this one knows by itself: what it only heard of would
        be renewed by the delay of each exchange.
        """
        ends = self._ends
        if is_replica:
            batch.suspected = self._list_suspicions(now) or None
        else:
            self._known_ends = {
                fingerprint: end
                for fingerprint, end in self._known_ends.items()
                if end > now
            }
            ends = {**self._known_ends, **self._ends}
        rows = [
            messages.structs.BlockedRequest(
                fingerprint=fingerprint,
                left_ms=int((end - now) * _MILLISECONDS),
            )
            for fingerprint, end in ends.items()
            if end > now
        ]
        batch.blocked = rows or None

    def receive(self, batch: messages.Struct, now: float) -> None:
        """Record the rows of another replica."""
        received = read_blocked(batch)
        self._remote.update(received)
        for fingerprint, seconds in received.items():
            self._known_ends[fingerprint] = now + seconds
        for row in batch.suspected or ():
            values = (row.fingerprint, row.upstream, row.born_ms, row.age_ms)
            if None not in values:
                suspicion = Suspicion(
                    row.fingerprint,
                    identifiers.UpstreamId(row.upstream),
                    row.born_ms,
                    row.age_ms / _MILLISECONDS,
                )
                self._remote_suspicions.append(suspicion)

    def pop_suspicions(self) -> list[Suspicion]:
        """Return what other replicas suspect since the last call."""
        remote, self._remote_suspicions = self._remote_suspicions, []
        return remote

    def pop_remote(self) -> dict[int, float]:
        """Return what other replicas published since the last call.

        :returns: seconds that are left, by fingerprint.
        """
        remote, self._remote = self._remote, {}
        return remote

    def _list_suspicions(self, now: float) -> list[messages.Struct]:
        passed = now - self._published_at
        return [
            messages.structs.SuspectedRequest(
                fingerprint=one.fingerprint,
                upstream=one.upstream,
                born_ms=one.born_ms,
                age_ms=int((one.age + passed) * _MILLISECONDS),
            )
            for one in self._suspicions
        ]


def read_blocked(batch: messages.Struct) -> dict[int, float]:
    """Return the blocked requests in a struct ``ChangeBatch``.

    Rows without a field are skipped.

    :returns: seconds that are left, by fingerprint.
    """
    return {
        row.fingerprint: row.left_ms / _MILLISECONDS
        for row in batch.blocked or ()
        if row.fingerprint is not None and row.left_ms is not None
    }


def create_exchange() -> BlockedExchange:
    """Return an exchange without blocked requests."""
    return BlockedExchange()
