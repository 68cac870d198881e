"""Server side of the fleet's internal protocol."""

import asyncio
import dataclasses
import typing

import logbook

from returns import result

from wagtailspread.core import failures, identifiers
from wagtailspread.wire import budgets, credentials, frames, handshakes
from wagtailspread.wire import messages

#: Maximum time of the handshake with a peer, in seconds.
HANDSHAKE_SECONDS = 2.0
#: Maximum number of calls of one connection that are handled concurrently.
MAX_CONCURRENT_CALLS = 4096
#: Bytes that are read at once from a peer that has not proved its identity.
#: With the usual 256 KB, 512 such connections would take 130 MB.
HANDSHAKE_READ_BYTES = 2048
#: Maximum number of connections without a proven peer. Beyond it the oldest is
#: closed. At the design size 2,400 hosts connect over some seconds.
MAX_UNPROVEN = 512
#: Frames above this size take part in :data:`MAX_FRAMES_BYTES`.
LARGE_FRAME_BYTES = 65_536
#: Maximum size of the large frames of all connections that are received at the
#: same time. Others wait unread. It is twice that of the largest frame.
MAX_FRAMES_BYTES = 2 * frames.MAX_FRAME_BYTES
#: Maximum time from the length of a frame to its end, in seconds. A link of
#: 1.6 Mbit/s carries the largest frame in 84 s.
FRAME_SECONDS = 120.0

_log = logbook.Logger('listener')


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Caller, timeout and trace context of one call.

    :param peer: proven identity of the caller.
    :param timeout: seconds that the caller waits for the answer.
    :param trace: trace context of the caller; empty if there is none.
    """

    peer: credentials.Peer
    timeout: float
    trace: str


@dataclasses.dataclass(frozen=True, slots=True)
class MissingHandler(failures.Failure):
    """The process does not serve this method."""

    method: str


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedCall(failures.Failure):
    """The request cannot be decoded."""

    method: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandlerFailed(failures.Failure):
    """The handler raised an exception, or its answer cannot be encoded."""

    method: str


HandlerResult = result.Result[typing.Any, failures.Failure]
Handler = typing.Callable[
    [Call, typing.Any],
    typing.Awaitable[HandlerResult],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A handler and the type of its request."""

    request_type: typing.Any
    handler: Handler


