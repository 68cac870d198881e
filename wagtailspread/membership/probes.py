"""Probes that are under way, own ones and those on behalf of others."""

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
    """Probes one peer in each period and relays probes of others."""

    def __init__(
        self,
        view: views.View,
        policy: detection.MembershipPolicy,
        random: random_module.Random,
    ) -> None:
        """Start without probes."""
        self._view = view
        self._policy = policy
        self._rotation = detection.Rotation(random)
        self._probes: dict[int, detection.Probe] = {}
        self._relays: dict[int, detection.Relay] = {}
        self._sequences = itertools.count(1)
        self._next_probe = 0.0

    def tick(self, now: float) -> list[dissemination.OutgoingMessage]:
        """Follow the probes and start the one that is due."""
        outgoing = self._follow_probes(now)
        self._drop_relays(now)
        if now >= self._next_probe:
            self._next_probe = now + self._policy.probe_seconds
            outgoing += self._start_probe(now)
        return outgoing

    def forget(self) -> None:
        """Drop all probes, whose answers may have been missed."""
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

    def take_ack(
        self,
        message: dissemination.Message,
    ) -> list[dissemination.OutgoingMessage]:
        """Take an answer, and pass it on if it belongs to a relay."""
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

    def _follow_probes(self, now: float) -> list[dissemination.OutgoingMessage]:
        outgoing = []
        for sequence, probe in list(self._probes.items()):
            waited = now - probe.sent_at
            if waited >= self._policy.probe_seconds:
                self._probes.pop(sequence)
                self._view.suspect(probe.row.host, now)
            elif waited >= self._policy.ack_seconds and not probe.is_indirect:
                probe.is_indirect = True
                outgoing += self._ask_helpers(sequence, probe.row)
        return outgoing

    def _drop_relays(self, now: float) -> None:
        for sequence, relay in list(self._relays.items()):
            if now >= relay.expires:
                self._relays.pop(sequence)

    def _start_probe(self, now: float) -> list[dissemination.OutgoingMessage]:
        row = self._rotation.pick(self._view.table, self._view.own.host)
        if row is None:
            return []
        sequence = next(self._sequences)
        self._probes[sequence] = detection.Probe(row, now)
        return [self._view.compose_ping(row, sequence)]

    def _ask_helpers(
        self,
        sequence: int,
        row: tables.HostRow,
    ) -> list[dissemination.OutgoingMessage]:
        # The row only tells helpers the address, not what is thought of it.
        shown = row.with_state(tables.HostState.ALIVE)
        request = self._view.compose(
            dissemination.Kind.PING_REQUEST,
            sequence,
            row.host,
            (self._view.own, shown),
        )
        helpers = self._view.sample(self._policy.helpers, row.host)
        return [
            dissemination.OutgoingMessage(helper.address, request)
            for helper in helpers
        ]
