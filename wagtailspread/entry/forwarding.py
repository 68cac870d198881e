"""Processing of one request: body, key, slot, exchange, answer, lease."""

import asyncio
import hashlib
import itertools

from email import utils

from aiohttp import web

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.entry import allocations, answers, attempts, bodies
from wagtailspread.entry import capping, exchanges, executions
from wagtailspread.entry import interfaces, keys
from wagtailspread.entry import requests, streaming
from wagtailspread.workspaces import revocations

#: ``User-Agent`` for callers that send none; the HTTP client would insert a
#: default otherwise.
_USER_AGENT = 'wagtailspread'
_FINGERPRINT_BYTES = 16
_SEPARATOR = b'\0'


class Forwarder:
    """Forwards checked requests to upstreams.

    :param observer: receives a record of every finished request.
    :param host_caps: caps of the workspaces; ``None`` for no caps.
    """

    def __init__(
        self,
        identity: allocations.HostIdentity,
        runner: attempts.AttemptRunner,
        key_client: keys.KeyClient,
        tracer: interfaces.Tracer,
        clock: clocks.Clock,
        observer: interfaces.RequestObserver | None = None,
        host_caps: capping.HostCaps | None = None,
    ) -> None:
        """Store the collaborators."""
        self._caps = host_caps
        self._identity = identity
        self._runner = runner
        self._key_client = key_client
        self._tracer = tracer
        self._observer = observer
        self._clock = clock
        self._prefix = f'{identity.host}.{int(clock.wall() * 1000):x}.'
        self._ids = itertools.count(1)
        self._detached: set[asyncio.Task[attempts.AttemptOutcome]] = set()

    async def forward(
        self,
        request: web.BaseRequest,
        checked: requests.CheckedRequest,
        execution: executions.ExecutionRecord,
    ) -> web.StreamResponse:
        """Forward a request and return the response to the caller.

        :param execution: records the attempts of the request.
        """
        started = self._clock.now()
        if self._caps is None:
            response = await self._forward(request, checked, execution, started)
        else:
            response = await self._forward_within_cap(
                request, checked, execution, started, self._caps
            )
        if self._observer is not None:
            record = interfaces.RequestRecord(
                checked.route,
                checked.admission.choose_priority(checked.route),
                checked.caller,
                response.headers.get(outcomes.OUTCOME_HEADER, ''),
                response.headers.get(outcomes.REASON_HEADER, ''),
                response.status,
                len(execution.attempts),
                self._clock.now() - started,
            )
            self._observer.record_request(record)
        return response

    async def _forward_within_cap(
        self,
        request: web.BaseRequest,
        checked: requests.CheckedRequest,
        execution: executions.ExecutionRecord,
        started: float,
        host_caps: capping.HostCaps,
    ) -> web.StreamResponse:
        workspace = checked.admission.workspace
        seconds = host_caps.admit(workspace)
        if seconds > 0:
            refusal = failures.Refusal(
                identifiers.RequestId(''),
                outcomes.RefusalReason.OVER_CAP,
                seconds,
            )
            answer = answers.create_failure(execution, refusal, '')
            return answer.to_response()
        response = await self._forward(request, checked, execution, started)
        # Not after a cancellation: an order goes on without its caller.
        if execution.prove_not_run() is not None:
            host_caps.give_back(workspace)
        return response

    async def _forward(
        self,
        request: web.BaseRequest,
        checked: requests.CheckedRequest,
        execution: executions.ExecutionRecord,
        started: float,
    ) -> web.StreamResponse:
        deadline = started + checked.deadline
        body: bodies.RequestBody | None = None
        if checked.length != 0:
            received = await self._read_body(request, checked, deadline)
            if not isinstance(received, result.Success):
                fault = received.failure()
                proof = execution.prove_not_run()
                return answers.create_fault(fault, proof).to_response()
            body = received.unwrap()
        parent = request.headers.get(attempts.TRACE_HEADER, '')
        with self._tracer.start_span(checked.route.name, parent) as span:
            headers = requests.copy_headers(request.headers)
            checked.admission.replace_key(headers)
            # The HTTP client would insert codings that the caller may not
            # support.
            headers.setdefault('Accept-Encoding', 'identity')
            headers.setdefault('User-Agent', _USER_AGENT)
            if span.header:
                headers[attempts.TRACE_HEADER] = span.header
            prepared = self._prepare_request(checked, headers, body, deadline)
            return await self._answer(request, checked, prepared, execution)

    def revoke_keys(self) -> None:
        """Interrupt the requests that wait with a key no longer known."""
        self._runner.watch.apply()

    async def close(self) -> None:
        """Wait for the detached attempts and for open key releases."""
        await asyncio.gather(*self._detached, return_exceptions=True)
        await self._key_client.close()

    async def _read_body(
        self,
        request: web.BaseRequest,
        checked: requests.CheckedRequest,
        deadline: float,
    ) -> result.Result[bodies.RequestBody, requests.RequestFault]:
        """Return the body, or a fault also if the key is revoked meanwhile."""
        admission = checked.admission
        if admission.workspace is None:
            return await bodies.read_body(request, checked, deadline)
        try:
            async with self._runner.watch.interrupt(
                lambda: not admission.is_valid()
            ):
                return await bodies.read_body(request, checked, deadline)
        except revocations.KeyRevoked:
            return result.Failure(requests.create_key_fault(admission))

    async def _answer(
        self,
        request: web.BaseRequest,
        checked: requests.CheckedRequest,
        prepared: attempts.PreparedRequest,
        execution: executions.ExecutionRecord,
    ) -> web.StreamResponse:
        if prepared.is_idempotent:
            outcome = await self._runner.run(prepared, execution)
            if isinstance(outcome, result.Success):
                leased = outcome.unwrap()
                if leased.reply.is_whole:
                    self._runner.finish(
                        prepared, leased, leased.reply.classify()
                    )
                    return streaming.create_response(leased.reply)
            return await self._respond(request, prepared, outcome, execution)
        claimed = await self._key_client.claim(
            checked,
            identifiers.AttemptId(prepared.request),
            prepared.fingerprint,
            prepared.outgoing.deadline,
        )
        if not isinstance(claimed, result.Success):
            return claimed.failure()
        outcome = await self._run_detached(
            prepared, claimed.unwrap(), execution
        )
        return await self._respond(request, prepared, outcome, execution)

    async def _run_detached(
        self,
        prepared: attempts.PreparedRequest,
        claim: keys.Claim,
        execution: executions.ExecutionRecord,
    ) -> attempts.AttemptOutcome:
        """Complete a claimed request even if the caller disconnects.

        The caller may resend it with the same key and get the stored answer.
        """
        work = self._run_claimed(prepared, claim, execution)
        task = asyncio.get_running_loop().create_task(work)
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(
                lambda completed_task: self._finish_abandoned(
                    prepared, completed_task
                )
            )
            raise

    async def _run_claimed(
        self,
        prepared: attempts.PreparedRequest,
        claim: keys.Claim,
        execution: executions.ExecutionRecord,
    ) -> attempts.AttemptOutcome:
        outcome = await self._runner.run(prepared, execution)
        if isinstance(outcome, result.Success):
            leased = outcome.unwrap()
            reply = leased.reply
            if reply.is_whole:
                self._runner.finish(prepared, leased, reply.classify())
            copied = keys.copy_answer(reply, utils.formatdate(usegmt=True))
            await self._key_client.finish(
                claim, copied, is_whole=reply.is_whole
            )
        elif execution.prove_not_run() is None:
            await self._key_client.mark_unknown(claim)
        else:
            await self._key_client.release(claim)
        return outcome

    def _finish_abandoned(
        self,
        prepared: attempts.PreparedRequest,
        completed_task: asyncio.Task[attempts.AttemptOutcome],
    ) -> None:
        if completed_task.cancelled() or completed_task.exception() is not None:
            return
        outcome = completed_task.result()
        if isinstance(outcome, result.Success):
            ended = outcomes.ExchangeResult.CANCELLED
            self._runner.finish(prepared, outcome.unwrap(), ended)

    async def _respond(
        self,
        request: web.BaseRequest,
        prepared: attempts.PreparedRequest,
        outcome: attempts.AttemptOutcome,
        execution: executions.ExecutionRecord,
    ) -> web.StreamResponse:
        if not isinstance(outcome, result.Success):
            return _conclude(prepared, outcome.failure(), execution)
        leased = outcome.unwrap()
        reply = leased.reply
        if reply.is_whole:
            copied = keys.copy_answer(reply, utils.formatdate(usegmt=True))
            return copied.to_response()
        ended = outcomes.ExchangeResult.CANCELLED
        try:
            response, ended = await streaming.stream_reply(
                request,
                reply,
                prepared.outgoing.deadline,
            )
        finally:
            self._runner.finish(prepared, leased, ended)
        return response

    def _prepare_request(
        self,
        checked: requests.CheckedRequest,
        headers: requests.Headers,
        body: bodies.RequestBody | None,
        deadline: float,
    ) -> attempts.PreparedRequest:
        route = checked.route
        outgoing = exchanges.OutgoingRequest(
            checked.method,
            checked.target,
            headers,
            body,
            deadline,
            may_repeat=route.is_idempotent and (body is None or body.is_whole),
            is_admitted=checked.admission.is_valid,
        )
        return attempts.PreparedRequest(
            identifiers.RequestId(self._prefix + str(next(self._ids))),
            route.service,
            checked.admission.choose_priority(route),
            route.is_idempotent,
            compute_fingerprint(checked, body),
            outgoing,
            checked.admission,
        )


def compute_fingerprint(
    checked: requests.CheckedRequest,
    body: bodies.RequestBody | None,
) -> bytes:
    """Return a hash that is the same for equal requests."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    workspace = checked.admission.workspace_name
    if workspace is not None:
        # No other request starts with a separator. Without the name, the answer
        # stored for one workspace could be sent to another.
        digest.update(_SEPARATOR + workspace.encode() + _SEPARATOR)
    fields = (
        checked.route.service,
        checked.method,
        checked.target,
        checked.caller,
        checked.key or '',
    )
    digest.update('\0'.join(fields).encode())
    if body is not None:
        digest.update(_SEPARATOR)
        digest.update(body.prefix)
    return digest.digest()


def _conclude(
    prepared: attempts.PreparedRequest,
    exhausted: attempts.Exhausted,
    execution: executions.ExecutionRecord,
) -> web.StreamResponse:
    body = prepared.outgoing.body
    if body is not None and body.fault is not None:
        proof = execution.prove_not_run()
        return answers.create_fault(body.fault, proof).to_response()
    ended = exhausted.ended
    reason = '' if ended is None else ended.name.lower()
    answer = answers.create_failure(execution, exhausted.refusal, reason)
    return answer.to_response()
