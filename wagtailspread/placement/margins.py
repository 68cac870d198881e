"""Part of the time that a request must have left when it is admitted.

Requests that come later shall find room as well. So one with more work than
others of its rank, and one whose workspace has had more than its share, are
admitted to a shorter queue.

>>> table = create_margins()
>>> table.find('vitrina', 0, 0.1, 0.0), table.find('vitrina', 0, 0.23, 0.1)
(1.0, 2.0)
"""

from wagtailspread.core import identifiers

#: Time for which the least work of a rank counts without such a request, in
#: seconds.
LEAST_SECONDS = 4.0
#: Ratio of the work of a request to the least one up to which it needs no
#: margin. Kinds of nearly the same work are not told apart.
EQUAL_RATIO = 1.15
#: Largest margin for work. Higher ones had less value in the replays, since
#: requests with much work leave slots when a burst ends.
MAX_MARGIN = 3.0
#: Margin of a workspace that has had more than its share. With 2, the value of
#: the replay ``workspace-burst`` was 0.688 in place of 0.717.
UNFAIR_MARGIN = 1.4


class MarginTable:
    """Least work by service and rank. Use :func:`create_margins`."""

    def __init__(self) -> None:
        """Create a table without requests."""
        self._least: dict[
            tuple[identifiers.ServiceName, int], tuple[float, float]
        ] = {}

    def find(
        self,
        service: identifiers.ServiceName,
        rank: int,
        work: float,
        now: float,
    ) -> float:
        """Return the multiple of its wait that a request must have left."""
        key = (service, rank)
        least, seen_at = self._least.get(key, (work, now))
        ratio = work / max(least, 1e-6) / EQUAL_RATIO
        if ratio <= 1 or now - seen_at > LEAST_SECONDS:
            self._least[key] = (work, now)
            return 1.0
        return min(round(ratio, 3), MAX_MARGIN)

    def prune(self, now: float) -> None:
        """Drop ranks without recent requests."""
        self._least = {
            key: (least, seen_at)
            for key, (least, seen_at) in self._least.items()
            if now - seen_at <= LEAST_SECONDS
        }


def create_margins() -> MarginTable:
    """Return a table without requests."""
    return MarginTable()
