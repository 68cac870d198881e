"""Fake upstream with faults that are set over HTTP.

It announces itself to an entry host every second, runs requests in a limited
number of slots and counts the runs of each idempotency key. ``PUT /-/mode``
sets the mode, ``/-/freeze`` freezes open connections, and ``GET /-/report``
returns the counts.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import random
import time
import typing

import click

from aiohttp import client, web

from wagtailspread.core import outcomes

#: Time between announcements and timeout of each, in seconds.
ANNOUNCE_SECONDS = 1.0
#: Prefix of the paths that control the fake upstream.
CONTROL_PREFIX = '/-/'
#: Header with the id of a request; the answer echoes it.
ECHO_HEADER = 'X-Request-Id'
#: Header of requests that crash an upstream with ``crashes_on_poison``.
POISON_HEADER = 'X-Poison'
#: Header with the requested minimum size of the answer, in bytes.
SIZE_HEADER = 'X-Answer-Bytes'
_HANG_SECONDS = 3600.0


@dataclasses.dataclass(slots=True)
class Mode:
    """Active faults; there are none by default.

    :param service_seconds: duration of a request, in seconds.
    :param slow_factor: factor on this duration.
    :param error_ratio: fraction of requests answered with status 500.
    :param hang_ratio: fraction that is never answered.
    :param truncate_ratio: fraction with a truncated answer.
    :param reset_ratio: fraction whose connection is reset while they run.
    :param shed_ratio: fraction that is refused with status 503 as shed.
    :param flap_seconds: half period, in seconds, in which the faults above
        alternate with normal operation; 0 for constant faults.
    :param is_draining: whether announcements report the state as draining.
    :param crashes_on_poison: whether a request with :data:`POISON_HEADER`
        resets all connections.
    :param announces: whether the upstream announces itself.
    """

    service_seconds: float = 0.005
    slow_factor: float = 1.0
    error_ratio: float = 0.0
    hang_ratio: float = 0.0
    truncate_ratio: float = 0.0
    reset_ratio: float = 0.0
    shed_ratio: float = 0.0
    flap_seconds: float = 0.0
    is_draining: bool = False
    crashes_on_poison: bool = False
    announces: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamIdentity:
    """Fixed fields of the announcements.

    :param slots: maximum number of requests that run at the same time.
    :param connections: announced limit on connections.
    """

    service: str
    upstream: str
    region: str
    domain: str
    slots: int = 6
    connections: int = 400


class FakeUpstream:
    """Fake upstream on one address. Use :func:`create_upstream`."""

    def __init__(
        self,
        identity: UpstreamIdentity,
        entries: typing.Sequence[str],
        seed: int,
    ) -> None:
        """Create an upstream without faults that is not started yet."""
        self.identity = identity
        self.mode = Mode()
        self.address = ''
        self.runs: collections.Counter[str] = collections.Counter()
        self.request_runs: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.peak_running = 0
        self._entries = entries
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(identity.slots)
        self._transports: set[typing.Any] = set()
        self._frozen: set[typing.Any] = set()
        self._incarnation = int(time.time() * 1000)
        self._runner: web.ServerRunner | None = None
        self._announcer: asyncio.Task[None] | None = None

    async def start(self, address: str = '127.0.0.1:0') -> str:
        """Start to listen and to announce.

        :param address: port 0 selects a free port.
        :returns: the address with the selected port.
        """
        ip, _, port = address.rpartition(':')
        server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, int(port)).start()
        bound = self._runner.addresses[0]
        self.address = f'{bound[0]}:{bound[1]}'
        if self._entries:
            self._announcer = asyncio.create_task(self._announce_periodically())
        return self.address

    async def close(self) -> None:
        """Stop announcing and close all connections."""
        if self._announcer is not None:
            self._announcer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._announcer
        self._abort_all()
        if self._runner is not None:
            await self._runner.cleanup()

    def freeze(self) -> None:
        """Stop answering on all open connections; new ones are not affected."""
        self._frozen.update(self._transports)

    def report(self) -> dict[str, typing.Any]:
        """Return the counts of requests and the runs by key and request id."""
        return {
            'counts': dict(self.counts),
            'runs': dict(self.runs),
            'request_runs': dict(self.request_runs),
            'running': self.running,
            'most_running': self.peak_running,
        }

    def create_announcement(self) -> dict[str, typing.Any]:
        """Return the fields of the next announcement."""
        return {
            'service': self.identity.service,
            'id': self.identity.upstream,
            'address': self.address,
            'region': self.identity.region,
            'domain': self.identity.domain,
            'slots': self.identity.slots,
            'connections': self.identity.connections,
            'state': 'draining' if self.mode.is_draining else 'ready',
            'incarnation': self._incarnation,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._transports.add(request.transport)
        if request.transport in self._frozen:
            self.counts['frozen'] += 1
            await asyncio.sleep(_HANG_SECONDS)
        if request.path.startswith(CONTROL_PREFIX):
            return await self._handle_control(request)
        self.counts['requests'] += 1
        if self._draw_fault(self.mode.shed_ratio):
            self.counts['shed'] += 1
            return web.Response(
                status=503,
                headers={
                    outcomes.SHED_HEADER: '1',
                    outcomes.EXCHANGE_HEADER: request.headers.get(
                        outcomes.EXCHANGE_HEADER, ''
                    ),
                },
            )
        body = await request.read()
        async with self._slots:
            self.running += 1
            self.peak_running = max(self.peak_running, self.running)
            try:
                return await self._run(request, body)
            finally:
                self.running -= 1

    async def _run(
        self,
        request: web.BaseRequest,
        body: bytes,
    ) -> web.StreamResponse:
        self._count_run(request)
        if self.mode.crashes_on_poison and POISON_HEADER in request.headers:
            self.counts['crashed'] += 1
            self._abort_all()
            await asyncio.sleep(_HANG_SECONDS)
        if self._draw_fault(self.mode.hang_ratio):
            self.counts['hung'] += 1
            await asyncio.sleep(_HANG_SECONDS)
        factor = self.mode.slow_factor if self._is_faulty() else 1.0
        await asyncio.sleep(self.mode.service_seconds * factor)
        if self._draw_fault(self.mode.reset_ratio):
            self.counts['reset'] += 1
            _abort(request.transport)
            await asyncio.sleep(_HANG_SECONDS)
        if self._draw_fault(self.mode.error_ratio):
            self.counts['error'] += 1
            return web.Response(status=500, text='error')
        return await self._answer(request, body)

    async def _answer(
        self,
        request: web.BaseRequest,
        body: bytes,
    ) -> web.StreamResponse:
        size = int(request.headers.get(SIZE_HEADER, '0'))
        request_id = request.headers.get(ECHO_HEADER, '')
        text = json.dumps(
            {
                'request': request_id,
                'upstream': self.identity.upstream,
                'received': len(body),
                'deadline': request.headers.get(outcomes.DEADLINE_HEADER, ''),
            }
        )
        payload = text.encode().ljust(size)
        exchange = request.headers.get(outcomes.EXCHANGE_HEADER, '')
        headers = {
            ECHO_HEADER: request_id,
            outcomes.EXCHANGE_HEADER: exchange,
            'Content-Type': 'application/json',
        }
        if self._draw_fault(self.mode.truncate_ratio):
            self.counts['truncated'] += 1
            return await self._truncate(request, payload, headers)
        self.counts['answered'] += 1
        return web.Response(body=payload, headers=headers)

    async def _truncate(
        self,
        request: web.BaseRequest,
        payload: bytes,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_length = len(payload)
        await response.prepare(request)
        await response.write(payload[: len(payload) // 2])
        if request.transport is not None:
            request.transport.close()
        return response

    async def _handle_control(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        if request.path == '/-/mode' and request.method == 'PUT':
            changes = await request.json()
            self.mode = dataclasses.replace(self.mode, **changes)
            return web.Response(status=204)
        if request.path == '/-/freeze':
            self.freeze()
            return web.Response(status=204)
        if request.path == '/-/report':
            return web.json_response(self.report())
        return web.Response(status=404)

    def _count_run(self, request: web.BaseRequest) -> None:
        self.counts['runs'] += 1
        key = request.headers.get(outcomes.KEY_HEADER)
        if key:
            caller = request.headers.get(outcomes.CALLER_HEADER, '')
            self.runs[f'{caller}/{key}'] += 1
        request_id = request.headers.get(ECHO_HEADER)
        if request_id:
            self.request_runs[request_id] += 1

    def _draw_fault(self, ratio: float) -> bool:
        if ratio <= 0 or not self._is_faulty():
            return False
        return self._random.random() < ratio

    def _is_faulty(self) -> bool:
        period = self.mode.flap_seconds
        return period <= 0 or int(time.monotonic() / period) % 2 == 0

    def _abort_all(self) -> None:
        for transport in self._transports:
            _abort(transport)
        self._transports.clear()

    async def _announce_periodically(self) -> None:
        async with client.ClientSession(
            timeout=client.ClientTimeout(total=ANNOUNCE_SECONDS),
        ) as session:
            while True:
                if self.mode.announces:
                    await self._announce(session)
                await asyncio.sleep(ANNOUNCE_SECONDS)

    async def _announce(self, session: client.ClientSession) -> None:
        for entry in self._random.sample(self._entries, len(self._entries)):
            url = f'http://{entry}/-/announce'
            announcement = self.create_announcement()
            with contextlib.suppress(client.ClientError, TimeoutError):
                async with session.post(url, json=announcement) as answer:
                    if answer.status < 300:
                        return


def _abort(transport: asyncio.BaseTransport | None) -> None:
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()


def create_upstream(
    identity: UpstreamIdentity,
    entries: typing.Sequence[str] = (),
    seed: int = 1,
) -> FakeUpstream:
    """Create a fake upstream without starting it.

    :param entries: addresses of entry hosts. Each second, they are tried in
        random order until one accepts the announcement.
    :param seed: seed of the faults and of this order.
    """
    return FakeUpstream(identity, list(entries), seed)


async def run_upstream(
    identity: UpstreamIdentity,
    address: str,
    entries: typing.Sequence[str],
    seed: int,
) -> None:
    """Run one fake upstream until cancelled; print its address first."""
    upstream = create_upstream(identity, entries, seed)
    print(await upstream.start(address), flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await upstream.close()


def parse_identity(text: str) -> UpstreamIdentity:
    """Parse an identity ``service/id/region/domain[/slots[/connections]]``.

    >>> parse_identity('vitrina/u1/costa-norte/costa-baq/3').slots
    3
    """
    service, upstream, region, domain, *limits = text.split('/')
    numbers = [int(limit) for limit in limits]
    return UpstreamIdentity(service, upstream, region, domain, *numbers)


@click.command()
@click.option('--identity', required=True, help='service/id/region/domain')
@click.option('--address', default='127.0.0.1:0')
@click.option('--entry', 'entries', multiple=True)
@click.option('--seed', type=int, default=1)
def main(
    identity: str,
    address: str,
    entries: tuple[str, ...],
    seed: int,
) -> None:
    """Run one fake upstream that announces itself to entry hosts."""
    parsed = parse_identity(identity)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run_upstream(parsed, address, entries, seed))


if __name__ == '__main__':
    main()
