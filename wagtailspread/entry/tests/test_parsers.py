"""Requests in any pieces, before and behind each other."""

import asyncio

import pytest

from aiohttp import base_protocol, http_exceptions
from hypothesis import given
from hypothesis import strategies as st

from wagtailspread.entry import heads, holdings, intakes, parsers

LIMITS = heads.RequestLimits(head_bytes=1000)
#: Contents that look like the end of a head, of a chunk or of a body.
CONTENTS = st.lists(
    st.sampled_from(
        [b'\r\n', b'\r\n\r\n', b'0\r\n\r\n', b'a', b'GET / HTTP/1.1\r\n\r\n']
    ),
    max_size=6,
).map(b''.join)
CHUNKS = st.lists(CONTENTS.filter(bool), max_size=4)
TRAILERS = st.sampled_from([b'', b'A: b\r\n', b'A: b\r\nC:\r\n'])


class Connection(base_protocol.BaseProtocol):
    """A connection whose requests are handled at once."""

    def __init__(self, loop, budget):
        """Create a connection without a parser."""
        super().__init__(loop)
        self._budget = budget
        self.dropped = 0
        #: A buffer waits only while its connection is open.
        self.transport = object()

    def resume(self):
        """Ignore that the parser has more to say."""

    def recount(self):
        """Count what the parser holds."""
        self._budget.resize(self, self._parser.held_bytes)

    def drop(self):
        """Count a drop."""
        self.dropped += 1
        self._parser.drop()

    def resume_reading(self, resume_parser=True):
        """Ignore that a body is read."""


def create_parser(total=10**9):
    """Return a parser and its budget."""
    budget = holdings.HoldingBudget(total)
    connection = Connection(asyncio.get_running_loop(), budget)
    window = heads.LimitWindow(LIMITS)
    parser = parsers.GuardedParser(connection, connection, window, budget)
    connection._parser = parser
    return parser, budget


@st.composite
def create_requests(draw):
    """Return requests as pairs of their bytes and their bodies."""
    requests = []
    for number in range(draw(st.integers(1, 5))):
        first = b'POST /%d HTTP/1.1\r\nHost: a\r\n' % number
        content = draw(CONTENTS)
        if draw(st.booleans()):
            length = b'Content-Length: %d\r\n\r\n' % len(content)
            requests.append((first + length + content, content))
            continue
        chunks = draw(CHUNKS)
        raw = b''.join(b'%x\r\n%s\r\n' % (len(one), one) for one in chunks)
        raw += b'0\r\n' + draw(TRAILERS) + b'\r\n'
        coding = b'Transfer-Encoding: chunked\r\n\r\n'
        requests.append((first + coding + raw, b''.join(chunks)))
    return requests


@given(create_requests(), st.lists(st.integers(1, 40), min_size=1))
def test_requests_are_the_same_in_any_pieces(requests, sizes):
    """Guards against a body that ends early, or takes the next request."""
    raw = b''.join(one for one, _ in requests)
    found = asyncio.run(parse(raw, sizes))
    expected = [
        (f'/{number}', body) for number, (_, body) in enumerate(requests)
    ]
    assert found == expected


async def parse(raw, sizes):
    """Return the paths and bodies of requests that come in pieces."""
    parser, budget = create_parser()
    found = []
    start = 0
    while start < len(raw):
        size = sizes[start % len(sizes)]
        messages = list(parser.feed_data(raw[start : start + size])[0])
        while messages:
            found.extend(messages)
            for _ in messages:
                parser.message_consumed()
            messages = parser.feed_data(b'')[0]
        start += size
    assert not parser.is_incomplete
    for _ in found:
        parser.finish_request()
    assert parser.held_bytes == 0
    return [(message.path, await body.read()) for message, body in found]


@pytest.mark.parametrize(
    ('total', 'expected'),
    [
        (10**9, parsers.MAX_PARSED_WITH_ROOM),
        # One of these heads takes a quarter of the budget.
        (20_000, parsers.MAX_PARSED_REQUESTS),
    ],
)
async def test_few_pipelined_requests_are_parsed_ahead(total, expected):
    """Guards against parsed requests that pile up behind a slow one."""
    parser, _ = create_parser(total)
    raw = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
    messages = parser.feed_data(raw * 10)[0]
    assert len(messages) == expected
    parser.message_consumed()
    assert len(parser.feed_data(b'')[0]) == 1


async def test_fault_behind_requests_is_reported_after_them():
    """Guards against requests that get lost by the input behind them."""
    parser, _ = create_parser()
    raw = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
    messages = parser.feed_data(raw + b'A b\r\n\r\n')[0]
    assert len(messages) == 1
    with pytest.raises(http_exceptions.HttpProcessingError):
        parser.feed_data(b'')


async def test_head_that_does_not_fit_is_refused_before_it_is_parsed():
    """Guards against a head whose lines take many times their bytes."""
    parser, budget = create_parser(total=10_000)
    head = b'GET / HTTP/1.1\r\nHost: a\r\n' + b'a:\r\n' * 100
    parser.feed_data(head)
    with pytest.raises(parsers.HeadFault) as raised:
        parser.feed_data(b'\r\n')
    assert raised.value.cause is parsers.RefusalCause.HOST_FULL


async def test_body_that_may_be_sent_is_not_dropped():
    """Guards against a refusal of a request that may have run."""
    parser, _ = create_parser()
    raw = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\na'
    (_, body) = parser.feed_data(raw)[0][0]
    assert parser.is_incomplete
    intakes.settle(body)
    assert not parser.is_incomplete


async def test_reader_learns_that_its_body_was_dropped():
    """Guards against a reader that waits for a body that is given up."""
    parser, _ = create_parser()
    raw = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n'
    (_, body) = parser.feed_data(raw)[0][0]
    reading = asyncio.create_task(body.read(9))
    await asyncio.sleep(0)
    # The reader is woken up, and the bytes are gone before it runs.
    parser.feed_data(b'abc')
    parser.drop()
    with pytest.raises(intakes.BodyDropped):
        await asyncio.wait_for(reading, 5)
