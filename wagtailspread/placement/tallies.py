"""Counts of what became of requests while capacity was short, for logs.

>>> tally = create_tally()
>>> tally.count('vitrina', 1, Event.NO_ROOM)
>>> tally.count('vitrina', 1, Event.NO_ROOM)
>>> tally.add_held('vitrina', 1, 0.25)
>>> tally.take()
[('vitrina', 1, {'no-room': 2, 'held_seconds': 0.2})]
>>> tally.take()
[]
"""

import collections
import enum

from wagtailspread.core import identifiers

_Key = tuple[identifiers.ServiceName, int]


class Event(enum.Enum):
    """What happened to a request."""

    #: It was queued.
    QUEUED = 'queued'
    #: It could not end within its objective any more.
    LATE = 'late'
    #: It went first since its group was starved or its rank had waited.
    PREFERRED = 'preferred'
    #: Its caller came again at the time that it was told.
    RETURNED = 'returned'
    #: It was refused: no slot before its deadline.
    NO_ROOM = 'no-room'
    #: It was refused after it had been queued.
    DROPPED = 'dropped'
    #: It was refused: the retry budget was used up.
    NO_BUDGET = 'no-budget'
    #: It was refused: the service has no upstream for it.
    NO_UPSTREAM = 'no-upstream'


class Tally:
    """Counts by service and rank. Use :func:`create_tally`."""

    def __init__(self) -> None:
        """Start without counts."""
        self._events: dict[_Key, collections.Counter[Event]] = {}
        self._held: dict[_Key, float] = {}

    def count(
        self, service: identifiers.ServiceName, rank: int, event: Event
    ) -> None:
        """Count an event."""
        key = (service, rank)
        self._events.setdefault(key, collections.Counter())[event] += 1

    def add_held(
        self, service: identifiers.ServiceName, rank: int, seconds: float
    ) -> None:
        """Add the time for which a refused request was queued."""
        key = (service, rank)
        self._held[key] = self._held.get(key, 0.0) + seconds

    def take(
        self,
    ) -> list[tuple[identifiers.ServiceName, int, dict[str, float]]]:
        """Return the counts since the last call."""
        taken = []
        for (service, rank), events in sorted(self._events.items()):
            fields: dict[str, float] = {
                event.value: count for event, count in events.items()
            }
            held = self._held.get((service, rank), 0.0)
            fields['held_seconds'] = round(held, 1)
            taken.append((service, rank, fields))
        self._events.clear()
        self._held.clear()
        return taken


def create_tally() -> Tally:
    """Return a tally without counts."""
    return Tally()
