"""Tests of the choice of the replica to follow."""

from wagtailspread.core import clocks
from wagtailspread.registry import followers
from wagtailspread.wire import messages

_DISTANCES = {'own': 0, 'near': 1, 'far': 2}


def create_sources(*domains):
    """Return sources that know a replica in each domain."""
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
    """Guards against control traffic between failure domains."""
    sources = create_sources('far', 'near', 'own')
    assert sources.choose(0.0) == 'own:1'


def test_a_replica_that_failed_is_left_and_returned_to():
    """Guards against a host that waits for a lost replica."""
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


def test_a_host_without_any_knowledge_asks_a_seed():
    """Guards against a host that never starts."""
    assert create_sources().choose(0.0) == 'seed:1'


def test_the_replica_that_answered_last_is_asked_for_a_document_first():
    """Guards against downloads that wait for a nearer replica that is lost."""
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
