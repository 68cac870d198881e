"""Tests of the validity of votes and of the ballots of hosts."""

from wagtailspread.health import authority


def test_host_votes_for_another_owner_only_after_two_seconds():
    """Guards against two allocators that have the vote of a host at once."""
    ballot = authority.Ballot(started=0.0)
    assert not ballot.try_vote('a', 1.9)
    assert ballot.try_vote('a', 2.0)
    assert ballot.try_vote('a', 3.0)
    assert not ballot.try_vote('b', 4.9)
    assert ballot.try_vote('b', 5.0)
    assert not ballot.try_vote('a', 6.9)


def test_vote_expires_within_two_seconds():
    """Guards against a vote that is valid after its host may vote again."""
    for tenth in range(40):
        sent_at = 5 + tenth / 10
        votes = authority.create_authority(host_count=1)
        votes.record_vote('h1', sent_at)
        assert votes.holds_votes(sent_at + 1.8)
        assert not votes.holds_votes(sent_at + 2.0)


def test_delayed_vote_is_valid_from_the_time_of_sending():
    """Guards against a vote that a slow link makes valid for longer."""
    votes = authority.create_authority(host_count=1)
    votes.record_vote('h1', 10.0)
    votes.record_vote('h1', 9.0)
    assert votes.holds_votes(11.8)
    delayed = authority.create_authority(host_count=1)
    delayed.record_vote('h1', 9.0)
    assert not delayed.holds_votes(11.0)


def test_positions_of_hosts_without_votes_are_reused():
    """Guards against memory growth with the number of former hosts."""
    index = authority.HostIndex()
    votes = authority.create_authority(host_count=3, index=index)
    for second in range(0, 4000, 10):
        for number in range(3):
            votes.record_vote(f'h{number}-{second}', second)
    assert index.find('newest', 4000) < 40
    assert votes.count_votes(4000) == 0
