"""Transmits the agent's messages as ``GOSSIP`` calls.

Each message is one call. The answer is empty and only confirms the delivery,
since acknowledgements are separate messages.
"""

import asyncio
import contextlib
import dataclasses
import sys
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.membership import agents, dissemination, tables
from wagtailspread.wire import links, listeners, messages

#: Interval between two ticks of the agent, in seconds.
TICK_SECONDS = 0.05
#: Time after which an undelivered message is dropped, in seconds.
CALL_TIMEOUT_SECONDS = 1.0
#: Maximum number of open connections; a large fleet has more hosts than that.
MAX_LINKS = 128
#: Maximum length of the texts of an update, in bytes.
MAX_TEXT_BYTES = 255
#: Largest accepted incarnation. A host refutes a report on itself with a higher
#: one, which must fit its field too.
MAX_INCARNATION = 2**62

_log = logbook.Logger('membership')


class Driver:
    """Ticks an agent and exchanges its messages. Use :func:`create_driver`.

    :param pool: links used only by the driver, since it closes links after a
        failed call and those least recently used.
    """

    def __init__(
        self,
        agent: agents.Agent,
        pool: links.LinkPool,
        clock: clocks.Clock,
    ) -> None:
        """Store the dependencies; no task is started."""
        self.agent = agent
        self._pool = pool
        self._clock = clock
        self._recent_links: dict[identifiers.Address, None] = {}
        self._tick_task: asyncio.Task[None] | None = None
        self._send_tasks: set[asyncio.Task[typing.Any]] = set()

    def attach(self, listener: listeners.Listener) -> None:
        """Register the ``GOSSIP`` method at a listener."""
        listener.add(
            messages.methods.GOSSIP,
            messages.structs.Gossip,
            self._receive,
        )

    def start(self) -> None:
        """Start to tick the agent in the running event loop."""
        self._tick_task = asyncio.create_task(self._run())

    async def leave(self) -> None:
        """Announce the shutdown and wait until the messages are sent."""
        self._send_all(self.agent.leave(self._clock.now()))
        await asyncio.gather(*self._send_tasks, return_exceptions=True)

    async def close(self) -> None:
        """Stop ticking and cancel messages that have not been sent."""
        if self._tick_task is not None:
            self._tick_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._tick_task
        for task in list(self._send_tasks):
            task.cancel()
        await asyncio.gather(*self._send_tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            try:
                self._send_all(self.agent.tick(self._clock.now()))
            except Exception:
                _log.exception('tick failed')
            await asyncio.sleep(TICK_SECONDS)

    async def _receive(
        self,
        call: listeners.Call,
        request: messages.Struct,
    ) -> listeners.HandlerResult:
        if request.sender != call.peer.host:
            return result.Failure(ForeignSender(request.sender))
        try:
            message = decode_message(request)
        except (ValueError, TypeError) as error:
            _log.warning(
                'gossip malformed',
                extra={'peer': call.peer.host, 'reason': str(error)},
            )
            return result.Failure(UnreadableGossip(request.sender))
        self._send_all(self.agent.receive(message, self._clock.now()))
        return result.Success(messages.structs.Empty())

    def _send_all(
        self,
        batch: typing.Iterable[dissemination.OutgoingMessage],
    ) -> None:
        for outgoing in batch:
            task = asyncio.create_task(self._send(outgoing))
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)

    async def _send(self, outgoing: dissemination.OutgoingMessage) -> None:
        await self._limit_links(outgoing.address)
        outcome = await self._pool.find(outgoing.address).call(
            messages.methods.GOSSIP,
            encode_message(outgoing.message),
            messages.structs.Empty,
            CALL_TIMEOUT_SECONDS,
        )
        if isinstance(outcome, result.Failure):
            # The connection may be dead while a new one would work.
            self._recent_links.pop(outgoing.address, None)
            await self._pool.remove(outgoing.address)

    async def _limit_links(self, address: identifiers.Address) -> None:
        self._recent_links.pop(address, None)
        self._recent_links[address] = None
        if len(self._recent_links) > MAX_LINKS:
            oldest = next(iter(self._recent_links))
            self._recent_links.pop(oldest)
            await self._pool.remove(oldest)


