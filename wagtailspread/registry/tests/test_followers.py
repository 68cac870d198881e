"""Tests of the selection of the replica to follow."""

from wagtailspread.core import clocks
from wagtailspread.registry import followers
from wagtailspread.wire import messages

_DISTANCES = {'own': 0, 'near': 1, 'far': 2}


def create_sources(*domains):
    """Return a source list with one replica in each domain."""
    sources = followers.SourceList(
        lambda: ['seed:1'],
        _DISTANCES.__getitem__,
    )
    if domains:
        sources.update(
            [
                messages.structs.ReplicaPlace(address=f'{one}:1', domain=one)
                for one in domains
            ],
        )
    return sources


def test_the_nearest_replica_is_followed():
    """Guards against needless control traffic between failure domains."""
    sources = create_sources('far', 'near', 'own')
    assert sources.choose(0.0) == 'own:1'


def test_a_failed_replica_is_avoided_and_selected_again_later():
    """Guards against a host that waits for a failed replica."""
    sources = create_sources('far', 'own')
    sources.choose(0.0)
    sources.deprioritize('own:1', 0.0)
    assert sources.choose(0.1) == 'far:1'
    assert sources.choose(0.2 + followers.RESELECTION_SECONDS) == 'own:1'


def test_the_seeds_are_asked_again_when_all_known_replicas_fail():
    """Guards against a host that knows only replicas that were replaced."""
    sources = create_sources('own')
    assert sources.choose(0.0) == 'own:1'
    sources.deprioritize('own:1', 0.0)
    assert sources.choose(0.1) == 'seed:1'


def test_a_host_that_knows_no_replica_asks_a_seed():
    """Guards against a host that never starts to follow a replica."""
    assert create_sources().choose(0.0) == 'seed:1'


def test_the_replica_that_answered_last_is_asked_for_a_document_first():
    """Guards against downloads that wait for a nearer but failed replica."""
    sources = create_sources('far', 'near', 'own')
    follower = followers.ChangeFollower(
        'h1',
        'h1:1',
        'own',
        sources,
        None,
        clocks.ManualClock(),
        None,
    )
    assert follower.list_sources() == ['own:1', 'near:1', 'far:1']
    follower.current_replica = 'far:1'
    assert follower.list_sources() == ['far:1', 'own:1', 'near:1']
    sources.deprioritize('own:1', 0.0)
    assert follower.list_sources() == ['far:1', 'near:1', 'own:1']
