"""Tests of configuration downloads of a host behind a slow link."""

import asyncio

from wagtailspread.configuration import chunks
from wagtailspread.gateway.tests import configured_fleets as fleets
from wagtailspread.registry import lags

#: Number of routes at the design size (docs/CAPACITY.md).
ROUTES = 11_000
#: Maximum time until a change is active everywhere, in seconds
#: (docs/CAPACITY.md).
MAX_ACTIVATION_SECONDS = 5.0
#: Maximum bytes that one change may transfer to a host: 7 KB/s of control
#: traffic (docs/CAPACITY.md) during the maximum time until it is active.
MAX_CHANGE_BYTES = 7_000 * MAX_ACTIVATION_SECONDS
#: Size of such a configuration on a link, in bytes (docs/CAPACITY.md).
WHOLE_BYTES = 164_000
HALF_BYTES = WHOLE_BYTES // 2
#: Answers that may be lost with a replica and are sent again, in bytes.
ANSWER_BYTES = 2 * chunks.MAX_ANSWER_BYTES // 8
#: Bytes between two changes, so that 13 of them fall into a first download of
#: :data:`WHOLE_BYTES`. An idle machine transfers as much in 0.1 s.
CHANGE_BYTES = 12_000
#: Time after which a test that counts bytes fails if they stop, in seconds.
HANG_SECONDS = 120.0


async def test_a_large_configuration_reaches_a_host_behind_a_slow_link():
    """Guards against callers refused because of an outdated version.

    The document used to be sent as one answer, which timed out on a slow link,
    and each retry started from the beginning.
    """
    routes = fleets.create_routes(ROUTES)
    async with fleets.Replica() as replica:
        replica.put(1, fleets.create_body(1, routes[:10]))
        async with fleets.run_host(replica) as host:
            await fleets.wait_for_version(host, 1, 2.0)
            replica.put(2, fleets.create_body(2, routes))
            await fleets.wait_for_version(host, 2, MAX_ACTIVATION_SECONDS)


async def test_a_change_of_a_large_document_transfers_only_new_chunks():
    """Guards against sending chunks that a host already has."""
    routes = fleets.create_routes(ROUTES)
    async with fleets.Replica(rate=10 * fleets.SLOW_RATE) as replica:
        replica.put(1, fleets.create_body(1, routes))
        async with fleets.run_host(replica) as host:
            await fleets.wait_for_version(host, 1, MAX_ACTIVATION_SECONDS)
            before = replica.link.passed
            routes.insert(ROUTES // 2, fleets.create_routes(1, seed=2)[0])
            replica.put(2, fleets.create_body(2, routes))
            await fleets.wait_for_version(host, 2, MAX_ACTIVATION_SECONDS)
            assert replica.link.passed - before < MAX_CHANGE_BYTES


async def test_a_download_continues_at_another_replica():
    """Guards against a download that restarts when a replica is lost."""
    body = fleets.create_body(1, fleets.create_routes(ROUTES))
    async with fleets.Replica() as first, fleets.Replica() as second:
        first.put(1, body)
        second.put(1, body)
        async with fleets.run_host(first, second) as host:
            async with asyncio.timeout(MAX_ACTIVATION_SECONDS):
                while first.link.passed + second.link.passed < HALF_BYTES:
                    await asyncio.sleep(0.01)
            lost, remaining = first, second
            if second.link.passed > first.link.passed:
                lost, remaining = second, first
            passed = remaining.link.passed
            await lost.close()
            await fleets.wait_for_version(host, 1, MAX_ACTIVATION_SECONDS)
            # A download that continues transfers at most the missing bytes and
            # the answers that were lost.
            rest = remaining.link.passed - passed
            assert rest < WHOLE_BYTES - lost.link.passed + ANSWER_BYTES


async def test_changes_during_a_download_do_not_delay_it():
    """Guards against downloads that never end while versions keep changing.

    Versions follow each other by the bytes that pass, since a busy machine
    transfers fewer bytes in a given time.
    """
    routes = fleets.create_routes(ROUTES)
    bodies = []
    for version in range(1, 30):
        routes[version * 300] = fleets.create_routes(1, seed=100 + version)[0]
        bodies.append(fleets.create_body(version, routes))
    async with (
        asyncio.timeout(HANG_SECONDS),
        fleets.Replica() as replica,
        fleets.run_host(replica) as host,
    ):
        for version, body in enumerate(bodies, 1):
            replica.put(version, body)
            await fleets.wait_for_version_or_bytes(
                host, version, replica.link, CHANGE_BYTES
            )
        assert host.server.routes is not None
        await fleets.wait_for_version_or_bytes(
            host, 29, replica.link, MAX_ACTIVATION_SECONDS * fleets.SLOW_RATE
        )
        assert host.server.routes.settings.version == 29


async def test_registry_updates_are_received_during_a_download():
    """Guards against a download that delays registry updates.

    A departure is confirmed within 0.7 s only if every host has received it.
    """
    body = fleets.create_body(1, fleets.create_routes(ROUTES))
    async with fleets.Replica(rate=fleets.SLOW_RATE // 4) as replica:
        replica.register(1)
        replica.put(1, body)
        async with fleets.run_host(replica) as host:
            async with asyncio.timeout(MAX_ACTIVATION_SECONDS):
                while not host.selector.registry.rows:
                    await asyncio.sleep(0.01)
            for number in range(2, 6):
                assert host.server.routes is None
                assert await replica.drain(number - 1)
                replica.register(number)
                await asyncio.sleep(0.05)


async def test_a_host_does_not_trust_a_replica_that_lags():
    """Guards against a 404 by the outdated version of a lagging replica."""
    async with fleets.Replica() as replica:
        replica.put(1, fleets.create_body(1, fleets.create_routes(1)))
        async with fleets.run_host(replica) as host:
            await fleets.wait_for_version(host, 1, MAX_ACTIVATION_SECONDS)
            assert host.server.is_current()
            replica.is_lagging = True
            await asyncio.sleep(2 * lags.MAX_CONFIRMATION_AGE_SECONDS)
            assert not host.server.is_current()
            replica.is_lagging = False
            await asyncio.sleep(lags.MAX_CONFIRMATION_AGE_SECONDS)
            assert host.server.is_current()


async def test_a_start_takes_one_connection_to_a_replica():
    """Guards against replicas overloaded by handshakes when all hosts start.

    Each connection is authenticated, and hosts refuse callers until then.
    """
    async with fleets.Replica() as replica:
        replica.put(1, fleets.create_body(1, fleets.create_routes(10)))
        async with fleets.run_host(replica) as host:
            await fleets.wait_for_version(host, 1, MAX_ACTIVATION_SECONDS)
            assert replica.link.accepted == 1
