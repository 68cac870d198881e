"""Open-loop load generator that sends several streams of requests.

Every request has an id that the upstream echoes, so that an answer to another
request is detected. Requests start at exponentially distributed intervals,
whether or not earlier ones were answered.
"""

import asyncio
import collections
import dataclasses
import json
import random
import sys
import time
import typing

import aiohttp
import click

from hdrh import histogram

from wagtailspread.core import outcomes
from wagtailspread.testing import upstreams

#: Range of the latency histograms, in microseconds.
_MIN_LATENCY_MICROS = 1
_MAX_LATENCY_MICROS = 120_000_000
#: Precision of the latency histograms, in significant decimal digits.
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_OK = 200
#: Outcomes of answers that no caller may get.
_FAULTS = frozenset(('mismatched', 'truncated'))


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Settings of a stream of equal requests.

    :param rate: mean number of requests started per second.
    :param deadline_ms: deadline sent with each request, in milliseconds; 0
        for none.
    :param body_bytes: size of the request body, in bytes.
    :param answer_bytes: requested minimum size of the answer, in bytes.
    :param has_key: whether each request gets an idempotency key.
    """

    name: str
    path: str
    rate: float
    method: str = 'GET'
    deadline_ms: int = 0
    body_bytes: int = 0
    answer_bytes: int = 0
    has_key: bool = False


@dataclasses.dataclass(slots=True)
class StreamReport:
    """Counts and latencies of one stream.

    :param started: number of requests started.
    :param counts: number of finished requests by outcome.
    :param latency: histogram of requests with a correct answer, in
        microseconds.
    """

    started: int = 0
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    latency: typing.Any = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            _MIN_LATENCY_MICROS,
            _MAX_LATENCY_MICROS,
            _SIGNIFICANT_DIGITS,
        ),
    )

    def record(self, outcome: str, seconds: float) -> None:
        """Record one finished request.

        :param seconds: time from the start of the request to its outcome.
        """
        self.counts[outcome] += 1
        if outcome == outcomes.Outcome.UPSTREAM.value:
            self.latency.record_value(max(1, int(seconds * 1_000_000)))

    @property
    def faults(self) -> int:
        """Return the number of mismatched and truncated answers."""
        return sum(self.counts[name] for name in _FAULTS)


class LoadGenerator:
    """Sends streams of requests to entry hosts."""

    def __init__(
        self,
        entries: typing.Sequence[str],
        streams: typing.Sequence[Stream],
        seed: int,
        caller: str = 'load',
    ) -> None:
        """Create an empty report for each stream.

        :param entries: addresses of the entry hosts.
        :param seed: seed of the intervals and the choice of hosts.
        :param caller: name of the caller in the requests.
        """
        self.reports = {stream.name: StreamReport() for stream in streams}
        self.keys: list[str] = []
        self._entries = list(entries)
        self._streams = streams
        self._seed = seed
        self._caller = caller

    async def run(self, seconds: float) -> None:
        """Start requests for ``seconds``, then wait for the last answers."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=60),
        ) as session:
            await asyncio.gather(
                *(
                    self._run_stream(session, stream, seconds, number)
                    for number, stream in enumerate(self._streams)
                ),
            )

    @property
    def faults(self) -> int:
        """Return the number of faults of all streams."""
        return sum(report.faults for report in self.reports.values())

    async def _run_stream(
        self,
        session: aiohttp.ClientSession,
        stream: Stream,
        seconds: float,
        number: int,
    ) -> None:
        rng = random.Random(f'{self._seed}/{number}')
        running: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + seconds
        while due < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = loop.create_task(self._request(session, stream, rng))
            running.add(task)
            task.add_done_callback(running.discard)
            due += rng.expovariate(stream.rate)
        await asyncio.gather(*running)

    async def _request(
        self,
        session: aiohttp.ClientSession,
        stream: Stream,
        rng: random.Random,
    ) -> None:
        report = self.reports[stream.name]
        report.started += 1
        request_id = (
            f'{self._caller}-{self._seed}-{stream.name}-{report.started}'
        )
        started = time.monotonic()
        try:
            outcome = await self._exchange(session, stream, request_id, rng)
        except aiohttp.ClientPayloadError:
            outcome = 'broken-transfer'
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = type(error).__name__
        report.record(outcome, time.monotonic() - started)

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        stream: Stream,
        request_id: str,
        rng: random.Random,
    ) -> str:
        entry = rng.choice(self._entries)
        async with session.request(
            stream.method,
            f'http://{entry}{stream.path}',
            headers=self._create_headers(stream, request_id),
            data=bytes(stream.body_bytes) or None,
        ) as answer:
            body = await answer.read()
            outcome = answer.headers.get(outcomes.OUTCOME_HEADER, 'none')
            reason = answer.headers.get(outcomes.REASON_HEADER, '')
            if outcome != outcomes.Outcome.UPSTREAM.value:
                return f'{outcome}:{reason}'
            if answer.status != _OK:
                return f'upstream:{answer.status}'
            return check_answer(stream, request_id, body)

    def _create_headers(
        self, stream: Stream, request_id: str
    ) -> dict[str, str]:
        headers = {
            upstreams.ECHO_HEADER: request_id,
            outcomes.CALLER_HEADER: self._caller,
        }
        if stream.answer_bytes:
            headers[upstreams.SIZE_HEADER] = str(stream.answer_bytes)
        if stream.deadline_ms:
            headers[outcomes.DEADLINE_HEADER] = str(stream.deadline_ms)
        if stream.has_key:
            headers[outcomes.KEY_HEADER] = request_id
            self.keys.append(f'{self._caller}/{request_id}')
        return headers


