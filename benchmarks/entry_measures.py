"""Speed of the request path, compared with a plain aiohttp proxy.

Each proxy runs in its own process in front of the same fake upstreams. Both get
short slices of load in turn; requests per second per core are the requests of a
slice divided by the median of the processor time that the proxy used for one.
Added latency is the latency through a proxy minus the latency of the same load
sent directly to the upstreams.

Run with ``python -m benchmarks.entry_measures``.
"""

import asyncio
import itertools
import random
import statistics
import subprocess
import sys
import time

from aiohttp import client, web

from wagtailspread.allocation import coordination, policies
from wagtailspread.core import clocks, identifiers
from wagtailspread.entry import allocations, announcements, attempts
from wagtailspread.entry import connections
from wagtailspread.entry import exchanges, forwarding, interfaces, keys
from wagtailspread.entry import hosts, owners, servers, slots
from wagtailspread.health import judges
from wagtailspread.observability import metrics, traces
from wagtailspread.processes import observers
from wagtailspread.testing import stand_ins
from wagtailspread.wire import credentials, links, signing

SEED = 20261204
UPSTREAMS = 4
CONNECTIONS = 16
#: Number of requests per slice; the slices of the two proxies alternate.
SLICE_REQUESTS = 160
SLICES = 20
#: Request rates at which the latency is measured, in requests per second.
RATES = (183, 500)
#: Duration of one round at one rate.
RATE_SECONDS = 0.65
#: Rounds per rate; the result is the median of the quantiles of the rounds.
RATE_ROUNDS = 3
_SERVICE = identifiers.ServiceName('vitrina')
_REQUEST = (
    b'GET /vitrina/columnas/17?formato=html HTTP/1.1\r\n'
    b'Host: vitrina.example\r\n'
    b'Accept: text/html\r\n'
    b'Wagtailspread-Caller: diario\r\n'
    b'Wagtailspread-Deadline-Ms: 2000\r\n'
    b'User-Agent: bench\r\n\r\n'
)
_BODY = b'x' * 2048


async def run_upstream() -> None:
    """Answer every request with a fixed body."""

    async def answer(_request: web.BaseRequest) -> web.Response:
        return web.Response(body=_BODY, content_type='text/html')

    await _serve(web.Server(answer, access_log=None))


async def run_naive(upstreams: list[str]) -> None:
    """Forward requests to the upstreams in turn, without decisions."""
    turns = itertools.cycle(upstreams)
    async with client.ClientSession(auto_decompress=False) as session:

        async def forward(request: web.BaseRequest) -> web.StreamResponse:
            async with session.request(
                request.method,
                f'http://{next(turns)}{request.path_qs}',
                headers=request.headers,
            ) as reply:
                response = web.StreamResponse(
                    status=reply.status,
                    headers=reply.headers,
                )
                await response.prepare(request)
                async for chunk in reply.content.iter_any():
                    await response.write(chunk)
                await response.write_eof()
                return response

        await _serve(web.Server(forward, access_log=None))


