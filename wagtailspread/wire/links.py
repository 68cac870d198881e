"""Client side of the fleet's own protocol: pipelined calls over TCP.

Many calls share one connection; answers may come in any order and are matched
by id. A lost connection fails its open calls with a typed failure that tells
whether the call may have run at the peer.
"""

import asyncio
import itertools
import typing

from returns import result

from wagtailspread.core import failures, identifiers
from wagtailspread.wire import credentials, frames, handshakes, messages

#: Longest time to open and authenticate a connection, in seconds.
CONNECT_SECONDS = 1.0

CallResult = result.Result[typing.Any, failures.Failure]


class Link:
    """Calls to one peer. Use :func:`create_link`.

    The connection is opened by the first call and again after a loss.
    """

    def __init__(
        self,
        address: identifiers.Address,
        own: credentials.Credentials,
        directory: credentials.MemberDirectory,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        """Keep what is needed to connect; nothing is opened yet."""
        self._connect_seconds = connect_seconds
        self._failures = 0
        self.address = address
        self.peer: credentials.Peer | None = None
        self._own = own
        self._directory = directory
        self._ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[messages.Struct]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._connecting = asyncio.Lock()

    async def call(
        self,
        method: int,
        request: messages.Struct,
        answer_type: typing.Any,
        timeout: float,
        trace: str = '',
    ) -> CallResult:
        """Send a request and return the answer or a typed failure.

        :param timeout: seconds to wait; it also travels with the call.
        :returns: ``Unreachable`` if nothing was sent, ``CallTimeout`` if the
            call may have run, ``CallRejected`` if the peer refused it.
        """
        if not await self._connect():
            return result.Failure(failures.Unreachable(self.address))
        call_id = next(self._ids)
        answer = asyncio.get_running_loop().create_future()
        self._pending[call_id] = answer
        envelope = messages.structs.Envelope(
            id=call_id,
            method=method,
            payload=messages.encode(request),
            deadline_ms=int(timeout * 1000),
            trace=trace,
            failure='',
        )
        try:
            self._write(envelope)
            # asyncio.wait_for of Python 3.11 loses a cancellation that comes
            # together with the answer.
            async with asyncio.timeout(timeout):
                reply = await answer
        except (TimeoutError, ConnectionError):
            return result.Failure(failures.CallTimeout(self.address, timeout))
        finally:
            self._pending.pop(call_id, None)
        return self._unwrap(reply, answer_type)

    async def close(self) -> None:
        """Close the connection and fail the open calls."""
        if self._reading is not None:
            self._reading.cancel()
            # Unlike a suppressed CancelledError this lets a cancellation of
            # the caller through.
            await asyncio.gather(self._reading, return_exceptions=True)
        self._disconnect()

    def _unwrap(self, reply: typing.Any, answer_type: typing.Any) -> CallResult:
        if reply.failure:
            return result.Failure(
                failures.CallRejected(
                    self.address,
                    reply.failure,
                    reply.detail or '',
                ),
            )
        try:
            return result.Success(messages.decode(answer_type, reply.payload))
        except messages.DecodeError:
            return result.Failure(
                failures.CallRejected(self.address, 'DecodeError'),
            )

    async def _connect(self) -> bool:
        if self._writer is not None:
            return True
        failures_before = self._failures
        async with self._connecting:
            if self._writer is not None:
                return True
            if self._failures != failures_before:
                # The attempt that this call waited for has failed. Trying
                # again would hold up the calls behind it one by one.
                return False
            try:
                async with asyncio.timeout(self._connect_seconds):
                    await self._open()
            except (
                OSError,
                asyncio.IncompleteReadError,
                handshakes.HandshakeRefused,
            ):
                self._failures += 1
                return False
            return True

    async def _open(self) -> None:
        ip, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            self.peer = await handshakes.authenticate(
                reader,
                writer,
                self._own,
                self._directory,
                is_dialer=True,
            )
        except BaseException:
            writer.close()
            raise
        self._writer = writer
        self._reading = asyncio.create_task(self._read_answers(reader, writer))

    async def _read_answers(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while True:
                payload = await frames.read_frame(reader)
                self._deliver(
                    messages.decode(messages.structs.Envelope, payload),
                )
        except (
            OSError,
            asyncio.IncompleteReadError,
            frames.FrameTooLarge,
            messages.DecodeError,
        ):
            if self._writer is writer:
                self._disconnect()

    def _deliver(self, reply: messages.Struct) -> None:
        answer = self._pending.get(reply.id)
        if answer is not None and not answer.done():
            answer.set_result(reply)

    def _write(self, envelope: messages.Struct) -> None:
        if self._writer is None:
            raise ConnectionResetError
        self._writer.write(frames.pack_frame(messages.encode(envelope)))

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for answer in self._pending.values():
            if not answer.done():
                answer.set_exception(ConnectionResetError())


class LinkPool:
    """One link for each address.

    :param connect_seconds: longest time to open and authenticate one.
    """

    def __init__(
        self,
        own: credentials.Credentials,
        directory: credentials.MemberDirectory,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        """Start with no links."""
        self._connect_seconds = connect_seconds
        self._own = own
        self._directory = directory
        self._links: dict[identifiers.Address, Link] = {}

    def find(self, address: identifiers.Address) -> Link:
        """Return the link to this address; it opens on first use."""
        link = self._links.get(address)
        if link is None:
            link = create_link(
                address,
                self._own,
                self._directory,
                self._connect_seconds,
            )
            self._links[address] = link
        return link

    async def remove(self, address: identifiers.Address) -> None:
        """Close and drop the link to this address."""
        link = self._links.pop(address, None)
        if link is not None:
            await link.close()

    async def close(self) -> None:
        """Close all links."""
        for address in list(self._links):
            await self.remove(address)


def create_link(
    address: identifiers.Address,
    own: credentials.Credentials,
    directory: credentials.MemberDirectory,
    connect_seconds: float = CONNECT_SECONDS,
) -> Link:
    """Return a link to the peer at ``address``; no connection is opened."""
    return Link(address, own, directory, connect_seconds)
