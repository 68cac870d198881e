"""Tests of the decisions on the caps of workspaces."""

import itertools
import random

from wagtailspread.workspaces import caps, loans, quotas, shares

_CAP = caps.Cap(10.0, 20.0, 1)
_LIMITS = caps.Limits()


class FixedShare:
    """A share that tests change."""

    def __init__(self, share=1.0, seconds=100.0):
        """Set the share, and for how long it has been so."""
        self.share = share
        self.seconds = seconds

    def compute(self, silence, now):
        """Return the share."""
        return self.share

    def list_steady(self, now):
        """Return the share for the whole time."""
        return [shares.SteadyShare(self.seconds, self.share)]


def create_quotas(source=None, part=caps.AllowancePart.REPLICA):
    """Return quotas of one process."""
    return quotas.create_quotas(
        _LIMITS, part, source or FixedShare(), lambda: 0.5
    )


def count_admitted(table, number, now, cap=_CAP):
    """Return how many of some simultaneous requests are admitted."""
    return sum(not table.admit('w', cap, now) for _ in range(number))


def use_up(table):
    """Admit requests until the cap is used up."""
    while not table.admit('w', _CAP, 50.0):
        table.prune(50.0)


def test_a_burst_is_admitted_at_once_and_not_more():
    """Guards against a bucket that is empty or without a limit."""
    admitted = count_admitted(create_quotas(), 100, 50.0)
    assert 20 <= admitted <= 20 + 0.4 * _LIMITS.compute_allowance(_CAP)


def test_a_process_that_has_just_started_has_no_burst():
    """Guards against the burst that each new allocator admits again."""
    source = FixedShare(share=1.0, seconds=0.0)
    table = create_quotas(source)
    assert count_admitted(table, 100, 50.0) == 0
    assert count_admitted(table, 100, 51.0) == 10


def test_hosts_that_join_bring_no_burst():
    """Guards against a burst that moves with the hosts to each allocator."""
    source = FixedShare(share=0.1)
    table = create_quotas(source)
    count_admitted(table, 100, 50.0)
    source.share = 1.0
    allowance = _LIMITS.compute_allowance(_CAP)
    assert count_admitted(table, 100, 50.0) <= 0.1 * allowance


def test_a_smaller_share_reduces_what_may_be_sent_at_once():
    """Guards against the burst of hosts that ask another allocator now."""
    source = FixedShare(share=1.0)
    table = create_quotas(source)
    table.admit('w', _CAP, 50.0)
    source.share = 0.1
    assert count_admitted(table, 100, 50.0) <= 4


def test_a_permit_that_was_not_used_is_returned():
    """Guards against requests that count although they did not run."""
    table = create_quotas()
    use_up(table)
    for _ in range(5):
        table.give_back('w', 50.0)
    assert count_admitted(table, 100, 50.0) == 5


def test_a_queue_that_is_sent_at_once_stays_within_the_bucket():
    """Guards against a queue that is sent after a full bucket was used up."""
    table = create_quotas()
    depth = count_admitted(table, 100, 50.0)
    table = create_quotas()
    for _ in range(depth):
        assert not table.admit('w', _CAP, 50.0)
        table.reserve('w', 50.0)
    sent = count_admitted(table, 100, 60.0)
    while table.may_send('w', 60.0):
        table.send('w', 60.0)
        sent += 1
    assert sent == depth
    while table.may_send('w', 61.0):
        table.send('w', 61.0)
        sent += 1
    assert sent == depth + _CAP.rate


def test_requests_that_wait_do_not_use_up_the_cap():
    """Guards against refusals within the cap while a queue is long."""
    table = create_quotas()
    for _ in range(10):
        assert not table.admit('w', _CAP, 50.0)
        table.reserve('w', 50.0)
    full = create_quotas()
    expected = count_admitted(full, 100, 60.0)
    assert count_admitted(table, 100, 60.0) == expected


def test_the_places_of_a_queue_are_limited():
    """Guards against a queue that one workspace fills beyond its cap."""
    table = create_quotas()
    waiting = 0
    while not table.admit('w', _CAP, 50.0):
        table.reserve('w', 50.0)
        waiting += 1
    most = _CAP.burst + 0.4 * caps.Limits().compute_allowance(_CAP)
    assert waiting <= most + quotas.RESERVED_SECONDS * _CAP.rate


def test_a_resend_may_precede_the_return_of_its_permit():
    """Guards against refusing a shed request whose permit comes back."""
    table = create_quotas()
    use_up(table)
    assert not table.admit('w', _CAP, 50.0, is_repeat=True)
    table.give_back('w', 50.0)
    assert table.admit('w', _CAP, 50.0)


