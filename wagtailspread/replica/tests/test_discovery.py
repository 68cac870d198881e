"""Tests of introductions and of forming the initial membership."""

import dataclasses

from wagtailspread.consensus import messages
from wagtailspread.replica import discovery

FOUNDERS = ('a:1', 'b:1', 'c:1')


def create_discovery(identity, address):
    return discovery.PeerDiscovery(
        messages.ReplicaNode(identity, address),
        FOUNDERS,
        FOUNDERS,
    )


def create_three():
    return [create_discovery(f'id-{address}', address) for address in FOUNDERS]


def introduce(source, target, *, is_formed=False, now=0.0):
    introduction = source.create_introduction(
        discovery.NO_IDENTITY, is_formed=is_formed
    )
    return target.record_introduction(introduction, now)


def test_initial_membership_waits_for_every_founder():
    """Guards against a fleet that starts without one of its replicas."""
    first, second, third = create_three()
    introduce(first, second)
    introduce(second, first)
    assert first.find_membership(0.0) is None
    introduce(first, third)
    introduce(third, first)
    assert len(first.find_membership(0.0).voters) == 3


def test_only_the_lowest_address_forms_the_membership():
    """Guards against two concurrent initial memberships."""
    first, second, third = create_three()
    for other in (first, third):
        introduce(other, second)
    assert second.find_membership(0.0) is None


def test_wiped_replicas_form_no_second_fleet():
    """Guards against a new fleet while one replica still has the old data."""
    first, second, third = create_three()
    introduce(first, second)
    introduce(second, first)
    introduce(third, first, is_formed=True)
    assert first.find_membership(0.0) is None


def test_pledge_to_a_lost_identity_is_invalid():
    """Guards against delayed messages of a fleet that was never formed."""
    first, second, _third = create_three()
    assert introduce(first, second)
    restarted = create_discovery('another-id', FOUNDERS[0])
    assert not introduce(restarted, second)


def test_old_introduction_does_not_count():
    """Guards against a founder that was wiped while the others waited."""
    first, second, third = create_three()
    for other in (second, third):
        introduce(first, other)
        introduce(other, first)
    assert first.find_membership(60.0) is None


def test_replica_that_is_no_founder_forms_nothing():
    """Guards against a second fleet with a single replica."""
    node = messages.ReplicaNode('id', 'a:1')
    alone = discovery.PeerDiscovery(node, FOUNDERS, ())
    assert alone.find_membership(0.0) is None
    formed = dataclasses.replace(
        alone.create_introduction(discovery.NO_IDENTITY, is_formed=True),
        address='b:1',
    )
    assert alone.record_introduction(formed, 0.0)


def create_back(identity, address):
    """Return a replica that has started again before there was a fleet."""
    return discovery.PeerDiscovery(
        messages.ReplicaNode(identity, address), FOUNDERS, ()
    )


def test_a_founder_that_lost_its_disk_at_once_still_pledges():
    """Guards against review/5: a fleet that never forms."""
    first, second, third = create_three()
    for other in (second, third):
        introduce(first, other)
        introduce(other, first)
    back = create_back('new-id', FOUNDERS[1])
    introduce(back, first, now=0.5)
    # Its new identity has not pledged yet.
    assert first.find_membership(0.5) is None
    introduce(first, back, now=0.6)
    introduce(back, first, now=0.7)
    voters = first.find_membership(0.7).voters
    assert [voter.identity for voter in voters].count('new-id') == 1


def exchange(replicas, now=0.0):
    """Let each replica introduce itself to all others, twice."""
    for _ in range(2):
        for source in replicas:
            for target in replicas:
                if source is not target:
                    introduce(source, target, now=now)


def create_three_back():
    return [create_back(f'new-{address}', address) for address in FOUNDERS]


def test_a_replica_that_is_back_forms_no_membership():
    """Guards against a second fleet beside the first one.

    Two of the first replicas have lost their disks, and the third one, which
    has the data, is down, then belongs to a membership.
    """
    back, second, third = create_three_back()
    exchange((back, second))
    assert back.find_membership(0.0) is None
    introduce(third, back, is_formed=True)
    exchange((back, second))
    assert back.find_membership(0.0) is None
    assert second.find_membership(0.0) is None


def test_a_replica_that_is_back_heeds_each_member_of_a_fleet():
    """Guards against a second fleet beside that of other replicas."""
    replicas = create_three_back()
    member = create_back('id-d', 'd:1')
    introduce(member, replicas[0], is_formed=True)
    exchange(replicas)
    assert replicas[0].find_membership(0.0) is None


def test_an_initiator_that_lost_its_disk_at_once_forms_the_membership():
    """Guards against a fleet that never forms.

    The others take new identities, since they had pledged to the lost one.
    """
    first, second, third = create_three()
    for other in (second, third):
        introduce(first, other)
    back = create_back('new-id', FOUNDERS[0])
    assert not introduce(back, second)
    assert not introduce(back, third)
    others = [
        create_discovery(f'new-{address}', address) for address in FOUNDERS[1:]
    ]
    assert back.find_membership(0.0) is None
    exchange((back, *others))
    voters = back.find_membership(0.0).voters
    assert [voter.identity for voter in voters] == [
        'new-id',
        'new-b:1',
        'new-c:1',
    ]
    assert all(other.find_membership(0.0) is None for other in others)


def test_founders_that_were_all_killed_at_once_form_the_membership():
    """Guards against a fleet that never forms.

    All have their disks, but are not told any more that the fleet is new.
    """
    replicas = [create_back(f'id-{address}', address) for address in FOUNDERS]
    exchange(replicas)
    assert len(replicas[0].find_membership(0.0).voters) == 3


def test_a_replica_that_is_back_forms_nothing_with_few_seeds():
    """Guards against a fleet of one replica that lost its disk."""
    node = messages.ReplicaNode('new-id', 'a:1')
    for seeds in (('a:1',), ('a:1', 'b:1')):
        back = discovery.PeerDiscovery(node, seeds, ())
        other = discovery.PeerDiscovery(
            messages.ReplicaNode('other-id', 'b:1'), seeds, ()
        )
        exchange((back, other))
        assert back.find_membership(0.0) is None


def test_a_replica_that_is_back_pledges_to_no_fleet_that_is_formed():
    """Guards against a pledge that stands in for admission."""
    first = create_three()[0]
    back = create_back('new-id', FOUNDERS[1])
    introduce(first, back, is_formed=True)
    assert back.pledge == discovery.NO_IDENTITY
