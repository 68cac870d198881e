"""The replica process: its settings, its handlers and its life."""

import asyncio
import dataclasses
import pathlib
import signal
import typing

import logbook

from cryptography.hazmat.primitives.asymmetric import ed25519
from returns import result

from wagtailspread.consensus import files, messages, replicas, states
from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.replica import (
    directories,
    drivers,
    handlers,
    introductions,
    machines,
    peers,
)
from wagtailspread.wire import credentials, links, listeners
from wagtailspread.wire import messages as wire

ROLE = 'replica'
_log = logbook.Logger('replica')
MachineFactory = typing.Callable[[], machines.StateMachine]
#: Adds handlers of an embedding process to the listener of a replica.
Extension = typing.Callable[
    [listeners.Listener, drivers.Driver, links.LinkPool],
    None,
]
#: Longest wait for another replica to take over at a graceful stop, seconds.
HAND_OVER_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class NotAReplica(failures.Failure):
    """A process of another role sent a message of the protocol."""

    host: identifiers.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of one replica process.

    :param peers: addresses of all replicas; the own one may be among them.
    :param founders: addresses of the replicas that form the first membership,
        own included; empty for a replica that is only admitted.
    :param first_base: path of the base file that the first membership starts
        with; needed by the founders.
    :param admits_unknown: whether replicas at other addresses than those of
        the peers may be admitted.
    :param trusted_keys: raw public keys of members, in force until the
        configuration is known and beside it.
    """

    member: identifiers.MemberId
    host: identifiers.HostId
    address: identifiers.Address
    data_folder: pathlib.Path
    peers: tuple[identifiers.Address, ...]
    region: identifiers.RegionName
    domain: identifiers.FailureDomain
    key: ed25519.Ed25519PrivateKey
    trusted_keys: dict[identifiers.MemberId, bytes]
    founders: tuple[identifiers.Address, ...] = ()
    first_base: pathlib.Path | None = None
    policy: states.Policy = dataclasses.field(default_factory=states.Policy)
    admits_unknown: bool = False


class ReplicaServer:
    """One life of a replica, from its data folder on.

    Use :func:`run_replica`, or :func:`create_server` to embed it.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        machine: machines.StateMachine,
        clock: clocks.Clock,
        extend: Extension | None = None,
    ) -> None:
        """Keep the settings; nothing is opened yet."""
        self._extend = extend
        self.settings = settings
        self.machine = machine
        self._clock = clock
        self._folder = settings.data_folder / ROLE
        self._store = files.create_storage(self._folder)
        self._directory = directories.create_directory(
            settings.member,
            settings.trusted_keys,
            machine,
        )
        self._own = credentials.Credentials(
            credentials.Peer(settings.member, settings.host, ROLE),
            settings.key,
        )
        self._pool = links.LinkPool(self._own, self._directory)
        self._sender = peers.PeerSender(settings.address, self._pool)
        self.driver: drivers.Driver | None = None
        self._introductions: introductions.Introductions | None = None
        self._void = asyncio.Event()
        self.is_listening = asyncio.Event()

    async def run(self) -> None:
        """Serve until cancelled.

        :raises drivers.ReplicaStopped: if the storage failed.
        """
        driver = self._load()
        listener = listeners.create_listener(self._own, self._directory)
        handlers.add_handlers(listener, driver, self._clock, self.settings)
        listener.add(
            wire.methods.CONSENSUS,
            wire.structs.ConsensusMessage,
            self._take_batch,
        )
        if self._extend is not None:
            self._extend(listener, driver, self._pool)
        await listener.start(self.settings.address)
        self.is_listening.set()
        jobs = [
            asyncio.create_task(driver.run()),
            asyncio.create_task(self._introduce()),
            asyncio.create_task(self._void.wait()),
        ]
        try:
            await _wait_for_first(jobs)
        finally:
            await _cancel(jobs)
            await self._close(listener)

    async def hand_over(self) -> None:
        """Let another replica lead before this one stops."""
        driver = self.driver
        if driver is None or not driver.replica.is_leader:
            return
        driver.collect(driver.replica.transfer(self._clock.now()))
        until = self._clock.now() + HAND_OVER_SECONDS
        while driver.replica.is_leader and self._clock.now() < until:
            await asyncio.sleep(drivers.TICK_SECONDS)

    @property
    def is_expelled(self) -> bool:
        """Whether the identity of the data folder must not be used again."""
        return self._void.is_set()

    def discard(self) -> None:
        """Give the data folder up; the next life has a new identity."""
        files.discard(self._folder)

    async def _close(self, listener: listeners.Listener) -> None:
        self._sender.close()
        await listener.close()
        await self._pool.close()
        self._store.close()

    def _load(self) -> drivers.Driver:
        loaded = self._store.load()
        if not isinstance(loaded, result.Success):
            raise drivers.ReplicaStopped(loaded.failure())
        stored = loaded.unwrap()
        replica = replicas.create_replica(
            stored.identity,
            stored.hard_state,
            stored.log,
            self.settings.policy,
            commit=stored.commit,
        )
        driver = drivers.create_driver(
            replica,
            self._store,
            self.machine,
            self._clock,
            self._send,
        )
        own = messages.ReplicaNode(stored.identity, self.settings.address)
        self._introductions = introductions.Introductions(
            own,
            self.settings.peers,
            self.settings.founders,
        )
        self.driver = driver
        return driver

    def _send(self, outgoing: tuple[messages.Message, ...]) -> None:
        driver = self.driver
        if driver is not None:
            self._sender.send(outgoing, driver.replica.state.membership)

    async def _take_batch(
        self,
        call: listeners.Call,
        request: wire.Struct,
    ) -> listeners.HandlerResult:
        if call.peer.role != ROLE:
            return result.Failure(NotAReplica(call.peer.host))
        address, batch = peers.unpack_batch(request.payload)
        for message in batch:
            self._take(address, message)
        return result.Success(wire.structs.Empty())

    def _take(
        self,
        address: identifiers.Address,
        message: peers.AnyMessage,
    ) -> None:
        driver = self.driver
        if driver is None:
            return
        if isinstance(message, messages.Introduction):
            self._hear(driver, message)
        else:
            self._sender.note(message.sender, address)
            driver.receive(message)

    def _hear(
        self,
        driver: drivers.Driver,
        introduction: messages.Introduction,
    ) -> None:
        known = self._introductions
        is_listed = introduction.address in self.settings.peers
        if known is None or not (is_listed or self.settings.admits_unknown):
            return
        now = self._clock.now()
        is_kept = known.hear(introduction, now)
        if not is_kept and not _is_formed(driver):
            self._void.set()
            return
        if introduction.to != introductions.ANYONE:
            return
        node = messages.ReplicaNode(introduction.sender, introduction.address)
        driver.replica.introduce(node, now)
        self._relay(driver, introduction)
        answer = known.create(
            introduction.sender,
            is_formed=_is_formed(driver),
        )
        self._sender.send_to(introduction.address, answer)

    def _relay(
        self,
        driver: drivers.Driver,
        introduction: messages.Introduction,
    ) -> None:
        """Pass an introduction on to the leader.

        A replica that is new knows only a few addresses, and the leader need
        not be at any of them.
        """
        leader = driver.replica.find_leader_address()
        if self.settings.admits_unknown and leader is not None:
            self._sender.send_to(leader, introduction)

    async def _introduce(self) -> None:
        while True:
            self._introduce_once()
            await asyncio.sleep(drivers.TICK_SECONDS)

    def _introduce_once(self) -> None:
        driver = self.driver
        known = self._introductions
        if driver is None or known is None:
            return
        state = driver.replica.state
        if state.is_expelled:
            self._void.set()
        now = self._clock.now()
        if not driver.replica.needs_introduction(now):
            return
        is_formed = _is_formed(driver)
        if not is_formed:
            self._form(driver, known, now)
        for address in self._list_introduced_to(driver, known.tick(now)):
            introduction = known.create(
                introductions.ANYONE,
                is_formed=is_formed,
            )
            self._sender.send_to(address, introduction)

    def _list_introduced_to(
        self,
        driver: drivers.Driver,
        peers: list[identifiers.Address],
    ) -> list[identifiers.Address]:
        """Return the peers, and with them the members that are known."""
        if not peers or not self.settings.admits_unknown:
            return peers
        nodes = driver.replica.state.membership.nodes()
        known = {*peers, *(node.address for node in nodes)}
        known.discard(self.settings.address)
        return sorted(known)

    def _form(
        self,
        driver: drivers.Driver,
        known: introductions.Introductions,
        now: float,
    ) -> None:
        membership = known.find_membership(now)
        if membership is None:
            return
        commands = self._list_first_commands()
        first = replicas.create_first_log(membership, commands)
        driver.collect(driver.replica.form(first, now))
        _log.info('formed the first membership')

    def _list_first_commands(self) -> tuple[bytes, ...]:
        path = self.settings.first_base
        if path is None:
            return ()
        first = wire.structs.SubmittedFile(
            name='base',
            text=path.read_text('utf-8'),
        )
        command = machines.encode_command(
            machines.CommandKind.START,
            first,
            self._clock.wall(),
        )
        return (command,)


