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


def test_line_break_in_a_field_is_escaped():
    """Guards against forged log lines."""
    stream = io.StringIO()
    handler = logs.create_handler('h1', stream, clocks.ManualClock())
    with handler.applicationbound():
        logs.get_logger('entry').info('request', extra={'path': '/a\nb'})
    assert len(stream.getvalue().splitlines()) == 1
