"""Conversion between slot messages and wire structs.

Times are sent as durations, since the clocks of two hosts are not comparable.
"""

import typing

import logbook

from returns import result

from wagtailspread.core import failures, identifiers, outcomes, priorities
from wagtailspread.entry import announcements, slots
from wagtailspread.wire import messages

_log = logbook.Logger('conversions')

_MS = 1000
_MICROS = 1_000_000
#: Largest value of a 32-bit wire field.
_MAX_I32 = messages.MAX_I32

Decision = result.Result[slots.Grant, failures.Refusal]


def write_request(
    service: identifiers.ServiceName,
    request: slots.SlotRequest,
    now: float,
    vote_stamp: int = 0,
) -> messages.Struct:
    """Return the struct of a slot request."""
    return messages.structs.AcquireSlot(
        request=request.request,
        service_name=service,
        host=request.host,
        domain=request.domain,
        priority=int(request.priority),
        deadline_ms=_to_ms(request.deadline - now),
        attempt=request.attempt,
        fingerprint=request.fingerprint,
        excluded=list(request.excluded),
        vote_stamp=vote_stamp,
    )


def read_request(
    struct: messages.Struct,
    host: identifiers.HostId,
    now: float,
) -> slots.SlotRequest:
    """Return the slot request of a struct.

    :param host: authenticated sender; replaces the host named in the struct.
    :raises TypeError: if a number is missing.
    :raises ValueError: if the priority is unknown.
    """
    return slots.SlotRequest(
        request=identifiers.RequestId(struct.request),
        host=host,
        domain=identifiers.FailureDomain(struct.domain),
        priority=priorities.Priority(struct.priority),
        deadline=now + struct.deadline_ms / _MS,
        attempt=struct.attempt,
        fingerprint=struct.fingerprint or b'',
        excluded=tuple(struct.excluded or ()),
    )


def write_decision(
    decision: Decision,
    now: float,
    stamp: int = 0,
) -> messages.Struct:
    """Return the struct of a grant or a refusal."""
    if isinstance(decision, result.Success):
        return _write_grant(decision.unwrap(), now, stamp)
    refusal = decision.failure()
    return messages.structs.SlotDecision(
        request=refusal.request,
        lease=0,
        upstream='',
        address='',
        expires_ms=0,
        is_trial=False,
        reason=refusal.reason.value,
        retry_after_ms=_to_ms(refusal.retry_after),
        stamp=stamp,
    )


def read_decision(struct: messages.Struct, now: float) -> Decision:
    """Return the grant or the refusal of a struct.

    :raises ValueError: if the refusal reason is unknown.
    """
    request = identifiers.RequestId(struct.request)
    if struct.reason:
        refusal = failures.Refusal(
            request,
            outcomes.RefusalReason(struct.reason),
            struct.retry_after_ms / _MS,
        )
        return result.Failure(refusal)
    grant = slots.Grant(
        request,
        identifiers.LeaseId(struct.lease),
        identifiers.UpstreamId(struct.upstream),
        struct.address,
        now + struct.expires_ms / _MS,
        bool(struct.is_trial),
    )
    return result.Success(grant)


def write_release(
    service: identifiers.ServiceName,
    host: identifiers.HostId,
    completions: typing.Iterable[slots.Completion],
    vote_stamp: int = 0,
) -> messages.Struct:
    """Return the struct of a batch of completions."""
    completion_structs = [
        messages.structs.SlotCompletion(
            lease=completion.lease,
            result=int(completion.result),
            micros=min(int(completion.seconds * _MICROS), _MAX_I32),
        )
        for completion in completions
    ]
    return messages.structs.ReleaseSlots(
        service_name=service,
        host=host,
        completions=completion_structs,
        vote_stamp=vote_stamp,
    )


def read_release(
    struct: messages.Struct,
) -> list[slots.Completion]:
    """Return the completions of a struct.

    A malformed completion is logged and left out. Its lease expires.
    """
    completions = []
    for completion in struct.completions or ():
        try:
            completions.append(_read_completion(completion))
        except (TypeError, ValueError) as error:
            _log.warning(
                'completion skipped',
                extra={'lease': completion.lease, 'reason': str(error)},
            )
    return completions


def write_adoption(
    service: identifiers.ServiceName,
    claim: slots.LeaseClaim,
    now: float,
) -> messages.Struct:
    """Return the struct that reports a lease to a new owner."""
    return messages.structs.AdoptLease(
        service_name=service,
        host=claim.host,
        lease=claim.lease,
        upstream=claim.upstream,
        expires_ms=_to_ms(claim.expires - now),
    )


def read_adoption(
    struct: messages.Struct,
    host: identifiers.HostId,
    now: float,
) -> slots.LeaseClaim:
    """Return the lease claim of a struct.

    :param host: authenticated sender; replaces the host named in the struct.
    :raises TypeError: if the expiry is missing.
    """
    return slots.LeaseClaim(
        identifiers.LeaseId(struct.lease),
        host,
        identifiers.UpstreamId(struct.upstream),
        now + struct.expires_ms / _MS,
    )


def write_announcement(announcement: slots.Announcement) -> messages.Struct:
    """Return the struct of an announcement."""
    return messages.structs.AnnounceUpstream(
        service_name=announcement.service,
        upstream=announcement.upstream,
        address=announcement.address,
        region=announcement.region,
        domain=announcement.domain,
        slots=announcement.slots,
        connections=announcement.connections,
        state=announcement.state.value,
        incarnation=announcement.incarnation,
        age_ms=_to_ms(announcement.age),
    )


def read_announcement(struct: messages.Struct) -> slots.Announcement:
    """Return the announcement of a struct.

    :raises ValueError: if a field is missing or out of range.
    """
    fault = announcements.find_fault(struct)
    if fault:
        raise ValueError(f'{fault}: expected a value in range')
    return slots.Announcement(
        identifiers.ServiceName(struct.service_name),
        identifiers.UpstreamId(struct.upstream),
        struct.address,
        identifiers.RegionName(struct.region),
        identifiers.FailureDomain(struct.domain),
        struct.slots,
        struct.connections,
        slots.UpstreamState(struct.state),
        identifiers.Incarnation(struct.incarnation),
        struct.age_ms / _MS,
    )


def _read_completion(struct: messages.Struct) -> slots.Completion:
    return slots.Completion(
        identifiers.LeaseId(struct.lease),
        outcomes.ExchangeResult(struct.result),
        struct.micros / _MICROS,
    )


def _write_grant(
    grant: slots.Grant,
    now: float,
    stamp: int,
) -> messages.Struct:
    return messages.structs.SlotDecision(
        request=grant.request,
        lease=grant.lease,
        upstream=grant.upstream,
        address=grant.address,
        expires_ms=_to_ms(grant.expires - now),
        is_trial=grant.is_trial,
        reason='',
        retry_after_ms=0,
        stamp=stamp,
    )


def _to_ms(seconds: float) -> int:
    return min(max(int(seconds * _MS), 0), _MAX_I32)
