"""Measures configuration and idempotency keys at the size to design for.

Run by itself with ``python -m benchmarks.configuration_measures``. The data is
the same in every run; only times and memory vary.
"""

import base64
import dataclasses
import gc
import hashlib
import os
import pathlib
import time
import typing

import click

from cryptography.hazmat.primitives.asymmetric import ed25519

from wagtailspread.configuration import (
    deltas,
    loaders,
    routes,
    schemas,
    signatures,
    versions,
)
from wagtailspread.core import identifiers
from wagtailspread.idempotency import claims
from wagtailspread.wire import credentials, messages

MEMBER = identifiers.MemberId('site')
_CHANGED = '/w/0/1\n'
_MEBIBYTE = 1024 * 1024
_MICROSECONDS = 10**6
_MILLION = 10**6
_STATM = pathlib.Path('/proc/self/statm')


@dataclasses.dataclass(frozen=True, slots=True)
class Scale:
    """Size of a measurement."""

    services: int = 1200
    routes: int = 11_000
    keys: int = 50_000
    timed_keys: int = 10_000
    lookups: int = 50_000
    changes: int = 300


def measure_configuration(scale: Scale = Scale()) -> list[str]:
    """Return the lines ``measure scenario ours=X unit=U``."""
    # Memory is measured first: later it would come from what others freed.
    lines = list(_measure_claims(scale))
    lines.extend(_measure_claim_rates(scale))
    lines.extend(_measure_changes(scale))
    lines.extend(_measure_versions(scale))
    return lines


def write_base(scale: Scale) -> str:
    """Return a base file with services and routes of this scale."""
    public = credentials.public_bytes(_create_key())
    shown = schemas.MemberSettings(MEMBER, public)
    parts = [
        '[fleet]\nname = measured\n',
        f'[member {MEMBER}]\npublic_key = {_encode(shown)}\n',
        '[region r]\ndomains = d1, d2\nhosts = 1200\nlink = 30Mbit/s\n',
    ]
    parts.extend(
        f'[service s{number}]\nfloor = 60%\ndeadline = 2s\n'
        for number in range(scale.services)
    )
    parts.extend(
        f'[route r{number}]\nservice = s{number % scale.services}\n'
        f'path = /w/{number // 7}/{number}\nmethods = GET HEAD\n'
        'priority = urgent\n'
        for number in range(scale.routes)
    )
    return ''.join(parts)


def _measure_changes(scale: Scale) -> typing.Iterator[str]:
    """Submit signed changes to a configuration of today's size."""
    small = Scale(services=3, routes=12)
    base = write_base(small)
    state = versions.create_configuration()
    state.submit(_create_first(base))
    submissions = [
        _create_change(
            number,
            {
                'base.ini': base.replace(
                    'deadline = 2s', f'deadline = {number}s'
                )
            },
        )
        for number in range(1, scale.changes + 1)
    ]
    seconds, submitted = _measure_time(
        lambda: [state.submit(submission) for submission in submissions],
    )
    _require(all(answer.status == 'accepted' for answer in submitted))
    rate = scale.changes / seconds
    yield _write_line('changes-rate', f'{small.routes}-routes', rate, '1/s')


def _create_first(base: str) -> messages.Struct:
    return signatures.create_submission(
        identifiers.SubmissionId('first'),
        0,
        MEMBER,
        {'base.ini': base},
    )


def _create_change(
    based_on: int,
    texts: dict[str, str],
) -> messages.Struct:
    submission = signatures.create_submission(
        identifiers.SubmissionId(f'change-{based_on}'),
        based_on,
        MEMBER,
        texts,
    )
    signatures.sign_submission(submission, _create_key())
    return submission


def _measure_versions(scale: Scale) -> typing.Iterator[str]:
    scenario = f'{scale.routes}-routes'
    base = write_base(scale)
    yield _write_line('base-file-size', scenario, len(base) / _MEBIBYTE, 'MiB')
    loader = loaders.create_loader()
    seconds, loaded = _measure_time(lambda: loader.load({'base.ini': base}))
    yield _write_line('check-whole', scenario, seconds, 's')
    state = versions.create_configuration()
    first = _create_first(base)
    seconds, _ = _measure_time(lambda: state.submit(first))
    yield _write_line('submit-first', scenario, seconds, 's')
    known = state.files
    changed = base.replace(_CHANGED, '/w/0/changed\n', 1)
    second = _create_change(1, {'base.ini': changed})
    seconds, answer = _measure_time(lambda: state.submit(second))
    _require(answer.status == 'accepted')
    yield _write_line('submit-one-route', scenario, seconds, 's')
    seconds, delta = _measure_time(lambda: state.delta_since(1))
    yield _write_line('delta-time', scenario, seconds, 's')
    yield _write_line('delta-size', scenario, len(messages.encode(delta)), 'B')
    loader.load(known)
    seconds, updated = _measure_time(lambda: deltas.apply_delta(known, delta))
    _require(updated == state.files)
    yield _write_line('delta-apply', scenario, seconds, 's')
    seconds, _ = _measure_time(lambda: loader.load(updated))
    yield _write_line('host-load-one-route', scenario, seconds, 's')
    snapshot = state.take_snapshot()
    yield _write_line(
        'snapshot-size', scenario, len(snapshot) / _MEBIBYTE, 'MiB'
    )
    other = versions.create_configuration()
    seconds, _ = _measure_time(lambda: other.restore(snapshot))
    yield _write_line('restore', scenario, seconds, 's')
    yield from _measure_routes(scale, loaded.unwrap()[MEMBER])


