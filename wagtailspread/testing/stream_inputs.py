"""Byte streams of clients and upstreams, as inputs of fuzz targets."""

import random as random_module
import zlib

from wagtailspread.testing import mutations

#: Limit on the heads of requests, which some streams exceed, in bytes.
HEAD_BYTES = 2_048
#: Kinds of the end of an upstream's connection, as the first byte of an input.
CLOSED, RESET, OPEN = b'c', b'r', b'o'

_REQUESTS = (
    b'GET /a?x=1 HTTP/1.1\r\nHost: a.example\r\n\r\n',
    b'HEAD /b HTTP/1.1\r\nHost: a.example\r\nA: \r\nB:1\r\n\r\n',
    b'POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello',
    b'POST /d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5\r\nhello\r\n3;x=1\r\nabc\r\n0\r\nT: 1\r\n\r\n',
    b'PUT /e HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n',
    b'GET /f HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
    b'GET /g HTTP/1.0\r\nConnection: keep-alive\r\n\r\n',
    b'GET /h HTTP/1.1\r\n' + b'a:\r\n' * 300 + b'\r\n',
    b'GET /i HTTP/1.1\r\nX: ' + b'x' * HEAD_BYTES + b'\r\n\r\n',
    b'POST /j HTTP/1.1\r\nContent-Length: 30000\r\n\r\n' + b'x' * 30_000,
    b'POST /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    + b'1\r\nx\r\n' * 2_000
    + b'0\r\n\r\n',
    b'\r\n',
)
_SIGNED = b'Attempt-Id: a1\r\nResponse-Signature: s1\r\n'
_HEAD = b'HTTP/1.1 200 OK\r\n' + _SIGNED
_RESPONSES = (
    _HEAD + b'Content-Length: 5\r\n\r\nwhole',
    _HEAD + b'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n',
    _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    b'3\r\nwho\r\n2;x=1\r\nle\r\n0\r\nT: 1\r\n\r\n',
    _HEAD + b'\r\nwhole',
    b'HTTP/1.1 100 Continue\r\n\r\n' + _HEAD + b'Content-Length: 2\r\n\r\nok',
    b'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n' + _HEAD + b'\r\nok',
    b'HTTP/1.1 204 No\r\n' + _SIGNED + b'\r\n',
    b'HTTP/1.1 000 OK\r\n' + _SIGNED + b'Content-Length: 5\r\n\r\nwhole',
    b'HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n\r\n',
    b'HTTP/1.0 200 OK\r\n' + _SIGNED + b'\r\nwhole',
    _HEAD + b'Content-Length: 50000\r\n\r\n' + b'x' * 50_000,
    _HEAD + b'\r\n' + b'x' * 30_000,
    _HEAD + b'a:\r\n' * 20_000 + b'\r\n',
)
_BODIES = (
    b'5\r\nwhole\r\n0\r\n\r\n',
    b'3;a=b\r\nwho\r\n2 \r\nle\r\n00\r\nT: 1\r\nU:\r\n\r\nHTTP/1.1 200 OK\r\n',
)
#: Texts on which parsers differ.
_ODD_TEXTS = (
    b'\r',
    b'\n',
    b'\r\n',
    b'\r\n\r\n',
    b' ',
    b'\t',
    b'\0',
    b'\x0b',
    b':',
    b';',
    b'\xff',
    b'+1',
    b'0x5',
    b'00000000000000000005',
    b'chunked',
    b'Content-Length: 5\r\n',
    b'Content-Length: 5, 5\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: x, chunked\r\n',
    b'Transfer-Encoding : chunked\r\n',
    b'Connection: close\r\n',
    b'Connection: x, close\r\n',
    b'Expect: 100-continue\r\n',
    b'Upgrade: h2c\r\nConnection: Upgrade\r\n',
    b' folded\r\n',
    b'0\r\n\r\n',
    b'0\r\n',
    b'ffffffffffffffffff\r\n',
    b'HTTP/1.2',
    b'HTTP/2.0',
    b'HTTP/1.0',
    b'1xx',
)


def mutate_requests(random: random_module.Random) -> bytes:
    """Return a changed stream of a client."""
    count = random.randrange(1, 5)
    return _mutate(b''.join(random.choices(_REQUESTS, k=count)), random)


def mutate_response(random: random_module.Random) -> bytes:
    """Return a changed stream of an upstream behind the kind of its end."""
    end = random.choices((CLOSED, RESET, OPEN), (8, 4, 1))[0]
    return end + _mutate(random.choice(_RESPONSES), random)


def mutate_body(random: random_module.Random) -> bytes:
    """Return a changed chunked body."""
    return _mutate(random.choice(_BODIES), random)


def split(stream: bytes) -> list[bytes]:
    """Return the pieces of a stream, which its bytes determine."""
    random = random_module.Random(zlib.crc32(stream))
    longest = random.choice((1, 7, 100, 5_000, 100_000))
    if len(stream) > 200 * longest:
        longest = 5_000
    pieces = []
    while stream:
        size = random.randint(1, longest)
        pieces.append(stream[:size])
        stream = stream[size:]
    return pieces


def _mutate(stream: bytes, random: random_module.Random) -> bytes:
    for _ in range(random.randrange(3)):
        place = random.randrange(len(stream) + 1)
        # Most bytes of long bodies make no difference.
        place = min(place, random.randrange(1, 400))
        end = place + random.choice((0, 0, 1, 2))
        if random.randrange(3):
            stream = stream[:place] + random.choice(_ODD_TEXTS) + stream[end:]
        else:
            stream = mutations.mutate_bytes(stream, random)
    return stream
