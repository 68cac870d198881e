"""Measures of sending the configuration document to a host.

They are the time that a document, and a change of one route, take over a link
of 2 Mbit/s, and their bytes on the link.

Run with ``python -m benchmarks.document_measures``.
"""

import asyncio
import statistics
import time

import click

from wagtailspread.gateway.tests import configured_fleets

ROUTES = (1_400, 11_000)
CHANGES = 5
_MAX_WAIT_SECONDS = 20.0
#: Added to the version for the seed of a changed route, so that it differs from
#: the initial routes, which have seed 1.
_CHANGE_SEED_OFFSET = 50
#: Time between two changes.
_PAUSE_SECONDS = 0.5


def measure_documents() -> list[str]:
    """Return two lines per document size: the document and its changes."""
    lines: list[str] = []
    for count in ROUTES:
        lines.extend(asyncio.run(_measure(count)))
    return lines


async def _measure(count: int) -> list[str]:
    routes = configured_fleets.create_routes(count)
    body = configured_fleets.create_body(1, routes)
    change_seconds = []
    change_bytes = []
    async with configured_fleets.Replica() as replica:
        async with configured_fleets.run_host(replica) as host:
            started = time.monotonic()
            replica.put(1, body)
            await configured_fleets.wait_for_version(host, 1, _MAX_WAIT_SECONDS)
            document_seconds = time.monotonic() - started
            document_bytes = replica.link.passed
            for version in range(2, CHANGES + 2):
                await asyncio.sleep(_PAUSE_SECONDS)
                before = replica.link.passed
                changed = configured_fleets.create_routes(
                    1,
                    seed=_CHANGE_SEED_OFFSET + version,
                )
                routes[version * count // (CHANGES + 2)] = changed[0]
                body = configured_fleets.create_body(version, routes)
                started = time.monotonic()
                replica.put(version, body)
                await configured_fleets.wait_for_version(
                    host,
                    version,
                    _MAX_WAIT_SECONDS,
                )
                change_seconds.append(time.monotonic() - started)
                change_bytes.append(replica.link.passed - before)
    return [
        f'measure document routes={count} bytes={len(body)} '
        f'on-link={document_bytes} seconds={document_seconds:.3f}',
        f'measure document-change routes={count} '
        f'on-link={statistics.median(change_bytes):.0f} '
        f'seconds={statistics.median(change_seconds):.3f}',
    ]


if __name__ == '__main__':
    for line in measure_documents():
        click.echo(line)
