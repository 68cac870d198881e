"""Decoders under test, each with valid inputs and the whole way of its data.

The data of one party must never cost another one more than that data. So a
target sends what it accepts the whole way: decode, encode, every follower, a
restart. Any exception other than a refusal is a finding.
"""

import dataclasses
import functools
import json
import random as random_module
import typing

from wagtailspread.configuration import chunks
from wagtailspread.configuration import documents as configurations
from wagtailspread.core import identifiers
from wagtailspread.entry import announcements, conversions
from wagtailspread.membership import drivers
from wagtailspread.platform import documents, heartbeats, settings, values
from wagtailspread.placement import services
from wagtailspread.processes import machines as state_machines
from wagtailspread.registry import feeds, places, positions, records, tables
from wagtailspread.replica import machines, packing, peers
from wagtailspread.routing import tables as routes
from wagtailspread.testing import mutations, request_targets
from wagtailspread.testing import response_targets, stream_inputs
from wagtailspread.wire import messages

structs = messages.structs

_HEARTBEAT: dict[str, typing.Any] = {
    'service': 'sa',
    'address': '10.128.0.9:8080',
    'zone': 'north',
    'version': 'v1',
    'concurrency': 6,
    'state': 'ready',
    'warmupLeft': '1500ms',
    'seq': 4,
    'born': 1700000000000,
}
_DOCUMENT: dict[str, typing.Any] = {
    'version': 7,
    'services': [{'name': 'sa', 'healthPath': '/h', 'maxConnections': 330}],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 67108864,
        'headerTimeout': '3000ms',
        'idleTimeout': '15s',
    },
    'virtualHosts': [
        {
            'host': 'a.example',
            'pathRoutes': [
                {
                    'name': 'r1',
                    'pathPrefix': '/a/',
                    'kind': 'safe',
                    'timeout': '2s',
                    'sloLatency': '800ms',
                    'priority': 1,
                    'trafficSplit': [{'service': 'sa', 'weight': 90}],
                    'maxAttempts': 2,
                },
            ],
        },
    ],
}
_SETTINGS: dict[str, typing.Any] = {
    'nodeName': 'h1',
    'ip': '10.1.0.34',
    'zone': 'north',
    'zones': {'north': 'region'},
    'listen': {'front': '10.1.0.34:80', 'control': '10.1.0.34:81'},
    'internalPorts': [7540, 7555],
    'seeds': ['10.1.0.37:8544'],
    'bootstrap': True,
    'limits': {'memoryMb': 300, 'linkMbps': 2.0},
    'dataDir': '/data',
    'faultTolerance': {'machines': 2},
    'bounds': ['drain=2s', 'floorShare=0.7'],
}
_ANNOUNCEMENT: dict[str, typing.Any] = {
    'service': 'sa',
    'id': 'u1',
    'address': '10.0.0.1:80',
    'region': 'region',
    'domain': 'north',
    'slots': 2,
    'connections': 9,
    'state': 'ready',
    'incarnation': 1700000000000,
}
_SOUND = records.UpstreamRecord(
    identifiers.UpstreamId('sound'),
    identifiers.ServiceName('sa'),
    identifiers.Address('10.0.0.9:80'),
    identifiers.FailureDomain('north'),
    slots=6,
    state=records.UpstreamState.READY,
    born_ms=1700000000000,
    sequence=4,
)


class BrokenPromise(AssertionError):
    """Accepted data did not survive, or cost other data."""


@dataclasses.dataclass(frozen=True, slots=True)
class FuzzTarget:
    """One decoder.

    :param mutate: returns a changed valid input.
    :param run: decodes an input and sends what it accepts the whole way; tells
        whether it was accepted.
    """

    name: str
    mutate: typing.Callable[[random_module.Random], bytes]
    run: typing.Callable[[bytes], bool]


def check(condition: object, promise: str) -> None:
    """Check a promise.

    :raises BrokenPromise: if it does not hold.
    """
    if not condition:
        raise BrokenPromise(promise)


def run_heartbeat(body: bytes) -> bool:
    """Send a heartbeat to all followers and to a restarted replica."""
    try:
        record = heartbeats.decode('u1', body)
    except values.FormatError:
        return False
    first = feeds.ChangeFeed(1)
    first.register(_SOUND, 0.0)
    first.register(record, 0.0)
    second = feeds.ChangeFeed(2)
    second.merge_batch(_transmit(first, is_replica=True), 0.0)
    received = records.from_rows(_transmit(second, is_replica=False).rows)
    check(_SOUND in received, 'the other upstream stays known')
    arrived = [one for one in received if one.upstream == 'u1']
    check(len(arrived) == 1, 'an accepted record arrives')
    check(
        arrived[0].matches_except_sequence(record), 'a record arrives unchanged'
    )
    restarted = tables.create_table(received)
    check(len(restarted.rows) == 2, 'a restart keeps the records')
    return True


