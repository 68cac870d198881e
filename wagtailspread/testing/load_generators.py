"""A load generator: open-loop requests of several priorities.

Every request has an id that the upstream echoes, so an answer that belongs to
another request is found. Requests start at exponentially distributed
intervals whether or not earlier ones were answered.
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

#: Range and precision of the latency histograms, in microseconds.
_LOWEST_MICROS = 1
_HIGHEST_MICROS = 120_000_000
_DIGITS = 3
_QUANTILES = (50.0, 90.0, 99.0, 99.9)
_OK = 200
_FAULTS = frozenset(('mismatched', 'truncated'))


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind.

    :param rate: requests started per second.
    :param deadline_ms: deadline sent along; 0 for none.
    :param body_bytes: size of the request body.
    :param answer_bytes: smallest size of the answer asked for.
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
    """What one stream saw."""

    started: int = 0
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    latency: typing.Any = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            _LOWEST_MICROS,
            _HIGHEST_MICROS,
            _DIGITS,
        ),
    )

    def note(self, outcome: str, seconds: float) -> None:
        """Count one finished request."""
        self.counts[outcome] += 1
        if outcome == outcomes.Outcome.UPSTREAM.value:
            self.latency.record_value(max(1, int(seconds * 1_000_000)))

    @property
    def faults(self) -> int:
        """Return the number of answers that no caller may ever get."""
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
        """Keep the settings."""
        self.reports = {stream.name: StreamReport() for stream in streams}
        self.keys: list[str] = []
        self._entries = list(entries)
        self._streams = streams
        self._seed = seed
        self._caller = caller

    async def run(self, seconds: float) -> None:
        """Send for ``seconds`` and wait for the answers."""
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
        """Return the number of mismatched and truncated answers."""
        return sum(report.faults for report in self.reports.values())

    async def _run_stream(
        self,
        session: aiohttp.ClientSession,
        stream: Stream,
        seconds: float,
        number: int,
    ) -> None:
        chance = random.Random(f'{self._seed}/{number}')
        running: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + seconds
        while due < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = loop.create_task(self._request(session, stream, chance))
            running.add(task)
            task.add_done_callback(running.discard)
            due += chance.expovariate(stream.rate)
        await asyncio.gather(*running)

    async def _request(
        self,
        session: aiohttp.ClientSession,
        stream: Stream,
        chance: random.Random,
    ) -> None:
        report = self.reports[stream.name]
        report.started += 1
        request = f'{self._caller}-{self._seed}-{stream.name}-{report.started}'
        started = time.monotonic()
        try:
            outcome = await self._exchange(session, stream, request, chance)
        except aiohttp.ClientPayloadError:
            outcome = 'broken-transfer'
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = type(error).__name__
        report.note(outcome, time.monotonic() - started)

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        stream: Stream,
        request: str,
        chance: random.Random,
    ) -> str:
        entry = chance.choice(self._entries)
        async with session.request(
            stream.method,
            f'http://{entry}{stream.path}',
            headers=self._create_headers(stream, request),
            data=bytes(stream.body_bytes) or None,
        ) as answer:
            body = await answer.read()
            outcome = answer.headers.get(outcomes.OUTCOME_HEADER, 'none')
            reason = answer.headers.get(outcomes.REASON_HEADER, '')
            if outcome != outcomes.Outcome.UPSTREAM.value:
                return f'{outcome}:{reason}'
            if answer.status != _OK:
                return f'upstream:{answer.status}'
            return check_answer(stream, request, body)

    def _create_headers(self, stream: Stream, request: str) -> dict[str, str]:
        headers = {
            upstreams.ECHO_HEADER: request,
            outcomes.CALLER_HEADER: self._caller,
        }
        if stream.answer_bytes:
            headers[upstreams.SIZE_HEADER] = str(stream.answer_bytes)
        if stream.deadline_ms:
            headers[outcomes.DEADLINE_HEADER] = str(stream.deadline_ms)
        if stream.has_key:
            headers[outcomes.KEY_HEADER] = request
            self.keys.append(f'{self._caller}/{request}')
        return headers


def check_answer(stream: Stream, request: str, body: bytes) -> str:
    """Return the outcome of an upstream's answer.

    >>> stream = Stream('reads', '/', 1.0)
    >>> check_answer(stream, 'r1', b'{"request": "r2", "received": 0}')
    'mismatched'
    """
    try:
        fields = json.loads(body)
    except ValueError:
        return 'truncated'
    if fields['request'] != request:
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
    """Return lines with counts by outcome and latency by stream."""
    lines = []
    for name, report in generator.reports.items():
        counts = ' '.join(
            f'{outcome}={count}'
            for outcome, count in sorted(report.counts.items())
        )
        quantiles = ' '.join(
            f'p{quantile:g}='
            f'{report.latency.get_value_at_percentile(quantile) / 1000:.2f}ms'
            for quantile in _QUANTILES
        )
        lines.append(
            f'load stream={name} started={report.started}'
            f' seconds={seconds:g} {counts}',
        )
        lines.append(f'load stream={name} answered-latency {quantiles}')
    return lines


def parse_stream(text: str) -> Stream:
    """Return the stream in ``name,path,rate[,method[,deadline-ms]]``.

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
