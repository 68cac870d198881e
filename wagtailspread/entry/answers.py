"""Responses that an entry host generates itself, without an upstream."""

import dataclasses
import math

from aiohttp import web

from wagtailspread.core import failures, outcomes
from wagtailspread.entry import executions, requests
from wagtailspread.workspaces import keys

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_REQUEST_TIMEOUT = 408
_CONFLICT = 409
_TOO_LARGE = 413
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_TIMEOUT = 504
#: Statuses of a fault that promise that the request was not executed.
_NOT_RUN_STATUSES = frozenset((_REQUEST_TIMEOUT, _UNAVAILABLE))
#: ``Retry-After`` of a request whose body the host dropped, in seconds.
_RETRY_SECONDS = 1.0

_REASON_STATUS = {
    outcomes.RefusalReason.UNKNOWN_SERVICE: _NOT_FOUND,
    outcomes.RefusalReason.KEY_REQUIRED: _BAD_REQUEST,
    outcomes.RefusalReason.BAD_REQUEST: _BAD_REQUEST,
    outcomes.RefusalReason.TOO_LARGE: _TOO_LARGE,
    outcomes.RefusalReason.UNSUPPORTED_METHOD: _METHOD_NOT_ALLOWED,
    outcomes.RefusalReason.UNKNOWN_KEY: _UNAUTHORIZED,
    outcomes.RefusalReason.OVER_CAP: _TOO_MANY_REQUESTS,
}


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAnswer:
    """A response that was not received from an upstream.

    :param reason: value of the reason header; empty to omit the header.
    :param retry_after: seconds, or ``None`` if the caller should not retry.
    :param closes: whether to close the connection to the caller, because the
        rest of its request was not read.
    :param detail: text for the response body.
    """

    status: int
    outcome: outcomes.Outcome
    reason: str = ''
    retry_after: float | None = None
    closes: bool = False
    detail: str = ''

    def to_response(self) -> web.Response:
        """Convert to an HTTP response; ``Retry-After`` is at least 1 s."""
        response = web.Response(
            status=self.status,
            text=f'{self.outcome.value}: {self.reason} {self.detail}\n',
        )
        response.headers[outcomes.OUTCOME_HEADER] = self.outcome.value
        if self.reason:
            response.headers[outcomes.REASON_HEADER] = self.reason
        if self.retry_after is not None:
            seconds = max(1, math.ceil(self.retry_after))
            response.headers['Retry-After'] = str(seconds)
        if self.status == _UNAUTHORIZED:
            response.headers['WWW-Authenticate'] = keys.SCHEME
        if self.closes:
            response.force_close()
        return response


def create_refusal(
    refusal: failures.Refusal,
    _proof: executions.NotRunProof,
) -> FleetAnswer:
    """Return the response to a request that was not executed.

    The proof is required so that no other request is reported as not run.
    """
    status = _REASON_STATUS.get(refusal.reason, _UNAVAILABLE)
    retry_after = None
    if status in {_TOO_MANY_REQUESTS, _UNAVAILABLE}:
        retry_after = refusal.retry_after
    return FleetAnswer(
        status,
        outcomes.Outcome.NOT_RUN,
        refusal.reason.value,
        retry_after,
    )


def create_fault(
    fault: requests.RequestFault,
    proof: executions.NotRunProof | None,
) -> FleetAnswer:
    """Return the response to a request with a fault of the caller.

    :param proof: ``None`` if the request may have been executed.
    """
    outcome = outcomes.Outcome.NOT_RUN if proof else outcomes.Outcome.UNKNOWN
    status = fault.status
    if status in _NOT_RUN_STATUSES and proof is None:
        # They would tell the caller that the request was not executed.
        status = _TIMEOUT
    return FleetAnswer(
        status,
        outcome,
        fault.reason.value,
        retry_after=_RETRY_SECONDS if status == _UNAVAILABLE else None,
        closes=fault.closes,
        detail=fault.detail,
    )


def create_unknown(reason: str) -> FleetAnswer:
    """Return the response to a request that may have been executed.

    :param reason: value of the reason header; empty to omit the header.
    """
    return FleetAnswer(_TIMEOUT, outcomes.Outcome.UNKNOWN, reason)


def create_failure(
    execution: executions.ExecutionRecord,
    refusal: failures.Refusal,
    unknown_reason: str,
) -> FleetAnswer:
    """Return "not run" if the execution record proves it, else "unknown".

    :param refusal: reported if no attempt can have been executed.
    :param unknown_reason: result of the attempt that may have been executed.
    """
    proof = execution.prove_not_run()
    if proof is None:
        return create_unknown(unknown_reason)
    return create_refusal(refusal, proof)


def create_conflict() -> FleetAnswer:
    """Return the response to a repeated key whose first request still runs."""
    return FleetAnswer(
        _CONFLICT,
        outcomes.Outcome.IN_PROGRESS,
        'in-progress',
        1.0,
    )


def create_key_mismatch(_proof: executions.NotRunProof) -> FleetAnswer:
    """Return the response to a key that was used with a different request."""
    return FleetAnswer(
        _CONFLICT,
        outcomes.Outcome.NOT_RUN,
        outcomes.RefusalReason.BAD_REQUEST.value,
        detail='the key was used before with a different request',
    )
