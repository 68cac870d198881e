"""Answers that the fleet itself gives to callers."""

import dataclasses
import math

from aiohttp import web

from wagtailspread.core import failures, outcomes

_BAD_REQUEST = 400
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_CONFLICT = 409
_TOO_LARGE = 413
_UNAVAILABLE = 503
_TIMEOUT = 504

_REASON_STATUS = {
    outcomes.RefusalReason.UNKNOWN_SERVICE: _NOT_FOUND,
    outcomes.RefusalReason.KEY_REQUIRED: _BAD_REQUEST,
    outcomes.RefusalReason.BAD_REQUEST: _BAD_REQUEST,
    outcomes.RefusalReason.TOO_LARGE: _TOO_LARGE,
    outcomes.RefusalReason.UNSUPPORTED_METHOD: _METHOD_NOT_ALLOWED,
}
_RETRYABLE_STATUS = _UNAVAILABLE


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAnswer:
    """An answer without an upstream's part in it.

    :param reason: value of the reason header; empty for none.
    :param retry_after: seconds, or ``None`` where a retry makes no sense.
    """

    status: int
    outcome: outcomes.Outcome
    reason: str = ''
    retry_after: float | None = None
    closes: bool = False

    def to_response(self) -> web.Response:
        """Return the HTTP response."""
        response = web.Response(
            status=self.status,
            text=f'{self.outcome.value}: {self.reason}\n',
        )
        response.headers[outcomes.OUTCOME_HEADER] = self.outcome.value
        if self.reason:
            response.headers[outcomes.REASON_HEADER] = self.reason
        if self.retry_after is not None:
            seconds = max(1, math.ceil(self.retry_after))
            response.headers['Retry-After'] = str(seconds)
        if self.closes:
            response.force_close()
        return response


def create_refusal(refusal: failures.Refusal) -> FleetAnswer:
    """Return the answer to a request that did not run."""
    status = _REASON_STATUS.get(refusal.reason, _UNAVAILABLE)
    retry_after = refusal.retry_after if status == _UNAVAILABLE else None
    return FleetAnswer(
        status,
        outcomes.Outcome.NOT_RUN,
        refusal.reason.value,
        retry_after,
    )


def create_unknown(reason: str) -> FleetAnswer:
    """Return the answer to a request that may have run."""
    return FleetAnswer(_TIMEOUT, outcomes.Outcome.UNKNOWN, reason)


def create_conflict() -> FleetAnswer:
    """Return the answer to a resend while its first attempt runs."""
    return FleetAnswer(
        _CONFLICT,
        outcomes.Outcome.IN_PROGRESS,
        'in-progress',
        1.0,
    )
