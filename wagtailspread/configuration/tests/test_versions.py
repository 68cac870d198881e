"""Submissions: conflicts, resends, signatures and permissions."""

import pytest

from wagtailspread.configuration import deltas, signatures, versions
from wagtailspread.configuration.tests import builders
from wagtailspread.wire import messages

LONGER = '[service vitrina]\ndeadline = 3s\n'
SHORTER = '[service vitrina]\ndeadline = 1s\n'


def test_first_version_needs_no_signature():
    """Guards against a fleet that cannot be bootstrapped."""
    state = builders.start('a', 'b')
    assert (state.version, list(state.members)) == (1, ['a', 'b'])
    assert list(state.settings) == ['a', 'b']


@pytest.mark.parametrize(
    'section',
    ['[leave]\n', '[approval b]\ndigest = 0\nmembership = 0\n'],
)
def test_first_version_refuses_agreements(section):
    """Guards against unsigned agreements that become valid later."""
    state = versions.create_configuration()
    texts = {
        'base.ini': builders.write_base('a', 'b'),
        'overlay-a.ini': section,
    }
    submission = signatures.create_submission('first', 0, 'a', texts)
    assert 'not-permitted' in builders.kinds(state.submit(submission))
    assert state.version == 0


def test_conflicting_submission_is_not_accepted():
    """Guards against acceptance of two submissions with one base version."""
    state = builders.start('a', 'b')
    first = builders.sign('a', 1, {'overlay-a.ini': LONGER})
    second = builders.sign('b', 1, {'overlay-b.ini': SHORTER})
    assert state.submit(first).status == 'accepted'
    answer = state.submit(second)
    assert (answer.status, answer.version) == ('conflict', 2)
    assert answer.differences == ['overlay-a.ini [service vitrina] changed']
    assert 'overlay-b.ini' not in state.files


def test_resend_gets_the_original_answer():
    """Guards against a change applied twice by a resend after a lost answer."""
    state = builders.start('a')
    submission = builders.sign('a', 1, {'overlay-a.ini': LONGER})
    first = state.submit(submission)
    builders.submit(state, 'a', {'overlay-a.ini': SHORTER})
    assert state.submit(submission) == first
    assert state.version == 3


def test_resend_of_the_first_version():
    """Guards against a refusal of the unsigned first version on resend."""
    state = builders.start('a')
    texts = {'base.ini': builders.write_base('a')}
    resent = signatures.create_submission('first', 0, 'a', texts)
    assert state.submit(resent).status == 'accepted'
    assert state.version == 1


def test_reused_id_is_refused():
    """Guards against a reply with the cached answer to another submission."""
    state = builders.start('a')
    submission_id = builders.sign('a', 1, {}).id
    for text, expected in ((LONGER, 'accepted'), (SHORTER, 'refused')):
        answer = builders.submit(
            state,
            'a',
            {'overlay-a.ini': text},
            submission_id=submission_id,
        )
        assert answer.status == expected
    assert builders.kinds(answer) == ['id-reused']


def test_members_do_not_share_ids():
    """Guards against a member that blocks the ids of another member."""
    state = builders.start('a', 'b')
    options = {'submission_id': 'same'}
    texts = {'overlay-a.ini': LONGER}
    assert builders.submit(state, 'a', texts, **options).status == 'accepted'
    texts = {'overlay-b.ini': LONGER}
    assert builders.submit(state, 'b', texts, **options).status == 'accepted'


def test_resend_after_eviction_is_a_conflict():
    """Guards against an unbounded cache and a change that is applied twice."""
    state = versions.create_configuration(max_answers=3)
    texts = {'base.ini': builders.write_base('a')}
    state.submit(signatures.create_submission('first', 0, 'a', texts))
    resent = builders.sign('a', 1, {'overlay-a.ini': LONGER})
    state.submit(resent)
    for _ in range(3):
        builders.submit(state, 'a', {'overlay-a.ini': SHORTER})
    assert state.submit(resent).status == 'conflict'
    assert state.version == 5


