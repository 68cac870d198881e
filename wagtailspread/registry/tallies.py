"""Results of real work at upstreams, counted until they are reported.

>>> book = TallyBook()
>>> book.add_good('u1', 0.25)
>>> book.add('u1', Evidence.BAD)
>>> [(one.upstream, one.good, one.bad) for one in book.take()]
[('u1', 1, 1)]
>>> book.take()
[]
"""

import enum

from wagtailspread.core import identifiers
from wagtailspread.wire import messages

_MILLISECONDS = 1000
#: Wire tallies of one upstream by host; a thrift struct.
Tally = messages.Struct


class Evidence(enum.Enum):
    """What one exchange says of its upstream."""

    #: A whole answer that is no server error.
    GOOD = 'good'
    #: A server error, a lost or spoilt answer, or none in time.
    BAD = 'bad'
    #: It said that it did not run the request.
    SHED = 'shed'
    #: No connection could be opened; the path may be at fault.
    UNREACHABLE = 'unreachable'


class TallyBook:
    """Counts results by upstream."""

    def __init__(self) -> None:
        """Start empty."""
        self.is_urgent = False
        self._tallies: dict[identifiers.UpstreamId, Tally] = {}

    def add_good(
        self,
        upstream: identifiers.UpstreamId,
        seconds: float,
    ) -> None:
        """Count a good answer and the time it took."""
        tally = self._find(upstream)
        tally.good += 1
        tally.good_ms += int(seconds * _MILLISECONDS)

    def add(
        self,
        upstream: identifiers.UpstreamId,
        evidence: Evidence,
    ) -> None:
        """Count a result that other hosts should know of at once."""
        self.is_urgent = True
        tally = self._find(upstream)
        setattr(tally, evidence.value, getattr(tally, evidence.value) + 1)

    def take(self) -> list[Tally]:
        """Return what was counted since the last call."""
        taken = list(self._tallies.values())
        self._tallies = {}
        self.is_urgent = False
        return taken

    def _find(self, upstream: identifiers.UpstreamId) -> Tally:
        tally = self._tallies.get(upstream)
        if tally is None:
            tally = messages.structs.ResultTally(
                upstream=upstream,
                good=0,
                bad=0,
                shed=0,
                unreachable=0,
                good_ms=0,
            )
            self._tallies[upstream] = tally
        return tally
