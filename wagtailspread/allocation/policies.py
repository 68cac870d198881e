"""Limits of an allocator, derived from the settings of its service."""

import dataclasses
import typing


class ServiceLimits(typing.Protocol):
    """Settings of a service that its allocator uses."""

    @property
    def floor(self) -> float:
        """Minimum share of the slots that ejections must preserve, 0 to 1."""

    @property
    def shares(self) -> tuple[float, float, float]:
        """Share of the slots for each priority, 0 to 1."""

    @property
    def queue_limits(self) -> tuple[int, int, int]:
        """Maximum number of waiting requests for each priority."""

    @property
    def warm_up(self) -> float:
        """Warm-up time in seconds, after which all slots are usable."""

    @property
    def retry_share(self) -> float:
        """Maximum number of retries per first attempt, 0 to 1."""

    @property
    def quarantine(self) -> float:
        """Duration in seconds of the quarantine of a poison request."""


@dataclasses.dataclass(frozen=True, slots=True)
class AllocationPolicy:
    """Limits of one allocator.

    :param floor: minimum share of the slots that ejections must preserve,
        0 to 1.
    :param shares: share of the slots for each priority; the sum is at most 1.
    :param queue_limits: maximum number of waiting requests for each priority.
    :param warm_up: seconds until all slots of a cold upstream are usable.
    :param retry_share: maximum number of retries per first attempt, 0 to 1.
    :param quarantine: duration in seconds of the quarantine of a poison
        request.
    :param slot_divisor: number of hosts that divide the slots of an upstream
        among themselves while each has an allocator of its own; 1 for the
        owner.
    """

    floor: float = 0.5
    shares: tuple[float, float, float] = (0.6, 0.3, 0.1)
    queue_limits: tuple[int, int, int] = (1000, 1000, 1000)
    warm_up: float = 10.0
    retry_share: float = 0.1
    quarantine: float = 60.0
    slot_divisor: int = 1


def create_policy(limits: ServiceLimits) -> AllocationPolicy:
    """Return the policy for the owner of a service."""
    return AllocationPolicy(
        floor=limits.floor,
        shares=limits.shares,
        queue_limits=limits.queue_limits,
        warm_up=limits.warm_up,
        retry_share=limits.retry_share,
        quarantine=limits.quarantine,
    )


def create_fallback_policy(
    policy: AllocationPolicy,
    hosts: int,
) -> AllocationPolicy:
    """Return the policy for a host that cannot reach the owner.

    The host uses an equal share of the slots of each upstream, at least one
    slot, and grants no retries.

    >>> create_fallback_policy(AllocationPolicy(), 44).retry_share
    0.0

    :param hosts: number of hosts that share the upstreams.
    """
    return dataclasses.replace(
        policy,
        retry_share=0.0,
        slot_divisor=max(1, hosts),
    )
