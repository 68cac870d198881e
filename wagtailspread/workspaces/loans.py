"""Loans of shares in caps between the allocators of different regions.

The borrower asks with the time on its own clock and uses the loan for
:data:`LOAN_SECONDS` after it asked. The lender reduces its own share for as
long after it has granted the loan, which is later. So at no time do both use
the same part, however late a message is.

>>> lender, borrower = create_book(), create_book()
>>> ask = Ask(7, 1000, 0.4)
>>> loan = lender.grant(ask, 'r1:1', 0.3, now=50.0)
>>> loan.fraction, lender.compute_balance(7, 50.5)
(0.3, -0.3)
>>> borrower.accept(loan, 'r2:1', now=1.5)
>>> borrower.compute_balance(7, 1.6), borrower.compute_balance(7, 2.0)
(0.3, 0.0)
"""

import dataclasses
import typing

from wagtailspread.core import identifiers

#: Time for which a loan lasts, in seconds. The part of a lender that is lost
#: is missing for this time, and the part of one whose hosts turn to another
#: allocator is used twice for this time at most.
LOAN_SECONDS = 1.0
#: Maximum number of workspaces in one message.
MAX_ROWS = 64
_MILLISECONDS = 1000


class Ask(typing.NamedTuple):
    """Request for a part of a cap.

    :param key: of the workspace, see :func:`wagtailspread.workspaces.quotas`.
    :param stamp_ms: when the borrower asked, in milliseconds on its clock.
    :param fraction: part of the whole cap.
    """

    key: int
    stamp_ms: int
    fraction: float


class Loan(typing.NamedTuple):
    """Part of a cap that one allocator lends to another.

    :param stamp_ms: of the ask.
    :param fraction: part of the whole cap.
    """

    key: int
    borrower: identifiers.Address
    stamp_ms: int
    fraction: float


@dataclasses.dataclass(slots=True)
class _Lent:
    loan: Loan
    end: float


class LoanBook:
    """Loans to and from one allocator. Use :func:`create_book`."""

    def __init__(self) -> None:
        """Create a book without loans."""
        self._lent: dict[int, list[_Lent]] = {}
        self._borrowed: dict[
            int, dict[identifiers.Address, tuple[float, float]]
        ] = {}
        self._stamps: dict[tuple[identifiers.Address, int], int] = {}

    def has_loans(self, key: int) -> bool:
        """Tell whether there may be loans of a workspace."""
        return key in self._lent or key in self._borrowed

    def compute_balance(self, key: int, now: float) -> float:
        """Return what is borrowed of a workspace minus what is lent."""
        borrowed = self._borrowed.get(key)
        gained = 0.0
        if borrowed is not None:
            current = (part for part, end in borrowed.values() if end > now)
            gained = sum(current, 0.0)
        return gained - self.compute_lent(key, now)

    def compute_lent(
        self,
        key: int,
        now: float,
        excluded: identifiers.Address | None = None,
    ) -> float:
        """Return which part of a workspace is lent.

        An earlier loan to the same borrower may still be in use when the next
        one has not arrived, so the larger one counts.

        :param excluded: borrower to leave out.
        """
        most: dict[identifiers.Address, float] = {}
        for lent in self._lent.get(key, ()):
            borrower = lent.loan.borrower
            if lent.end > now and borrower != excluded:
                known = most.get(borrower, 0.0)
                most[borrower] = max(known, lent.loan.fraction)
        return sum(most.values(), 0.0)

    def grant(
        self,
        ask: Ask,
        borrower: identifiers.Address,
        spare: float,
        now: float,
    ) -> Loan | None:
        """Return a loan for an ask, ``None`` if there is nothing to lend.

        :param spare: part of the workspace that this allocator does not need,
            with what it has lent to the borrower already.
        """
        known = self._stamps.get((borrower, ask.key))
        if known == ask.stamp_ms:
            return None
        self._stamps[borrower, ask.key] = ask.stamp_ms
        fraction = min(ask.fraction, spare)
        if fraction <= 0:
            return None
        loan = Loan(ask.key, borrower, ask.stamp_ms, fraction)
        lent = self._lent.setdefault(ask.key, [])
        lent.append(_Lent(loan, now + LOAN_SECONDS))
        return loan

    def accept(
        self, loan: Loan, lender: identifiers.Address, now: float
    ) -> None:
        """Record a loan to this allocator."""
        asked_at = loan.stamp_ms / _MILLISECONDS
        end = asked_at + LOAN_SECONDS
        if not asked_at <= now < end:
            return
        borrowed = self._borrowed.setdefault(loan.key, {})
        _, known_end = borrowed.get(lender, (0.0, 0.0))
        if end > known_end:
            borrowed[lender] = (loan.fraction, end)

    def list_granted(self, now: float) -> list[Loan]:
        """Return the newest current loan to each borrower."""
        newest = {}
        for granted in self._lent.values():
            for lent in granted:
                if lent.end > now:
                    newest[lent.loan.key, lent.loan.borrower] = lent.loan
        return list(newest.values())[:MAX_ROWS]

    def prune(self, now: float) -> None:
        """Drop loans that have ended."""
        for key, granted in list(self._lent.items()):
            current = [lent for lent in granted if lent.end > now]
            if current:
                self._lent[key] = current
            else:
                self._lent.pop(key)
        for borrowed_key, borrowed in list(self._borrowed.items()):
            if all(end <= now for _, end in borrowed.values()):
                self._borrowed.pop(borrowed_key)
        for borrower, asked in list(self._stamps):
            if asked not in self._lent:
                self._stamps.pop((borrower, asked))


def create_book() -> LoanBook:
    """Return a book without loans."""
    return LoanBook()
