"""Stand-in for an upstream of the platform."""

import asyncio
import contextlib
import itertools
import json
import time

from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.platform.tests.soak import ledgers, proxies

HEARTBEAT_SECONDS = 1.5
#: Time that an upstream serves on after its departure was confirmed, and then
#: until it starts anew, in seconds.
SERVE_ON_SECONDS = 4.0
RESTART_SECONDS = 2.0
#: Duration of a fault of its connections, in seconds, and the delay of each
#: piece of a request or answer if they are slow.
FAULT_SECONDS = 3.0
SLOW_SECONDS = 0.4
_SIGNATURE = 's1'


class Upstream:
    """Runs requests for the time that their path names, in milliseconds.

    It can crash or leave, and comes back as a new incarnation.

    :param controls: addresses of the replicas' servers for upstreams.
    """

    def __init__(self, name, service, zone, ledger, clock, controls, slots=6):
        """Create an upstream that does not listen."""
        self.name = name
        self.address = ''
        self._service = service
        self._zone = zone
        self._ledger = ledger
        self._clock = clock
        self._controls = list(controls)
        self._slots = slots
        self._running = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server = None
        self._proxy = None
        self._beating = None
        self._state = 'ready'
        self._first_name = name
        self._starts = itertools.count(1)
        self._writers = set()

    async def start(self, ip):
        """Listen, and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self._proxy = await proxies.start_proxy(ip, f'{ip}:{port}')
        self.address = self._proxy.address
        self._ledger.presences[self.name] = (self._clock(), float('inf'))
        self._beating = asyncio.create_task(self._beat())

    async def close(self):
        """Stop at once."""
        self._beating.cancel()
        self._proxy.close()
        self._server.close()

    async def crash(self):
        """End with all connections, then start anew."""
        self._end_presence()
        self._beating.cancel()
        self._server.close()
        self._proxy.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await self._start_anew()

    async def silence(self):
        """Let nothing through for some time, in either direction."""
        with self._proxy.hold_all():
            await asyncio.sleep(FAULT_SECONDS)

    async def mute(self):
        """Let requests through and no answers for some time."""
        with self._proxy.hold_answers():
            await asyncio.sleep(FAULT_SECONDS)

    async def slow(self):
        """Pass all bytes on late for some time."""
        self._proxy.delay = SLOW_SECONDS
        await asyncio.sleep(FAULT_SECONDS)
        self._proxy.delay = 0.0

    async def reset(self):
        """Reset all connections."""
        self._proxy.reset()

    async def leave(self):
        """Report that it drains, serve on, leave and start anew.

        Nothing else is done if no replica confirms that it drains.
        """
        self._state = 'draining'
        self._end_presence()
        self._beating.cancel()
        for _ in range(20):
            control = self._controls[0]
            if await self._send_heartbeat(control):
                self._ledger.departures[self.name] = self._clock()
                break
            self._controls.append(self._controls.pop(0))
        else:
            self._state = 'ready'
            self._ledger.presences[self.name] = (self._clock(), float('inf'))
            self._beating = asyncio.create_task(self._beat())
            return
        await asyncio.sleep(SERVE_ON_SECONDS)
        path = f'/wagtailspread/instances/{self.name}/leave'
        await call(self._controls[0], 'POST', path)
        self._proxy.close()
        self._server.close()
        await self._start_anew()

    def _end_presence(self):
        since, _ = self._ledger.presences[self.name]
        self._ledger.presences[self.name] = (since, self._clock())

    async def _start_anew(self):
        await asyncio.sleep(RESTART_SECONDS)
        self.name = f'{self._first_name}-{next(self._starts)}'
        self._born = int(time.time() * 1000)
        self._state = 'ready'
        await self.start(self.address.rpartition(':')[0])

    async def _beat(self):
        while True:
            for _ in self._controls:
                if await self._send_heartbeat(self._controls[0]):
                    break
                self._controls.append(self._controls.pop(0))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_heartbeat(self, control):
        self._sequence += 1
        body = json.dumps(
            {
                'service': self._service,
                'address': self.address,
                'zone': self._zone,
                'version': 'v1',
                'concurrency': self._slots,
                'state': self._state,
                'warmupLeft': '0ms',
                'seq': self._sequence,
                'born': self._born,
            }
        ).encode()
        path = f'/wagtailspread/instances/{self.name}/heartbeat'
        return await call(control, 'POST', path, body) == 200

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_one(reader, writer):
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        await raw_upstreams.read_body(reader, head)
        attempt = raw_upstreams.read_header(head, 'Attempt-Id')
        expected = raw_upstreams.read_header(head, 'Expected-Instance')
        arrival = ledgers.Arrival(self.name, self._clock())
        self._ledger.arrivals[attempt].append(arrival)
        if expected != self.name or self._running >= self._slots:
            arrival.ending = ledgers.Ending.REFUSED
            status = 421 if expected != self.name else 503
            reply(writer, status, attempt, 'Not-Executed: 1')
            return True
        self._running += 1
        try:
            is_whole = await self._run(reader, head, arrival)
        finally:
            self._running -= 1
        if is_whole:
            signature = f'Response-Signature: {_SIGNATURE}'
            reply(writer, 200, attempt, signature, attempt.encode())
        return is_whole

    async def _run(self, reader, head, arrival):
        """Work on a request; tell whether its connection stayed open."""
        seconds = int(head.split(' ', 2)[1].rpartition('/')[2]) / 1000
        gone = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait((gone,), timeout=seconds)
        arrival.ended_at = self._clock()
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        if done:
            arrival.ending = ledgers.Ending.DROPPED
            return False
        arrival.ending = ledgers.Ending.ANSWERED
        return True


def reply(writer, status, attempt, header, body=b''):
    """Write an answer."""
    lines = (
        f'HTTP/1.1 {status} Text',
        f'Attempt-Id: {attempt}',
        header,
        f'Content-Length: {len(body)}',
    )
    writer.write('\r\n'.join((*lines, '', '')).encode() + body)


async def call(address, method, path, body=b'', seconds=1.0):
    """Return the status of a call on a connection of its own, 0 if none."""
    status, _body = await exchange(address, method, path, body, seconds)
    return status


async def exchange(address, method, path, body=b'', seconds=1.0):
    """Return the status and the body of an answer; the status 0 if none."""
    ip, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(
                    f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'.encode()
                    + body
                )
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b''


async def read_answer(reader):
    """Return the status and the body of the next answer."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    length = int(raw_upstreams.read_header(head, 'Content-Length') or 0)
    return int(head.split()[1]), await reader.readexactly(length)
