"""Tests of what a replica concludes from its membership."""

import types

import pytest

from wagtailspread.configuration import documents as configurations
from wagtailspread.consensus import messages
from wagtailspread.core import clocks
from wagtailspread.replica import documents

_VOTERS = tuple(
    messages.ReplicaNode(f'identity-{number}', f'address-{number}')
    for number in range(5)
)


def create_service(identity, voters=_VOTERS):
    """Return the document service of a replica in a membership."""
    membership = messages.MembershipRecord(voters)
    state = types.SimpleNamespace(
        identity=identity,
        membership=membership,
    )
    driver = types.SimpleNamespace(replica=types.SimpleNamespace(state=state))
    saved = configurations.VersionedDocument()
    return documents.DocumentService(
        driver, None, clocks.ManualClock(), 2, saved
    )


@pytest.mark.parametrize(
    ('identity', 'others', 'expected'),
    [
        ('identity-0', ('address-1', 'address-2'), True),
        ('identity-0', ('address-1',), False),
        ('identity-0', ('address-0', 'address-1'), False),
        ('identity-0', ('address-1', 'address-9'), False),
        ('learner', ('address-1', 'address-2'), False),
        ('learner', ('address-0', 'address-1', 'address-2'), True),
    ],
)
def test_only_voters_make_a_majority(identity, others, expected):
    """Guards against a departure that is confirmed by a minority."""
    assert create_service(identity).is_majority(others) is expected


def test_a_replica_without_a_membership_is_no_majority():
    """Guards against review/3: a lone replica that confirmed a departure."""
    service = create_service('identity-0', voters=())
    assert not service.is_majority(())
    assert not service.is_majority(('address-1', 'address-2', 'address-3'))
