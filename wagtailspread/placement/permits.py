"""Permits of the requests at an allocator under the caps of workspaces.

A request has a permit from its first placement until it has run. The permit is
returned if the request does not run: if it is refused, withdrawn, abandoned in
the queue, or reported as not run by its upstream. A further placement is
counted again, unless an earlier attempt may have run and has kept its permit.
That also holds if another allocator was asked before and did not answer: what
it has counted is returned there as soon as the withdrawal arrives.
"""

import dataclasses
import math
import random
import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.placement import messages
from wagtailspread.workspaces import caps, fleets, loans, presences, quotas
from wagtailspread.workspaces import shares

#: Interval between two records of the share, in seconds.
OBSERVE_SECONDS = 0.25
#: Interval between two asks for loans, in seconds.
ASK_SECONDS = 0.25
#: Time without a decision after which a host that decides alone starts with an
#: empty bucket, in seconds; an allocator has counted its requests meanwhile.
LONE_IDLE_SECONDS = 10.0
#: Time for which the permit of a request is returned that its host has sent to
#: another upstream than the granted one, in seconds. A later return would add
#: to the burst of another window of the caps.
RELEASED_SECONDS = 5.0
#: Maximum number of workspaces whose counts are logged at a time.
MAX_LOGGED = 20

_log = logbook.Logger('placement')


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Settings of the caps of workspaces at one allocator.

    :param part: of the allowance for allocators of this kind.
    :param count_hosts: returns the number of hosts of the fleet; 0 if unknown.
    :param count_declared: returns the number of hosts that have told the
        replicas that they would ask this allocator.
    """

    limits: caps.Limits = caps.Limits()
    part: caps.AllowancePart = caps.AllowancePart.REPLICA
    count_hosts: typing.Callable[[], int] = int
    count_declared: typing.Callable[[], int] = int


class Permits:
    """The permits at one allocator. Use :func:`create_permits`.

    :param quotas: the caps.
    """

    def __init__(
        self,
        workspace_quotas: quotas.Quotas,
        host_shares: shares.HostShares | None,
    ) -> None:
        """Create permits without requests.

        :param host_shares: share of an allocator; ``None`` for a lone host.
        """
        self.quotas = workspace_quotas
        self._shares = host_shares
        self._waiting: set[identifiers.RequestId] = set()
        self._released: dict[
            identifiers.RequestId, tuple[messages.PlacementRequest, float]
        ] = {}
        self._observed_at = -math.inf
        self._asked_at = -math.inf
        self._asks: list[loans.Ask] = []

    def record_presence(
        self, request: messages.PlacementRequest, now: float
    ) -> None:
        """Record what a host states about its contact with this allocator."""
        if self._shares is not None and request.presence is not None:
            self._shares.record(request.host, request.presence, now)

    def take(
        self, request: messages.PlacementRequest, now: float
    ) -> messages.Answer | None:
        """Count a request; return the refusal if its cap is used up."""
        if not needs_permit(request):
            return None
        if self._shares is not None and request.fleet_hosts:
            self._shares.fleet.raise_to(request.fleet_hosts, now)
        if self._shares is not None:
            self._shares.hear(now)
        # The return of a permit after a failed connection may come later than
        # the request. A lone host returns it before it decides again.
        is_unconnected = self._shares is not None and bool(request.excluded)
        retry_after = self.quotas.admit(
            request.workspace,
            request.cap,
            now,
            is_repeat=request.is_repeat or is_unconnected,
        )
        if not retry_after:
            return None
        return messages.Answer(messages.Decision.OVER_CAP, None, retry_after)

    def give_back(self, request: messages.PlacementRequest, now: float) -> None:
        """Return the permit of a request that does not run."""
        if request.request_id in self._waiting:
            self._waiting.discard(request.request_id)
            self.quotas.cancel(request.workspace)
        elif needs_permit(request):
            self.quotas.give_back(request.workspace, now)

    def settle(
        self,
        request: messages.PlacementRequest,
        evidence: messages.Evidence,
        now: float,
    ) -> None:
        """Return the permit of a request that its upstream did not run.

        One without evidence may have gone to another upstream, which its host
        has chosen and which may not run it either. A host that decides alone
        knows which one it has chosen.
        """
        if evidence in NOT_RUN:
            self.give_back(request, now)
            return
        is_released = evidence is messages.Evidence.NONE
        if is_released and self._shares is not None and needs_permit(request):
            self._released[request.request_id] = (request, now)

    def settle_released(
        self,
        request_id: identifiers.RequestId,
        evidence: messages.Evidence,
        now: float,
    ) -> None:
        """Return the permit of a released request that did not run either."""
        if evidence in NOT_RUN and request_id in self._released:
            request, _ = self._released.pop(request_id)
            self.give_back(request, now)

    def record_queued(
        self, request: messages.PlacementRequest, now: float
    ) -> None:
        """Record that a request with a permit waits to be sent."""
        if needs_permit(request) and request.request_id not in self._waiting:
            self._waiting.add(request.request_id)
            self.quotas.reserve(request.workspace, now)

    def may_send(self, request: messages.PlacementRequest, now: float) -> bool:
        """Tell whether the cap allows to send a request now."""
        if request.request_id not in self._waiting:
            return True
        return self.quotas.may_send(request.workspace, now)

    def record_sent(
        self, request: messages.PlacementRequest, now: float
    ) -> None:
        """Record that a request does not wait any more."""
        if request.request_id in self._waiting:
            self._waiting.discard(request.request_id)
            self.quotas.send(request.workspace, now)

    def tick(self, now: float) -> None:
        """Record the share of this allocator, some times a second."""
        self._prune_released(now)
        if self._shares is None or now - self._observed_at < OBSERVE_SECONDS:
            return
        self._observed_at = now
        self._shares.observe(now)
        # An allocator without requests of workspaces lends as well.
        self.quotas.prune(now)

    def _prune_released(self, now: float) -> None:
        for request_id, (_, released_at) in list(self._released.items()):
            if now - released_at <= RELEASED_SECONDS:
                break
            self._released.pop(request_id)

    def exchange(self, loan_exchange: 'LoanExchange', now: float) -> None:
        """Lend to other allocators, and ask them for loans."""
        is_changed = False
        for borrower, ask in loan_exchange.pop_remote_asks():
            loan = self.quotas.lend(ask, borrower, now)
            is_changed = is_changed or loan is not None
        for lender, received in loan_exchange.pop_remote_loans():
            self.quotas.book.accept(received, lender, now)
        is_due = now - self._asked_at >= ASK_SECONDS
        if is_due:
            self._asked_at = now
            self._asks = self.quotas.list_asks(now)
        if is_due or is_changed:
            loan_exchange.publish_loans(
                self._asks, self.quotas.book.list_granted(now)
            )

    def log_counts(self, now: float) -> None:
        """Log the counts of the workspaces with the most refusals."""
        rows = self.quotas.describe(now)
        rows.sort(key=lambda row: row['refused'], reverse=True)
        for row in rows[:MAX_LOGGED]:
            _log.info('caps counted', extra=row)


class LonePermits:
    """The permits at a host that decides alone.

    Use :func:`create_lone_permits`.

    :param fleet: the number of hosts of the fleet.
    :param presences: requests of the host to allocators.
    """

    def __init__(
        self,
        limits: caps.Limits,
        fleet: fleets.FleetSize,
        draw: typing.Callable[[], float],
    ) -> None:
        """Create permits without requests."""
        self.fleet = fleet
        self.presences = presences.create_log()
        self._share = shares.create_lone_share(fleet.estimate, self.presences)
        self._permits = Permits(
            quotas.create_quotas(
                limits, caps.AllowancePart.HOST, self._share, draw
            ),
            None,
        )
        self._used_at = -math.inf

    def take(
        self, request: messages.PlacementRequest, now: float
    ) -> messages.Answer | None:
        """Count a request; return the refusal if the cap is used up."""
        if not needs_permit(request):
            return None
        if now - self._used_at > LONE_IDLE_SECONDS:
            self._permits.quotas.clear()
            self._share.start(now)
        self._used_at = now
        self.presences.record_answer(presences.ALONE, now)
        self._permits.quotas.prune(now)
        refusal = self._permits.take(request, now)
        if refusal is not None:
            _log.info(
                'request over its cap',
                extra={
                    'workspace': request.workspace,
                    'hosts': self.fleet.estimate(),
                },
            )
        return refusal

    def give_back(self, request: messages.PlacementRequest, now: float) -> None:
        """Return the permit of a request that does not run."""
        self._permits.give_back(request, now)

    def settle(
        self,
        request: messages.PlacementRequest,
        evidence: messages.Evidence,
        now: float,
    ) -> None:
        """Return the permit of a request that its upstream did not run."""
        self._permits.settle(request, evidence, now)


class LoanExchange(typing.Protocol):
    """Exchanges loans with the allocators of other regions."""

    def publish_loans(
        self, asks: list[loans.Ask], granted: list[loans.Loan]
    ) -> None:
        """Replace what this allocator asks for and lends."""

    def pop_remote_asks(
        self,
    ) -> list[tuple[identifiers.Address, loans.Ask]]:
        """Return new asks with their borrowers."""

    def pop_remote_loans(
        self,
    ) -> list[tuple[identifiers.Address, loans.Loan]]:
        """Return new loans to this allocator with their lenders."""


#: Evidence of exchanges whose request did not run.
NOT_RUN = frozenset(
    (messages.Evidence.SHED, messages.Evidence.UNREACHABLE),
)


def needs_permit(request: messages.PlacementRequest) -> bool:
    """Tell whether a request counts toward a cap."""
    return request.cap.is_limited and not request.is_permitted


def create_permits(
    settings: QuotaSettings,
    contacts: typing.Mapping[identifiers.HostId, float],
    draw: typing.Callable[[], float] = random.random,
) -> Permits:
    """Return the permits of an allocator.

    :param contacts: time of the last message of each host to it.
    """
    host_shares = shares.create_shares(
        contacts, settings.count_hosts, settings.count_declared
    )
    return Permits(
        quotas.create_quotas(settings.limits, settings.part, host_shares, draw),
        host_shares,
    )


def create_lone_permits(
    limits: caps.Limits,
    fleet: fleets.FleetSize,
    draw: typing.Callable[[], float] = random.random,
) -> LonePermits:
    """Return the permits of a host that decides alone."""
    return LonePermits(limits, fleet, draw)
