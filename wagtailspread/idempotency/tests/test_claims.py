"""Tests of claims on idempotency keys."""

import pytest

from wagtailspread.idempotency import claims, keys, records
from wagtailspread.wire import messages

structs = messages.structs


def create_claim(attempt, key='k', fingerprint=b'f', **changes):
    """Return a claim on a key for an attempt."""
    fields = {
        'service_name': 'contratos',
        'caller': 'radio',
        'key': key,
        'attempt': attempt,
        'host': 'h1',
        'deadline_ms': 2000,
        'fingerprint': fingerprint,
    }
    return structs.ClaimKey(**{**fields, **changes})


def create_finish(attempt, state='finished', key='k', body=b'receipt'):
    """Return the request that finishes an attempt."""
    return structs.FinishKey(
        service_name='contratos',
        caller='radio',
        key=key,
        attempt=attempt,
        state=state,
        answer=structs.StoredAnswer(
            status=201,
            headers=[['Location', '/orders/7']],
            body=body,
            is_complete=True,
        ),
    )


def create_release(attempt, key='k'):
    """Return the request that releases an attempt."""
    return structs.ReleaseKey(
        service_name='contratos',
        caller='radio',
        key=key,
        attempt=attempt,
    )


def create_table(**limits):
    """Return an empty table with the given limits."""
    return claims.create_claim_table(claims.ClaimPolicy(**limits))


def test_second_attempt_is_not_granted():
    """Guards against an order that runs twice."""
    table = create_table()
    assert table.claim(create_claim('a1'), 0).state == 'granted'
    assert table.claim(create_claim('a2'), 1).state == 'running'


def test_repeated_claim_of_the_same_attempt_is_granted():
    """Guards against a key blocked because the answer to a claim was lost."""
    table = create_table()
    for now in (0, 1):
        assert table.claim(create_claim('a1'), now).state == 'granted'
    assert table.claim(create_claim('a1'), 3).state == 'unknown'


def test_finished_answer_is_returned_unchanged():
    """Guards against a caller that gets a different answer on retry."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    assert table.finish(create_finish('a1'), 1)
    assert not table.finish(create_finish('a1', body=b'other'), 2)
    answer = table.claim(create_claim('a2'), 80_000)
    assert answer.state == 'finished'
    assert answer.answer == create_finish('a1').answer


def test_attempt_is_unknown_after_deadline_and_margin():
    """Guards against a second attempt while the first may still run."""
    table = create_table(margin=1.0)
    table.claim(create_claim('a1'), 10)
    assert table.claim(create_claim('a2'), 12.999).state == 'running'
    assert table.claim(create_claim('a2'), 13).state == 'unknown'
    assert not table.finish(create_finish('a1'), 14)
    assert not table.release(create_release('a1'), 14)
    assert table.claim(create_claim('a3'), 80_000).state == 'unknown'


def test_attempt_finished_as_unknown_blocks_the_key():
    """Guards against a new attempt after one with an unknown outcome."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    assert table.finish(create_finish('a1', 'unknown'), 1)
    assert table.claim(create_claim('a2'), 2).state == 'unknown'


def test_released_attempt_frees_the_key():
    """Guards against a caller that can never retry its order."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    assert table.release(create_release('a1'), 1)
    assert table.claim(create_claim('a1'), 1).state == 'released'
    assert table.claim(create_claim('a2'), 1).state == 'granted'
    assert table.claim(create_claim('a1'), 1).state == 'released'


def test_release_before_its_claim():
    """Guards against a late claim that runs a released attempt."""
    table = create_table()
    assert table.release(create_release('a1'), 0)
    assert table.claim(create_claim('a1'), 1).state == 'released'
    assert table.claim(create_claim('a2'), 2).state == 'granted'
    assert table.release(create_release('a3'), 2)
    assert table.claim(create_claim('a3'), 2).state == 'released'
    assert table.claim(create_claim('a2'), 2).state == 'granted'


def test_other_attempt_cannot_finish_or_free_the_key():
    """Guards against the effect of late messages of an older attempt."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    table.release(create_release('a1'), 0)
    table.claim(create_claim('a2'), 0)
    assert not table.finish(create_finish('a1'), 1)
    assert table.release(create_release('a1'), 1)
    assert table.claim(create_claim('a3'), 1).state == 'running'


