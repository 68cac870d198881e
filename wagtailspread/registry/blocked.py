"""Exchange of blocked requests between the allocators of all replicas.

>>> first, second = create_exchange(), create_exchange()
>>> first.publish({7: 30.0}, now=0.0)
True
>>> second.receive(first.list_rows(now=10.0))
>>> second.pop_remote()
{7: 20.0}
"""

import typing

from wagtailspread.wire import messages

_MILLISECONDS = 1000


class BlockedExchange:
    """Requests that this and other replicas block.

    Use :func:`create_exchange`. A request is known by its fingerprint, see
    :mod:`wagtailspread.placement.crashes`.
    """

    def __init__(self) -> None:
        """Start without blocked requests."""
        self._ends: dict[int, float] = {}
        self._remote: dict[int, float] = {}

    def publish(self, blocked: typing.Mapping[int, float], now: float) -> bool:
        """Replace the requests that this replica blocks.

        :param blocked: seconds that are left, by fingerprint.
        :param now: seconds on the replica's clock.
        :returns: whether there are new ones.
        """
        is_new = bool(blocked.keys() - self._ends.keys())
        self._ends = {
            fingerprint: now + seconds
            for fingerprint, seconds in blocked.items()
        }
        return is_new

    def list_rows(self, now: float) -> list[messages.Struct]:
        """Return the rows for another replica.

        :param now: seconds on the replica's clock.
        """
        return [
            messages.structs.BlockedRequest(
                fingerprint=fingerprint,
                left_ms=int((end - now) * _MILLISECONDS),
            )
            for fingerprint, end in self._ends.items()
            if end > now
        ]

    def receive(self, rows: typing.Iterable[messages.Struct]) -> None:
        """Record the rows of another replica; skip those without a field."""
        for row in rows:
            if row.fingerprint is None or row.left_ms is None:
                continue
            self._remote[row.fingerprint] = row.left_ms / _MILLISECONDS

    def pop_remote(self) -> dict[int, float]:
        """Return what other replicas published since the last call.

        :returns: seconds that are left, by fingerprint.
        """
        remote, self._remote = self._remote, {}
        return remote


def create_exchange() -> BlockedExchange:
    """Return an exchange without blocked requests."""
    return BlockedExchange()
