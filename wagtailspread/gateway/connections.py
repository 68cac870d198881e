"""The callers' connections, as far as the requests on them tell.

A host hears of a connection with its first complete request, so what is kept
here starts with that.
"""

import asyncio
import dataclasses
import typing
import weakref


@dataclasses.dataclass(slots=True)
class CallerConnection:
    """A connection on which at least one request came.

    :param version: of the configuration in force at the first request.
    :param started: when the first request came, in seconds.
    :param requests: number of requests so far.
    """

    version: int | None
    started: float
    requests: int = 0


class ConnectionTable:
    """The open connections of callers. Use :func:`create_table`.

    A connection leaves the table when its transport is collected as garbage;
    the table does not keep it.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._rows: weakref.WeakKeyDictionary[
            asyncio.BaseTransport, CallerConnection
        ] = weakref.WeakKeyDictionary()

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._rows)

    def note_request(
        self,
        transport: asyncio.BaseTransport | None,
        version: int | None,
        now: float,
    ) -> None:
        """Count a request; its connection is gone if there is no transport.

        :param version: of the configuration in force.
        :param now: seconds of the event loop's clock.
        """
        if transport is None:
            return
        row = self._rows.get(transport)
        if row is None:
            row = CallerConnection(version, now)
            self._rows[transport] = row
        row.requests += 1

    def describe(
        self,
        transport: asyncio.BaseTransport | None,
        now: float,
    ) -> dict[str, typing.Any]:
        """Return the fields of a log line on the newest request."""
        row = None if transport is None else self._rows.get(transport)
        if row is None:
            return {}
        return {
            'connection_seconds': round(now - row.started, 3),
            'connection_requests': row.requests - 1,
            'connection_version': row.version,
        }


def create_table() -> ConnectionTable:
    """Return a table without connections."""
    return ConnectionTable()
