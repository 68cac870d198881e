"""Heartbeats to owners: votes and copies of the upstream rows.

A heartbeat renews the vote of this host; the answer contains the ages of the
upstream rows that the host uses while no owner answers. The rows themselves are
fetched only when anything but their ages has changed. Heartbeats cover the
recently used services, or all services if there are at most
:data:`MAX_ALWAYS_REFRESHED_SERVICES`.
"""

import asyncio
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, identifiers
from wagtailspread.entry import allocations, connections, conversions
from wagtailspread.entry import interfaces, owners, slots
from wagtailspread.wire import messages

_log = logbook.Logger('heartbeats')

#: Interval between heartbeats, in seconds.
HEARTBEAT_SECONDS = 0.8
#: Number of services up to which the rows of all services are refreshed, even
#: without requests.
MAX_ALWAYS_REFRESHED_SERVICES = 16
#: Time after its last request for which a service counts as recently used.
SERVICE_USE_SECONDS = 60.0
_CALL_SECONDS = 0.5


class HeartbeatSender:
    """Sends the heartbeats of this host. Use :meth:`run` as a task.

    :param list_services: returns the services of the configuration.
    """

    def __init__(
        self,
        identity: allocations.HostIdentity,
        client: allocations.AllocationClient,
        owned: owners.OwnerTable,
        list_services: typing.Callable[
            [],
            typing.Sequence[identifiers.ServiceName],
        ],
        pools: connections.PoolTable,
        clock: clocks.Clock,
    ) -> None:
        """Start without sending anything."""
        self._identity = identity
        self._client = client
        self._owned = owned
        self._list_services = list_services
        self._pools = pools
        self._clock = clock

    async def run(self) -> None:
        """Send heartbeats and close idle connections until cancelled."""
        while True:
            services = self._choose_services()
            await asyncio.gather(
                *(self.send_heartbeat(service) for service in services)
            )
            await self._pools.close_idle(self._clock.now())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(self, service: identifiers.ServiceName) -> None:
        """Renew the vote for the owner of a service; refresh its rows."""
        state = self._client.find_state(service)
        owner = state.owner
        if owner is None:
            return
        if owner.host == self._identity.host:
            self._send_heartbeat_locally(state, owner)
            return
        calls = self._client.find_calls(owner)
        if calls.is_failed:
            return
        heartbeat = messages.structs.Heartbeat(
            service_name=service,
            host=self._identity.host,
            vote_stamp=state.vote.cast(owner.host, self._clock.now()),
            ejected=state.list_unreported_ejections(owner.host),
        )
        answer = await calls.call(
            messages.methods.HELLO,
            heartbeat,
            messages.structs.HeartbeatAnswer,
            _CALL_SECONDS,
        )
        if not isinstance(answer, result.Success):
            return
        heartbeat_answer = answer.unwrap()
        state.vote.store_stamp(owner.host, heartbeat_answer.stamp or 0)
        state.record_ejections(owner.host, heartbeat_answer.ejected or [])
        now = self._clock.now()
        if heartbeat_answer.table_digest == state.table.compute_digest(now):
            state.table.refresh(heartbeat_answer.ages_ms or [], now)
        else:
            await self._fetch_rows(state, owner)

    def _send_heartbeat_locally(
        self,
        state: allocations.ServiceState,
        owner: interfaces.OwnerEndpoint,
    ) -> None:
        allocator = self._owned.find(state.service)
        now = self._clock.now()
        stamp = state.vote.cast(owner.host, now)
        if stamp:
            allocator.record_vote(owner.host, stamp)
        state.vote.store_stamp(owner.host, allocator.issue_stamp())
        allocator.adopt_ejections(state.list_unreported_ejections(owner.host))
        state.record_ejections(owner.host, allocator.list_ejected())
        allocator.tick()

    async def _fetch_rows(
        self,
        state: allocations.ServiceState,
        owner: interfaces.OwnerEndpoint,
    ) -> None:
        answer = await self._client.find_calls(owner).call(
            messages.methods.LIST_UPSTREAMS,
            messages.structs.ListUpstreams(
                service_name=state.service,
                host=self._identity.host,
            ),
            messages.structs.UpstreamList,
            _CALL_SECONDS,
        )
        if not isinstance(answer, result.Success):
            return
        listed: list[slots.Announcement] = []
        for struct in answer.unwrap().upstreams or []:
            try:
                listed.append(conversions.read_announcement(struct))
            except ValueError as error:
                _log.warning(
                    'announcement skipped',
                    extra={
                        'upstream': str(struct.upstream),
                        'reason': str(error),
                    },
                )
        state.table.replace(listed, self._clock.now())

    def _choose_services(self) -> list[identifiers.ServiceName]:
        configured = list(self._list_services())
        if len(configured) <= MAX_ALWAYS_REFRESHED_SERVICES:
            return configured
        cutoff = self._clock.now() - SERVICE_USE_SECONDS
        return [
            service
            for service, state in self._client.states.items()
            if state.used_at >= cutoff
        ]
