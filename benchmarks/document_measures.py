"""Measures of the configuration document on its way to a host.

How long a document and a change of one route take over 2 Mbit/s, and their
bytes on the link. ``python -m benchmarks.document_measures`` runs it by itself.
"""

import asyncio
import statistics
import time

import click

from wagtailspread.gateway.tests import configured_fleets

ROUTES = (1_400, 11_000)
CHANGES = 5
_MOST_SECONDS = 20.0
#: Seeds of the routes that changes bring; those at first have seed 1.
_FIRST_SEED = 50
_PAUSE_SECONDS = 0.5


def measure_documents() -> list[str]:
    """Return a line for each size of the document, and for its changes."""
    lines: list[str] = []
    for count in ROUTES:
        lines.extend(asyncio.run(_measure(count)))
    return lines


async def _measure(count: int) -> list[str]:
    routes = configured_fleets.create_routes(count)
    body = configured_fleets.create_body(1, routes)
    seconds = []
    sizes = []
    async with configured_fleets.Replica() as replica:
        async with configured_fleets.run_host(replica) as host:
            started = time.monotonic()
            replica.put(1, body)
            await configured_fleets.wait_for_version(host, 1, _MOST_SECONDS)
            whole_seconds = time.monotonic() - started
            whole = replica.link.passed
            for version in range(2, CHANGES + 2):
                await asyncio.sleep(_PAUSE_SECONDS)
                before = replica.link.passed
                changed = configured_fleets.create_routes(
                    1,
                    seed=_FIRST_SEED + version,
                )
                routes[version * count // (CHANGES + 2)] = changed[0]
                body = configured_fleets.create_body(version, routes)
                started = time.monotonic()
                replica.put(version, body)
                await configured_fleets.wait_for_version(
                    host,
                    version,
                    _MOST_SECONDS,
                )
                seconds.append(time.monotonic() - started)
                sizes.append(replica.link.passed - before)
    return [
        f'measure document routes={count} bytes={len(body)} '
        f'on-link={whole} seconds={whole_seconds:.3f}',
        f'measure document-change routes={count} '
        f'on-link={statistics.median(sizes):.0f} '
        f'seconds={statistics.median(seconds):.3f}',
    ]


if __name__ == '__main__':
    for line in measure_documents():
        click.echo(line)
