"""Mutual authentication at the start of a connection."""

import asyncio

from wagtailspread.core import identifiers
from wagtailspread.wire import credentials, frames, messages

#: Maximum size of a frame of the handshake, in bytes. A larger frame of an
#: unauthenticated peer is refused unread.
_MAX_HANDSHAKE_FRAME_BYTES = 1024
_DIALER = 'dialer'
_ACCEPTOR = 'acceptor'


class HandshakeRefused(Exception):
    """The peer did not prove that it belongs to an approved member."""


async def authenticate(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    local_credentials: credentials.Credentials,
    directory: credentials.MemberDirectory,
    *,
    is_dialer: bool,
) -> credentials.Peer:
    """Prove the local identity and return the proven identity of the peer.

    :param is_dialer: whether the local process opened the connection.
    :raises HandshakeRefused: if the peer does not prove its identity.
    """
    nonce = credentials.create_nonce()
    await _send(writer, _create_hello(local_credentials.peer, nonce))
    hello = await _receive(reader, messages.structs.Hello)
    nonces = nonce + hello.nonce if is_dialer else hello.nonce + nonce
    local_direction, peer_direction = (
        (_DIALER, _ACCEPTOR) if is_dialer else (_ACCEPTOR, _DIALER)
    )
    proof = messages.structs.Proof(
        signature=local_credentials.sign(local_direction, nonces),
    )
    await _send(writer, proof)
    peer_proof = await _receive(reader, messages.structs.Proof)
    peer = credentials.Peer(
        identifiers.MemberId(hello.member),
        identifiers.HostId(hello.host),
        hello.role,
    )
    if len(hello.nonce) != credentials.NONCE_BYTES:
        raise HandshakeRefused(
            f'nonce of host {peer.host[:64]!r}: expected '
            f'{credentials.NONCE_BYTES} bytes, got {len(hello.nonce)}',
        )
    if not credentials.verify_proof(
        directory,
        peer,
        peer_direction,
        nonces,
        peer_proof.signature,
    ):
        raise HandshakeRefused(
            f'host {peer.host[:64]!r}: expected a signature '
            'of an approved member, got an invalid one',
        )
    return peer


def _create_hello(peer: credentials.Peer, nonce: bytes) -> messages.Struct:
    return messages.structs.Hello(
        nonce=nonce,
        member=peer.member,
        host=peer.host,
        role=peer.role,
    )


async def _send(
    writer: asyncio.StreamWriter,
    struct: messages.Struct,
) -> None:
    writer.write(frames.pack_frame(messages.encode(struct)))
    await writer.drain()


async def _receive(
    reader: asyncio.StreamReader,
    struct_type: type,
) -> messages.Struct:
    try:
        payload = await frames.read_frame(reader, _MAX_HANDSHAKE_FRAME_BYTES)
        struct = messages.decode(struct_type, payload)
    except (frames.FrameTooLarge, messages.DecodeError) as error:
        raise HandshakeRefused(str(error)) from error
    if not messages.has_texts(struct):
        raise HandshakeRefused(
            f'struct {struct_type.__name__}: expected UTF-8 in each text field',
        )
    if any(getattr(struct, name) is None for name in vars(struct)):
        raise HandshakeRefused(
            f'struct {struct_type.__name__}: expected a value in each field',
        )
    return struct