@dataclasses.dataclass(frozen=True, slots=True)
class ForeignSender(failures.Failure):
    """A message names another sender than the authenticated peer."""

    sender: identifiers.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableGossip(failures.Failure):
    """A message has an unknown kind or state, or lacks a field."""

    sender: identifiers.HostId


def encode_message(message: dissemination.Message) -> messages.Struct:
    """Return the thrift struct of a message."""
    return messages.structs.Gossip(
        kind=message.kind.value,
        sequence=message.sequence,
        sender=message.sender,
        subject=message.subject,
        updates=[_encode_row(row) for row in message.updates],
        configuration_version=message.configuration_version,
    )


def decode_message(struct: messages.Struct) -> dissemination.Message:
    """Return the message of a thrift struct.

    A malformed update is logged and left out; the others are valid without it.

    :raises ValueError: if the kind is unknown, or if another field is missing
        or out of range.
    """
    numbers = (struct.sequence, struct.configuration_version)
    if not all(
        messages.is_integer(one, 0, messages.MAX_I64) for one in numbers
    ):
        raise ValueError('sequence and version: expected integers from 0')
    if not messages.is_text(struct.sender, 1, MAX_TEXT_BYTES):
        raise ValueError('sender: expected a host id')
    if not messages.is_text(struct.subject, 0, MAX_TEXT_BYTES):
        raise ValueError('subject: expected a host id or an empty text')
    rows = [_decode_row(update) for update in struct.updates or ()]
    return dissemination.Message(
        dissemination.Kind(struct.kind),
        struct.sequence,
        identifiers.HostId(struct.sender),
        identifiers.HostId(struct.subject),
        tuple(row for row in rows if row is not None),
        identifiers.ConfigurationVersion(struct.configuration_version),
    )


def create_driver(
    agent: agents.Agent,
    pool: links.LinkPool,
    clock: clocks.Clock,
) -> Driver:
    """Return a driver that is not started."""
    return Driver(agent, pool, clock)


def _encode_row(row: tables.HostRow) -> messages.Struct:
    return messages.structs.GossipUpdate(
        host=row.host,
        address=row.address,
        region=row.region,
        domain=row.domain,
        incarnation=row.incarnation,
        state=row.state.value,
        member=row.member,
    )


def _decode_row(struct: messages.Struct) -> tables.HostRow | None:
    """Return the row of an update, ``None`` if it is malformed."""
    fault = _find_fault(struct)
    if fault:
        _log.warning(
            'gossip update skipped',
            extra={'peer': str(struct.host)[:MAX_TEXT_BYTES], 'field': fault},
        )
        return None
    # There are few regions, domains and members, so their names are interned.
    return tables.HostRow(
        identifiers.HostId(struct.host),
        identifiers.Address(struct.address),
        identifiers.RegionName(sys.intern(struct.region)),
        identifiers.FailureDomain(sys.intern(struct.domain)),
        identifiers.Incarnation(struct.incarnation),
        identifiers.MemberId(sys.intern(struct.member)),
        tables.HostState(struct.state),
    )


def _find_fault(struct: messages.Struct) -> str:
    """Return the first malformed field of an update, or an empty string."""
    for name in ('host', 'address', 'member'):
        if not messages.is_text(getattr(struct, name), 1, MAX_TEXT_BYTES):
            return name
    for name in ('region', 'domain'):
        if not messages.is_text(getattr(struct, name), 0, MAX_TEXT_BYTES):
            return name
    if not messages.is_integer(struct.incarnation, 0, MAX_INCARNATION):
        return 'incarnation'
    states = [state.value for state in tables.HostState]
    return '' if struct.state in states else 'state'
