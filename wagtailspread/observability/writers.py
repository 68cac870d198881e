"""Writers of log lines: directly, or in a thread behind a bounded queue.

A pipe whose reader has stopped blocks whoever writes to it once 64 KiB are in
it. An event loop must not wait for a log, so a process writes its lines in a
thread; lines that do not fit the queue are refused and counted by the caller.

References: Linux, pipe(7), on the capacity of a pipe.
"""

import collections
import contextlib
import os
import threading
import typing

#: Maximum size of all lines in the queue, in characters.
MAX_QUEUED_CHARACTERS = 1024 * 1024
#: Longest wait for the queue to become empty when it is closed, in seconds.
CLOSE_SECONDS = 0.5


class LineWriter(typing.Protocol):
    """Writes whole lines to a log."""

    def write(self, line: str) -> bool:
        """Write a line without its end; tell whether it was accepted."""

    def close(self) -> None:
        """Write the lines that were accepted, if possible."""


class DirectWriter:
    """Writes each line at once. Use :func:`create_direct_writer`."""

    def __init__(self, stream: typing.TextIO) -> None:
        """Write to ``stream``."""
        self._stream = stream

    def write(self, line: str) -> bool:
        """Write a line and wait until the stream has taken it."""
        self._stream.write(f'{line}\n')
        self._stream.flush()
        return True

    def close(self) -> None:
        """Do nothing, since no line is left."""


class QueuedWriter:
    """Writes lines in a thread. Use :func:`create_queued_writer`."""

    def __init__(self, descriptor: int, limit: int) -> None:
        """Write to a file descriptor; the thread starts with the first line.

        The thread does not use the stream of the descriptor: the interpreter
        closes its streams at the end, and would wait for a thread that writes.

        :param limit: maximum size of all waiting lines, in characters.
        """
        self._descriptor = descriptor
        self._limit = limit
        self._lines: collections.deque[str] = collections.deque()
        self._size = 0
        self._is_writing = False
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None

    def write(self, line: str) -> bool:
        """Queue a line unless the queue is full; never wait for a reader."""
        with self._changed:
            if self._size + len(line) > self._limit:
                return False
            self._lines.append(line)
            self._size += len(line)
            self._changed.notify_all()
        if self._thread is None:
            # A daemon, since it may wait for a reader that never comes back.
            self._thread = threading.Thread(
                target=self._run, name='log', daemon=True
            )
            self._thread.start()
        return True

    def close(self) -> None:
        """Wait for :data:`CLOSE_SECONDS` until all lines are written."""
        with self._changed:
            self._changed.wait_for(
                lambda: not self._lines and not self._is_writing,
                CLOSE_SECONDS,
            )

    def _run(self) -> None:
        while True:
            remaining = memoryview(self._take_lines().encode())
            # If the reader is gone, there is no other place to report that.
            with contextlib.suppress(OSError):
                while remaining:
                    written = os.write(self._descriptor, remaining)
                    remaining = remaining[written:]
            self._finish_writing()

    def _take_lines(self) -> str:
        """Wait for lines; remove all from the queue and return them."""
        with self._changed:
            self._changed.wait_for(lambda: self._lines)
            text = ''.join(f'{line}\n' for line in self._lines)
            self._lines.clear()
            self._size = 0
            self._is_writing = True
            return text

    def _finish_writing(self) -> None:
        with self._changed:
            self._is_writing = False
            self._changed.notify_all()


def create_direct_writer(stream: typing.TextIO) -> DirectWriter:
    """Return a writer that waits for the stream."""
    return DirectWriter(stream)


def create_queued_writer(
    descriptor: int,
    limit: int = MAX_QUEUED_CHARACTERS,
) -> QueuedWriter:
    """Return a writer that never waits for the reader of a descriptor.

    :param limit: maximum size of all waiting lines, in characters.
    """
    return QueuedWriter(descriptor, limit)
