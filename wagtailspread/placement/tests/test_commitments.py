"""Tests of the commitments to queued requests."""

import hypothesis
from hypothesis import strategies as st

from wagtailspread.core import identifiers
from wagtailspread.placement import commitments, leases, messages, queues

_SERVICE = identifiers.ServiceName('columns')
_NOW = 10.0
_CAPACITY = 2.0

_WAITING = st.fixed_dictionaries(
    {
        'work': st.sampled_from([0.125, 0.5, 2.0]),
        'due': st.floats(_NOW - 2, _NOW + 4),
        'patience': st.floats(0, 3),
        'tag': st.floats(0, 1),
        'priority': st.integers(0, 2),
        'is_late': st.booleans(),
        'is_preferred': st.booleans(),
        'is_short': st.booleans(),
    }
)


@hypothesis.given(_WAITING, st.lists(_WAITING, max_size=12), st.integers(0, 12))
def test_no_queued_request_loses_a_limit_to_a_new_one(new, others, place):
    """Guards against an admission that makes an admitted request fail.

    A request loses a limit if it is met without the new one only.
    """
    queue = queues.create_queues().find(_SERVICE)
    behind = []
    for number, fields in enumerate(others):
        entry = create_entry(number + (number >= place), fields)
        queue.add(entry, _NOW)
        if number >= place:
            behind.append(entry)
    entry = create_entry(place, new)
    start = _NOW + sum(fields['work'] for fields in others[:place]) / _CAPACITY
    is_kept = True
    for other in behind:
        late_start = start + entry.work / _CAPACITY
        end = max(other.latest - commitments.KEEP_MARGIN, other.due)
        loses_objective = start <= other.due < late_start
        if loses_objective and has_precedence(other, entry):
            is_kept = False
        if start <= end < late_start:
            is_kept = False
        start += other.work / _CAPACITY
    assert commitments.keeps_admitted(queue, entry, _CAPACITY, _NOW) == is_kept


def create_entry(number, fields):
    """Return a request at a place of the queue."""
    fields = dict(fields)
    priority = fields.pop('priority')
    latest = fields['due'] + fields.pop('patience')
    request = messages.PlacementRequest(
        request_id=identifiers.RequestId(str(number)),
        host=identifiers.HostId('h'),
        domain=identifiers.FailureDomain('a'),
        service=_SERVICE,
        deadline=latest + fields['work'],
        objective=1.0,
        priority=priority,
    )
    return leases.WaitingRequest(
        request=request,
        order=(0, float(number), number),
        queued_at=_NOW,
        polled_at=_NOW,
        asked_at=_NOW,
        latest=latest,
        **fields,
    )


def has_precedence(other, entry):
    """Tell whether a request must end within its objective."""
    if other.is_late or other.is_preferred:
        return False
    if entry.is_preferred or entry.is_short or entry.tag < other.tag:
        return False
    return other.request.priority <= entry.request.priority
