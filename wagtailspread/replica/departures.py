"""Departure of a replica from its group before a planned stop.

A replica that stops asks the leader to remove it from the membership. The
leader does so if enough voters remain; see
:mod:`wagtailspread.consensus.reconfiguration`. Otherwise the replica stays a
member, which is the ordinary case of a restart.
"""

import asyncio
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.replica import drivers
from wagtailspread.wire import links, listeners, messages

#: Longest wait of a stopping replica for its removal, in seconds.
DEPARTURE_SECONDS = 2.0
#: Time limit of one call to the leader, in seconds.
CALL_TIMEOUT_SECONDS = 0.5
#: Delay before the leader is looked up or called again, in seconds.
RETRY_DELAY_SECONDS = 0.02

_log = logbook.Logger('departures')


class DepartureService:
    """Removes a replica from its group. Use :func:`create_service`."""

    def __init__(
        self,
        driver: drivers.Driver,
        pool: links.LinkPool,
        clock: clocks.Clock,
    ) -> None:
        """Create the service; :meth:`register` adds its handler."""
        self._driver = driver
        self._pool = pool
        self._clock = clock

    def register(self, listener: listeners.Listener) -> None:
        """Add the handler for calls of other replicas."""
        listener.add(
            messages.methods.LEAVE_GROUP,
            messages.structs.LeaveGroup,
            self._answer,
        )

    async def leave(self) -> bool:
        """Leave the group if it has spare voters.

        The leadership must have been transferred before.

        :returns: whether this replica was removed.
        """
        state = self._driver.replica.state
        is_spare = len(state.membership.voters) > state.policy.min_voters
        is_removed = False
        if is_spare and state.is_voter():
            is_removed = await self._ask_leader()
        _log.info('replica leaves', extra={'is_removed': is_removed})
        return is_removed

    async def _ask_leader(self) -> bool:
        replica = self._driver.replica
        request = messages.structs.LeaveGroup(identity=replica.state.identity)
        deadline = self._clock.now() + DEPARTURE_SECONDS
        while (remaining := deadline - self._clock.now()) > 0:
            leader = replica.find_leader_address()
            if leader is not None:
                answer = await self._pool.find(leader).call(
                    messages.methods.LEAVE_GROUP,
                    request,
                    messages.structs.LeaveAnswer,
                    min(remaining, CALL_TIMEOUT_SECONDS),
                )
                if isinstance(answer, result.Success):
                    return bool(answer.unwrap().is_removed)
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return False

    async def _answer(
        self,
        call: listeners.Call,
        request: messages.Struct,
    ) -> listeners.HandlerResult:
        """Wait until the membership without the replica is committed."""
        identity = identifiers.ReplicaId(request.identity)
        replica = self._driver.replica
        deadline = self._clock.now() + call.timeout
        while self._clock.now() < deadline:
            if not replica.is_leader:
                return result.Failure(failures.NotLeader())
            if replica.reconfiguration.is_removed(identity):
                return _create_answer(is_removed=True)
            now = self._clock.now()
            if not replica.reconfiguration.announce_departure(identity, now):
                return _create_answer(is_removed=False)
            # The next tick proposes the change.
            await asyncio.sleep(drivers.TICK_SECONDS)
        return result.Failure(drivers.OutcomeUnknown())


def create_service(
    driver: drivers.Driver,
    pool: links.LinkPool,
    clock: clocks.Clock,
) -> DepartureService:
    """Return a service without handlers."""
    return DepartureService(driver, pool, clock)


def _create_answer(
    *, is_removed: bool
) -> result.Result[typing.Any, typing.Any]:
    return result.Success(messages.structs.LeaveAnswer(is_removed=is_removed))
