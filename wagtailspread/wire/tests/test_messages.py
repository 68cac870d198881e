"""Encoding and decoding of structs, including malformed payloads."""

import pytest

from wagtailspread.wire import messages


def create_envelope(**fields):
    return messages.structs.Envelope(
        id=7,
        method=2,
        payload=b'\x00\xff',
        deadline_ms=100,
        trace='',
        failure='NotLeader',
        **fields,
    )


@pytest.mark.parametrize('payload', [b'', b'\x0f\x00\x01\x0c\x7f\xff\xff\xff'])
def test_truncated_or_forged_payload_of_a_peer_is_refused(payload):
    """Guards against a reader that loops over a forged list length."""
    with pytest.raises(messages.DecodeError):
        messages.decode(messages.structs.Envelope, payload)


def test_both_readers_decode_an_encoded_struct():
    """Guards against a compiled writer that deviates from the protocol."""
    envelope = create_envelope(detail='127.0.0.1:1')
    payload = messages.encode(envelope)
    assert messages.decode(messages.structs.Envelope, payload) == envelope
    assert (
        messages.decode_trusted(messages.structs.Envelope, payload) == envelope
    )


def test_envelope_without_detail_is_decoded():
    """Guards against refusing the answers of an older process."""
    payload = messages.encode(create_envelope())
    decoded = messages.decode(messages.structs.Envelope, payload)
    assert decoded.detail is None
    assert decoded.failure == 'NotLeader'
