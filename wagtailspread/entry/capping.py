"""Enforces the caps of workspaces at one entry host by its share.

The hosts do not exchange their counts: each admits the part of the rate and
burst that falls to one of the configured hosts.
"""

import random
import typing

from wagtailspread.core import clocks
from wagtailspread.routing import terms
from wagtailspread.workspaces import caps, presences, quotas, shares


class HostCaps:
    """The caps at one host. Use :func:`create_caps`."""

    def __init__(self, host_quotas: quotas.Quotas, clock: clocks.Clock) -> None:
        """Store the collaborators."""
        self._quotas = host_quotas
        self._clock = clock

    def admit(self, workspace: terms.Workspace | None) -> float:
        """Count a request; return 0, or the time until its caller may return.

        :param workspace: of the request, if any.
        """
        if workspace is None or not workspace.cap.is_limited:
            return 0.0
        now = self._clock.now()
        self._quotas.prune(now)
        return self._quotas.admit(workspace.name, workspace.cap, now)

    def give_back(self, workspace: terms.Workspace | None) -> None:
        """Return the permit of a request that has not run."""
        if workspace is not None and workspace.cap.is_limited:
            self._quotas.give_back(workspace.name, self._clock.now())


def create_caps(
    count_hosts: typing.Callable[[], int],
    clock: clocks.Clock,
) -> HostCaps:
    """Return the caps of a host that has not admitted any request.

    :param count_hosts: returns the number of configured hosts of all regions.
    """
    # Such a host asks no allocator.
    share = shares.create_lone_share(count_hosts, presences.create_log())
    share.start(clock.now())
    host_quotas = quotas.create_quotas(
        caps.Limits(),
        caps.AllowancePart.HOST,
        share,
        random.random,
    )
    return HostCaps(host_quotas, clock)