def test_different_request_with_the_same_key_is_a_mismatch():
    """Guards against returning the answer to a different request."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    other = create_claim('a2', fingerprint=b'g')
    assert table.claim(other, 1).state == 'mismatch'
    table.finish(create_finish('a1'), 1)
    assert table.claim(other, 1).state == 'mismatch'


@pytest.mark.parametrize(
    'other',
    [{'service_name': 'x'}, {'caller': 'x'}, {'key': 'x'}],
)
def test_scope_is_service_caller_and_key(other):
    """Guards against callers that block each other's keys."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    assert table.claim(create_claim('a2', **other), 0).state == 'granted'


def test_keys_expire():
    """Guards against unbounded growth and keys removed too early."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    table.finish(create_finish('a1'), 1)
    assert table.expire(claims.DEFAULT_LIFETIME_SECONDS - 1) == 0
    assert table.expire(claims.DEFAULT_LIFETIME_SECONDS + 60) == 1
    assert (len(table), table.bytes_used) == (0, 0)


def test_expired_key_is_new_even_before_the_sweep():
    """Guards against a lifetime that depends on when expire runs."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    table.finish(create_finish('a1'), 1)
    claim = create_claim('a2', fingerprint=b'g')
    assert (
        table.claim(claim, claims.DEFAULT_LIFETIME_SECONDS).state == 'granted'
    )
    assert table.expire(claims.DEFAULT_LIFETIME_SECONDS + 60) == 0


def test_lifetime_is_taken_from_the_configuration():
    """Guards against using the lifetime of another service."""
    table = claims.create_claim_table(
        lifetimes=claims.FixedLifetimes(seconds=100),
    )
    table.claim(create_claim('a1', deadline_ms=500_000), 0)
    assert table.claim(create_claim('a2'), 101).state == 'running'
    assert table.claim(create_claim('a2'), 501).state == 'granted'


def test_new_attempt_does_not_shorten_the_lifetime_of_a_key():
    """Guards against removing a release while its claim is in flight."""
    table = claims.create_claim_table(
        lifetimes=claims.FixedLifetimes(seconds=100),
    )
    table.claim(create_claim('a1', deadline_ms=500_000), 0)
    table.release(create_release('a1'), 1)
    table.claim(create_claim('a2'), 2)
    table.finish(create_finish('a2'), 3)
    assert table.claim(create_claim('a1'), 400).state == 'released'


def test_time_is_monotonic():
    """Guards against a claim revived by a leader whose clock lags."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    table.expire(10)
    assert table.claim(create_claim('a2'), 1).state == 'unknown'


def test_full_store_refuses_new_keys_only():
    """Guards against a full store that evicts a key."""
    table = create_table(max_keys=1, spare_keys=1)
    table.claim(create_claim('a1'), 0)
    assert table.claim(create_claim('a2', key='x'), 0).state == 'full'
    assert table.claim(create_claim('a2'), 0).state == 'running'
    assert table.release(create_release('a2', key='x'), 0)
    assert not table.release(create_release('a3', key='y'), 0)
    assert len(table) == 2


def test_released_attempts_of_a_key_are_bounded():
    """Guards against a caller that fills the store with one key."""
    table = create_table(max_released=2)
    for attempt in ('a1', 'a2'):
        assert table.claim(create_claim(attempt), 0).state == 'granted'
        assert table.release(create_release(attempt), 0)
    assert table.claim(create_claim('a3'), 0).state == 'full'
    assert not table.release(create_release('a4'), 0)


@pytest.mark.parametrize(
    ('size', 'is_complete'),
    [(records.MAX_BODY_BYTES, True), (records.MAX_BODY_BYTES + 1, False)],
)
def test_large_answer_is_stored_without_its_body(size, is_complete):
    """Guards against bodies that fill the store or are dropped unmarked."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    table.finish(create_finish('a1', body=b'x' * size), 0)
    answer = table.claim(create_claim('a2'), 0).answer
    assert (answer.status, answer.is_complete) == (201, is_complete)
    assert len(answer.body) == (size if is_complete else 0)


