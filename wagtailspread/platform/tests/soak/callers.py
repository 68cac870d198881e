"""Stand-ins for the balancer and for callers with kept connections."""

import asyncio
import contextlib
import random

from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.platform.tests.soak import ledgers, upstreams

#: Interval of the checks of the balancer, in seconds.
CHECK_SECONDS = 1.0
#: Share of the requests with a large body, and its size in bytes.
UPLOAD_SHARE = 0.1
UPLOAD_BYTES = 200_000
#: Share of orders, and of the requests on routes that were just added.
ORDER_SHARE = 0.7
NEW_ROUTE_SHARE = 0.15
#: Share of the requests that are sent in pieces.
SLOW_SHARE = 0.2
#: Failed checks in a row after which a host gets no new connections.
FAILED_CHECKS = 2


class Balancer:
    """Knows which hosts accept new connections."""

    def __init__(self, ready_addresses):
        """Start without a host.

        :param ready_addresses: of each host by its number.
        """
        self._addresses = ready_addresses
        self._misses = dict.fromkeys(ready_addresses, FAILED_CHECKS)

    def list_hosts(self):
        """Return the numbers of the hosts that get new connections."""
        return [
            number
            for number, misses in self._misses.items()
            if misses < FAILED_CHECKS
        ]

    async def run(self):
        """Check all hosts until cancelled."""
        while True:
            await asyncio.gather(*(self._check(n) for n in self._addresses))
            await asyncio.sleep(CHECK_SECONDS)

    async def _check(self, number):
        status = await upstreams.call(
            self._addresses[number], 'GET', '/wagtailspread/ready'
        )
        self._misses[number] = 0 if status == 200 else self._misses[number] + 1


class Caller:
    """Sends requests one after another on connections that it keeps.

    :param pause: longest time between two requests, in seconds.
    :param list_new_routes: returns routes of recent configurations.
    """

    def __init__(
        self,
        number,
        balancer,
        addresses,
        ledger,
        clock,
        pause,
        list_new_routes=list,
    ):
        """Create a caller without a connection."""
        self._number = number
        self._balancer = balancer
        self._addresses = addresses
        self._ledger = ledger
        self._clock = clock
        self._pause = pause
        self._list_new_routes = list_new_routes
        self._random = random.Random(number)
        self._host = -1
        self._streams = None

    async def run(self, until):
        """Send requests until a time, in seconds since the start."""
        count = 0
        while self._clock() < until:
            await asyncio.sleep(self._random.uniform(0, self._pause))
            if await self._connect():
                count += 1
                await self._send(f'{self._number:x}-{count:x}')
        self._disconnect()

    async def _connect(self):
        """Keep an open connection, or open one; tell whether there is one."""
        if self._streams is not None and not self._streams[0].at_eof():
            return True
        self._disconnect()
        hosts = self._balancer.list_hosts()
        if not hosts:
            return False
        self._host = self._random.choice(hosts)
        ip, _, port = self._addresses[self._host].rpartition(':')
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                self._streams = await asyncio.open_connection(ip, int(port))
        return self._streams is not None

    async def _send(self, name):
        is_order = self._random.random() < ORDER_SHARE
        route = 'o' if is_order else 'l'
        if self._random.random() < NEW_ROUTE_SHARE:
            new_routes = self._list_new_routes()
            if new_routes:
                is_order = False
                route = self._random.choice(new_routes)
        limit = self._random.choice((4.0, 5.0))
        work = self._random.randint(50, 1800)
        attempt = ledgers.Attempt(
            name, self._host, is_order, self._clock(), limit
        )
        self._ledger.attempts[name] = attempt
        body = b'body'
        if self._random.random() < UPLOAD_SHARE:
            body = bytes(UPLOAD_BYTES)
        head = (
            f'POST /{route}/{work} HTTP/1.1',
            'Host: a.example',
            f'Attempt-Id: {name}',
            f'Deadline-Ms: {int(limit * 1000)}',
            f'Content-Length: {len(body)}',
        )
        sent = '\r\n'.join((*head, '', '')).encode() + body
        reader, writer = self._streams
        try:
            await self._write(writer, sent)
            attempt.sent_at = self._clock()
            await self._receive(reader, attempt)
        except (OSError, asyncio.IncompleteReadError):
            self._disconnect()
        attempt.ended_at = self._clock()

    async def _write(self, writer, sent):
        """Send a request, at times in pieces with pauses between them."""
        count = 1
        if self._random.random() < SLOW_SHARE:
            count = self._random.randint(2, 5)
        size = -(-len(sent) // count)
        for start in range(0, len(sent), size):
            if start:
                await asyncio.sleep(self._random.uniform(0.0, 0.6))
            writer.write(sent[start : start + size])
        # An answer that comes before the end of the request is read, too.
        with contextlib.suppress(OSError):
            await writer.drain()

    async def _receive(self, reader, attempt):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        length = int(raw_upstreams.read_header(head, 'Content-Length') or 0)
        body = await reader.readexactly(length)
        attempt.status = int(head.split()[1])
        is_success = attempt.status == 200
        attempt.is_own = not is_success or body == attempt.name.encode()
        if raw_upstreams.read_header(head, 'Connection').lower() == 'close':
            self._disconnect()

    def _disconnect(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
