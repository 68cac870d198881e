"""What the outcome of an attempt says about its upstream."""

from wagtailspread.gateway import exchanges
from wagtailspread.placement import messages

#: A timeout counts as evidence against the upstream only if it had the request
#: for at least this time, in seconds.
MIN_TIMEOUT_EVIDENCE_SECONDS = 1.5


def classify(
    outcome: exchanges.Outcome,
    seconds: float,
) -> messages.Evidence:
    """Return the evidence about the upstream that an outcome gives."""
    if isinstance(outcome, exchanges.UpstreamResponse):
        is_bad = outcome.is_server_error
        return messages.Evidence.BAD if is_bad else messages.Evidence.GOOD
    if (
        isinstance(outcome, exchanges.NotExecuted)
        and not outcome.is_other_upstream
    ):
        return messages.Evidence.SHED
    if not isinstance(outcome, exchanges.LostResponse):
        return messages.Evidence.UNREACHABLE
    if outcome.is_expired and seconds < MIN_TIMEOUT_EVIDENCE_SECONDS:
        return messages.Evidence.NONE
    return messages.Evidence.BAD


def is_reset(outcome: exchanges.Outcome) -> bool:
    """Tell whether the connection ended without an answer."""
    return isinstance(outcome, exchanges.LostResponse) and outcome.is_reset


def describe_failure(outcome: exchanges.Outcome) -> str:
    """Return the cause of a failure for a log line."""
    if isinstance(outcome, exchanges.UpstreamResponse):
        return f'status {outcome.status}'
    if isinstance(outcome, exchanges.LostResponse):
        return outcome.reason
    return type(outcome).__name__
