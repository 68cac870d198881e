"""Tests of the log lines about the configuration and the stop of a host."""

import asyncio
import contextlib

import logbook

from returns import result

from wagtailspread.core import clocks, failures
from wagtailspread.gateway import buffers, hosts, stops
from wagtailspread.gateway.tests import test_servers
from wagtailspread.placement import budgets, costs
from wagtailspread.platform import names
from wagtailspread.routing import terms
from wagtailspread.wire import credentials, messages, signing

_ANY_PORT = '127.0.0.1:0'


def read_document(body):
    """Return settings of the version in the body, ``None`` for ``bad``."""
    if body == b'bad':
        return None
    route = test_servers.create_route(terms.RequestKind.SAFE)
    return terms.RoutingSettings(int(body), (route,), {})


def create_batch(version, position=1):
    """Return a replica's answer."""
    return messages.structs.ChangeBatch(
        epoch=1,
        position=position,
        rows=[],
        silent=[],
        document_version=version,
        replicas=[],
        substitutes=[],
        has_quorum=True,
        is_up_to_date=True,
        hosts=1,
    )


class ScriptedPool:
    """Answers calls to replicas in turn."""

    def __init__(self, *answers):
        """Store the answers."""
        self.answers = list(answers)

    def find(self, _address):
        """Return the pool itself, which also acts as each link."""
        return self

    async def call(self, *_):
        """Return the next answer."""
        return self.answers.pop(0)

    async def remove(self, _address):
        """Close nothing."""


def create_host(clock=None):
    """Return a host that is not started."""
    key = signing.create_key()
    own = credentials.Credentials(
        credentials.Peer('m1', 'h1', hosts.ROLE),
        key,
    )
    settings = hosts.GatewaySettings(
        host='h1',
        location=costs.Location('north', {'north': 'r1'}),
        caller_address=_ANY_PORT,
        ready_address=_ANY_PORT,
        ready_path='/ready',
        link_address=_ANY_PORT,
        find_seeds=list,
        local_credentials=own,
        directory=credentials.FixedDirectory({}),
        header_names=names.HEADERS,
        retry_budget=budgets.RetryBudgetSettings(0.1, 10.0, 10.0),
        stop_seconds=2.0,
        response_limits=buffers.create_limits(),
    )
    return hosts.create_host(settings, read_document, clock)


@contextlib.asynccontextmanager
async def open_host(clock, *answers):
    """Yield a host that is not started, with scripted replica answers."""
    host = create_host(clock)
    host.follower._pool = ScriptedPool(*answers)
    try:
        yield host
    finally:
        await host._exchanger.close()


def list_events(handler, event):
    """Return the fields of the log lines of one event."""
    return [
        dict(record.extra)
        for record in handler.records
        if record.message == event
    ]


async def test_a_version_that_is_not_active_is_logged_once():
    """Guards against a host that lags behind without logging it."""
    clock = clocks.ManualClock(10.0)
    steps = [(4, b'4'), (5, None), (5, None), (6, b'bad'), (6, b'6')]
    answers = [result.Success(create_batch(version)) for version, _ in steps]
    async with open_host(clock, *answers) as host:
        with logbook.TestHandler() as handler:
            for version, document in steps:
                await host.follower.follow_once('replica:1')
                if document is not None:
                    host._apply_document(version, document)
                clock.advance(1.0)
    behind = list_events(handler, 'configuration behind')
    known = [
        (one['configuration_version'], one['heard_version']) for one in behind
    ]
    assert known == [(-1, 4), (4, 5), (4, 6)]
    assert [one['behind_seconds'] for one in behind] == [0.0, 0.0, 2.0]
    assert len(list_events(handler, 'configuration invalid')) == 1
    in_force = list_events(handler, 'configuration in force')
    assert in_force == [
        {'configuration_version': 4, 'behind_seconds': 0.0},
        {'configuration_version': 6, 'behind_seconds': 3.0},
    ]


async def test_a_lost_replica_is_logged_with_the_active_version():
    """Guards against log lines that do not show how old the routes are."""
    clock = clocks.ManualClock(10.0)
    answers = (
        result.Success(create_batch(4)),
        result.Success(create_batch(5)),
        result.Failure(failures.Failure()),
    )
    async with open_host(clock, *answers) as host:
        with logbook.TestHandler() as handler:
            for number, _ in enumerate(answers):
                await host.follower.follow_once('replica:1')
                if not number:
                    host._apply_document(4, b'4')
                clock.advance(1.0)
    (lost,) = list_events(handler, 'replica lost')
    assert lost.pop('reason')
    assert lost == {
        'replica': 'replica:1',
        'configuration_version': 4,
        'heard_version': 5,
        'behind_seconds': 1.0,
        'unanswered_seconds': 1.0,
    }


async def test_a_host_that_stops_logs_its_counts(monkeypatch):
    """Guards against losing the counts since they were last logged."""
    monkeypatch.setattr(stops, 'ACCEPT_SECONDS', 0.1)
    host = create_host()
    with logbook.TestHandler() as handler:
        await host.start()
        address = host.server.site.address
        status, _, _ = await test_servers.call(f'http://{address}')
        await host.stop()
    assert status == 503
    (stopped,) = list_events(handler, 'host stopped')
    assert stopped['counts'] == {'503 no-routes': 1}


async def test_a_replica_that_starts_does_not_raise_the_retry_budget():
    """Guards against hosts that divide the allowance by too few.

    A replica that has just started knows of few of the hosts.
    """
    host = create_host()
    budget = host._placer._lone._budget
    for count in (130, 3):
        batch = create_batch(0)
        batch.hosts = count
        host._apply_changes(batch)
        assert budget._count_sharers() == 130
    await host.stop()


async def serves_placement(host, seconds):
    """Tell whether a host places requests of other hosts within a time."""
    loop = asyncio.get_running_loop()
    latest = loop.time() + seconds
    while messages.methods.PLACE not in host._listener.routes:
        if loop.time() > latest:
            return False
        await asyncio.sleep(0.01)
    return True


async def test_a_host_is_a_substitute_once_it_has_a_configuration(monkeypatch):
    """Guards against hosts without an allocator while no replica answers."""
    monkeypatch.setattr(stops, 'ACCEPT_SECONDS', 0.1)
    monkeypatch.setattr(hosts, 'MAX_SUBSTITUTE_DELAY_SECONDS', 60.0)
    host = create_host()
    await host.start()
    assert not await serves_placement(host, 0.3)
    host._apply_document(1, b'1')
    assert await serves_placement(host, 20.0)
    await host.stop()


async def test_a_host_is_a_substitute_without_a_configuration(monkeypatch):
    """Guards against a host that waits for a configuration for ever."""
    monkeypatch.setattr(stops, 'ACCEPT_SECONDS', 0.1)
    monkeypatch.setattr(hosts, 'MAX_SUBSTITUTE_DELAY_SECONDS', 0.0)
    host = create_host()
    await host.start()
    assert await serves_placement(host, 20.0)
    await host.stop()