def check_answer(stream: Stream, request_id: str, body: bytes) -> str:
    """Return the outcome of an upstream's answer.

    :returns: 'mismatched' if it belongs to another request, 'truncated' if
        the body of the request or of the answer is incomplete, 'upstream'
        otherwise.

    >>> stream = Stream('reads', '/', 1.0)
    >>> check_answer(stream, 'r1', b'{"request": "r2", "received": 0}')
    'mismatched'
    """
    try:
        fields = json.loads(body)
    except ValueError:
        return 'truncated'
    if fields['request'] != request_id:
        return 'mismatched'
    if fields['received'] != stream.body_bytes:
        return 'truncated'
    if len(body) < stream.answer_bytes:
        return 'truncated'
    return outcomes.Outcome.UPSTREAM.value


def format_reports(
    generator: LoadGenerator,
    seconds: float,
) -> list[str]:
    """Return two lines for each stream: counts by outcome and latency.

    :param seconds: duration of the run, as shown in the lines.
    """
    lines = []
    for name, report in generator.reports.items():
        counts = ' '.join(
            f'{outcome}={count}'
            for outcome, count in sorted(report.counts.items())
        )
        percentiles = ' '.join(
            f'p{percentile:g}='
            f'{report.latency.get_value_at_percentile(percentile) / 1000:.2f}ms'
            for percentile in _PERCENTILES
        )
        lines.append(
            f'load stream={name} started={report.started}'
            f' seconds={seconds:g} {counts}',
        )
        lines.append(f'load stream={name} answered-latency {percentiles}')
    return lines


def parse_stream(text: str) -> Stream:
    """Parse a stream given as ``name,path,rate[,method[,deadline-ms]]``.

    Requests with the method POST get idempotency keys.

    >>> parse_stream('urgent,/vitrina/a,20').rate
    20.0
    """
    name, path, rate, *rest = text.split(',')
    method = rest[0] if rest else 'GET'
    deadline_ms = int(rest[1]) if len(rest) > 1 else 0
    return Stream(
        name,
        path,
        float(rate),
        method,
        deadline_ms,
        has_key=method == 'POST',
    )


def create_generator(
    entries: typing.Sequence[str],
    streams: typing.Sequence[Stream],
    seed: int = 1,
    caller: str = 'load',
) -> LoadGenerator:
    """Return a load generator with empty reports."""
    return LoadGenerator(entries, streams, seed, caller)


@click.command()
@click.option('--entry', 'entries', multiple=True, required=True)
@click.option('--stream', 'streams', multiple=True, required=True)
@click.option('--seconds', type=float, default=10.0)
@click.option('--seed', type=int, default=1)
def main(
    entries: tuple[str, ...],
    streams: tuple[str, ...],
    seconds: float,
    seed: int,
) -> None:
    """Send streams of requests and report counts and latency.

    Exits with status 1 if an answer was mismatched or truncated.
    """
    parsed = [parse_stream(text) for text in streams]
    generator = create_generator(entries, parsed, seed)
    asyncio.run(generator.run(seconds))
    for line in format_reports(generator, seconds):
        click.echo(line)
    if generator.faults:
        sys.exit(1)


if __name__ == '__main__':
    main()