def run_document(body: bytes) -> bool:
    """Send a configuration through the log, a snapshot and a download."""
    found = documents.read_valid(body)
    if found is None:
        return False
    machine = state_machines.create_machine()
    command = machines.encode_command(
        machines.CommandKind.PUT_DOCUMENT,
        packing.pack(found.version, body),
        wall_time=1.0,
    )
    check(machine.apply(identifiers.LogIndex(1), command), 'a put is applied')
    restarted = state_machines.create_machine()
    restarted.restore(machine.take_snapshot())
    stored = restarted.document
    check(stored.body == body, 'a snapshot keeps the document')
    check(_download(stored) == body, 'a download is complete')
    table = routes.RouteTable(found)
    for route in found.routes:
        table.match(route.host, route.prefix)
        messages.encode(structs.PlaceRequest(priority=route.priority))
    return True


def run_settings(body: bytes) -> bool:
    """Decode a settings file."""
    try:
        settings.decode(body)
    except values.FormatError:
        return False
    return True


def run_announcement(body: bytes) -> bool:
    """Send an announcement to an owner and from there to a host."""
    try:
        announcement = announcements.parse_announcement(body).unwrap()
    except Exception as error:
        if type(error).__name__ != 'UnwrapFailedError':
            raise
        return False
    struct = conversions.write_announcement(announcement)
    received = messages.decode(
        structs.AnnounceUpstream, messages.encode(struct)
    )
    check(
        conversions.read_announcement(received) == announcement,
        'an announcement arrives unchanged',
    )
    return True


def run_batch(payload: bytes) -> bool:
    """Apply a batch of the registry at a replica and at a host."""
    batch = _decode(structs.ChangeBatch, payload)
    if batch is None:
        return False
    places.clean_batch(batch)
    feed = feeds.ChangeFeed(1)
    feed.merge_batch(batch, 0.0)
    sent = _transmit(feed, is_replica=True)
    check(len(sent.rows) == len(feed.table.rows), 'accepted rows are sent')
    places.choose_substitutes(batch.substitutes, {})
    return bool(sent.rows)


def run_gossip(payload: bytes) -> bool:
    """Decode gossip and send it on."""
    struct = _decode(structs.Gossip, payload)
    if struct is None:
        return False
    try:
        message = drivers.decode_message(struct)
    except ValueError:
        return False
    messages.encode(drivers.encode_message(message))
    return True


def run_completions(payload: bytes) -> bool:
    """Decode the completions of leases."""
    struct = _decode(structs.ReleaseSlots, payload)
    return struct is not None and bool(conversions.read_release(struct))


def run_consensus(payload: bytes) -> bool:
    """Decode a batch of consensus messages."""
    try:
        return bool(peers.unpack_batch(payload)[1])
    except messages.DecodeError:
        return False


def run_placement(payload: bytes) -> bool:
    """Decode the request for an upstream."""
    struct = _decode(structs.PlaceRequest, payload)
    if struct is None:
        return False
    try:
        services.decode_request(struct, now=0.0)
    except (TypeError, ValueError):
        return False
    return True


def run_claim(payload: bytes) -> bool:
    """Apply a claim on a key, then restart from a snapshot."""
    struct = _decode(structs.ClaimKey, payload)
    if struct is None:
        return False
    machine = state_machines.create_machine()
    command = machines.encode_command(
        machines.CommandKind.CLAIM_KEY, struct, wall_time=1.0
    )
    answer = machine.apply(identifiers.LogIndex(1), command)
    state_machines.create_machine().restore(machine.take_snapshot())
    return bool(answer)


def list_targets() -> list[FuzzTarget]:
    """Return all decoders of data that one party writes and others read.

    The last two read the streams of clients and of upstreams.
    """
    bodies = {
        run_heartbeat: _HEARTBEAT,
        run_document: _DOCUMENT,
        run_settings: _SETTINGS,
        run_announcement: _ANNOUNCEMENT,
    }
    payloads = {
        run_batch: _create_batch(),
        run_gossip: _create_gossip(),
        run_completions: _create_release(),
        run_placement: _create_place_request(),
        run_claim: _create_claim(),
    }
    found = [
        _create_target(
            run, functools.partial(mutations.mutate_json, _encode(body))
        )
        for run, body in bodies.items()
    ]
    found.extend(
        _create_target(run, functools.partial(mutations.mutate_struct, struct))
        for run, struct in payloads.items()
    )
    found.append(_create_target(run_consensus, _mutate_consensus))
    found.append(
        _create_target(
            request_targets.run_requests, stream_inputs.mutate_requests
        )
    )
    found.append(
        _create_target(
            response_targets.run_response, stream_inputs.mutate_response
        )
    )
    return found