@pytest.mark.parametrize(
    ('member', 'key_name'),
    [('a', 'b'), ('stranger', 'stranger'), ('', 'a')],
)
def test_bad_signature(member, key_name):
    """Guards against a change without the private key of the member."""
    state = builders.start('a', 'b')
    answer = builders.submit(
        state,
        member,
        {'base.ini': builders.write_base('a', 'b', 'stranger')},
        key_name=key_name,
    )
    assert builders.kinds(answer) == ['bad-signature']
    assert state.version == 1


@pytest.mark.parametrize(
    ('field', 'changed'),
    [
        ('id', 'other'),
        ('based_on', 0),
        ('member', 'b'),
        ('files', [messages.structs.SubmittedFile(name='base.ini', text='x')]),
    ],
)
def test_signature_covers_every_field(field, changed):
    """Guards against a signed submission that is altered in transit."""
    state = builders.start('a', 'b')
    submission = builders.sign('a', 1, {'overlay-a.ini': LONGER})
    setattr(submission, field, changed)
    assert builders.kinds(state.submit(submission)) == ['bad-signature']


def test_signature_covers_field_boundaries():
    """Guards against text that is moved from one field to the next."""
    first = signatures.create_submission('i', 1, 'a', {'base.ini': 'x'})
    second = signatures.create_submission('i', 1, 'a', {'base.in': 'ix'})
    texts = [
        signatures.encode_signed_text(submission)
        for submission in (first, second)
    ]
    assert texts[0] != texts[1]


def test_forged_resend_does_not_read_or_replace_an_answer():
    """Guards against cached answers that are disclosed without the key."""
    state = builders.start('a')
    submission = builders.sign('a', 1, {'overlay-a.ini': LONGER})
    state.submit(submission)
    forged = builders.sign('a', 1, {}, submission.id, key_name='x')
    assert builders.kinds(state.submit(forged)) == ['bad-signature']
    assert state.submit(submission).status == 'accepted'


@pytest.mark.parametrize(
    ('texts', 'kind'),
    [
        ({'overlay-b.ini': LONGER}, 'not-permitted'),
        ({'members.ini': ''}, 'not-permitted'),
        ({'other.ini': ''}, 'not-permitted'),
        ({}, 'unknown-file'),
        ({'base.ini': ''}, 'missing-section'),
        ({'base.ini': builders.write_base('a')}, 'missing-section'),
        ({'base.ini': 'x' * (4 * 1024 * 1024 + 1)}, 'out-of-range'),
    ],
)
def test_invalid_files_are_refused(texts, kind):
    """Guards against invalid files and changes of other members' files."""
    state = builders.start('a', 'b')
    answer = builders.submit(state, 'a', texts)
    assert (answer.status, state.version) == ('refused', 1)
    assert kind in builders.kinds(answer)


def test_any_member_may_submit_the_base_file():
    """Guards against a base file that only one member can change."""
    state = builders.start('a', 'b')
    for member, name in (('b', 'second'), ('a', 'third')):
        base = builders.write_base('a', 'b').replace('columnas', name)
        answer = builders.submit(state, member, {'base.ini': base})
        assert answer.status == 'accepted'
        assert state.settings['a'].fleet == name


def test_base_change_that_breaks_an_overlay_is_refused():
    """Guards against a check that covers only the submitted file."""
    state = builders.start('a', 'b')
    builders.submit(state, 'b', {'overlay-b.ini': LONGER})
    base = builders.write_base('a', 'b').replace('vitrina', 'tempahan')
    answer = builders.submit(state, 'a', {'base.ini': base})
    assert builders.kinds(answer) == ['unknown-name']
    assert answer.findings[0].file == 'overlay-b.ini'