def create_server(
    settings: ReplicaSettings,
    machine: machines.StateMachine,
    clock: clocks.Clock | None = None,
    extend: Extension | None = None,
) -> ReplicaServer:
    """Return a server that is not running."""
    known_clock = clock or clocks.SystemClock()
    return ReplicaServer(settings, machine, known_clock, extend)


async def run_replica(
    settings: ReplicaSettings,
    create_machine: MachineFactory = machines.create_default_machine,
) -> None:
    """Run a replica until SIGTERM or SIGINT.

    :raises drivers.ReplicaStopped: if the replica cannot go on; the process
        must end with a non-zero status.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    while not stopping.is_set():
        server = create_server(settings, create_machine())
        await _run_until(server, stopping)
        if server.is_expelled:
            _log.warning('the identity is void; starting with a new one')
            server.discard()


async def _run_until(server: ReplicaServer, stopping: asyncio.Event) -> None:
    running = asyncio.create_task(server.run())
    stop = asyncio.create_task(stopping.wait())
    try:
        await asyncio.wait(
            (running, stop),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if stopping.is_set() and not running.done():
            await server.hand_over()
            running.cancel()
        await _finish(running)
    finally:
        await _cancel([running, stop])


async def _finish(running: asyncio.Task[None]) -> None:
    (ended,) = await asyncio.gather(running, return_exceptions=True)
    if isinstance(ended, Exception):
        _log.critical('the replica stops: {}', ended)
        raise ended


async def _wait_for_first(jobs: list[asyncio.Task[typing.Any]]) -> None:
    done, _ = await asyncio.wait(
        jobs,
        return_when=asyncio.FIRST_COMPLETED,
    )
    for job in done:
        job.result()


async def _cancel(jobs: list[asyncio.Task[typing.Any]]) -> None:
    for job in jobs:
        job.cancel()
    await asyncio.gather(*jobs, return_exceptions=True)


def _is_formed(driver: drivers.Driver) -> bool:
    return bool(driver.replica.state.membership.voters)
