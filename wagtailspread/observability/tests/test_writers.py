"""Tests of log lines whose reader stops."""

import json
import os
import time

import pytest

from wagtailspread.core import clocks
from wagtailspread.observability import logs, writers

_LIMIT = 4096


@pytest.fixture
def pipe():
    """Return both ends of a pipe, as a descriptor and a stream."""
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, 'w', buffering=1)
    yield read_end, stream
    os.close(read_end)


def fill(stream):
    """Fill a pipe whose reader takes nothing."""
    descriptor = stream.fileno()
    os.set_blocking(descriptor, False)
    size = 0
    try:
        while True:
            size += os.write(descriptor, bytes(4096))
    except BlockingIOError:
        os.set_blocking(descriptor, True)
    return size


def write_events(handler, count, first=0):
    """Log different events."""
    with handler.applicationbound():
        for number in range(first, first + count):
            logs.get_logger('entry').info(f'event {number}')


def read_until(read_end, text):
    """Read a pipe until a text appears; return all that was read."""
    content = ''
    limit = time.monotonic() + 5.0
    while text not in content and time.monotonic() < limit:
        content += os.read(read_end, 65536).decode()
    return content


def test_a_reader_that_stops_costs_lines_and_no_time(pipe):
    """Guards against an event loop that waits for the reader of its log."""
    read_end, stream = pipe
    size = fill(stream)
    writer = writers.create_queued_writer(stream.fileno(), _LIMIT)
    handler = logs.StructuredHandler('h1', writer, clocks.SystemClock(), 'INFO')
    started = time.monotonic()
    write_events(handler, 500)
    assert time.monotonic() - started < 1.0
    # The reader goes on, and so does the log.
    while size:
        size -= len(os.read(read_end, min(size, 65536)))
    time.sleep(0.2)
    write_events(handler, 1, first=500)
    lines = [
        json.loads(line)
        for line in read_until(read_end, 'event 500').splitlines()
    ]
    written = [line['event'] for line in lines]
    dropped = [line['dropped'] for line in lines if 'dropped' in line]
    assert written[0] == 'event 0'
    assert written[-2:] == ['lines dropped', 'event 500']
    assert len(lines) - 1 + sum(dropped) == 501


def test_all_lines_are_written_before_the_end(pipe):
    """Guards against the loss of the last lines of a process."""
    read_end, stream = pipe
    handler = logs.create_process_handler('h1', stream)
    write_events(handler, 20)
    handler.close_windows()
    lines = os.read(read_end, 65536).decode().splitlines()
    assert [json.loads(line)['event'] for line in lines] == [
        f'event {number}' for number in range(20)
    ]


def test_the_end_does_not_wait_for_a_reader(pipe):
    """Guards against a process that can only be killed."""
    _read_end, stream = pipe
    fill(stream)
    handler = logs.create_process_handler('h1', stream)
    write_events(handler, 1)
    started = time.monotonic()
    handler.close_windows()
    assert time.monotonic() - started < 2 * writers.CLOSE_SECONDS


def test_a_reader_that_is_gone_ends_no_process():
    """Guards against an error of the log that reaches the program."""
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, 'w') as stream:
        handler = logs.create_process_handler('h1', stream)
        os.close(read_end)
        write_events(handler, 2)
        handler.close_windows()
