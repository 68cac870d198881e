"""Invalid requests, over loopback and in the validation functions."""

import asyncio

import multidict
import pytest

from wagtailspread.core import outcomes
from wagtailspread.entry import bodies, heads, requests
from wagtailspread.entry.tests import fleets, sockets
from wagtailspread.testing import stand_ins

ROUTING = stand_ins.FixedRouting(
    fleets.ROUTES,
    stand_ins.FixedLimits(max_body=100),
)
END = b'Host: a\r\nConnection: close\r\n'


def create_raw(*parts):
    return b''.join(parts)


def check(method='GET', target='/vitrina/a', **headers):
    fields = [(name.replace('_', '-'), headers[name]) for name in headers]
    return requests.check_head(
        method,
        target,
        multidict.CIMultiDict(fields),
        ROUTING,
    )


@pytest.mark.parametrize(
    ('expected', 'reason', 'arguments'),
    [
        (405, 'unsupported-method', {'method': 'CONNECT'}),
        (404, 'unknown-service', {'target': '/nowhere'}),
        (400, 'bad-request', {'target': 'http://a/vitrina'}),
        (400, 'bad-request', {'target': '/vitrina/../contratos/1'}),
        (400, 'bad-request', {'target': '/vitrina/%2E%2e/contratos/1'}),
        (400, 'bad-request', {'target': '/vitrina/\x01'}),
        (400, 'key-required', {'target': '/contratos/1'}),
        (400, 'bad-request', {'Idempotency_Key': 'a b'}),
        (400, 'bad-request', {'Idempotency_Key': ''}),
        (400, 'bad-request', {'Idempotency_Key': 'k' * 256}),
        (400, 'bad-request', {'Wagtailspread_Caller': 'c' * 256}),
        (400, 'bad-request', {'Wagtailspread_Deadline_Ms': '0'}),
        (400, 'bad-request', {'Wagtailspread_Deadline_Ms': '-5'}),
        (400, 'bad-request', {'Wagtailspread_Deadline_Ms': '1e3'}),
        (400, 'bad-request', {'Wagtailspread_Deadline_Ms': '600001'}),
        (400, 'bad-request', {'Content_Length': '5 '}),
        (400, 'bad-request', {'Content_Length': '+5'}),
        (400, 'bad-request', {'Transfer_Encoding': 'gzip, chunked'}),
        (413, 'too-large', {'Content_Length': '101'}),
        (400, 'bad-request', {'Expect': 'something'}),
    ],
)
def test_invalid_heads_are_refused_with_status_and_reason(
    expected,
    reason,
    arguments,
):
    """Guards against forwarding an invalid request to an upstream."""
    fault = check(**arguments).failure()
    assert (fault.status, fault.reason.value) == (expected, reason)


@pytest.mark.parametrize(
    ('expected', 'arguments'),
    [
        (
            'method: expected one of DELETE, GET, HEAD, OPTIONS, PATCH, POST,'
            " PUT, got 'CONNECT'",
            {'method': 'CONNECT'},
        ),
        (
            'target: expected "/" and then visible ASCII characters without a'
            " backslash, got 'h' at index 0",
            {'target': 'http://user:secret@a/vitrina'},
        ),
        (
            'target: expected "/" and then visible ASCII characters without a'
            r" backslash, got '\x01' at index 9",
            {'target': '/vitrina/\x01?token=secret'},
        ),
        (
            'Idempotency-Key: expected on a route that is not idempotent, got'
            ' no such header',
            {'target': '/contratos/1'},
        ),
        (
            'Idempotency-Key: expected 1 to 255 visible ASCII characters, got 8'
            ' characters, 1 of them not visible ASCII',
            {'Idempotency_Key': 'a secret', 'Wagtailspread_Caller': 'c c'},
        ),
        (
            'Wagtailspread-Caller: expected 1 to 255 visible ASCII characters,'
            ' got 256 characters, 0 of them not visible ASCII',
            {'Idempotency_Key': 'k', 'Wagtailspread_Caller': 'c' * 256},
        ),
        (
            "Wagtailspread-Deadline-Ms: expected 1 to 600000 ms, got '600001'",
            {'Wagtailspread_Deadline_Ms': '600001'},
        ),
        (
            'Content-Length: expected one size in bytes of at most 18 digits,'
            " got '+5'",
            {'Content_Length': '+5'},
        ),
        (
            "Transfer-Encoding: expected chunked, got 'gzip, chunked'",
            {'Transfer_Encoding': 'gzip, chunked'},
        ),
        (
            'Content-Length and Transfer-Encoding: expected at most one of'
            ' them, got both',
            {'Content_Length': '5', 'Transfer_Encoding': 'chunked'},
        ),
        (
            'body: expected at most 100 bytes, got a Content-Length of 101'
            ' bytes',
            {'Content_Length': '101'},
        ),
        (
            "Expect: expected 100-continue, got 'something'",
            {'Expect': 'something'},
        ),
    ],
)
def test_refusal_states_what_was_expected_and_found(expected, arguments):
    """Guards against unexplained refusals, and secrets in explanations."""
    assert check(**arguments).failure().detail == expected


