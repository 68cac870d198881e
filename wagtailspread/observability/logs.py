"""Structured logs: one JSON line for each event.

Events are logged with a fixed message and their details as ``extra`` fields,
so that programs can filter them. Equal events are limited: the first ones of a
window are written, the others are only counted, and their number is written
after the window. The lines of a process are written in a thread; those that its
reader does not take in time are dropped, and their number is written later.

>>> import io
>>> stream = io.StringIO()
>>> handler = create_handler('h1', stream, clock=clocks.ManualClock())
>>> with handler.applicationbound():
...     get_logger('entry').info('started', extra={'port': 80})
>>> fields = json.loads(stream.getvalue())
>>> fields['event'], fields['host'], fields['port']
('started', 'h1', 80)

References: logbook's handlers and ``extra`` fields.
"""

import dataclasses
import json
import logging
import typing

import logbook

from logbook import compat
from wagtailspread.core import clocks
from wagtailspread.observability import writers

#: Length of a window in which equal events are limited, in seconds.
WINDOW_SECONDS = 10.0
#: Maximum number of equal events that are written in one window.
MAX_EVENTS_PER_WINDOW = 20
#: Maximum number of different events that are counted at a time. The others of
#: a channel share one limit.
MAX_TRACKED_EVENTS = 1024
#: Stands for the events that share a limit.
_OTHER_EVENTS = 'other events'


@dataclasses.dataclass(slots=True)
class _Window:
    started_at: float
    count: int = 0


class StructuredHandler(logbook.Handler):
    """Writes records as JSON lines and limits equal events."""

    def __init__(
        self,
        host: str,
        writer: writers.LineWriter,
        clock: clocks.Clock,
        level: str,
    ) -> None:
        """Write records of ``level`` and above to ``writer``."""
        super().__init__(level=level, bubble=False)
        self._writer = writer
        self._dropped = 0
        self._host = host
        self._clock = clock
        self._windows: dict[tuple[str, str], _Window] = {}

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the record unless its window is full."""
        now = self._clock.now()
        window = self._find_window((record.channel, record.message), now)
        window.count += 1
        if window.count <= MAX_EVENTS_PER_WINDOW:
            self._write(self._describe(record))

    def close_windows(self) -> None:
        """Write the numbers of all events that were suppressed so far.

        Also wait for a moment until the lines of a thread are written.
        """
        for key, window in list(self._windows.items()):
            self._close_window(key, window)
        self._writer.close()

    def _find_window(self, key: tuple[str, str], now: float) -> _Window:
        """Return the window in which an event counts."""
        window = self._windows.get(key)
        if window is None and len(self._windows) >= MAX_TRACKED_EVENTS:
            self._close_expired(now)
            if len(self._windows) >= MAX_TRACKED_EVENTS:
                key = (key[0], _OTHER_EVENTS)
                window = self._windows.get(key)
        if window is not None and now - window.started_at >= WINDOW_SECONDS:
            self._close_window(key, window)
            window = None
        if window is None:
            window = _Window(now)
            self._windows[key] = window
        return window

    def _close_expired(self, now: float) -> None:
        for key, window in list(self._windows.items()):
            if now - window.started_at >= WINDOW_SECONDS:
                self._close_window(key, window)

    def _close_window(self, key: tuple[str, str], window: _Window) -> None:
        self._windows.pop(key)
        suppressed = window.count - MAX_EVENTS_PER_WINDOW
        if suppressed <= 0:
            return
        channel, message = key
        self._write(
            {
                **self._create_notice(channel, 'equal events suppressed'),
                'of': message,
                'suppressed': suppressed,
            }
        )

    def _describe(self, record: logbook.LogRecord) -> dict[str, typing.Any]:
        fields = {
            'time': self._clock.wall(),
            'level': record.level_name,
            'channel': record.channel,
            'event': record.message,
            'host': self._host,
            **record.extra,
        }
        if record.formatted_exception:
            fields['exception'] = record.formatted_exception
        return fields

    def _create_notice(self, channel: str, event: str) -> dict[str, typing.Any]:
        return {
            'time': self._clock.wall(),
            'level': 'NOTICE',
            'channel': channel,
            'event': event,
            'host': self._host,
        }

    def _write(self, fields: dict[str, typing.Any]) -> None:
        if self._dropped:
            notice = self._create_notice('logs', 'lines dropped')
            notice['dropped'] = self._dropped
            if self._writer.write(json.dumps(notice)):
                self._dropped = 0
        line = json.dumps(fields, default=str)
        if not self._writer.write(line):
            self._dropped += 1


def create_handler(
    host: str,
    stream: typing.TextIO,
    clock: clocks.Clock | None = None,
    level: str = 'INFO',
) -> StructuredHandler:
    """Return a handler that waits until each line is written.

    Activate it with ``applicationbound``.

    :param host: name of the host, written into each line.
    :param level: lowest level that is written.
    """
    writer = writers.create_direct_writer(stream)
    return StructuredHandler(host, writer, clock or clocks.SystemClock(), level)


def create_process_handler(
    host: str,
    stream: typing.TextIO,
    level: str = 'INFO',
) -> StructuredHandler:
    """Return a handler that never waits for the reader of the stream.

    Activate it with ``applicationbound``; call ``close_windows`` at the end.

    :param host: name of the host, written into each line.
    :param level: lowest level that is written.
    """
    writer = writers.create_queued_writer(stream.fileno())
    return StructuredHandler(host, writer, clocks.SystemClock(), level)


def redirect_library_logs() -> None:
    """Redirect the ``logging`` records of libraries to the active handler."""
    root = logging.getLogger()
    root.addHandler(compat.RedirectLoggingHandler())
    root.setLevel(logging.WARNING)


def get_logger(name: str) -> logbook.Logger:
    """Return the logger of a package."""
    return logbook.Logger(name)
