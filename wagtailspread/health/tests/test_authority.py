"""Votes of hosts and the choice of the host's side."""

from wagtailspread.health import authority


def test_host_keeps_addressing_its_owner_and_waits_before_another():
    ballot = authority.Ballot(started=0.0)
    assert not ballot.address('a', 1.9)
    assert ballot.address('a', 2.0)
    assert ballot.address('a', 3.0)
    assert not ballot.address('b', 4.9)
    assert ballot.address('b', 5.0)
    assert not ballot.address('a', 6.9)


def test_vote_never_counts_longer_than_two_seconds():
    for tenth in range(40):
        sent = 5 + tenth / 10
        votes = authority.create_authority(host_count=1)
        votes.record_vote('h1', sent)
        assert votes.holds_votes(sent + 1.8)
        assert not votes.holds_votes(sent + 2.0)


def test_votes_that_arrive_late_count_from_when_they_were_sent():
    votes = authority.create_authority(host_count=1)
    votes.record_vote('h1', 10.0)
    votes.record_vote('h1', 9.0)
    assert votes.holds_votes(11.8)
    late = authority.create_authority(host_count=1)
    late.record_vote('h1', 9.0)
    assert not late.holds_votes(11.0)


def test_numbers_of_silent_hosts_are_used_again():
    index = authority.HostIndex()
    votes = authority.create_authority(host_count=3, index=index)
    for second in range(0, 4000, 10):
        for number in range(3):
            votes.record_vote(f'h{number}-{second}', second)
    assert index.find('newest', 4000) < 40
    assert votes.count_votes(4000) == 0
