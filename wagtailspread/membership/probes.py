"""Pending probes of this host and those relayed for other hosts."""

import itertools
import random as random_module

from wagtailspread.core import identifiers
from wagtailspread.membership import (
    detection,
    dissemination,
    tables,
    views,
)


class Prober:
    """Probes one peer in each period and relays probes for other hosts."""

    def __init__(
        self,
        view: views.View,
        policy: detection.MembershipPolicy,
        random: random_module.Random,
    ) -> None:
        """Start without probes."""
        self._view = view
        self._policy = policy
        self._probe_order = detection.ProbeOrder(random)
        self._probes: dict[int, detection.Probe] = {}
        self._relays: dict[int, detection.Relay] = {}
        self._sequences = itertools.count(1)
        self._next_probe = 0.0

    def tick(self, now: float) -> list[dissemination.OutgoingMessage]:
        """Check pending probes and start the next one if it is due."""
        outgoing = self._check_probes(now)
        self._remove_expired_relays(now)
        if now >= self._next_probe:
            self._next_probe = now + self._policy.probe_seconds
            outgoing += self._start_probe(now)
        return outgoing

    def discard_probes(self) -> None:
        """Remove all probes, since their answers may have been missed."""
        self._probes.clear()

    def relay(
        self,
        message: dissemination.Message,
        address: identifiers.Address,
        now: float,
    ) -> list[dissemination.OutgoingMessage]:
        """Probe a host on behalf of the sender of a request."""
        row = self._view.table.find(message.subject)
        if row is None:
            return []
        sequence = next(self._sequences)
        self._relays[sequence] = detection.Relay(
            address,
            message.sequence,
            row.host,
            now + self._policy.probe_seconds,
        )
        return [self._view.compose_ping(row, sequence)]

    def handle_ack(
        self,
        message: dissemination.Message,
    ) -> list[dissemination.OutgoingMessage]:
        """Process an answer, and forward it if it belongs to a relay."""
        probe = self._probes.get(message.sequence)
        if probe is not None and probe.row.host == message.subject:
            self._probes.pop(message.sequence)
        relay = self._relays.get(message.sequence)
        if relay is None or relay.subject != message.sender:
            return []
        self._relays.pop(message.sequence)
        ack = self._view.compose(
            dissemination.Kind.ACK,
            relay.sequence,
            relay.subject,
        )
        return [dissemination.OutgoingMessage(relay.address, ack)]

    def _check_probes(self, now: float) -> list[dissemination.OutgoingMessage]:
        outgoing = []
        for sequence, probe in list(self._probes.items()):
            elapsed = now - probe.sent_at
            if elapsed >= self._policy.probe_seconds:
                self._probes.pop(sequence)
                self._view.suspect(probe.row.host, now)
            elif elapsed >= self._policy.ack_seconds and not probe.is_indirect:
                probe.is_indirect = True
                outgoing += self._request_indirect_probes(sequence, probe.row)
        return outgoing

    def _remove_expired_relays(self, now: float) -> None:
        for sequence, relay in list(self._relays.items()):
            if now >= relay.expires:
                self._relays.pop(sequence)

    def _start_probe(self, now: float) -> list[dissemination.OutgoingMessage]:
        row = self._probe_order.pop_next(
            self._view.table, self._view.local_row.host
        )
        if row is None:
            return []
        sequence = next(self._sequences)
        self._probes[sequence] = detection.Probe(row, now)
        return [self._view.compose_ping(row, sequence)]

    def _request_indirect_probes(
        self,
        sequence: int,
        row: tables.HostRow,
    ) -> list[dissemination.OutgoingMessage]:
        # The row only gives the probers the address. Its state is set to alive
        # so that it does not spread a suspicion.
        alive_row = row.with_state(tables.HostState.ALIVE)
        request = self._view.compose(
            dissemination.Kind.PING_REQUEST,
            sequence,
            row.host,
            (self._view.local_row, alive_row),
        )
        indirect_probers = self._view.sample(
            self._policy.indirect_probers, row.host
        )
        return [
            dissemination.OutgoingMessage(prober.address, request)
            for prober in indirect_probers
        ]