def test_large_headers_are_left_out():
    """Guards against headers that fill the store."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    finish = create_finish('a1')
    finish.answer.headers = [['X', 'x' * records.MAX_HEADER_BYTES]]
    table.finish(finish, 0)
    answer = table.claim(create_claim('a2'), 0).answer
    assert (answer.headers, answer.is_complete) == ([], False)


def test_bytes_are_bounded():
    """Guards against a store that exceeds its memory limit."""
    table = create_table(max_bytes=100_000)
    states = []
    for number in range(300):
        claim = create_claim(f'a{number}', key=f'k{number}')
        states.append(table.claim(claim, 0).state)
        finish = create_finish(f'a{number}', key=f'k{number}', body=b'x' * 9000)
        table.finish(finish, 0)
    assert table.bytes_used <= 100_000
    assert states.count('granted') > 10
    assert states[-1] == 'full'


def test_snapshot_preserves_the_whole_table():
    """Guards against a replica that differs after a restart."""
    table = create_table()
    table.claim(create_claim('a1', key='x'), 0)
    table.claim(create_claim('a1'), 5)
    table.finish(create_finish('a1'), 6)
    table.release(create_release('a9', key='y'), 7)
    other = create_table()
    other.restore(table.take_snapshot())
    assert other.take_snapshot() == table.take_snapshot()
    assert other.bytes_used == table.bytes_used
    assert other.claim(create_claim('a2', key='x'), 0).state == 'unknown'
    assert other.claim(create_claim('a9', key='y'), 0).state == 'released'
    assert other.expire(200_000) == 3


@pytest.mark.parametrize('snapshot', [b'', b'\x00', b'x' * 40])
def test_invalid_snapshot_is_refused(snapshot):
    """Guards against a table that starts empty from a damaged file."""
    with pytest.raises(ValueError, match='snapshot'):
        create_table().restore(snapshot)


def test_truncated_snapshot_is_refused():
    """Guards against keys lost from a truncated file."""
    table = create_table()
    empty = len(table.take_snapshot())
    table.claim(create_claim('a1'), 0)
    snapshot = table.take_snapshot()
    for length in (empty, len(snapshot) - 1):
        with pytest.raises(ValueError, match='snapshot'):
            create_table().restore(snapshot[:length])


@pytest.mark.parametrize('column', ['scopes', 'states', 'deadlines'])
def test_truncated_column_is_refused(column):
    """Guards against records assembled from misaligned columns."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    columns = messages.decode(structs.ClaimColumns, table.take_snapshot())
    setattr(columns, column, getattr(columns, column)[:-1])
    with pytest.raises(ValueError, match='snapshot'):
        create_table().restore(messages.encode(columns))


def test_truncated_text_column_is_refused():
    """Guards against truncated attempt ids."""
    table = create_table()
    table.claim(create_claim('a1'), 0)
    columns = messages.decode(structs.ClaimColumns, table.take_snapshot())
    columns.attempts.joined = b'a'
    with pytest.raises(ValueError, match='snapshot'):
        create_table().restore(messages.encode(columns))


@pytest.mark.parametrize('attempt', [None, b'\xff', 'a\u00e9'])
def test_unusual_attempt_id_survives_a_snapshot(attempt):
    """Guards against replicas that differ after a restart."""
    table = create_table()
    table.claim(create_claim(attempt), 0)
    other = create_table()
    other.restore(table.take_snapshot())
    assert other.claim(create_claim(attempt), 0).state == 'granted'
    for each_table in (table, other):
        assert each_table.release(create_release(attempt), 0)
        assert each_table.claim(create_claim(attempt), 0).state == 'released'
    assert other.take_snapshot() == table.take_snapshot()


def test_key_that_is_not_utf8():
    """Guards against a header that crashes every replica."""
    scope = keys.digest_scope('contratos', 'radio', b'\xff')
    assert scope != keys.digest_scope('contratos', 'radio', '')
