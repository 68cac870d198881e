"""Responses that clients do not read."""

import asyncio

import pytest

from aiohttp import web

from wagtailspread.entry import deliveries, heads, sites
from wagtailspread.entry.tests import connections

MEGABYTE = 1024 * 1024
BODY_BYTES = 16 * MEGABYTE
#: Two checks by the listener happen in this time, in seconds; they run in the
#: event loop of the test, before it goes on.
TWO_CHECKS_SECONDS = 0.6
#: Below the time for which a listener waits for its handlers, in seconds.
CLOSE_SECONDS = 30.0


class Client:
    """A connection that records why it was closed."""

    def __init__(self):
        """Create a connection that is open."""
        self.cause = None

    def abort(self, cause):
        """Record the cause."""
        self.cause = cause


def create_clients(budget, count, size):
    """Return clients that have read nothing since the time of their number."""
    clients = [Client() for _ in range(count)]
    for number, client in enumerate(clients):
        budget.begin(client, float(number))
        budget.resize(client, size)
    return clients


def test_clients_that_read_nothing_for_longest_end_until_the_rest_fits():
    """Guards against a loss for clients that read."""
    budget = deliveries.DeliveryBudget(100)
    clients = create_clients(budget, 4, 25)
    budget.record_read(clients[0], 4.0)
    budget.begin(clients[1], 5.0)
    budget.resize(clients[3], 50)
    full = deliveries.EndCause.HOST_FULL
    assert [one.cause for one in clients] == [None, full, None, None]
    assert budget.used_bytes == 100


def test_client_over_its_own_limit_ends_alone():
    """Guards against one client that displaces the others."""
    budget = deliveries.DeliveryBudget(100)
    clients = create_clients(budget, 2, 5)
    budget.resize(clients[1], 91)
    full = deliveries.EndCause.CLIENT_FULL
    assert [one.cause for one in clients] == [None, full]


def test_responses_whose_turn_has_not_come_are_bounded():
    """Guards against pipelined responses that no client can read yet."""
    budget = deliveries.DeliveryBudget(100)
    clients = [Client() for _ in range(3)]
    for client, size in zip(clients, (30, 60, 20), strict=True):
        budget.resize(client, size)
    full = deliveries.EndCause.HOST_FULL
    assert [one.cause for one in clients] == [None, full, None]


@pytest.mark.parametrize(('read_at', 'is_ended'), [(10.0, False), (9.9, True)])
def test_client_ends_after_the_time_without_a_byte(read_at, is_ended):
    """Guards against a client that is closed too early, or never."""
    budget = deliveries.DeliveryBudget(100, 10.0)
    (client,) = create_clients(budget, 1, 25)
    budget.record_read(client, read_at)
    budget.end_stalled(19.95)
    assert (client.cause is not None) == is_ended


async def answer(_request):
    """Return a response that the kernel does not take as a whole."""
    return web.Response(body=b'x' * BODY_BYTES)


async def start_unread(budget):
    """Return a site, and a client that has not read its response."""
    site = sites.create_site(answer, heads.DEFAULT_LIMITS, unread_budget=budget)
    ip, _, port = (await site.start(connections.ANY_PORT)).rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port), limit=4096)
    writer.write(connections.create_head())
    await asyncio.sleep(TWO_CHECKS_SECONDS)
    return site, reader, writer


async def test_client_that_reads_a_part_keeps_its_connection():
    """Guards against a close while the host still holds much of a response."""
    budget = deliveries.DeliveryBudget(4 * BODY_BYTES)
    site, reader, writer = await start_unread(budget)
    loop = asyncio.get_running_loop()
    started = loop.time()
    await reader.readexactly(6 * MEGABYTE)
    await asyncio.sleep(TWO_CHECKS_SECONDS)
    budget.end_stalled(started + budget.stall_seconds)
    assert not budget.ended
    budget.end_stalled(loop.time() + budget.stall_seconds)
    assert budget.ended == {deliveries.EndCause.STALLED.value: 1}
    assert budget.used_bytes == 0
    writer.close()
    await site.close()


async def test_stopping_site_waits_for_a_client_and_can_give_it_up():
    """Guards against a stop that cuts off a response, or never ends."""
    budget = deliveries.DeliveryBudget(4 * BODY_BYTES)
    site, reader, writer = await start_unread(budget)
    site.close_after_answers()
    assert site.close_idle() == 1
    site.abort_unread()
    async with asyncio.timeout(CLOSE_SECONDS):
        await site.close()
    assert budget.used_bytes == 0
    writer.close()


async def test_body_is_released_when_it_is_sent():
    """Guards against idle connections that keep their last response."""
    response = web.Response(body=b'x' * 1000)

    async def reply(_request):
        return response

    async with connections.run_site(heads.DEFAULT_LIMITS, reply) as (_, place):
        async with connections.connect(place) as connection:
            found = await connections.exchange(
                connection, connections.create_head()
            )
            assert len(found.body) == 1000
            await asyncio.sleep(0)
            assert response.body is None
