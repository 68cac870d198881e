"""Measures of the configuration and idempotency keys at the design size.

The data is the same in every run; only times and memory vary.

Run with ``python -m benchmarks.configuration_measures``.
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
from wagtailspread.wire import messages, signing

MEMBER = identifiers.MemberId('site')
_CHANGED_PATH = '/w/0/1\n'
_MEBIBYTE = 1024 * 1024
_MICROSECONDS = 10**6
_MILLION = 10**6
_STATM = pathlib.Path('/proc/self/statm')


@dataclasses.dataclass(frozen=True, slots=True)
class Scale:
    """Size of a measurement.

    :param keys: number of stored idempotency keys.
    :param timed_keys: number of keys that are claimed and finished for the
        rates.
    :param lookups: number of lookups in the route table.
    :param changes: number of signed changes that are submitted.
    """

    services: int = 1200
    routes: int = 11_000
    keys: int = 50_000
    timed_keys: int = 10_000
    lookups: int = 50_000
    changes: int = 300


def measure_configuration(scale: Scale = Scale()) -> list[str]:
    """Return lines of the form ``NAME SCENARIO ours=VALUE unit=UNIT``.

    :raises RuntimeError: when a measured operation gives a wrong result.
    """
    # Memory is measured first: later, the keys would reuse memory that other
    # measurements have freed, and the resident memory would grow by less.
    lines = list(_measure_claims(scale))
    lines.extend(_measure_claim_rates(scale))
    lines.extend(_measure_changes(scale))
    lines.extend(_measure_versions(scale))
    return lines


def write_base(scale: Scale) -> str:
    """Return a base file with the services and routes of a scale."""
    public = signing.public_bytes(_create_key())
    member = schemas.MemberSettings(MEMBER, public)
    parts = [
        '[fleet]\nname = measured\n',
        f'[member {MEMBER}]\npublic_key = {_encode_public_key(member)}\n',
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
    """Submit signed changes to a configuration with few routes."""
    small = Scale(services=3, routes=12)
    base = write_base(small)
    state = versions.create_configuration()
    state.submit(_create_first_submission(base))
    submissions = [
        _create_signed_change(
            number,
            {
                'base.ini': base.replace(
                    'deadline = 2s', f'deadline = {number}s'
                )
            },
        )
        for number in range(1, scale.changes + 1)
    ]
    seconds, submitted = _time_call(
        lambda: [state.submit(submission) for submission in submissions],
    )
    _require(
        all(answer.status == 'accepted' for answer in submitted),
        'all submitted changes to be accepted',
    )
    rate = scale.changes / seconds
    yield _format_line('changes-rate', f'{small.routes}-routes', rate, '1/s')


def _create_first_submission(base: str) -> messages.Struct:
    return signatures.create_submission(
        identifiers.SubmissionId('first'),
        0,
        MEMBER,
        {'base.ini': base},
    )


def _create_signed_change(
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
    yield _format_line('base-file-size', scenario, len(base) / _MEBIBYTE, 'MiB')
    loader = loaders.create_loader()
    seconds, loaded = _time_call(lambda: loader.load({'base.ini': base}))
    yield _format_line('check-whole', scenario, seconds, 's')
    state = versions.create_configuration()
    first = _create_first_submission(base)
    seconds, _ = _time_call(lambda: state.submit(first))
    yield _format_line('submit-first', scenario, seconds, 's')
    base_files = state.files
    changed = base.replace(_CHANGED_PATH, '/w/0/changed\n', 1)
    second = _create_signed_change(1, {'base.ini': changed})
    seconds, answer = _time_call(lambda: state.submit(second))
    _require(
        answer.status == 'accepted', 'the change of one route to be accepted'
    )
    yield _format_line('submit-one-route', scenario, seconds, 's')
    seconds, delta = _time_call(lambda: state.delta_since(1))
    yield _format_line('delta-time', scenario, seconds, 's')
    yield _format_line('delta-size', scenario, len(messages.encode(delta)), 'B')
    loader.load(base_files)
    seconds, updated = _time_call(lambda: deltas.apply_delta(base_files, delta))
    _require(updated == state.files, 'the delta to give the files of version 2')
    yield _format_line('delta-apply', scenario, seconds, 's')
    seconds, _ = _time_call(lambda: loader.load(updated))
    yield _format_line('host-load-one-route', scenario, seconds, 's')
    snapshot = state.take_snapshot()
    yield _format_line(
        'snapshot-size', scenario, len(snapshot) / _MEBIBYTE, 'MiB'
    )
    restored = versions.create_configuration()
    seconds, _ = _time_call(lambda: restored.restore(snapshot))
    yield _format_line('restore', scenario, seconds, 's')
    yield from _measure_routes(scale, loaded.unwrap()[MEMBER])


def _measure_routes(
    scale: Scale,
    settings: schemas.Settings,
) -> typing.Iterator[str]:
    scenario = f'{scale.routes}-routes'
    seconds, table = _time_call(lambda: routes.create_route_table(settings))
    yield _format_line('route-table', scenario, seconds, 's')
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

    seconds, found = _time_call(match_all)
    _require(found == count, 'a route for each path')
    lookup_time = seconds / count * _MICROSECONDS
    yield _format_line('route-match', scenario, lookup_time, 'us')


def _measure_claims(scale: Scale) -> typing.Iterator[str]:
    scenario = f'{scale.keys}-keys'
    gc.collect()
    before = _read_resident_bytes()
    table = claims.create_claim_table()
    for number in range(scale.keys):
        now = number / 100
        table.claim(_create_claim(number), now)
        table.finish(_create_finish(number), now)
    gc.collect()
    key_bytes = (_read_resident_bytes() - before) / scale.keys
    yield _format_line('key-memory', scenario, key_bytes, 'B')
    projected = key_bytes * _MILLION / _MEBIBYTE
    yield _format_line('memory-projected', '1000000-keys', projected, 'MiB')
    seconds, _ = _time_call(table.freeze)
    yield _format_line('freeze-time', scenario, seconds, 's')
    seconds, snapshot = _time_call(table.take_snapshot)
    yield _format_line('snapshot-time', scenario, seconds, 's')
    yield _format_line(
        'snapshot-size', scenario, len(snapshot) / _MEBIBYTE, 'MiB'
    )
    seconds, _ = _time_call(
        lambda: claims.create_claim_table().restore(snapshot)
    )
    yield _format_line('restore-time', scenario, seconds, 's')
    seconds, expired = _time_call(
        lambda: table.expire(2 * claims.DEFAULT_LIFETIME_SECONDS),
    )
    _require(expired == scale.keys, 'all keys to expire')
    yield _format_line('expire-time', scenario, seconds, 's')


def _measure_claim_rates(scale: Scale) -> typing.Iterator[str]:
    scenario = f'{scale.timed_keys}-keys'
    table = claims.create_claim_table()
    requests = [_create_claim(number) for number in range(scale.timed_keys)]
    seconds, answers = _time_call(
        lambda: [table.claim(request, 0) for request in requests],
    )
    _require(
        all(answer.state == 'granted' for answer in answers),
        'all claims to be granted',
    )
    yield _format_line(
        'claims-rate', scenario, scale.timed_keys / seconds, '1/s'
    )
    finishes = [_create_finish(number) for number in range(scale.timed_keys)]
    seconds, finished = _time_call(
        lambda: [table.finish(finish, 1) for finish in finishes],
    )
    _require(all(finished), 'all claimed keys to be finished')
    yield _format_line(
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


def _encode_public_key(member: schemas.MemberSettings) -> str:
    return base64.b64encode(member.public_key).decode()


def _read_resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(_STATM.read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def _time_call(
    action: typing.Callable[[], typing.Any],
) -> tuple[float, typing.Any]:
    started = time.perf_counter()
    outcome = action()
    return time.perf_counter() - started, outcome


def _format_line(measure: str, scenario: str, ours: float, unit: str) -> str:
    return f'{measure} {scenario} ours={ours:.4g} unit={unit}'


def _require(is_met: bool, expectation: str) -> None:
    if not is_met:
        raise RuntimeError(f'wrong result: expected {expectation}')


@click.command()
@click.option('--keys', default=Scale().keys, help='Number of stored keys.')
def main(keys: int) -> None:
    """Print the measures of the configuration and idempotency keys."""
    for line in measure_configuration(Scale(keys=keys)):
        click.echo(line)


if __name__ == '__main__':
    main()
