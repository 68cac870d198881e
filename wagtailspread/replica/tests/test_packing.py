"""Tests of the compressed encoding of documents."""

import random
import zlib

import pytest

from wagtailspread.replica import documents, packing
from wagtailspread.wire import messages

#: Bandwidth between two regions for all traffic: 30 Mbit/s, in bytes/s.
REGION_BYTES_PER_SECOND = 3_750_000
#: Share of the bandwidth that a put may use.
PUT_SHARE = 0.25


def create_body(count):
    """Return a document with many routes that have random names."""
    draw = random.Random(1)
    routes = (
        f'{{"name":"r-{draw.getrandbits(36):09x}","kind":"safe",'
        f'"pathPrefix":"/{draw.getrandbits(32):08x}/","timeout":"2000ms",'
        '"service":"columns","maxAttempts":2}'
        for _ in range(count)
    )
    return ','.join(routes).encode()


def test_a_large_document_is_sent_between_regions_within_one_call():
    """Guards against a put that each retry appends to the log again.

    A follower repeats the call that forwards a put if the call times out.
    """
    state = packing.pack(1, create_body(11_000))
    seconds = len(messages.encode(state)) / (
        REGION_BYTES_PER_SECOND * PUT_SHARE
    )
    assert seconds < documents.CALL_TIMEOUT_SECONDS


def test_a_document_without_compression_is_read():
    """Guards against replicas that cannot read logs of earlier versions."""
    state = messages.structs.DocumentState(version=3, body=b'three')
    assert packing.unpack(state).body == b'three'
    sent = messages.decode(type(state), messages.encode(state))
    assert packing.unpack(sent).body == b'three'


@pytest.mark.parametrize(
    'packed',
    [
        b'',
        b'other',
        zlib.compress(b'three')[:-3],
        zlib.compress(bytes(packing.MAX_DOCUMENT_BYTES + 1)),
    ],
    ids=['empty', 'other', 'cut', 'large'],
)
def test_a_damaged_document_is_refused(packed):
    """Guards against partial documents and against exhausted memory."""
    state = messages.structs.DocumentState(version=3, body=b'', packed=packed)
    with pytest.raises(packing.DamagedDocument):
        packing.unpack(state)
