"""Tests of the places of replicas and substitutes."""

from wagtailspread.registry import directories, feeds
from wagtailspread.wire import messages

_REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}


def create_place(address, domain):
    """Return the struct of a process."""
    return messages.structs.ReplicaPlace(address=address, domain=domain)


def create_batch(*places, substitutes=()):
    """Return what a replica reports."""
    return messages.structs.ChangeBatch(
        replicas=list(places), substitutes=list(substitutes)
    )


def create_host(address, domain):
    """Return a host that follows the replica."""
    return feeds.FollowerState(address, domain, False, 0, 0.0, None)


def create_request(domain, *, is_replica):
    """Return the question of a follower."""
    return messages.structs.FollowChanges(domain=domain, is_replica=is_replica)


def list_addresses(places):
    """Return the addresses of places."""
    return [place.address for place in places]


def test_a_replica_is_believed_about_its_own_place_only():
    """Guards against a replica that moves another one by its report."""
    directory = directories.create_directory('r1:1', 'a1', _REGIONS)
    report = create_batch(
        create_place('r3:1', 'a2'), create_place('r2:1', 'b1')
    )
    directory.record('r2:1', report)
    assert directory.find_region('r2:1') == 'b'
    assert directory.find_region('r3:1') is None
    assert directory.find_region('r1:1') == 'a'


def test_only_reachable_replicas_are_found():
    """Guards against hosts that are sent to a replica that does not answer."""
    directory = directories.create_directory('r1:1', 'a1', _REGIONS)
    directory.record('r2:1', create_batch(create_place('r2:1', 'b1')))
    assert directory.find_replica('b1', ()) is None
    assert directory.find_replica('b1', {'r2:1'}) == 'r2:1'
    assert directory.find_replica('a1', ()) == 'r1:1'


def test_a_replica_of_an_unknown_domain_is_listed():
    """Guards against a replica that its hosts never hear of."""
    directory = directories.create_directory('r1:1', 'a1', _REGIONS)
    places = directory.list_places(['r2:1'])
    found = [(place.address, place.domain) for place in places]
    assert found == [('r1:1', 'a1'), ('r2:1', '')]


def test_a_host_gets_the_substitutes_of_its_region():
    """Guards against hosts that ask different substitutes."""
    directory = directories.create_directory('r1:1', 'a1', _REGIONS)
    hosts = [create_host('h4:1', 'a2'), create_host('h2:1', 'b1')]
    reported = [create_place('h3:1', 'a1'), create_place('h1:1', 'b1')]
    batches = [create_batch(substitutes=reported)]
    request = create_request('a1', is_replica=False)
    found = directory.list_substitutes(hosts, request, batches)
    assert list_addresses(found) == ['h3:1', 'h4:1']


def test_a_replica_gets_the_followers_of_this_one_only():
    """Guards against reports that replicas pass on to each other for ever."""
    directory = directories.create_directory('r1:1', 'a1', _REGIONS)
    hosts = [create_host('h4:1', 'a2'), create_host('h2:1', 'b1')]
    batches = [create_batch(substitutes=[create_place('h1:1', 'b1')])]
    request = create_request('a1', is_replica=True)
    found = directory.list_substitutes(hosts, request, batches)
    assert sorted(list_addresses(found)) == ['h2:1', 'h4:1']