async def run_ours(upstreams: list[str]) -> None:
    """Run an entry host that owns the allocation of the service."""
    clock = clocks.SystemClock()
    peer = credentials.Peer(
        identifiers.MemberId('andino'),
        identifiers.HostId('h1'),
        'entry',
    )
    local_credentials = credentials.Credentials(peer, signing.create_key())
    judge = judges.create_judge(judges.HealthPolicy(), random.Random(SEED))
    coordinator = coordination.create_coordinator(
        policies.AllocationPolicy(),
        judge,
        random.Random(SEED),
    )
    table = owners.OwnerTable(lambda _service: (coordinator, judge), clock)
    identity = allocations.HostIdentity(
        peer.host,
        identifiers.RegionName('costa-norte'),
        identifiers.FailureDomain('costa-baq'),
    )
    owner = interfaces.OwnerEndpoint(peer.host, identifiers.Address(''))
    allocator = allocations.create_client(
        identity,
        stand_ins.FixedOwnership([owner]),
        table,
        links.LinkPool(local_credentials, credentials.FixedDirectory({})),
        clock,
    )

    async def announce() -> None:
        while True:
            for number, address in enumerate(upstreams):
                allocator.announce(
                    _create_announcement(number, address, identity)
                )
            await asyncio.sleep(1)

    announcing = asyncio.create_task(announce())
    forwarder = forwarding.Forwarder(
        identity,
        attempts.AttemptRunner(
            peer.host,
            identity.domain,
            allocator,
            exchanges.Exchanger(connections.PoolTable(9), clock),
            clock,
        ),
        keys.KeyClient(stand_ins.MemoryKeyStore(), peer.host, clock),
        traces.create_tracing(traces.TraceSettings(peer.host)),
        clock,
        observers.RequestObserver(metrics.create_metrics(peer.host)),
    )
    routes = [stand_ins.FixedRoute('reads', _SERVICE, '/vitrina')]
    routing = stand_ins.FixedRouting(routes)
    server = servers.create_server(
        routing,
        forwarder,
        announcements.AnnouncementReceiver(routing, allocator, clock),
        stand_ins.AlwaysReady(),
        lambda: {'cpu': time.process_time()},
    )
    listening = await server.start(identifiers.Address('127.0.0.1:0'))
    hosts.tune_garbage_collection()
    print(listening, flush=True)
    await announcing


def measure_entry() -> list[str]:
    """Return the lines of the throughput and of the added latency."""
    return asyncio.run(_measure())


async def _measure() -> list[str]:
    children: list[subprocess.Popen[str]] = []
    try:
        upstreams = [
            _start_role(children, 'upstream') for _ in range(UPSTREAMS)
        ]
        ours = _start_role(children, 'ours', *upstreams)
        naive = _start_role(children, 'naive', *upstreams)
        lines = await _measure_throughput(ours, naive)
        for rate in RATES:
            lines.extend(
                await _measure_latency(rate, ours, naive, upstreams),
            )
        return lines
    finally:
        for process in children:
            process.terminate()
            process.wait()


async def _measure_throughput(ours: str, naive: str) -> list[str]:
    cpu_seconds_by_address: dict[str, list[float]] = {ours: [], naive: []}
    for address in (ours, naive):
        await _run_closed_loop(address, SLICE_REQUESTS)
    for _ in range(SLICES):
        for address, cpu_seconds in cpu_seconds_by_address.items():
            before = await _read_cpu_seconds(address)
            await _run_closed_loop(address, SLICE_REQUESTS)
            cpu_seconds.append(await _read_cpu_seconds(address) - before)
    rates = [
        SLICE_REQUESTS / statistics.median(slice_seconds)
        for slice_seconds in cpu_seconds_by_address.values()
    ]
    ratio = rates[0] / rates[1]
    return [
        f'measure requests-per-core ours={rates[0]:.0f}'
        f' naive={rates[1]:.0f} unit=requests/s',
        f'measure requests-per-core-ratio ours={ratio:.3f} naive=1 unit=ratio',
    ]


async def _measure_latency(
    rate: int,
    ours: str,
    naive: str,
    upstreams: list[str],
) -> list[str]:
    targets = (upstreams, [ours], [naive])
    rounds: list[list[list[float]]] = [[], [], []]
    for _ in range(RATE_ROUNDS):
        for target, target_rounds in zip(targets, rounds, strict=True):
            target_rounds.append(await _run_open_loop(target, rate))
    lines = []
    for percent in (50, 99):
        direct_seconds, ours_seconds, naive_seconds = (
            statistics.median(
                _compute_quantile(latencies, percent) for latencies in samples
            )
            for samples in rounds
        )
        lines.append(
            f'measure added-latency-p{percent}-at-{rate}'
            f' ours={(ours_seconds - direct_seconds) * 1000:.2f}'
            f' naive={(naive_seconds - direct_seconds) * 1000:.2f} unit=ms',
        )
    return lines


