"""Measures of the workspaces of a host at the design size.

They are the memory for each workspace with two keys, and the times to apply a
document and to find the workspace of a key.

Run with ``python -m benchmarks.workspace_measures``.
"""

import gc
import json
import time
import tracemalloc

import click

from wagtailspread.platform import documents
from wagtailspread.routing import tables
from wagtailspread.workspaces import keys

#: Workspaces and keys of each at the design size (DEVELOPERS.md).
WORKSPACES = 77_000
KEYS = 2
LOOKUPS = 20_000
_MEGABYTE = 1_000_000
_MICROSECONDS = 1_000_000

#: Name, value and unit of a measure.
_Figure = tuple[str, float, str]


def create_body(count: int) -> bytes:
    """Return a document with one route and this number of workspaces."""
    route = {
        'name': 'r1',
        'pathPrefix': '/p/',
        'kind': 'safe',
        'service': 'columns',
        'maxAttempts': 2,
    }
    tenants = [
        {
            'name': f'workspace-{number:06}',
            'apiKeys': [_create_key(number, one) for one in range(KEYS)],
            'ratePerS': 5,
            'burst': 10,
        }
        for number in range(count)
    ]
    fields = {
        'version': 1,
        'services': [{'name': 'columns', 'maxConnections': 390}],
        'virtualHosts': [{'host': 'a.example', 'pathRoutes': [route]}],
        'tenants': tenants,
    }
    return json.dumps(fields, separators=(',', ':')).encode()


def measure_workspaces(
    count: int = WORKSPACES,
    lookups: int = LOOKUPS,
) -> list[str]:
    """Return one line for each measure."""
    body = create_body(count)
    started = time.process_time()
    table = _create_table(body)
    seconds = time.process_time() - started
    found = [
        *_measure_memory(body, count),
        ('workspace-apply', seconds, 's'),
        ('workspace-look-up', _time_lookups(table, count, lookups), 'us'),
    ]
    return [
        f'{name} {count}-workspaces ours={value:.4g} unit={unit}'
        for name, value, unit in found
    ]


def _measure_memory(body: bytes, count: int) -> list[_Figure]:
    """Return the memory that stays, and the highest while it is applied.

    The body stays as well, as chunks for the download of the next version.
    """
    gc.collect()
    tracemalloc.start()
    table = _create_table(body)
    gc.collect()
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    total = kept + len(body)
    return [
        ('workspace-index', kept / len(table.workspaces), 'bytes-each'),
        ('workspace-document', len(body) / count, 'bytes-each'),
        ('workspace-memory', total / _MEGABYTE, 'MB'),
        ('workspace-peak', peak / _MEGABYTE, 'MB'),
    ]


def _create_table(body: bytes) -> tables.RouteTable:
    settings = documents.read_valid(body)
    if settings is None:
        raise ValueError('document of the measurement is invalid')
    return tables.RouteTable(settings)


def _time_lookups(
    table: tables.RouteTable,
    count: int,
    lookups: int,
) -> float:
    """Return the processor time to find the workspace of a header, in us."""
    values = [
        [f'Token {_create_key(number % count, 0)}'] for number in range(lookups)
    ]
    started = time.process_time()
    for credentials in values:
        digest = keys.read_digest(credentials)
        if digest is None or table.workspaces.find(digest) is None:
            raise ValueError('key of the measurement is unknown')
    seconds = time.process_time() - started
    return seconds * _MICROSECONDS / lookups


def _create_key(number: int, one: int) -> str:
    return f'key-{number:06}-{one}-0123456789abcdef'


if __name__ == '__main__':
    for line in measure_workspaces():
        click.echo(line)