@pytest.mark.parametrize(
    'text',
    ['', '\r\n', '\0' * 9000, '\udc80' * 9000, '\u202e{}%s' * 999, '9' * 9000],
)
def test_refusal_detail_is_bounded_and_escaped(text):
    """Guards against errors and long answers for arbitrary input."""
    for arguments in (
        {'method': text},
        {'target': text},
        {'target': f'/{text}\\'},
        {'Idempotency_Key': text},
        {'Wagtailspread_Caller': f' {text}'},
        {'Wagtailspread_Deadline_Ms': text},
        {'Content_Length': text},
        {'Transfer_Encoding': text},
        {'Expect': text},
    ):
        detail = check(**arguments).failure().detail
        assert len(detail) < 130
        assert detail.isprintable()
        detail.encode()


def test_conflicting_body_lengths_are_refused():
    """Guards against request smuggling with conflicting lengths."""
    fault = check(Content_Length='5', Transfer_Encoding='chunked').failure()
    assert fault.status == 400 and fault.closes


def test_repeated_single_value_headers_are_refused():
    """Guards against hops that interpret a key or deadline differently."""
    for name in ('Idempotency-Key', 'Wagtailspread-Deadline-Ms', 'Host'):
        headers = multidict.CIMultiDict([(name, '1'), (name, '2')])
        checked = requests.check_head('GET', '/vitrina', headers, ROUTING)
        fault = checked.failure()
        assert fault.status == 400
        assert fault.detail == f'{name}: expected at most 1 such header, got 2'


def test_hop_by_hop_headers_are_not_forwarded():
    """Guards against forwarding headers of the caller's connection."""
    headers = multidict.CIMultiDict(
        [
            ('Connection', 'close, X-Secret'),
            ('X-Secret', '1'),
            ('Keep-Alive', '5'),
            ('TE', 'trailers'),
            ('Upgrade', 'h2c'),
            ('Accept', 'a'),
            ('Accept', 'b'),
        ],
    )
    copied = requests.copy_headers(headers)
    assert list(copied.items()) == [('Accept', 'a'), ('Accept', 'b')]


@pytest.mark.parametrize(
    ('expected', 'raw'),
    [
        (400, b'GET /vitrina\r\n\r\n'),
        (400, b'\x16\x03\x01\x00\xa5\x01\r\n\r\n'),
        (400, create_raw(b'GET /vitrina HTTP/1.1\r\nA b: 1\r\n', END, b'\r\n')),
        (
            400,
            b'POST /vitrina HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n' + END + b'\r\n0\r\n\r\n',
        ),
        (
            400,
            b'POST /vitrina HTTP/1.1\r\nContent-Length: 1\r\n'
            b'Content-Length: 2\r\n' + END + b'\r\nab',
        ),
        (
            400,
            b'POST /vitrina HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
            + END
            + b'\r\nzz\r\nab\r\n0\r\n\r\n',
        ),
        (
            431,
            create_raw(
                b'GET /vitrina HTTP/1.1\r\nA: ',
                b'a' * 9000,
                b'\r\n\r\n',
            ),
        ),
        (
            431,
            create_raw(
                b'GET /vitrina HTTP/1.1\r\n',
                END,
                b'A: a\r\n' * 2000,
                b'\r\n',
            ),
        ),
    ],
)
async def test_malformed_request_is_refused_as_not_run(expected, raw):
    """Guards against refusals without the outcome header."""
    async with fleets.start_fleet() as (hosts, upstreams):
        answer = await sockets.request_raw(hosts[0].address, raw)
        assert answer.status == expected
        assert answer.headers['wagtailspread-outcome'] == 'not-run'
        assert answer.headers['wagtailspread-reason'] == 'bad-request'
        assert not upstreams[0].counts['runs']


