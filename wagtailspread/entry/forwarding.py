"""The path of one request: body, key, slot, exchange, answer, lease."""

import asyncio
import hashlib
import itertools

from email import utils

from aiohttp import web

from returns import result

from wagtailspread.core import clocks, identifiers, outcomes
from wagtailspread.entry import allocations, answers, attempts, bodies
from wagtailspread.entry import exchanges, executions, interfaces, keys
from wagtailspread.entry import requests, streaming

#: Sent if the caller names no program, since the client library would name
#: itself; it would also invent an Accept-Encoding that the caller may not know.
_AGENT = 'wagtailspread'
_FINGERPRINT_BYTES = 16
_SEPARATOR = b'\0'


class Forwarder:
    """Forwards checked requests to upstreams.

    :param observer: is told of every finished request.
    """

    def __init__(
        self,
        identity: allocations.HostIdentity,
        runner: attempts.AttemptRunner,
        keeper: keys.KeyClient,
        tracer: interfaces.Tracer,
        clock: clocks.Clock,
        observer: interfaces.RequestObserver | None = None,
    ) -> None:
        """Keep the parts of the path."""
        self._identity = identity
        self._runner = runner
        self._keeper = keeper
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
        """Answer a request by way of an upstream."""
        started = self._clock.now()
        response = await self._forward(request, checked, execution, started)
        if self._observer is not None:
            record = interfaces.RequestRecord(
                checked.route,
                checked.caller,
                response.headers.get(outcomes.OUTCOME_HEADER, ''),
                response.headers.get(outcomes.REASON_HEADER, ''),
                response.status,
                len(execution.attempts),
                self._clock.now() - started,
            )
            self._observer.record_request(record)
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
            received = await bodies.read_body(request, checked, deadline)
            if not isinstance(received, result.Success):
                fault = received.failure()
                proof = execution.prove_not_run()
                return answers.create_fault(fault, proof).to_response()
            body = received.unwrap()
        parent = request.headers.get(attempts.TRACE_HEADER, '')
        with self._tracer.start_span(checked.route.name, parent) as span:
            headers = requests.copy_headers(request.headers)
            headers.setdefault('Accept-Encoding', 'identity')
            headers.setdefault('User-Agent', _AGENT)
            if span.header:
                headers[attempts.TRACE_HEADER] = span.header
            job = self._create_job(checked, headers, body, deadline)
            return await self._answer(request, checked, job, execution)

    async def close(self) -> None:
        """Wait for the attempts that outlive their callers."""
        await asyncio.gather(*self._detached, return_exceptions=True)
        await self._keeper.close()

    async def _answer(
        self,
        request: web.BaseRequest,
        checked: requests.CheckedRequest,
        job: attempts.Job,
        execution: executions.ExecutionRecord,
    ) -> web.StreamResponse:
        if job.is_idempotent:
            outcome = await self._runner.run(job, execution)
            if isinstance(outcome, result.Success):
                held = outcome.unwrap()
                if held.reply.is_whole:
                    self._runner.finish(job, held, held.reply.classify())
                    return streaming.create_response(held.reply)
            return await self._respond(request, job, outcome, execution)
        claimed = await self._keeper.claim(
            checked,
            identifiers.AttemptId(job.request),
            job.fingerprint,
            job.outgoing.deadline,
        )
        if not isinstance(claimed, result.Success):
            return claimed.failure()
        outcome = await self._detach(job, claimed.unwrap(), execution)
        return await self._respond(request, job, outcome, execution)

    async def _detach(
        self,
        job: attempts.Job,
        claim: keys.Claim,
        execution: executions.ExecutionRecord,
    ) -> attempts.AttemptOutcome:
        """Run a claimed request to its end even if the caller leaves.

        The caller will resend it with its key and get the stored answer.
        """
        work = self._run_claimed(job, claim, execution)
        task = asyncio.get_running_loop().create_task(work)
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(lambda done: self._abandon(job, done))
            raise

    async def _run_claimed(
        self,
        job: attempts.Job,
        claim: keys.Claim,
        execution: executions.ExecutionRecord,
    ) -> attempts.AttemptOutcome:
        outcome = await self._runner.run(job, execution)
        if isinstance(outcome, result.Success):
            held = outcome.unwrap()
            reply = held.reply
            if reply.is_whole:
                self._runner.finish(job, held, reply.classify())
            plain = keys.copy_answer(reply, utils.formatdate(usegmt=True))
            await self._keeper.finish(claim, plain, is_whole=reply.is_whole)
        elif execution.prove_not_run() is None:
            await self._keeper.mark_unknown(claim)
        else:
            await self._keeper.release(claim)
        return outcome

    def _abandon(
        self,
        job: attempts.Job,
        done: asyncio.Task[attempts.AttemptOutcome],
    ) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        outcome = done.result()
        if isinstance(outcome, result.Success):
            ended = outcomes.ExchangeResult.CANCELLED
            self._runner.finish(job, outcome.unwrap(), ended)

    async def _respond(
        self,
        request: web.BaseRequest,
        job: attempts.Job,
        outcome: attempts.AttemptOutcome,
        execution: executions.ExecutionRecord,
    ) -> web.StreamResponse:
        if not isinstance(outcome, result.Success):
            return _conclude(job, outcome.failure(), execution)
        held = outcome.unwrap()
        reply = held.reply
        if reply.is_whole:
            plain = keys.copy_answer(reply, utils.formatdate(usegmt=True))
            return plain.to_response()
        ended = outcomes.ExchangeResult.CANCELLED
        try:
            response, ended = await streaming.stream_reply(
                request,
                reply,
                job.outgoing.deadline,
            )
        finally:
            self._runner.finish(job, held, ended)
        return response

    def _create_job(
        self,
        checked: requests.CheckedRequest,
        headers: requests.Headers,
        body: bodies.RequestBody | None,
        deadline: float,
    ) -> attempts.Job:
        route = checked.route
        outgoing = exchanges.Outgoing(
            checked.method,
            checked.target,
            headers,
            body,
            deadline,
            may_repeat=route.is_idempotent and (body is None or body.is_whole),
        )
        return attempts.Job(
            identifiers.RequestId(self._prefix + str(next(self._ids))),
            route.service,
            route.priority,
            route.is_idempotent,
            compute_fingerprint(checked, body),
            outgoing,
        )


def compute_fingerprint(
    checked: requests.CheckedRequest,
    body: bodies.RequestBody | None,
) -> bytes:
    """Return a hash that equal requests share."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    named = (
        checked.route.service,
        checked.method,
        checked.target,
        checked.caller,
        checked.key or '',
    )
    digest.update('\0'.join(named).encode())
    if body is not None:
        digest.update(_SEPARATOR)
        digest.update(body.prefix)
    return digest.digest()


def _conclude(
    job: attempts.Job,
    exhausted: attempts.Exhausted,
    execution: executions.ExecutionRecord,
) -> web.StreamResponse:
    body = job.outgoing.body
    if body is not None and body.fault is not None:
        proof = execution.prove_not_run()
        return answers.create_fault(body.fault, proof).to_response()
    ended = exhausted.ended
    reason = '' if ended is None else ended.name.lower()
    answer = answers.create_failure(execution, exhausted.refusal, reason)
    return answer.to_response()