def test_the_newest_cap_holds():
    """Guards against a cap that hosts with older configurations restore."""
    table = create_quotas()
    count_admitted(table, 100, 50.0)
    lower = caps.Cap(1.0, 1.0, 2)
    table.admit('w', lower, 50.0)
    assert count_admitted(table, 100, 55.0) <= 5


def test_refused_callers_return_at_different_times():
    """Guards against callers that come back together."""
    table = create_quotas()
    times = [table.admit('w', _CAP, 50.0) for _ in range(100)]
    refused = [one for one in times if one][:60]
    gaps = [late - early for early, late in itertools.pairwise(refused)]
    assert all(abs(gap - 0.1) < 0.001 for gap in gaps)
    assert max(refused) <= quotas.MAX_RETURN_SECONDS


def test_the_state_of_idle_workspaces_is_dropped():
    """Guards against state for each of 77,000 workspaces."""
    table = create_quotas()
    count_admitted(table, 100, 50.0)
    table.prune(55.0)
    assert len(table) == 1
    table.prune(65.0)
    assert not len(table)
    assert 20 <= count_admitted(table, 100, 65.0) <= 32


def test_many_small_shares_keep_the_cap_together():
    """Guards against one request of each host that decides alone."""
    counts = []
    for seed in range(10):
        rng = random.Random(seed)
        tables = [
            quotas.create_quotas(
                _LIMITS,
                caps.AllowancePart.HOST,
                FixedShare(1 / 2400),
                rng.random,
            )
            for _ in range(2400)
        ]
        counts.append(sum(count_admitted(one, 1, 50.0) for one in tables))
    assert max(counts) <= _CAP.burst + _LIMITS.compute_allowance(_CAP)
    mean = sum(counts) / len(counts)
    assert abs(mean - 20 - 0.2 * _LIMITS.compute_allowance(_CAP)) <= 5


def test_an_allocator_without_hosts_lends_nothing():
    """Guards against a share that no host has brought."""
    table = create_quotas(FixedShare(0.0))
    ask = loans.Ask(quotas.compute_key('w'), 1000, 0.5)
    assert table.lend(ask, 'r1:1', 50.0) is None


def test_a_busy_allocator_lends_only_what_it_does_not_need():
    """Guards against lending what the own callers use."""
    table = create_quotas(FixedShare(0.5))
    for step in range(100):
        table.admit('w', _CAP, 50.0 + step * 0.2)
    ask = loans.Ask(quotas.compute_key('w'), 1000, 0.5)
    loan = table.lend(ask, 'r1:1', 70.0)
    assert loan is None


def test_a_loan_moves_the_rate_and_returns():
    """Guards against a part of a cap that both or none of two use."""
    lender = create_quotas(FixedShare(0.5))
    borrower = create_quotas(FixedShare(0.5))
    for step in range(200):
        borrower.admit('w', _CAP, 50.0 + step * 0.05)
    (ask,) = borrower.list_asks(60.0)
    loan = lender.lend(ask, 'r1:1', 200.0)
    borrower.book.accept(loan, 'r2:1', 60.1)
    assert 0.4 <= loan.fraction <= 0.5
    key = quotas.compute_key('w')
    assert borrower.book.compute_balance(key, 60.9) == loan.fraction
    assert lender.book.compute_balance(key, 200.9) == -loan.fraction
    assert borrower.book.compute_balance(key, 61.0) == 0
    assert lender.book.compute_balance(key, 201.0) == 0


def test_a_late_or_repeated_ask_does_not_extend_a_loan():
    """Guards against a lender that gives up its share for nothing."""
    book = loans.create_book()
    ask = loans.Ask(7, 1000, 0.3)
    assert book.grant(ask, 'r1:1', 0.5, 50.0) is not None
    assert book.grant(ask, 'r1:1', 0.5, 50.5) is None
    assert book.compute_lent(7, 51.0) == 0


def test_a_smaller_loan_reserves_the_larger_one_until_its_end():
    """Guards against a borrower that has not got the later message."""
    book = loans.create_book()
    book.grant(loans.Ask(7, 1000, 0.4), 'r1:1', 0.5, 50.0)
    book.grant(loans.Ask(7, 1250, 0.1), 'r1:1', 0.5, 50.25)
    assert book.compute_lent(7, 50.9) == 0.4
    assert book.compute_lent(7, 51.1) == 0.1


def test_loans_that_arrive_late_or_out_of_order_are_not_used():
    """Guards against using a part that the lender uses again."""
    book = loans.create_book()
    newer = loans.Loan(7, 'r1:1', 2000, 0.1)
    older = loans.Loan(7, 'r1:1', 1500, 0.4)
    book.accept(older, 'r2:1', 2.6)
    assert book.compute_balance(7, 2.6) == 0
    book.accept(newer, 'r2:1', 2.1)
    book.accept(older, 'r2:1', 2.2)
    assert book.compute_balance(7, 2.3) == 0.1
