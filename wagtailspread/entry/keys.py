"""Claims on idempotency keys of non-idempotent requests.

A key is claimed before the first byte is sent to an upstream. Afterwards the
claim is finished with the answer, marked as unknown, or released if nothing was
sent.

See also: :mod:`wagtailspread.replica`, which stores the claims.
"""

import asyncio
import dataclasses
import typing

import multidict

from aiohttp import web

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.entry import answers, exchanges, executions, interfaces
from wagtailspread.entry import requests
from wagtailspread.wire import messages

#: Timeout of a claim, in seconds.
CLAIM_SECONDS = 2.0
#: Maximum size of an answer body that is stored with a claim, in bytes.
MAX_STORED_BYTES = 65536
#: Maximum number of calls that report the end of a claim to the replicas.
MAX_FINISH_CALLS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """An idempotency key held by one attempt."""

    service: identifiers.ServiceName
    caller: identifiers.CallerId
    key: identifiers.IdempotencyKey
    attempt: identifiers.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A complete answer of an upstream, independent of its connection."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def to_response(self) -> web.Response:
        """Return the HTTP response."""
        return web.Response(
            status=self.status,
            headers=multidict.CIMultiDict(self.headers),
            body=self.body,
        )


#: A claim, or the response to a caller whose request is not attempted again.
ClaimResult = result.Result[Claim, web.Response]


class KeyClient:
    """Claims, finishes and releases idempotency keys."""

    def __init__(
        self,
        store: interfaces.KeyStore,
        host: identifiers.HostId,
        clock: clocks.Clock,
    ) -> None:
        """Start without claims."""
        self._store = store
        self._host = host
        self._clock = clock
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    async def claim(
        self,
        checked: requests.CheckedRequest,
        attempt: identifiers.AttemptId,
        fingerprint: bytes,
        deadline: float,
    ) -> ClaimResult:
        """Claim the key of a request for one attempt.

        :param fingerprint: hash of the request; the same key with a different
            hash is a conflict.
        :param deadline: seconds on the host's clock.
        """
        remaining = deadline - self._clock.now()
        claim = Claim(
            checked.route.service,
            checked.caller,
            checked.key or identifiers.IdempotencyKey(''),
            attempt,
        )
        answer = await self._store.claim_key(
            messages.structs.ClaimKey(
                **_create_key_fields(claim),
                host=self._host,
                deadline_ms=max(1, int(remaining * 1000)),
                fingerprint=fingerprint,
            ),
            min(CLAIM_SECONDS, remaining),
        )
        if isinstance(answer, result.Success):
            return _read_answer(claim, answer.unwrap())
        self._start(self.release(claim))
        return _refuse(claim, outcomes.RefusalReason.KEY_STORE_UNREACHABLE)

    async def finish(
        self,
        claim: Claim,
        answer: PlainAnswer,
        *,
        is_whole: bool,
    ) -> bool:
        """Store the answer of an attempt; return whether that succeeded.

        An answer that is incomplete or longer than :data:`MAX_STORED_BYTES` is
        recorded without its body.
        """
        is_stored = is_whole and len(answer.body) <= MAX_STORED_BYTES
        stored = messages.structs.StoredAnswer(
            status=answer.status,
            headers=[list(header) for header in answer.headers],
            body=answer.body if is_stored else b'',
            is_complete=is_stored,
        )
        return await self._end(
            messages.structs.FinishKey(
                **_create_key_fields(claim),
                state='finished',
                answer=stored,
            ),
        )

    async def mark_unknown(self, claim: Claim) -> bool:
        """Record that the attempt may have been executed without an answer."""
        return await self._end(
            messages.structs.FinishKey(
                **_create_key_fields(claim), state='unknown'
            ),
        )

    async def release(self, claim: Claim) -> bool:
        """Release the claim of an attempt that sent nothing."""
        request = messages.structs.ReleaseKey(**_create_key_fields(claim))
        for _ in range(MAX_FINISH_CALLS):
            answer = await self._store.release_key(request)
            if isinstance(answer, result.Success):
                return True
        return False

    async def close(self) -> None:
        """Wait for the releases that have not ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _end(self, request: messages.Struct) -> bool:
        for _ in range(MAX_FINISH_CALLS):
            answer = await self._store.finish_key(request)
            if isinstance(answer, result.Success):
                return True
        return False

    def _start(self, work: typing.Coroutine[typing.Any, None, bool]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def copy_answer(reply: exchanges.Reply, now: str) -> PlainAnswer:
    """Return an answer with the headers that every repetition receives.

    :param now: HTTP date for an answer without one.
    """
    headers = requests.copy_headers(reply.response.headers)
    headers[outcomes.OUTCOME_HEADER] = outcomes.Outcome.UPSTREAM.value
    headers.popall(outcomes.REASON_HEADER, None)
    headers.setdefault('Date', now)
    headers.setdefault('Content-Type', 'application/octet-stream')
    return PlainAnswer(reply.status, tuple(headers.items()), reply.body)


def _read_answer(claim: Claim, answer: messages.Struct) -> ClaimResult:
    if answer.state == 'granted':
        return result.Success(claim)
    proof = executions.ExecutionRecord().prove_not_run()
    if answer.state == 'running':
        return result.Failure(answers.create_conflict().to_response())
    if answer.state == 'finished':
        return result.Failure(_read_stored(answer.answer))
    if answer.state == 'full':
        return _refuse(claim, outcomes.RefusalReason.KEY_STORE_FULL)
    if answer.state == 'mismatch' and proof is not None:
        return result.Failure(answers.create_key_mismatch(proof).to_response())
    return result.Failure(answers.create_unknown('key-unknown').to_response())


def _read_stored(stored: messages.Struct) -> web.Response:
    if not stored.is_complete:
        return answers.create_unknown('answer-too-large').to_response()
    headers = tuple((name, text) for name, text in stored.headers)
    return PlainAnswer(stored.status, headers, stored.body).to_response()


def _refuse(claim: Claim, reason: outcomes.RefusalReason) -> ClaimResult:
    refusal = failures.Refusal(
        identifiers.RequestId(claim.attempt),
        reason,
    )
    answer = answers.create_failure(executions.ExecutionRecord(), refusal, '')
    return result.Failure(answer.to_response())


def _create_key_fields(claim: Claim) -> dict[str, str]:
    return {
        'service_name': claim.service,
        'caller': claim.caller,
        'key': claim.key,
        'attempt': claim.attempt,
    }
