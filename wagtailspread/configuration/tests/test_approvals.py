"""Agreement on members: candidates, removals, leaving, changed keys."""

import pytest

from wagtailspread.configuration import signatures, versions
from wagtailspread.configuration.tests import builders


def start_with_candidates(*candidates):
    """Return a fleet of a and b whose base file lists candidates."""
    state = builders.start('a', 'b')
    base = builders.write_base('a', 'b', *candidates)
    assert builders.submit(state, 'a', {'base.ini': base}).status == 'accepted'
    return state


def agree(state, member, subject, kind='approval', text=None):
    """Submit an overlay with one agreement; return the answer."""
    text = text or builders.write_agreement(state, subject, kind)
    name = f'overlay-{member}.ini'
    return builders.submit(state, member, {name: text})


def test_candidate_joins_with_the_last_approval():
    """Guards against a member that not everybody approved."""
    state = start_with_candidates('c')
    assert list(state.members) == ['a', 'b']
    agree(state, 'a', 'c')
    (pending,) = state.pending
    assert (pending.agreed, pending.missing) == (('a',), ('b',))
    assert list(state.members) == ['a', 'b']
    agree(state, 'b', 'c')
    assert (list(state.members), state.pending) == (['a', 'b', 'c'], ())
    assert state.find_key('c') == state.settings['c'].members['c'].public_key
    overlay = {'overlay-c.ini': '[service vitrina]\ndeadline = 3s\n'}
    assert builders.submit(state, 'c', overlay).status == 'accepted'


def test_candidate_can_do_nothing():
    """Guards against submissions and settings of an unapproved member."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    answer = builders.submit(state, 'c', {'overlay-c.ini': '[leave]\n'})
    assert builders.kinds(answer) == ['bad-signature']
    assert 'c' not in state.settings
    assert state.find_key('c') is None
    assert 'c' not in state.settings['a'].members


@pytest.mark.parametrize('changed', ['digest', 'membership'])
def test_wrong_digest_is_void_and_noted(changed):
    """Guards against approvals of something else that count."""
    state = start_with_candidates('c')
    text = builders.write_agreement(state, 'c')
    wrong = text.replace(f'{changed} = ', f'{changed} = {"0" * 64}X')
    wrong = wrong.replace(f'X{text.split(f"{changed} = ")[1][:64]}', '')
    answer = agree(state, 'a', 'c', text=wrong)
    assert (answer.status, builders.kinds(answer)) == (
        'accepted',
        ['void-agreement'],
    )
    assert changed in answer.findings[0].expected
    agree(state, 'b', 'c')
    assert list(state.members) == ['a', 'b']
    assert state.pending[0].void == ('a',)


def test_changed_candidate_voids_approvals():
    """Guards against a key that is exchanged after an approval."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    base = builders.write_base('a', 'b')
    base += builders.write_member('c', key_name='another')
    builders.submit(state, 'b', {'base.ini': base})
    agree(state, 'b', 'c')
    assert list(state.members) == ['a', 'b']
    assert state.pending[0].void == ('a',)


def test_comment_in_the_candidate_voids_nothing():
    """Guards against approvals lost for a change without a meaning."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    base = builders.write_base('a', 'b', 'c')
    base = base.replace('[member c]', '# third\n[member c]\ncontact = x')
    builders.submit(state, 'b', {'base.ini': base})
    agree(state, 'b', 'c')
    assert 'c' in state.members


def test_two_candidates_need_two_rounds():
    """Guards against a candidate that the other new member never approved."""
    state = start_with_candidates('c', 'd')
    both = [builders.write_agreement(state, name) for name in ('c', 'd')]
    agree(state, 'a', 'c', text=''.join(both))
    agree(state, 'b', 'c', text=''.join(both))
    assert list(state.members) == ['a', 'b', 'c']
    (pending,) = state.pending
    assert (pending.subject, pending.void) == ('d', ('a', 'b'))
    for member in ('a', 'b'):
        agree(state, member, 'd')
        assert 'd' not in state.members
    agree(state, 'c', 'd')
    assert 'd' in state.members


def test_member_that_leaves_voids_approvals():
    """Guards against an approval under another membership."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    builders.submit(state, 'b', {'overlay-b.ini': '[leave]\n'})
    assert list(state.members) == ['a']
    assert 'overlay-b.ini' not in state.files
    pending = {one.subject: one for one in state.pending}
    assert pending['c'].void == ('a',)
    agree(state, 'a', 'c')
    assert list(state.members) == ['a', 'c']


def test_unreachable_approver_leaves_it_pending():
    """Guards against a candidate that joins by waiting."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    text = state.files['overlay-a.ini']
    for number in range(5):
        builders.submit(state, 'a', {'overlay-a.ini': f'# {number}\n{text}'})
    assert list(state.members) == ['a', 'b']
    assert state.pending[0].missing == ('b',)


def test_withdrawn_approval():
    """Guards against an approval that outlives its section."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    builders.submit(state, 'a', {'overlay-a.ini': ''})
    agree(state, 'b', 'c')
    assert list(state.members) == ['a', 'b']
    assert state.pending[0].missing == ('a',)


