"""Server of a replica process: settings, handlers, start and stop."""

import asyncio
import dataclasses
import pathlib
import signal
import typing

import logbook

from returns import result

from wagtailspread.consensus import files, messages, replicas, states
from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.replica import (
    directories,
    discovery,
    drivers,
    handlers,
    machines,
    peers,
)
from wagtailspread.wire import credentials, links, listeners
from wagtailspread.wire import messages as wire

ROLE = 'replica'
_log = logbook.Logger('replica')
MachineFactory = typing.Callable[[], machines.StateMachine]
#: Registers handlers of an embedding process with the replica's listener.
Extension = typing.Callable[
    [listeners.Listener, drivers.Driver, links.LinkPool],
    None,
]
#: Longest wait for a leadership transfer at a graceful stop, in seconds.
LEADERSHIP_TRANSFER_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class NotAReplica(failures.Failure):
    """A consensus message came from a host that is not a replica."""

    host: identifiers.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of one replica process.

    :param peers: addresses that this replica introduces itself to, such as
        those of all replicas; may include ``address``.
    :param founders: addresses of the replicas that form the initial
        membership, including ``address``; empty if this one can only join.
    :param first_base: path of the base file for the initial configuration;
        without it, a new fleet starts without a configuration.
    :param admits_unknown: whether replicas at addresses outside ``peers`` may
        join.
    :param trusted_keys: keys by member; used until the
        configuration is known, and always for ``member`` itself.
    """

    member: identifiers.MemberId
    host: identifiers.HostId
    address: identifiers.Address
    data_folder: pathlib.Path
    peers: tuple[identifiers.Address, ...]
    region: identifiers.RegionName
    domain: identifiers.FailureDomain
    key: credentials.SigningKey
    trusted_keys: typing.Mapping[
        identifiers.MemberId, credentials.VerificationKey
    ]
    founders: tuple[identifiers.Address, ...] = ()
    first_base: pathlib.Path | None = None
    policy: states.Policy = dataclasses.field(default_factory=states.Policy)
    admits_unknown: bool = False


class ReplicaServer:
    """One run of a replica, from loading its data folder to its stop.

    Use :func:`run_replica`, or :func:`create_server` to embed a replica.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        machine: machines.StateMachine,
        clock: clocks.Clock,
        extend: Extension | None = None,
    ) -> None:
        """Create the components without opening files or sockets."""
        self._extend = extend
        self.settings = settings
        self.machine = machine
        self._clock = clock
        self._folder = settings.data_folder / ROLE
        self._store = files.create_storage(self._folder)
        self._directory = directories.create_directory(
            settings.member, settings.trusted_keys, machine
        )
        self._credentials = credentials.Credentials(
            credentials.Peer(settings.member, settings.host, ROLE),
            settings.key,
        )
        self._pool = links.LinkPool(self._credentials, self._directory)
        self._sender = peers.PeerSender(settings.address, self._pool)
        self.driver: drivers.Driver | None = None
        self._discovery: discovery.PeerDiscovery | None = None
        self._expelled = asyncio.Event()
        self.is_listening = asyncio.Event()

    async def run(self) -> None:
        """Serve until cancelled or until :attr:`is_expelled` is true.

        :raises drivers.ReplicaStopped: if the storage failed.
        """
        driver = self._load()
        listener = listeners.create_listener(self._credentials, self._directory)
        handlers.add_handlers(listener, driver, self._clock, self.settings)
        listener.add(
            wire.methods.CONSENSUS,
            wire.structs.ConsensusMessage,
            self._receive_batch,
        )
        if self._extend is not None:
            self._extend(listener, driver, self._pool)
        await listener.start(self.settings.address)
        self.is_listening.set()
        tasks = [
            asyncio.create_task(driver.run()),
            asyncio.create_task(self._introduce()),
            asyncio.create_task(self._expelled.wait()),
        ]
        try:
            await _wait_for_first(tasks)
        finally:
            await _cancel(tasks)
            await self._close(listener)

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another replica before this one stops."""
        driver = self.driver
        if driver is None or not driver.replica.is_leader:
            return
        driver.add_output(driver.replica.transfer(self._clock.now()))
        deadline = self._clock.now() + LEADERSHIP_TRANSFER_SECONDS
        while driver.replica.is_leader and self._clock.now() < deadline:
            await asyncio.sleep(drivers.TICK_SECONDS)

    @property
    def is_expelled(self) -> bool:
        """Whether the identity in the data folder is no longer valid."""
        return self._expelled.is_set()

    def discard(self) -> None:
        """Move the data folder away; the next run gets a new identity.

        If the disk refuses that, the next run finds the old identity, which is
        discarded again.
        """
        try:
            files.discard(self._folder)
        except OSError as error:
            _log.error('data not discarded', extra={'reason': str(error)})

    def free_space(self) -> None:
        """Delete what a full disk can do without."""
        files.remove_discarded(self._folder)

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
        node = messages.ReplicaNode(stored.identity, self.settings.address)
        self._discovery = discovery.PeerDiscovery(
            node,
            self.settings.peers,
            self.settings.founders,
        )
        self.driver = driver
        return driver

    def _send(self, outgoing: tuple[messages.Message, ...]) -> None:
        driver = self.driver
        if driver is not None:
            self._sender.send(outgoing, driver.replica.state.membership)

    async def _receive_batch(
        self,
        call: listeners.Call,
        request: wire.Struct,
    ) -> listeners.HandlerResult:
        if call.peer.role != ROLE:
            return result.Failure(NotAReplica(call.peer.host))
        try:
            address, batch = peers.unpack_batch(request.payload)
        except wire.DecodeError as error:
            _log.warning(
                'consensus batch malformed',
                extra={'peer': call.peer.host, 'reason': str(error)},
            )
            return result.Failure(listeners.MalformedCall('CONSENSUS'))
        for message in batch:
            self._receive(address, message)
        return result.Success(wire.structs.Empty())

    def _receive(
        self, address: identifiers.Address, message: peers.AnyMessage
    ) -> None:
        driver = self.driver
        if driver is None:
            return
        if isinstance(message, messages.Introduction):
            self._receive_introduction(driver, message)
        else:
            self._sender.record_address(message.sender, address)
            driver.receive(message)

    def _receive_introduction(
        self,
        driver: drivers.Driver,
        introduction: messages.Introduction,
    ) -> None:
        peer_discovery = self._discovery
        is_listed = introduction.address in self.settings.peers
        if peer_discovery is None or not (
            is_listed or self.settings.admits_unknown
        ):
            return
        now = self._clock.now()
        is_pledge_valid = peer_discovery.record_introduction(introduction, now)
        if not is_pledge_valid and not _is_formed(driver):
            self._expelled.set()
            return
        if introduction.to != discovery.NO_IDENTITY:
            return
        node = messages.ReplicaNode(introduction.sender, introduction.address)
        driver.replica.introduce(node, now)
        self._forward_introduction(driver, introduction)
        answer = peer_discovery.create_introduction(
            introduction.sender, is_formed=_is_formed(driver)
        )
        self._sender.send_to(introduction.address, answer)

    def _forward_introduction(
        self,
        driver: drivers.Driver,
        introduction: messages.Introduction,
    ) -> None:
        """Forward an introduction to the leader.

        A new replica knows only a few addresses, which need not include that
        of the leader.
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
        peer_discovery = self._discovery
        if driver is None or peer_discovery is None:
            return
        state = driver.replica.state
        if state.is_expelled:
            self._expelled.set()
        now = self._clock.now()
        if not driver.replica.needs_introduction(now):
            return
        is_formed = _is_formed(driver)
        if not is_formed:
            self._form_membership(driver, peer_discovery, now)
        for address in self._list_introduction_targets(
            driver, peer_discovery.list_due_peers(now)
        ):
            introduction = peer_discovery.create_introduction(
                discovery.NO_IDENTITY, is_formed=is_formed
            )
            self._sender.send_to(address, introduction)

    def _list_introduction_targets(
        self,
        driver: drivers.Driver,
        peers: list[identifiers.Address],
    ) -> list[identifiers.Address]:
        """Return the peers, and all members if unknown replicas may join."""
        if not peers or not self.settings.admits_unknown:
            return peers
        nodes = driver.replica.state.membership.nodes()
        addresses = {*peers, *(node.address for node in nodes)}
        addresses.discard(self.settings.address)
        return sorted(addresses)

    def _form_membership(
        self,
        driver: drivers.Driver,
        peer_discovery: discovery.PeerDiscovery,
        now: float,
    ) -> None:
        membership = peer_discovery.find_membership(now)
        if membership is None:
            return
        commands = self._list_first_commands()
        first = replicas.create_first_log(membership, commands)
        driver.add_output(driver.replica.form(first, now))
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
    server_clock = clock or clocks.SystemClock()
    return ReplicaServer(settings, machine, server_clock, extend)


async def run_replica(
    settings: ReplicaSettings,
    create_machine: MachineFactory = machines.create_default_machine,
) -> None:
    """Run a replica until SIGTERM or SIGINT.

    :raises drivers.ReplicaStopped: if the replica cannot continue; the process
        must exit with a non-zero status.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
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
            await server.transfer_leadership()
            running.cancel()
        await _await_end(running)
    finally:
        await _cancel([running, stop])


async def _await_end(running: asyncio.Task[None]) -> None:
    (outcome,) = await asyncio.gather(running, return_exceptions=True)
    if isinstance(outcome, Exception):
        _log.critical('replica stopped by a failure: {}', outcome)
        raise outcome


async def _wait_for_first(tasks: list[asyncio.Task[typing.Any]]) -> None:
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in done:
        task.result()


async def _cancel(tasks: list[asyncio.Task[typing.Any]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _is_formed(driver: drivers.Driver) -> bool:
    return bool(driver.replica.state.membership.voters)
