"""Client side of the fleet's internal protocol: pipelined calls over TCP.

Many calls share one connection. Answers may arrive in any order and are
matched by id. When the connection is lost, each pending call returns a typed
failure that tells whether the call may have run at the peer.
"""

import asyncio
import itertools
import typing

import logbook

from returns import result

from wagtailspread.core import failures, identifiers
from wagtailspread.wire import credentials, frames, handshakes, messages

#: Time for which a call waits for a connection by default, in seconds.
CONNECT_SECONDS = 1.0
#: Longest time of an attempt, in seconds: two round trips over a link with a
#: queue of half a second in each direction.
MAX_CONNECT_SECONDS = 2.4
#: Longest time until TCP is connected, in seconds. A lost first packet is sent
#: again after one second, and a new attempt is then better.
MAX_TCP_CONNECT_SECONDS = 0.9

_log = logbook.Logger('links')

CallResult = result.Result[typing.Any, failures.Failure]


class Link:
    """A connection for calls to one peer. Use :func:`create_link`.

    The first call opens the connection, and the next call after a loss reopens
    it.
    """

    def __init__(
        self,
        address: identifiers.Address,
        local_credentials: credentials.Credentials,
        directory: credentials.MemberDirectory,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        """Store the settings of the connection, which is not opened yet."""
        self._connect_seconds = connect_seconds
        self.address = address
        self.peer: credentials.Peer | None = None
        self._local_credentials = local_credentials
        self._directory = directory
        self._call_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[messages.Struct]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._opening: asyncio.Task[None] | None = None

    async def call(
        self,
        method: int,
        request: messages.Struct,
        answer_type: typing.Any,
        timeout: float,
        trace: str = '',
    ) -> CallResult:
        """Send a request and return the answer or a typed failure.

        :param timeout: seconds to wait for the answer; the peer gets it too.
        :raises messages.EncodeError: if a field of the request does not fit.
        :returns: ``Unreachable`` if nothing was sent, ``CallTimeout`` if the
            call may have run, ``CallRejected`` if the peer refused it.
        """
        if not await self._connect():
            return result.Failure(failures.Unreachable(self.address))
        payload = messages.encode(request)
        call_id = next(self._call_ids)
        answer = asyncio.get_running_loop().create_future()
        self._pending[call_id] = answer
        envelope = messages.structs.Envelope(
            id=call_id,
            method=method,
            payload=payload,
            deadline_ms=int(timeout * 1000),
            trace=trace,
            failure='',
        )
        try:
            self._write(envelope)
            # asyncio.wait_for of Python 3.11 loses a cancellation that arrives
            # together with the answer.
            async with asyncio.timeout(timeout):
                reply = await answer
        except (TimeoutError, ConnectionError):
            return result.Failure(failures.CallTimeout(self.address, timeout))
        finally:
            self._pending.pop(call_id, None)
        return self._unwrap(reply, answer_type)

    async def close(self) -> None:
        """Close the connection and fail the pending calls."""
        tasks = [
            task
            for task in (self._opening, self._reader_task)
            if task is not None
        ]
        for task in tasks:
            task.cancel()
        # Suppressing CancelledError would also swallow a cancellation of the
        # caller; ``gather`` raises it.
        await asyncio.gather(*tasks, return_exceptions=True)
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
        """Wait for a connection; tell whether there is one.

        The wait is short, so that a caller finds a failed peer soon. The
        attempt goes on without it, since a link that delays every packet
        needs longer, and a later call uses the connection.
        """
        if self._writer is not None:
            return True
        if self._opening is None or self._opening.done():
            self._opening = asyncio.create_task(self._try_opening())
        await asyncio.wait((self._opening,), timeout=self._connect_seconds)
        return self._writer is not None

    async def _try_opening(self) -> None:
        longest = max(self._connect_seconds, MAX_CONNECT_SECONDS)
        try:
            async with asyncio.timeout(longest):
                await self._open()
        except (
            OSError,
            asyncio.IncompleteReadError,
            handshakes.HandshakeRefused,
        ) as error:
            _log.debug(
                'not connected',
                extra={'address': self.address, 'reason': repr(error)},
            )
        except (ValueError, OverflowError) as error:
            # A peer reported this address; it names no process.
            _log.warning(
                'address invalid',
                extra={'address': self.address, 'reason': str(error)},
            )

    async def _open(self) -> None:
        ip, _, port = self.address.rpartition(':')
        async with asyncio.timeout(
            max(self._connect_seconds, MAX_TCP_CONNECT_SECONDS)
        ):
            reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            self.peer = await handshakes.authenticate(
                reader,
                writer,
                self._local_credentials,
                self._directory,
                is_dialer=True,
            )
        except BaseException:
            writer.close()
            raise
        self._writer = writer
        self._reader_task = asyncio.create_task(
            self._read_answers(reader, writer)
        )

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

    :param connect_seconds: time for which a call waits for a connection, in
        seconds.
    """

    def __init__(
        self,
        local_credentials: credentials.Credentials,
        directory: credentials.MemberDirectory,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        """Create an empty pool."""
        self._connect_seconds = connect_seconds
        self._local_credentials = local_credentials
        self._directory = directory
        self._links: dict[identifiers.Address, Link] = {}

    def find(self, address: identifiers.Address) -> Link:
        """Return the link to this address; create it if there is none."""
        link = self._links.get(address)
        if link is None:
            link = Link(
                address,
                self._local_credentials,
                self._directory,
                self._connect_seconds,
            )
            self._links[address] = link
        return link

    async def remove(self, address: identifiers.Address) -> None:
        """Close and remove the link to this address, if there is one."""
        link = self._links.pop(address, None)
        if link is not None:
            await link.close()

    async def close(self) -> None:
        """Close all links."""
        for address in list(self._links):
            await self.remove(address)


def create_link(
    address: identifiers.Address,
    local_credentials: credentials.Credentials,
    directory: credentials.MemberDirectory,
    connect_seconds: float = CONNECT_SECONDS,
) -> Link:
    """Return a link to the peer at ``address``; no connection is opened."""
    return Link(address, local_credentials, directory, connect_seconds)
