"""Limits of one allocator, taken from the settings of its service."""

import dataclasses
import typing


class ServiceLimits(typing.Protocol):
    """The settings of a service that concern its allocator."""

    @property
    def floor(self) -> float:
        """Share of the slots that ejections leave."""

    @property
    def shares(self) -> tuple[float, float, float]:
        """Share of the slots of each priority."""

    @property
    def queue_limits(self) -> tuple[int, int, int]:
        """Waiting requests of each priority."""

    @property
    def warm_up(self) -> float:
        """Seconds until a cold upstream has all its slots."""

    @property
    def retry_share(self) -> float:
        """Retries as a share of first attempts."""

    @property
    def quarantine(self) -> float:
        """Seconds that a poison request is held back."""


@dataclasses.dataclass(frozen=True, slots=True)
class AllocationPolicy:
    """Limits of one allocator.

    :param floor: share of the slots that ejections leave, 0 to 1.
    :param shares: of the slots, by priority; their sum is at most 1.
    :param queue_limits: waiting requests, by priority.
    :param warm_up: seconds until a cold upstream has all its slots.
    :param retry_share: retries as a share of first attempts, 0 to 1.
    :param quarantine: seconds that a poison request is held back.
    :param slot_divisor: number of hosts that share the slots of an upstream
        while each allocates on its own; 1 for the owner.
    """

    floor: float = 0.5
    shares: tuple[float, float, float] = (0.6, 0.3, 0.1)
    queue_limits: tuple[int, int, int] = (1000, 1000, 1000)
    warm_up: float = 10.0
    retry_share: float = 0.1
    quarantine: float = 60.0
    slot_divisor: int = 1


def create_policy(limits: ServiceLimits) -> AllocationPolicy:
    """Return the policy for an owner of a service with these settings."""
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
    """Return the policy for one host that has lost its allocator.

    The host uses its own share of the slots of each upstream, at least one,
    and grants no retries.

    >>> create_fallback_policy(AllocationPolicy(), 44).retry_share
    0.0

    :param hosts: number of hosts that share the upstreams.
    """
    return dataclasses.replace(
        policy,
        retry_share=0.0,
        slot_divisor=max(1, hosts),
    )