def test_resent_approval_after_withdrawal():
    """Guards against a resent submission that approves a second time."""
    state = start_with_candidates('c')
    text = builders.write_agreement(state, 'c')
    approval = builders.sign('a', 2, {'overlay-a.ini': text})
    first = state.submit(approval)
    builders.submit(state, 'a', {'overlay-a.ini': ''})
    assert state.submit(approval) == first
    agree(state, 'b', 'c')
    assert list(state.members) == ['a', 'b']


def test_candidate_that_never_comes():
    """Guards against an approval that blocks everything else."""
    state = builders.start('a', 'b')
    text = f'[approval ghost]\ndigest = {"0" * 64}\nmembership = {"0" * 64}\n'
    answer = agree(state, 'a', 'ghost', text=text)
    assert (answer.status, builders.kinds(answer)) == (
        'accepted',
        ['void-agreement'],
    )
    assert (
        builders.submit(
            state,
            'b',
            {'base.ini': builders.write_base('a', 'b', 'c')},
        ).status
        == 'accepted'
    )


def test_candidate_taken_back():
    """Guards against an old approval that counts for a later candidate."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    builders.submit(state, 'a', {'base.ini': builders.write_base('a', 'b')})
    assert state.pending == ()
    assert list(state.members) == ['a', 'b']


def test_removal_by_all_others():
    """Guards against a member that can or cannot be removed wrongly."""
    state = builders.start('a', 'b', 'c')
    text = f'[removal c]\ndigest = {"0" * 64}\nmembership = {"0" * 64}\n'
    agree(state, 'a', 'c', text=text)
    agree(state, 'a', 'c', kind='removal')
    assert list(state.members) == ['a', 'b', 'c']
    agree(state, 'b', 'c', kind='removal')
    assert list(state.members) == ['a', 'b']
    answer = builders.submit(state, 'c', {'overlay-c.ini': '# back\n'})
    assert builders.kinds(answer) == ['bad-signature']


def test_removed_member_is_a_candidate_again():
    """Guards against a member that comes back without approvals."""
    state = builders.start('a', 'b')
    builders.submit(state, 'b', {'overlay-b.ini': '[leave]\n'})
    assert [one.subject for one in state.pending] == ['b']
    base = {'base.ini': builders.write_base('a')}
    assert builders.submit(state, 'a', base).status == 'accepted'
    assert state.pending == ()


def test_last_member_cannot_leave():
    """Guards against a fleet that nobody can change any more."""
    state = builders.start('a')
    answer = builders.submit(state, 'a', {'overlay-a.ini': '[leave]\n'})
    assert builders.kinds(answer) == ['not-permitted']


def test_member_cannot_be_dropped_from_the_base_file():
    """Guards against a removal by one member alone."""
    state = builders.start('a', 'b')
    base = {'base.ini': builders.write_base('a')}
    answer = builders.submit(state, 'a', base)
    assert builders.kinds(answer) == ['missing-section']
    assert list(state.members) == ['a', 'b']


def test_changed_key_needs_every_approval():
    """Guards against one member that takes over another by the base file."""
    state = builders.start('a', 'b')
    base = builders.write_base('a') + builders.write_member('b', 'new')
    builders.submit(state, 'a', {'base.ini': base})
    old = state.members['b']
    agree(state, 'a', 'b')
    assert state.members['b'] == old
    agree(state, 'b', 'b')
    assert state.members['b'] != old
    answer = builders.submit(state, 'b', {'overlay-b.ini': ''}, key_name='new')
    assert answer.status == 'accepted'


@pytest.mark.parametrize(
    ('header', 'kind'),
    [
        ('[removal a]', 'not-permitted'),
        ('[approval c]\n[removal c]', 'contradiction'),
        ('[approval c]\ndigest = xyz', 'bad-value'),
        ('[approval c]\nsignature = 1', 'unknown-key'),
        ('[approval]', 'unknown-section'),
    ],
)
def test_agreement_that_cannot_be_meant(header, kind):
    """Guards against agreements that no member can want."""
    state = builders.start('a', 'b', 'c')
    answer = builders.submit(state, 'a', {'overlay-a.ini': f'{header}\n'})
    assert answer.status == 'refused'
    assert kind in builders.kinds(answer)


def test_agreements_survive_a_snapshot():
    """Guards against a candidate that needs new approvals after a restart."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    other = versions.create_configuration()
    other.restore(state.take_snapshot())
    assert other.pending == state.pending
    agree(other, 'b', 'c')
    assert list(other.members) == ['a', 'b', 'c']


def test_overlay_signed_by_another_member_does_not_count():
    """Guards against a member that approves in the name of another."""
    state = start_with_candidates('c')
    text = builders.write_agreement(state, 'c')
    submission = signatures.create_submission(
        'forged',
        state.version,
        'b',
        {'overlay-b.ini': text},
    )
    signatures.sign_submission(submission, builders.create_key('a'))
    assert builders.kinds(state.submit(submission)) == ['bad-signature']
    assert state.pending[0].agreed == ()