def test_all_files_together_are_bounded(monkeypatch):
    """Guards against a full text that exceeds the frame size."""
    limit = 'wagtailspread.configuration.proposals.MAX_TOTAL_BYTES'
    state = builders.start('a', 'b')
    builders.submit(state, 'a', {'overlay-a.ini': '# x\n' * 100})
    monkeypatch.setattr(limit, 1000)
    overlay = {'overlay-b.ini': '# y\n' * 100}
    assert builders.kinds(builders.submit(state, 'b', overlay)) == [
        'out-of-range',
    ]


def test_refused_files_use_no_memory():
    """Guards against a cache that grows with every refusal."""
    state = builders.start('a')
    cache_sizes = []
    for number in range(20):
        base = builders.write_base('a').replace('60%', f'{number}%')
        base = base.replace('hosts = 4', 'hosts = none')
        builders.submit(state, 'a', {'base.ini': base})
        cache_sizes.append(len(state._examiner._cache._current))
    assert state.version == 1
    assert cache_sizes[0] == cache_sizes[-1]


@pytest.mark.parametrize('based_on', [7, -1])
def test_unknown_base_version_is_refused(based_on):
    """Guards against a submission based on the files of another fleet."""
    state = builders.start('a')
    answer = builders.submit(
        state,
        'a',
        {'overlay-a.ini': LONGER},
        based_on=based_on,
    )
    assert builders.kinds(answer) == ['unknown-version']


def test_text_that_is_not_utf8_is_refused():
    """Guards against a submission that crashes every replica."""
    state = builders.start('a')
    submission = builders.sign('a', 1, {'overlay-a.ini': LONGER})
    submission.files[0].text = b'\xff'
    assert builders.kinds(state.submit(submission)) == ['malformed']


def test_empty_overlay_removes_the_file():
    """Guards against an overlay that cannot be removed."""
    state = builders.start('a')
    builders.submit(state, 'a', {'overlay-a.ini': LONGER})
    before = state.files
    builders.submit(state, 'a', {'overlay-a.ini': ''})
    assert list(state.files) == ['base.ini', 'members.ini']
    assert deltas.apply_delta(before, state.delta_since(2)) == state.files


def test_host_ahead_of_a_replica_gets_an_empty_delta():
    """Guards against a lagging replica that rolls a host back."""
    state = builders.start('a')
    delta = state.delta_since(9)
    assert (delta.to_version, delta.sections) == (1, [])


def test_full_text_after_eviction_of_tombstones(monkeypatch):
    """Guards against a host that keeps a removed section."""
    state = builders.start('a')
    builders.submit(state, 'a', {'overlay-a.ini': LONGER})
    before = state.files
    monkeypatch.setattr(
        'wagtailspread.configuration.histories.MAX_TOMBSTONES',
        0,
    )
    builders.submit(state, 'a', {'overlay-a.ini': ''})
    delta = state.delta_since(2)
    assert delta.from_version == 0
    assert deltas.apply_delta(before, delta) == state.files


def test_restored_state_gives_the_same_answers():
    """Guards against a replica that diverges after a snapshot."""
    state = builders.start('a', 'b')
    resent = builders.sign('a', 1, {'overlay-a.ini': LONGER})
    first = state.submit(resent)
    refused = builders.sign('b', 2, {'overlay-b.ini': '[x]\n'})
    reasons = state.submit(refused)
    other = versions.create_configuration()
    other.restore(state.take_snapshot())
    assert other.take_snapshot() == state.take_snapshot()
    assert (other.files, other.settings) == (state.files, state.settings)
    assert other.submit(resent) == first
    assert other.submit(refused) == reasons
    assert other.delta_since(1) == state.delta_since(1)


def test_key_lifetime_is_configurable():
    """Guards against keys that expire before the caller resends."""
    state = builders.start('a', common=builders.COMMON + LONGER_KEYS)
    assert state.find_lifetime('contratos') == 48 * 3600
    assert state.find_lifetime('nothing') == versions.DEFAULT_KEY_SECONDS


LONGER_KEYS = """[service contratos]
key_lifetime = 48h
[route orders]
service = contratos
path = /orders
methods = POST
idempotent = no
"""
