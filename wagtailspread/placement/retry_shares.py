"""The share of the retry budget of a service that one request may use.

The remainder is kept for higher ranks, if there are any. While a service sheds,
a part is also kept for callers that were refused and have come again when they
were told to: the caller of another request can still come again, and its next
first send does not need the budget.
"""

from wagtailspread.placement import messages, returns, sheds, shares

#: Share of the retry budget that lower ranks may use.
LOWER_RANK_SHARE = 0.75
#: Share that requests may use that were not refused before. Without it, the
#: first seconds of a fault use up the budget.
FIRST_SHARE = 0.4
#: Time in seconds after the first sheds for which callers are expected to come
#: again. Later, they must have been seen to do so.
TRIAL_SECONDS = 1.0


def find_share(
    request: messages.PlacementRequest,
    share_table: shares.ShareTable,
    return_table: returns.ReturnTable,
    limits: sheds.ShedLimits,
    now: float,
) -> float:
    """Return the share of the retry budget that a retry may use."""
    share = 1.0
    if share_table.has_higher(request.service, request.priority):
        share = LOWER_RANK_SHARE
    if return_table.is_back(request.fingerprint, now):
        return share
    shed_seconds = limits.find_shed_seconds(request.service, now)
    if shed_seconds is None or limits.find(request.service, now):
        # With a limit of open requests, a retry is accepted by an upstream
        # below it.
        return share
    if shed_seconds < TRIAL_SECONDS or return_table.has_back(now):
        share *= FIRST_SHARE
    return share
