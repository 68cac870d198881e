"""Replicas on an in-memory network with simulated time and injected faults.

Each replica buffers its outputs until :meth:`SimulatedReplica.sync`. A crash
loses the messages of these outputs and a random part of their records, as no
sync has made them durable. A wipe loses the whole store, and the replica
restarts with a new identity.
"""

import json
import random as random_module

from wagtailspread.consensus import messages, replicas, states, storage
from wagtailspread.core import identifiers
from wagtailspread.testing import invariants

Address = identifiers.Address
#: Minimum number of voters that still has a quorum after the loss of one.
MIN_VOTERS = 3


class ListMachine:
    """State machine that records the applied commands."""

    def __init__(self) -> None:
        """Create a machine without commands."""
        self.applied: list[tuple[identifiers.LogIndex, bytes]] = []

    def apply(self, index: identifiers.LogIndex, command: bytes) -> bytes:
        """Append the command and return it."""
        self.applied.append((index, command))
        return command

    def take_snapshot(self) -> bytes:
        """Return all commands."""
        records = [(index, command.hex()) for index, command in self.applied]
        return json.dumps(records).encode()

    def restore(self, snapshot: bytes) -> None:
        """Replace all commands."""
        self.applied = [
            (identifiers.LogIndex(index), bytes.fromhex(command))
            for index, command in json.loads(snapshot)
        ]


class SimulatedReplica:
    """Replica with its store and its state machine."""

    def __init__(
        self,
        fleet: 'SimulatedFleet',
        address: Address,
        store: storage.MemoryStorage,
    ) -> None:
        """Start the replica from the state in the store."""
        self.address = address
        self.store = store
        self.is_running = True
        self._fleet = fleet
        self._outputs: list[messages.Output] = []
        self._start()

    def buffer(self, output: messages.Output) -> None:
        """Buffer an output until the next sync."""
        self._outputs.append(output)

    def sync(self) -> None:
        """Make the buffered outputs durable, then send and apply them."""
        outputs = self._outputs
        self._outputs = []
        for output in outputs:
            self.store.write(output)
        self.store.sync()
        self._send(outputs)

    def crash(self) -> None:
        """Stop at once; a random part of the unsynced records is lost."""
        for output in self._outputs:
            # The store makes a snapshot durable at once, so the write of an
            # output with a snapshot is simulated as not begun.
            if output.snapshot is not None:
                break
            self.store.write(output)
        self.store.lose_unsynced(self._fleet.random)
        self.is_running = False

    def restart(self) -> None:
        """Start the replica again from the state in the store."""
        self.is_running = True
        self._start()

    def compact(self) -> None:
        """Replace the applied entries of the log with a snapshot."""
        log = self.replica.state.log
        term = log.find_term(self.applied)
        if term is None or self.applied <= log.snapshot.index:
            return
        membership = log.find_membership(self.applied)
        payload = self.machine.take_snapshot()
        snapshot = messages.Snapshot(self.applied, term, membership, payload)
        self.sync()
        if self.applied == snapshot.index:
            self.store.save_snapshot(snapshot, keeps_tail=True)
            self.replica.compact(payload, snapshot.index)

    def _start(self) -> None:
        stored = self.store.load().unwrap()
        self._outputs = []
        self.replica = replicas.create_replica(
            stored.identity,
            stored.hard_state,
            stored.log,
            self._fleet.policy,
            random_module.Random(self._fleet.random.random()),
            self._fleet.replica_type,
            stored.commit,
        )
        self.machine = ListMachine()
        self.applied = stored.log.snapshot.index
        if stored.log.snapshot.payload:
            self.machine.restore(stored.log.snapshot.payload)

    def _send(self, outputs: list[messages.Output]) -> None:
        for output in outputs:
            self._fleet.post(self.address, output.messages)
        for output in outputs:
            self._apply(output)

    def _apply(self, output: messages.Output) -> None:
        if output.snapshot is not None:
            self.machine.restore(output.snapshot.payload)
            self.applied = output.snapshot.index
        for entry in output.committed:
            if entry.index <= self.applied:
                continue
            self.applied = entry.index
            self._fleet.observer.record_applied(entry)
            if entry.kind is messages.EntryKind.COMMAND:
                self.machine.apply(entry.index, entry.payload)