async def test_incomplete_head_is_refused_after_timeout():
    """Guards against callers that occupy connections with partial heads."""
    limits = heads.RequestLimits(seconds=0.3)
    async with fleets.start_fleet(limits=limits) as (hosts, _):
        answer = await sockets.request_raw(
            hosts[0].address,
            b'GET /vitrina HTTP/1.1\r\nHost: a\r\n',
        )
        assert answer.status == 408
        assert answer.headers['connection'] == 'close'
        assert answer.headers['wagtailspread-outcome'] == 'not-run'


async def test_slow_body_is_refused_before_slot_is_acquired():
    """Guards against slow uploads that occupy slots of an upstream."""
    async with fleets.start_fleet() as (hosts, upstreams):
        answer = await sockets.request_raw(
            hosts[0].address,
            b'POST /vitrina HTTP/1.1\r\nContent-Length: 50\r\n'
            b'Wagtailspread-Deadline-Ms: 300\r\n' + END + b'\r\nabc',
        )
        assert answer.status == 408
        assert answer.headers['connection'] == 'close'
        assert answer.headers['wagtailspread-outcome'] == 'not-run'
        assert not upstreams[0].counts['requests']


async def test_slow_body_after_forwarding_started_is_unknown(
    monkeypatch,
):
    """Guards against 408 for a request that may have been executed.

    Status 408 would tell the caller that it was not executed.
    """
    monkeypatch.setattr(bodies.read_body, '__defaults__', (0.3,))
    async with fleets.start_fleet() as (hosts, upstreams):
        answer = await sockets.request_raw(
            hosts[0].address,
            create_raw(
                b'POST /vitrina HTTP/1.1\r\nContent-Length: 200000\r\n',
                END,
                b'\r\n',
                b'a' * 100000,
            ),
        )
        assert answer.status == 504
        assert answer.headers['wagtailspread-outcome'] == 'unknown'
        assert not upstreams[0].counts['answered']


async def test_slow_announcement_gets_retryable_status():
    """Guards against a final refusal for an upstream on a slow link."""
    async with fleets.start_fleet() as (hosts, _):
        answer = await sockets.request_raw(
            hosts[0].address,
            b'POST /-/announce HTTP/1.1\r\nContent-Length: 50\r\n'
            + END
            + b'\r\n{',
            timeout=5.0,
        )
        assert answer.status == 408


async def test_endless_chunked_body_is_refused_as_too_large():
    """Guards against answering a chunked body that exceeds the limit."""
    chunk = create_raw(b'ffff\r\n', b'a' * 0xFFFF, b'\r\n')
    head = b'POST /vitrina HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
    async with fleets.start_fleet() as (hosts, upstreams):
        answer = await sockets.request_raw(
            hosts[0].address,
            create_raw(head, END, b'\r\n', chunk * 40),
        )
        assert answer.status == 413
        assert answer.headers['wagtailspread-outcome'] == 'unknown'
        assert b'too-large body: expected at most 1048576 bytes' in answer.body
        assert not upstreams[0].counts['answered']


async def test_caller_that_expects_continue_receives_it():
    """Guards against uploads that stall until the caller's timeout."""
    async with fleets.start_fleet() as (hosts, upstreams):
        ip, _, port = hosts[0].address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            b'POST /vitrina HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Expect: 100-continue\r\n' + END + b'\r\n',
        )
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 2)
        assert head.startswith(b'HTTP/1.1 100')
        writer.write(b'abc')
        answer = sockets.parse_answer(await reader.read())
        assert answer.status == 200
        assert answer.headers[outcomes.OUTCOME_HEADER.lower()] == 'upstream'
        writer.close()
