"""Agreements on members: candidates, removals, leaving and changed keys."""

import pytest

from wagtailspread.configuration import signatures, versions
from wagtailspread.configuration.tests import builders


def start_with_candidates(*candidates):
    """Return a state with members a and b, and candidates in its base file."""
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
    """Guards against a new member that lacks an approval."""
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


def test_candidate_has_no_rights():
    """Guards against submissions and settings of an unapproved member."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    answer = builders.submit(state, 'c', {'overlay-c.ini': '[leave]\n'})
    assert builders.kinds(answer) == ['bad-signature']
    assert 'c' not in state.settings
    assert state.find_key('c') is None
    assert 'c' not in state.settings['a'].members


@pytest.mark.parametrize('changed', ['digest', 'membership'])
def test_wrong_digest_is_void_and_reported(changed):
    """Guards against an approval that is valid for another subject."""
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
    """Guards against a valid approval after the candidate's key is replaced."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    base = builders.write_base('a', 'b')
    base += builders.write_member('c', key_name='another')
    builders.submit(state, 'b', {'base.ini': base})
    agree(state, 'b', 'c')
    assert list(state.members) == ['a', 'b']
    assert state.pending[0].void == ('a',)


def test_comment_in_the_candidate_voids_no_approvals():
    """Guards against approvals that a comment or contact invalidates."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    base = builders.write_base('a', 'b', 'c')
    base = base.replace('[member c]', '# third\n[member c]\ncontact = x')
    builders.submit(state, 'b', {'base.ini': base})
    agree(state, 'b', 'c')
    assert 'c' in state.members


def test_two_candidates_need_two_rounds():
    """Guards against a candidate that another new member did not approve."""
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
    """Guards against a valid approval under an older membership."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    builders.submit(state, 'b', {'overlay-b.ini': '[leave]\n'})
    assert list(state.members) == ['a']
    assert 'overlay-b.ini' not in state.files
    pending = {change.subject: change for change in state.pending}
    assert pending['c'].void == ('a',)
    agree(state, 'a', 'c')
    assert list(state.members) == ['a', 'c']


def test_candidate_without_an_approval_stays_pending():
    """Guards against a candidate that joins while a member is unreachable."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    text = state.files['overlay-a.ini']
    for number in range(5):
        builders.submit(state, 'a', {'overlay-a.ini': f'# {number}\n{text}'})
    assert list(state.members) == ['a', 'b']
    assert state.pending[0].missing == ('b',)


def test_withdrawn_approval_is_not_counted():
    """Guards against an approval that stays valid without its section."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    builders.submit(state, 'a', {'overlay-a.ini': ''})
    agree(state, 'b', 'c')
    assert list(state.members) == ['a', 'b']
    assert state.pending[0].missing == ('a',)


def test_resent_approval_after_withdrawal():
    """Guards against a resent submission that renews an approval."""
    state = start_with_candidates('c')
    text = builders.write_agreement(state, 'c')
    approval = builders.sign('a', 2, {'overlay-a.ini': text})
    first = state.submit(approval)
    builders.submit(state, 'a', {'overlay-a.ini': ''})
    assert state.submit(approval) == first
    agree(state, 'b', 'c')
    assert list(state.members) == ['a', 'b']


def test_approval_of_an_unknown_candidate():
    """Guards against an approval that blocks other submissions."""
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


def test_withdrawn_candidate():
    """Guards against a candidate that stays pending after its withdrawal."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    builders.submit(state, 'a', {'base.ini': builders.write_base('a', 'b')})
    assert state.pending == ()
    assert list(state.members) == ['a', 'b']


def test_removal_by_all_others():
    """Guards against a removal that lacks agreements or has no effect."""
    state = builders.start('a', 'b', 'c')
    text = f'[removal c]\ndigest = {"0" * 64}\nmembership = {"0" * 64}\n'
    agree(state, 'a', 'c', text=text)
    agree(state, 'a', 'c', kind='removal')
    assert list(state.members) == ['a', 'b', 'c']
    agree(state, 'b', 'c', kind='removal')
    assert list(state.members) == ['a', 'b']
    answer = builders.submit(state, 'c', {'overlay-c.ini': '# back\n'})
    assert builders.kinds(answer) == ['bad-signature']


def test_former_member_is_a_candidate_again():
    """Guards against a former member that rejoins without approvals."""
    state = builders.start('a', 'b')
    builders.submit(state, 'b', {'overlay-b.ini': '[leave]\n'})
    assert [change.subject for change in state.pending] == ['b']
    base = {'base.ini': builders.write_base('a')}
    assert builders.submit(state, 'a', base).status == 'accepted'
    assert state.pending == ()


def test_last_member_cannot_leave():
    """Guards against a fleet without a member that can change it."""
    state = builders.start('a')
    answer = builders.submit(state, 'a', {'overlay-a.ini': '[leave]\n'})
    assert builders.kinds(answer) == ['not-permitted']


def test_member_cannot_be_dropped_from_the_base_file():
    """Guards against a removal by a single member."""
    state = builders.start('a', 'b')
    base = {'base.ini': builders.write_base('a')}
    answer = builders.submit(state, 'a', base)
    assert builders.kinds(answer) == ['missing-section']
    assert list(state.members) == ['a', 'b']


def test_changed_key_needs_every_approval():
    """Guards against a member that replaces the key of another member."""
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
def test_invalid_agreement_is_refused(header, kind):
    """Guards against agreements that are contradictory or malformed."""
    state = builders.start('a', 'b', 'c')
    answer = builders.submit(state, 'a', {'overlay-a.ini': f'{header}\n'})
    assert answer.status == 'refused'
    assert kind in builders.kinds(answer)


def test_agreements_survive_a_snapshot():
    """Guards against approvals that are lost at a restart."""
    state = start_with_candidates('c')
    agree(state, 'a', 'c')
    other = versions.create_configuration()
    other.restore(state.take_snapshot())
    assert other.pending == state.pending
    agree(other, 'b', 'c')
    assert list(other.members) == ['a', 'b', 'c']


def test_overlay_signed_by_another_member_is_refused():
    """Guards against a member that approves on behalf of another member."""
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
