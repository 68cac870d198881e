"""Client of the replicas for entry hosts and operator tools."""

import asyncio
import time
import typing

from returns import result

from wagtailspread.core import failures, identifiers
from wagtailspread.wire import links, messages

#: Time limit of one call before another replica is tried, in seconds.
ATTEMPT_TIMEOUT_SECONDS = 1.0
#: Delay before another replica is tried, in seconds.
RETRY_DELAY_SECONDS = 0.05
#: Default time limit for a submission and for the finish or release of a key,
#: over all attempts, in seconds.
COMMAND_TIMEOUT_SECONDS = 10.0
#: Time by which a call may exceed the wait of its long poll, in seconds.
POLL_MARGIN_SECONDS = 2.0

_NOT_LEADER = failures.NotLeader.__name__


class ReplicaClient:
    """Calls to the replicas. Use :func:`create_client`.

    A command is sent to the leader. After a failure the same request is sent
    again, to another replica if necessary; the id in the request prevents a
    second execution.
    """

    def __init__(
        self,
        addresses: tuple[identifiers.Address, ...],
        pool: links.LinkPool,
    ) -> None:
        """Assume that the first address is the leader."""
        self._addresses = addresses
        self._pool = pool
        self._leader_index = 0
        self._leader_hint: identifiers.Address | None = None
        self._poll_index = 0

    async def fetch_configuration(
        self,
        known_version: identifiers.ConfigurationVersion,
        wait: float,
    ) -> links.CallResult:
        """Fetch the changes since ``known_version`` from any replica.

        The delta is empty if there is no newer version.

        :param wait: seconds that a replica waits for a newer version.
        """
        request = messages.structs.FetchConfiguration(
            known_version=known_version,
            wait_ms=int(wait * 1000),
        )
        outcome: links.CallResult = _fail_without_address()
        for _ in self._addresses:
            address = self._addresses[self._poll_index]
            outcome = await self._pool.find(address).call(
                messages.methods.FETCH_CONFIGURATION,
                request,
                messages.structs.ConfigurationDelta,
                wait + POLL_MARGIN_SECONDS,
            )
            if isinstance(outcome, result.Success):
                return outcome
            await self._drop_timed_out_connection(address, outcome)
            self._poll_index = (self._poll_index + 1) % len(self._addresses)
        return outcome

    async def submit(
        self,
        submission: messages.Struct,
        timeout: float = COMMAND_TIMEOUT_SECONDS,
    ) -> links.CallResult:
        """Return the ``SubmissionAnswer``.

        After a failure the outcome is unknown: the submission may still be
        committed.

        :param timeout: in seconds, over all attempts.
        """
        return await self._run(
            messages.methods.SUBMIT,
            submission,
            messages.structs.SubmissionAnswer,
            timeout,
        )

    async def claim_key(
        self,
        request: messages.Struct,
        timeout: float,
    ) -> links.CallResult:
        """Return the ``ClaimAnswer``.

        After a failure the claim may be committed, but the caller must not
        send its request upstream.

        :param timeout: in seconds, over all attempts.
        """
        return await self._run(
            messages.methods.CLAIM_KEY,
            request,
            messages.structs.ClaimAnswer,
            timeout,
        )

    async def finish_key(
        self,
        request: messages.Struct,
        timeout: float = COMMAND_TIMEOUT_SECONDS,
    ) -> links.CallResult:
        """Store the outcome of an attempt from a ``FinishKey``."""
        return await self._run(
            messages.methods.FINISH_KEY,
            request,
            messages.structs.Empty,
            timeout,
        )

    async def release_key(
        self,
        request: messages.Struct,
        timeout: float = COMMAND_TIMEOUT_SECONDS,
    ) -> links.CallResult:
        """Release the key of an attempt that sent nothing."""
        return await self._run(
            messages.methods.RELEASE_KEY,
            request,
            messages.structs.Empty,
            timeout,
        )

    async def read_status(
        self,
        address: identifiers.Address,
    ) -> links.CallResult:
        """Return the ``StatusReport`` of one replica."""
        return await self._pool.find(address).call(
            messages.methods.STATUS,
            messages.structs.Empty(),
            messages.structs.StatusReport,
            ATTEMPT_TIMEOUT_SECONDS,
        )

    async def _run(
        self,
        method: int,
        request: messages.Struct,
        answer_type: typing.Any,
        timeout: float,
    ) -> links.CallResult:
        deadline = time.monotonic() + timeout
        outcome: links.CallResult = _fail_without_address()
        remaining = timeout
        while remaining > 0 and self._addresses:
            address = self._leader_hint or self._addresses[self._leader_index]
            outcome = await self._pool.find(address).call(
                method,
                request,
                answer_type,
                min(remaining, ATTEMPT_TIMEOUT_SECONDS),
            )
            if isinstance(outcome, result.Success):
                return outcome
            await self._drop_timed_out_connection(address, outcome)
            await self._select_next_replica(outcome)
            remaining = deadline - time.monotonic()
        return outcome

    async def _select_next_replica(self, outcome: links.CallResult) -> None:
        failure = outcome.failure()
        was_hinted = self._leader_hint is not None
        self._leader_hint = None
        if isinstance(failure, failures.CallRejected):
            if failure.reason == _NOT_LEADER and failure.detail:
                self._leader_hint = identifiers.Address(failure.detail)
                if not was_hinted:
                    return
        if self._leader_hint is None:
            self._leader_index = (self._leader_index + 1) % len(self._addresses)
        await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _drop_timed_out_connection(
        self,
        address: identifiers.Address,
        outcome: links.CallResult,
    ) -> None:
        """Drop the connection after a timeout.

        It may no longer carry data although new connections work.
        """
        if isinstance(outcome.failure(), failures.CallTimeout):
            await self._pool.remove(address)


def create_client(
    addresses: tuple[identifiers.Address, ...],
    pool: links.LinkPool,
) -> ReplicaClient:
    """Return a client of the replicas at ``addresses``."""
    return ReplicaClient(addresses, pool)


def _fail_without_address() -> links.CallResult:
    return result.Failure(failures.Unreachable(identifiers.Address('')))