async def _run_closed_loop(address: str, count: int) -> None:
    async def work(connection: '_Connection', request_count: int) -> None:
        for _ in range(request_count):
            await connection.request(_REQUEST)

    opened = [await _connect(address) for _ in range(CONNECTIONS)]
    await asyncio.gather(
        *(work(connection, count // CONNECTIONS) for connection in opened),
    )
    for connection in opened:
        connection.close()


async def _run_open_loop(addresses: list[str], rate: int) -> list[float]:
    rng = random.Random(SEED)
    idle = [await _connect(addresses[i % len(addresses)]) for i in range(32)]
    latencies: list[float] = []

    async def send(due: float) -> None:
        connection = idle.pop(0) if idle else await _connect(addresses[0])
        await connection.request(_REQUEST)
        latencies.append(asyncio.get_running_loop().time() - due)
        idle.append(connection)

    loop = asyncio.get_running_loop()
    due = loop.time()
    end = due + RATE_SECONDS
    tasks = []
    while due < end:
        await asyncio.sleep(max(0.0, due - loop.time()))
        tasks.append(loop.create_task(send(due)))
        due += rng.expovariate(rate)
    await asyncio.gather(*tasks)
    for connection in idle:
        connection.close()
    return latencies


class _Connection:
    """HTTP/1.1 connection that sends one request at a time."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def request(self, request: bytes) -> bytes:
        self._writer.write(request)
        head = await self._reader.readuntil(b'\r\n\r\n')
        if not head.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(f'expected HTTP/1.1 200, got {head[:100]!r}')
        lower = head.lower()
        if b'content-length:' not in lower:
            return await self._read_chunks()
        length = lower.split(b'content-length:')[1].split(b'\r\n')[0]
        return await self._reader.readexactly(int(length))

    def close(self) -> None:
        self._writer.close()

    async def _read_chunks(self) -> bytes:
        body = b''
        while True:
            size = int(await self._reader.readuntil(b'\r\n'), 16)
            chunk = await self._reader.readexactly(size + 2)
            body = body + chunk[:-2]
            if not size:
                return body


async def _connect(address: str) -> _Connection:
    ip, _, port = address.rpartition(':')
    return _Connection(*await asyncio.open_connection(ip, int(port)))


async def _read_cpu_seconds(address: str) -> float:
    connection = await _connect(address)
    body = await connection.request(
        b'GET /-/status HTTP/1.1\r\nHost: x\r\n\r\n',
    )
    connection.close()
    return float(body.split(b':')[1].rstrip(b'}'))


async def _serve(server: web.Server) -> None:
    handler = server.request_handler

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == '/-/status':
            return web.Response(text=f'{{"cpu":{time.process_time()}}}')
        return await handler(request)

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    ip, port = runner.addresses[0][:2]
    print(f'{ip}:{port}', flush=True)
    await asyncio.Event().wait()


def _create_announcement(
    number: int,
    address: str,
    identity: allocations.HostIdentity,
) -> slots.Announcement:
    return slots.Announcement(
        _SERVICE,
        identifiers.UpstreamId(f'u{number}'),
        identifiers.Address(address),
        identity.region,
        identity.domain,
        6,
        400,
        slots.UpstreamState.READY,
        identifiers.Incarnation(1),
    )


def _start_role(children: list[subprocess.Popen[str]], *arguments: str) -> str:
    process = subprocess.Popen(
        (sys.executable, '-m', 'benchmarks.entry_measures', *arguments),
        stdout=subprocess.PIPE,
        text=True,
    )
    children.append(process)
    if process.stdout is None:
        raise RuntimeError('no pipe for the standard output of a role')
    return process.stdout.readline().strip()


def _compute_quantile(latencies: list[float], percent: int) -> float:
    ordered = sorted(latencies)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def main() -> None:
    """Run the process of a role, or print the measures without one."""
    role, *addresses = sys.argv[1:] or ['measure']
    if role == 'upstream':
        asyncio.run(run_upstream())
    elif role == 'naive':
        asyncio.run(run_naive(addresses))
    elif role == 'ours':
        asyncio.run(run_ours(addresses))
    else:
        for line in measure_entry():
            print(line)


if __name__ == '__main__':
    main()
