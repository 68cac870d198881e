"""Times for which hosts send nothing to upstreams that asked for it.

An upstream that refuses a request may name the time after which the host may
return. Other hosts are not bound by it. The state of an upstream ends with its
incarnation, since a new one has not asked for anything.

>>> holds = create_holds()
>>> holds.add('h1', 'u1', born_ms=7, until=5.0)
>>> holds.find_end('h1', 'u1', 7, now=1.0), holds.find_end('h2', 'u1', 7, 1.0)
(5.0, 1.0)
>>> holds.find_end('h1', 'u1', 8, now=1.0)
1.0
"""

import typing

from wagtailspread.core import identifiers

#: Maximum number of holds; beyond it, the one that was added first is dropped.
MAX_HOLDS = 65_536


class _Hold(typing.NamedTuple):
    """Hold of one host at one incarnation of an upstream.

    :param until: end in seconds on the clock of the caller.
    """

    born_ms: int
    until: float


class HoldTable:
    """Holds by host and upstream. Use :func:`create_holds`."""

    def __init__(self) -> None:
        """Start without holds."""
        self._holds: dict[
            tuple[identifiers.HostId, identifiers.UpstreamId], _Hold
        ] = {}

    def __len__(self) -> int:
        """Return the number of holds."""
        return len(self._holds)

    def add(
        self,
        host: identifiers.HostId,
        upstream: identifiers.UpstreamId,
        born_ms: int,
        until: float,
    ) -> None:
        """Hold back a host until a time, or longer if it is held already.

        :param born_ms: start of the upstream's incarnation.
        :param until: end in seconds on the clock of the caller.
        """
        known = self._holds.pop((host, upstream), None)
        if known is not None and known.born_ms == born_ms:
            until = max(until, known.until)
        self._holds[host, upstream] = _Hold(born_ms, until)
        if len(self._holds) > MAX_HOLDS:
            self._holds.pop(next(iter(self._holds)))

    def find_end(
        self,
        host: identifiers.HostId,
        upstream: identifiers.UpstreamId,
        born_ms: int,
        now: float,
    ) -> float:
        """Return when a host may send to an upstream, ``now`` if at once."""
        hold = self._holds.get((host, upstream))
        if hold is None or hold.born_ms != born_ms:
            return now
        return max(hold.until, now)

    def prune(
        self,
        upstreams: typing.Container[identifiers.UpstreamId],
        now: float,
    ) -> None:
        """Drop holds that have ended, and those at all other upstreams."""
        self._holds = {
            key: hold
            for key, hold in self._holds.items()
            if hold.until > now and key[1] in upstreams
        }


def create_holds() -> HoldTable:
    """Return a table without holds."""
    return HoldTable()