def _create_target(
    run: typing.Callable[[bytes], bool],
    mutate: typing.Callable[[random_module.Random], bytes],
) -> FuzzTarget:
    return FuzzTarget(run.__name__.removeprefix('run_'), mutate, run)


def _download(document: configurations.VersionedDocument) -> bytes:
    """Return a document as a host assembles it."""
    assembly = chunks.create_assembly()
    manifest, parts = chunks.split_with_manifest(
        document.version, document.body
    )
    assembly.start(manifest)
    # Each chunk has a length of four bytes.
    limit = len(document.body) + 4 * len(parts)
    for part in chunks.unpack(chunks.pack(parts.values()), limit):
        assembly.add(part)
    return assembly.finish()


def _encode(fields: dict[str, typing.Any]) -> bytes:
    return json.dumps(fields).encode()


def _decode(struct_type: typing.Any, payload: bytes) -> messages.Struct | None:
    """Return a struct as a listener gets it, ``None`` if it is refused."""
    try:
        struct = messages.decode(struct_type, payload)
    except messages.DecodeError:
        return None
    return struct if messages.has_texts(struct) else None


def _transmit(feed: feeds.ChangeFeed, *, is_replica: bool) -> messages.Struct:
    """Return the answer of a feed to a new follower, as it arrives."""
    request = structs.FollowChanges(
        is_replica=is_replica, epoch=positions.NO_EPOCH, position=0
    )
    encoded = messages.encode(feed.collect(request, 0.0))
    return messages.decode(structs.ChangeBatch, encoded)


def _create_batch() -> messages.Struct:
    place = structs.ReplicaPlace(address='10.0.0.1:1', domain='north')
    other = dataclasses.replace(
        _SOUND,
        upstream=identifiers.UpstreamId('u2'),
        address=identifiers.Address('10.0.0.2:80'),
        sequence=5,
    )
    return structs.ChangeBatch(
        epoch=1,
        position=2,
        rows=[records.to_row(_SOUND), records.to_row(other)],
        heard=['sound'],
        silent=['u2'],
        document_version=1,
        replicas=[place, place],
        has_quorum=True,
        hosts=3,
        substitutes=[place],
        strained=['sa'],
        underused=['sa'],
        spares=[
            structs.SpareCapacity(
                service_name='sa',
                slots=6,
                load_thousandths=4500,
                queued_ms=200,
                borrower='region',
                lent=2,
                heard=['region'],
            )
        ],
        is_up_to_date=True,
    )


def _create_gossip() -> messages.Struct:
    update = structs.GossipUpdate(
        host='h2',
        address='10.0.0.2:1',
        region='region',
        domain='north',
        incarnation=1700000000000,
        state='alive',
        member='m',
    )
    return structs.Gossip(
        kind='ping',
        sequence=1,
        sender='h1',
        subject='h2',
        updates=[update, update],
        configuration_version=3,
    )


def _create_release() -> messages.Struct:
    completion = structs.SlotCompletion(lease=1, result=0, micros=5)
    return structs.ReleaseSlots(
        service_name='sa',
        host='h1',
        completions=[completion, completion],
        vote_stamp=0,
    )


def _create_place_request() -> messages.Struct:
    return structs.PlaceRequest(
        request='1.1',
        host='h1',
        incarnation=1,
        domain='north',
        service_name='sa',
        size=0,
        priority=0,
        deadline_ms=1000,
        excluded=['u1'],
        is_repeat=False,
        is_repeatable=True,
        objective_ms=500,
        wait_ms=100,
    )


def _create_claim() -> messages.Struct:
    return structs.ClaimKey(
        service_name='sa',
        caller='c1',
        key='k1',
        attempt='a1',
        host='h1',
        deadline_ms=1000,
        fingerprint=b'f',
    )


def _mutate_consensus(random: random_module.Random) -> bytes:
    entry = structs.LogEntry(index=3, term=2, kind=1, payload=b'x')
    append = structs.AppendRequest(
        sender='r1',
        to='r2',
        term=2,
        prev_index=2,
        prev_term=2,
        commit=2,
        sent_us=9,
        entries=[entry],
    )
    packed = structs.PackedMessage(
        kind='AppendRequest',
        payload=mutations.mutate_struct(append, random),
    )
    batch = structs.MessageBatch(address='10.0.0.1:1', messages=[packed])
    return mutations.mutate_struct(batch, random)
