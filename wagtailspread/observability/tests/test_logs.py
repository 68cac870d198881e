"""Log lines of events, and the limit of equal events."""

import io
import json

from wagtailspread.core import clocks
from wagtailspread.observability import logs


def write_events(count, clock, stream):
    handler = logs.create_handler('h1', stream, clock)
    with handler.applicationbound():
        for number in range(count):
            logs.get_logger('entry').warning('shed', extra={'n': number})
    return handler


def read_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_equal_events_beyond_the_limit_are_only_counted():
    """Guards against a log that grows without bounds."""
    stream = io.StringIO()
    handler = write_events(500, clocks.ManualClock(), stream)
    assert len(read_lines(stream)) == logs.MAX_EVENTS_PER_WINDOW
    handler.close_windows()
    assert read_lines(stream)[-1]['suppressed'] == 480


def test_events_are_written_again_in_the_next_window():
    """Guards against events that stay suppressed."""
    stream = io.StringIO()
    clock = clocks.ManualClock()
    handler = write_events(30, clock, stream)
    clock.advance(logs.WINDOW_SECONDS)
    with handler.applicationbound():
        logs.get_logger('entry').warning('shed', extra={'n': 30})
    assert [line['event'] for line in read_lines(stream)[-2:]] == [
        'equal events suppressed',
        'shed',
    ]


def write_kinds(kinds, clock, handler, repeats=1):
    """Write each kind of event so many times."""
    logger = logs.get_logger('entry')
    with handler.applicationbound():
        for _ in range(repeats):
            for kind in kinds:
                logger.info(kind)


def test_many_kinds_of_events_leave_no_state():
    """Guards against memory that grows with each kind of event."""
    stream = io.StringIO()
    clock = clocks.ManualClock()
    handler = logs.create_handler('h1', stream, clock)
    for number in range(20):
        first = number * 500
        kinds = [f'event {kind}' for kind in range(first, first + 500)]
        write_kinds(kinds, clock, handler)
        clock.advance(logs.WINDOW_SECONDS)
    assert len(handler._windows) <= logs.MAX_TRACKED_EVENTS


def test_kinds_of_events_beyond_the_maximum_share_a_limit():
    """Guards against a log without a limit after many kinds of events."""
    stream = io.StringIO()
    clock = clocks.ManualClock()
    handler = logs.create_handler('h1', stream, clock)
    tracked = [f'event {kind}' for kind in range(logs.MAX_TRACKED_EVENTS)]
    write_kinds(tracked, clock, handler)
    others = [f'other {kind}' for kind in range(100)]
    write_kinds(others, clock, handler, repeats=10)
    written = [line['event'] for line in read_lines(stream)]
    assert len(written) <= len(tracked) + logs.MAX_EVENTS_PER_WINDOW
    handler.close_windows()
    assert read_lines(stream)[-1]['suppressed'] == 980


def test_line_break_in_a_field_is_escaped():
    """Guards against forged log lines."""
    stream = io.StringIO()
    handler = logs.create_handler('h1', stream, clocks.ManualClock())
    with handler.applicationbound():
        logs.get_logger('entry').info('request', extra={'path': '/a\nb'})
    assert len(stream.getvalue().splitlines()) == 1