def _measure_routes(
    scale: Scale,
    settings: schemas.Settings,
) -> typing.Iterator[str]:
    scenario = f'{scale.routes}-routes'
    seconds, table = _measure_time(lambda: routes.create_route_table(settings))
    yield _write_line('route-table', scenario, seconds, 's')
    paths = [
        f'/w/{number // 7}/{number}/page/{number}'
        for number in range(scale.routes)
    ]
    count = scale.lookups

    def match_all() -> int:
        return sum(
            table.match('GET', paths[number % len(paths)]) is not None
            for number in range(count)
        )

    seconds, found = _measure_time(match_all)
    _require(found == count)
    each = seconds / count * _MICROSECONDS
    yield _write_line('route-match', scenario, each, 'us')


def _measure_claims(scale: Scale) -> typing.Iterator[str]:
    scenario = f'{scale.keys}-keys'
    gc.collect()
    before = _read_memory()
    table = claims.create_claim_table()
    for number in range(scale.keys):
        now = number / 100
        table.claim(_create_claim(number), now)
        table.finish(_create_finish(number), now)
    gc.collect()
    each = (_read_memory() - before) / scale.keys
    yield _write_line('key-memory', scenario, each, 'B')
    projected = each * _MILLION / _MEBIBYTE
    yield _write_line('memory-projected', '1000000-keys', projected, 'MiB')
    seconds, _ = _measure_time(table.freeze)
    yield _write_line('freeze-time', scenario, seconds, 's')
    seconds, snapshot = _measure_time(table.take_snapshot)
    yield _write_line('snapshot-time', scenario, seconds, 's')
    yield _write_line(
        'snapshot-size', scenario, len(snapshot) / _MEBIBYTE, 'MiB'
    )
    seconds, _ = _measure_time(
        lambda: claims.create_claim_table().restore(snapshot)
    )
    yield _write_line('restore-time', scenario, seconds, 's')
    seconds, forgotten = _measure_time(
        lambda: table.expire(2 * claims.DEFAULT_LIFETIME_SECONDS),
    )
    _require(forgotten == scale.keys)
    yield _write_line('expire-time', scenario, seconds, 's')


def _measure_claim_rates(scale: Scale) -> typing.Iterator[str]:
    scenario = f'{scale.timed_keys}-keys'
    table = claims.create_claim_table()
    requests = [_create_claim(number) for number in range(scale.timed_keys)]
    seconds, answers = _measure_time(
        lambda: [table.claim(request, 0) for request in requests],
    )
    _require(all(answer.state == 'granted' for answer in answers))
    yield _write_line(
        'claims-rate', scenario, scale.timed_keys / seconds, '1/s'
    )
    finishes = [_create_finish(number) for number in range(scale.timed_keys)]
    seconds, finished = _measure_time(
        lambda: [table.finish(finish, 1) for finish in finishes],
    )
    _require(all(finished))
    yield _write_line(
        'finishes-rate', scenario, scale.timed_keys / seconds, '1/s'
    )


def _create_claim(number: int) -> messages.Struct:
    return messages.structs.ClaimKey(
        service_name='contratos',
        caller=f'caller-{number % 1000}',
        key=f'order-{number:032d}',
        attempt=f'host-{number % 44}-{number:024d}',
        host=f'host-{number % 44}',
        deadline_ms=4000,
        fingerprint=hashlib.blake2b(
            str(number).encode(),
            digest_size=16,
        ).digest(),
    )


def _create_finish(number: int) -> messages.Struct:
    return messages.structs.FinishKey(
        service_name='contratos',
        caller=f'caller-{number % 1000}',
        key=f'order-{number:032d}',
        attempt=f'host-{number % 44}-{number:024d}',
        state='finished',
        answer=messages.structs.StoredAnswer(
            status=201,
            headers=[['Content-Type', 'application/json']],
            body=b'{"order": %d, "state": "accepted"}' % number,
            is_complete=True,
        ),
    )


def _create_key() -> ed25519.Ed25519PrivateKey:
    seed = hashlib.sha256(MEMBER.encode()).digest()
    return ed25519.Ed25519PrivateKey.from_private_bytes(seed)


def _encode(member: schemas.MemberSettings) -> str:
    return base64.b64encode(member.public_key).decode()


def _read_memory() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(_STATM.read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def _measure_time(
    action: typing.Callable[[], typing.Any],
) -> tuple[float, typing.Any]:
    started = time.perf_counter()
    outcome = action()
    return time.perf_counter() - started, outcome


def _write_line(measure: str, scenario: str, ours: float, unit: str) -> str:
    return f'{measure} {scenario} ours={ours:.4g} unit={unit}'


def _require(is_met: bool) -> None:
    if not is_met:
        raise RuntimeError('the measured operation gave a wrong result')


@click.command()
@click.option('--keys', default=Scale().keys, help='Keys in the store.')
def main(keys: int) -> None:
    """Print the measures of configuration and idempotency keys."""
    for shown in measure_configuration(Scale(keys=keys)):
        click.echo(shown)


if __name__ == '__main__':
    main()
