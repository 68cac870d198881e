"""The path of one request: slot, exchange, answer, lease."""

import itertools
import typing

from aiohttp import web

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.entry import allocations, answers, exchanges, interfaces
from wagtailspread.entry import requests, slots


class Forwarder:
    """Forwards checked requests to upstreams."""

    def __init__(
        self,
        identity: allocations.HostIdentity,
        source: interfaces.SlotSource,
        exchanger: exchanges.Exchanger,
        clock: clocks.Clock,
    ) -> None:
        """Keep the parts of the path."""
        self._identity = identity
        self._source = source
        self._exchanger = exchanger
        self._clock = clock
        self._ids = itertools.count(1)

    async def forward(
        self,
        request: web.BaseRequest,
        checked: requests.CheckedRequest,
    ) -> web.StreamResponse:
        """Answer a request by way of an upstream."""
        body = await request.read() if request.body_exists else None
        deadline = self._clock.now() + checked.deadline
        slot = slots.SlotRequest(
            identifiers.RequestId(f'{self._identity.host}.{next(self._ids)}'),
            self._identity.host,
            self._identity.domain,
            checked.route.priority,
            deadline,
        )
        decision = await self._source.acquire(checked.route.service, slot)
        if not isinstance(decision, result.Success):
            return answers.create_refusal(decision.failure()).to_response()
        outgoing = exchanges.Outgoing(
            checked.method,
            checked.target,
            requests.copy_headers(request.headers),
            body,
            deadline,
        )
        return await self._run(request, checked, decision.unwrap(), outgoing)

    async def _run(
        self,
        request: web.BaseRequest,
        checked: requests.CheckedRequest,
        grant: slots.Grant,
        outgoing: exchanges.Outgoing,
    ) -> web.StreamResponse:
        started = self._clock.now()
        ended = outcomes.ExchangeResult.CANCELLED
        try:
            outcome = await self._exchanger.send(grant.address, outgoing)
            if not isinstance(outcome, result.Success):
                ended = outcome.failure().result
                return _answer_failure(slots_request=grant, failed=outcome)
            reply = outcome.unwrap()
            ended = classify(reply.response.status)
            if reply.body is not None:
                return create_response(reply, reply.body)
            response = await stream(request, reply)
            return response
        finally:
            seconds = self._clock.now() - started
            self._source.complete(
                checked.route.service,
                slots.Completion(grant.lease, ended, seconds),
            )


def classify(status: int) -> outcomes.ExchangeResult:
    """Return the result that a whole answer with this status stands for."""
    if status >= 500:
        return outcomes.ExchangeResult.ERROR
    return outcomes.ExchangeResult.SUCCESS


def create_response(reply: exchanges.Reply, body: bytes) -> web.Response:
    """Return the answer of an upstream that was read whole."""
    headers = requests.copy_headers(reply.response.headers)
    headers[outcomes.OUTCOME_HEADER] = outcomes.Outcome.UPSTREAM.value
    return web.Response(
        status=reply.response.status,
        reason=reply.response.reason,
        headers=headers,
        body=body,
    )


async def stream(
    request: web.BaseRequest,
    reply: exchanges.Reply,
) -> web.StreamResponse:
    """Pass an answer on piece by piece."""
    headers = requests.copy_headers(reply.response.headers)
    headers[outcomes.OUTCOME_HEADER] = outcomes.Outcome.UPSTREAM.value
    response = web.StreamResponse(
        status=reply.response.status,
        reason=reply.response.reason,
        headers=headers,
    )
    await response.prepare(request)
    async for piece in reply.response.content.iter_any():
        await response.write(piece)
    await response.write_eof()
    return response


def _answer_failure(
    slots_request: slots.Grant,
    failed: typing.Any,
) -> web.StreamResponse:
    failure = failed.failure()
    if failure.was_sent:
        return answers.create_unknown(failure.result.name.lower()).to_response()
    refusal = failures.Refusal(
        slots_request.request,
        outcomes.RefusalReason.NO_CAPACITY,
    )
    return answers.create_refusal(refusal).to_response()
