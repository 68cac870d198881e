"""Mutual authentication at the start of a connection."""

import asyncio

from wagtailspread.core import identifiers
from wagtailspread.wire import credentials, frames, messages

#: Frames before authentication are small; larger ones are refused unread.
_MAX_HELLO_BYTES = 1024
_DIALER = 'dialer'
_ACCEPTOR = 'acceptor'


class HandshakeRefused(Exception):
    """The peer did not prove that it belongs to an approved member."""


async def authenticate(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own: credentials.Credentials,
    directory: credentials.MemberDirectory,
    *,
    is_dialer: bool,
) -> credentials.Peer:
    """Prove the own claim and return the proven claim of the peer.

    :raises HandshakeRefused: if the peer's proof does not hold.
    """
    nonce = credentials.create_nonce()
    await _send(writer, _create_hello(own.peer, nonce))
    hello = await _receive(reader, messages.structs.Hello)
    nonces = nonce + hello.nonce if is_dialer else hello.nonce + nonce
    mine, theirs = (_DIALER, _ACCEPTOR) if is_dialer else (_ACCEPTOR, _DIALER)
    proof = messages.structs.Proof(signature=own.sign(mine, nonces))
    await _send(writer, proof)
    answer = await _receive(reader, messages.structs.Proof)
    peer = credentials.Peer(
        identifiers.MemberId(hello.member),
        identifiers.HostId(hello.host),
        hello.role,
    )
    if len(hello.nonce) != credentials.NONCE_BYTES:
        raise HandshakeRefused(peer.host)
    if not credentials.verify_proof(
        directory,
        peer,
        theirs,
        nonces,
        answer.signature,
    ):
        raise HandshakeRefused(peer.host)
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
        payload = await frames.read_frame(reader, _MAX_HELLO_BYTES)
        struct = messages.decode(struct_type, payload)
    except (frames.FrameTooLarge, messages.DecodeError) as error:
        raise HandshakeRefused(type(error).__name__) from error
    if any(getattr(struct, name) is None for name in vars(struct)):
        raise HandshakeRefused('missing field')
    return struct