class Listener:
    """Serves calls from authenticated peers.

    :param routes: handlers by method; may be extended before :meth:`start`.
    """

    def __init__(
        self,
        local_credentials: credentials.Credentials,
        directory: credentials.MemberDirectory,
    ) -> None:
        """Create a listener without handlers."""
        self.routes: dict[int, Route] = {}
        self._local_credentials = local_credentials
        self._directory = directory
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        #: Connections without a proven peer, the oldest first.
        self._unproven: dict[asyncio.Task[None], None] = {}
        self._large_frames = budgets.ByteBudget(MAX_FRAMES_BYTES)
        self._is_closed = False

    def add(
        self,
        method: int,
        request_type: typing.Any,
        handler: Handler,
    ) -> None:
        """Serve ``method`` with ``handler``."""
        self.routes[method] = Route(request_type, handler)

    async def start(self, address: identifiers.Address) -> identifiers.Address:
        """Listen on ``address`` and return the address that was bound.

        :param address: port 0 selects a free port.
        """
        ip, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(self._accept, ip, int(port))
        bound = self._server.sockets[0].getsockname()
        return identifiers.Address(f'{bound[0]}:{bound[1]}')

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = asyncio.current_task()
        if connection is None:
            return
        if self._is_closed:
            # The connection was accepted before, and its task starts only now.
            writer.transport.abort()
            return
        self._connections.add(connection)
        self._limit_unproven(connection)
        try:
            await self._serve(reader, writer)
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            writer.transport.abort()
        except (
            frames.FrameTooLarge,
            messages.DecodeError,
            handshakes.HandshakeRefused,
        ) as error:
            _log.info('connection refused', extra={'reason': str(error)})
            writer.transport.abort()
        finally:
            self._forget(connection)
            writer.close()

    def _forget(self, connection: asyncio.Task[None]) -> None:
        self._connections.discard(connection)
        self._unproven.pop(connection, None)

    def _limit_unproven(self, connection: asyncio.Task[None]) -> None:
        """Add a connection without a proven peer; close the oldest beyond."""
        self._unproven[connection] = None
        if len(self._unproven) > MAX_UNPROVEN:
            oldest = next(iter(self._unproven))
            self._unproven.pop(oldest)
            _log.info('connection refused', extra={'reason': 'too many'})
            oldest.cancel()

    async def _authenticate(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> credentials.Peer:
        """Return the proven peer; little of what it sends is read before."""
        # The event loop documents no other way to read less at once.
        transport = typing.cast(typing.Any, writer.transport)
        usual = transport.max_size
        transport.max_size = HANDSHAKE_READ_BYTES
        # ``wait_for`` loses a cancellation that arrives as the handshake ends,
        # and the connection would then outlive ``close``.
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            peer = await handshakes.authenticate(
                reader,
                writer,
                self._local_credentials,
                self._directory,
                is_dialer=False,
            )
        transport.max_size = usual
        return peer

    async def _read_frame(self, reader: asyncio.StreamReader) -> bytes:
        """Return the payload of the next frame, which may have to wait."""
        length = await frames.read_length(reader)
        if length <= LARGE_FRAME_BYTES:
            async with asyncio.timeout(FRAME_SECONDS):
                return await frames.read_payload(reader, length)
        async with self._large_frames.hold(length):
            async with asyncio.timeout(FRAME_SECONDS):
                return await frames.read_payload(reader, length)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        peer = await self._authenticate(reader, writer)
        connection = asyncio.current_task()
        if connection is not None:
            self._unproven.pop(connection, None)
        limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        calls: set[asyncio.Task[None]] = set()
        try:
            while True:
                payload = await self._read_frame(reader)
                envelope = messages.decode(messages.structs.Envelope, payload)
                await limit.acquire()
                task = asyncio.create_task(
                    self._answer(peer, envelope, writer),
                )
                calls.add(task)
                task.add_done_callback(calls.discard)
                task.add_done_callback(lambda _: limit.release())
        finally:
            for task in list(calls):
                task.cancel()

    async def _answer(
        self,
        peer: credentials.Peer,
        envelope: messages.Struct,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            outcome = await self._handle(peer, envelope)
            reply = _create_reply(envelope, outcome)
        except Exception:
            # The caller gets an answer at once instead of a timeout, and its
            # other calls on the connection continue.
            method = messages.method_name(envelope.method)
            _log.exception(
                'call failed', extra={'method': method, 'peer': peer.host}
            )
            failed = result.Failure(HandlerFailed(method))
            reply = _create_reply(envelope, failed)
        if not writer.is_closing():
            writer.write(frames.pack_frame(reply))

    async def _handle(
        self,
        peer: credentials.Peer,
        envelope: messages.Struct,
    ) -> HandlerResult:
        route = self.routes.get(envelope.method)
        if route is None:
            name = messages.method_name(envelope.method)
            return result.Failure(MissingHandler(name))
        try:
            request = messages.decode(route.request_type, envelope.payload)
            messages.check_texts(request)
        except messages.DecodeError as error:
            name = messages.method_name(envelope.method)
            _log.warning(
                'call malformed',
                extra={
                    'method': name,
                    'peer': peer.host,
                    'reason': str(error),
                },
            )
            return result.Failure(MalformedCall(name))
        call = Call(peer, envelope.deadline_ms / 1000, envelope.trace)
        return await route.handler(call, request)


def _create_reply(
    envelope: messages.Struct,
    outcome: HandlerResult,
) -> bytes:
    """Return the encoded answer to a call.

    :raises messages.EncodeError: if the answer of the handler does not fit.
    """
    payload = b''
    failure = ''
    detail = ''
    if isinstance(outcome, result.Success):
        payload = messages.encode(outcome.unwrap())
    else:
        failure = type(outcome.failure()).__name__
        detail = outcome.failure().hint()
    return messages.encode(
        messages.structs.Envelope(
            id=envelope.id,
            method=envelope.method,
            payload=payload,
            deadline_ms=0,
            trace='',
            failure=failure,
            detail=detail,
        ),
    )


def create_listener(
    local_credentials: credentials.Credentials,
    directory: credentials.MemberDirectory,
) -> Listener:
    """Return a listener without handlers that is not started."""
    return Listener(local_credentials, directory)