class SimulatedFleet:
    """Replicas and the messages between them.

    :param count: number of replicas in the first membership.
    :param spares: number of further replicas, which join later.
    :param seed: seed of all random choices.
    :param replica_type: class of the replicas.
    :param store_type: class of their stores.
    :param policy: limits and timeouts of the replicas.
    """

    def __init__(
        self,
        count: int,
        spares: int = 0,
        *,
        seed: int = 0,
        replica_type: type[replicas.Replica] = replicas.Replica,
        store_type: type[storage.MemoryStorage] = storage.MemoryStorage,
        policy: states.Policy | None = None,
    ) -> None:
        """Form the first membership, which has no leader yet."""
        self.now = 0.0
        self.random = random_module.Random(seed)
        self.replica_type = replica_type
        self.policy = policy or states.Policy()
        self.observer = invariants.Observer()
        self.wiped: set[identifiers.ReplicaId] = set()
        self.in_flight: list[tuple[Address, Address, messages.Message]] = []
        self.cuts: set[tuple[Address, Address]] = set()
        self.nodes: dict[Address, SimulatedReplica] = {}
        self._store_type = store_type
        self._identities = 0
        for number in range(count + spares):
            address = Address(f'address-{number}')
            self.nodes[address] = self._create_node(address)
        self._form(list(self.nodes)[:count])

    def advance(self, seconds: float) -> None:
        """Advance the time and tick all running replicas."""
        self.now += seconds
        for node in self.list_running():
            self._introduce(node)
            node.buffer(node.replica.tick(self.now))

    def post(
        self,
        source: Address,
        outgoing: tuple[messages.Message, ...],
    ) -> None:
        """Send messages; those to unknown identities are dropped."""
        for message in outgoing:
            target = self._find_address(message.to)
            if target is not None:
                self.in_flight.append((source, target, message))

    def deliver(self, position: int, *, is_duplicated: bool = False) -> None:
        """Deliver one message; it is lost on a cut link or at a stopped node.

        The process at the target address receives it, whatever its identity.

        :param position: index of the message in :attr:`in_flight`.
        :param is_duplicated: whether the message stays in flight and will
            arrive again.
        """
        source, target, message = self.in_flight[position]
        if not is_duplicated:
            self.in_flight.pop(position)
        node = self.nodes[target]
        if node.is_running and (source, target) not in self.cuts:
            node.buffer(node.replica.receive(message, self.now))

    def propose(self, address: Address, command: bytes) -> bool:
        """Propose a command at one replica; tell whether it was accepted."""
        replica = self.nodes[address].replica
        proposed = replica.propose(command, self.now)
        self.nodes[address].buffer(replica.flush(self.now))
        return proposed.value_or(None) is not None

    def read(self, address: Address) -> identifiers.LogIndex | None:
        """Start a linearizable read at one replica and check it.

        :returns: the index at which the read is served; ``None`` if the
            replica refuses it.
        :raises invariants.InvariantBroken: if the read is stale.
        """
        index = self.nodes[address].replica.read_index(self.now)
        served = index.value_or(None)
        if served is not None:
            self.observer.check_read(served, self.observer.last_applied)
        return served

    def wipe(self, address: Address, *, keeps_identity: bool = False) -> None:
        """Replace the store of a replica with an empty one and restart it.

        :param keeps_identity: whether the replica restarts with its old
            identity instead of a new one.
        """
        node = self.nodes[address]
        if keeps_identity:
            node.store = self._store_type(node.store.identity)
        else:
            self.wiped.add(node.store.identity)
            node.store = self._create_store()
        node.restart()

    def may_wipe(self) -> bool:
        """Tell whether the fleet tolerates the loss of another store.

        The first membership must be committed, and all earlier losses must be
        repaired: no replica counts a lost identity as a voter.
        """
        if not self.observer.applied:
            return False
        newest = max(self.nodes.values(), key=lambda node: node.applied)
        if len(newest.replica.state.membership.voters) < MIN_VOTERS:
            return False
        for node in self.nodes.values():
            membership = node.replica.state.membership
            if self.wiped & membership.voter_ids():
                return False
        return True

    def cut(self, source: Address, target: Address) -> None:
        """Drop all messages from ``source`` to ``target`` from now on."""
        self.cuts.add((source, target))

    def isolate(self, address: Address) -> None:
        """Cut the links of one replica in both directions."""
        for other in self.nodes:
            if other != address:
                self.cut(address, other)
                self.cut(other, address)

    def heal(self) -> None:
        """Restore all links."""
        self.cuts.clear()

    def settle(self, rounds: int = 50) -> None:
        """Sync and deliver messages until none are in flight.

        :param rounds: maximum number of rounds.
        """
        for _ in range(rounds):
            for node in self.list_running():
                node.sync()
            self.check()
            undelivered = len(self.in_flight)
            if not undelivered:
                return
            while undelivered:
                undelivered -= 1
                self.deliver(0)

    def run(self, seconds: float, step: float = 0.05) -> None:
        """Advance the time; only cut links lose messages.

        :param step: time between two ticks, in seconds.
        """
        end = self.now + seconds
        while self.now < end:
            self.advance(step)
            self.settle()

    def list_running(self) -> list[SimulatedReplica]:
        """Return the running replicas."""
        return [node for node in self.nodes.values() if node.is_running]

    def find_leaders(self) -> list[Address]:
        """Return the addresses of the replicas that believe they lead."""
        return [
            node.address
            for node in self.list_running()
            if node.replica.is_leader
        ]

    def check(self) -> None:
        """Check the leaders, logs and applied commands of running replicas.

        :raises invariants.InvariantBroken: if an invariant does not hold.
        """
        for node in self.list_running():
            if node.replica.is_leader:
                self.observer.record_leader(node.replica)
            self.observer.record_log(node.replica)
            self.observer.check_sequence(node.machine.applied)

    def check_durability(self) -> None:
        """Check that a majority of the voters stores each applied entry.

        :raises invariants.InvariantBroken: if too few voters store an entry.
        """
        logs = {
            node.store.identity: node.store.load().unwrap().log
            for node in self.nodes.values()
        }
        self.observer.check_durability(logs, self.wiped)

    def _introduce(self, node: SimulatedReplica) -> None:
        if not node.replica.needs_introduction(self.now):
            return
        newcomer = messages.ReplicaNode(node.store.identity, node.address)
        for other in self.list_running():
            if (node.address, other.address) not in self.cuts:
                other.replica.introduce(newcomer, self.now)

    def _find_address(self, identity: identifiers.ReplicaId) -> Address | None:
        for node in self.nodes.values():
            member = node.replica.state.membership.find(identity)
            if member is not None:
                return member.address
            if node.store.identity == identity:
                return node.address
        return None

    def _create_node(self, address: Address) -> SimulatedReplica:
        return SimulatedReplica(self, address, self._create_store())

    def _create_store(self) -> storage.MemoryStorage:
        self._identities += 1
        identity = identifiers.ReplicaId(f'identity-{self._identities}')
        return self._store_type(identity)

    def _form(self, addresses: list[Address]) -> None:
        voters = tuple(
            messages.ReplicaNode(self.nodes[address].store.identity, address)
            for address in addresses
        )
        first = replicas.create_first_log(
            messages.MembershipRecord(voters),
            (b'first',),
        )
        node = self.nodes[addresses[0]]
        node.buffer(node.replica.form(first, self.now))
        node.sync()
