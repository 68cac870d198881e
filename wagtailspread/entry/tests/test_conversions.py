"""Tests of the conversion between slot messages and wire structs."""

from returns import result

from wagtailspread.core import failures, outcomes, priorities
from wagtailspread.entry import conversions, slots
from wagtailspread.entry.tests import fleets
from wagtailspread.wire import messages

NOW = 50.0


def send(struct):
    return messages.decode(type(struct), messages.encode(struct))


def test_slot_request_is_read_with_the_authenticated_host():
    """Guards against hosts that send requests in the name of other hosts."""
    request = slots.SlotRequest(
        'r1',
        'forged',
        fleets.DOMAIN,
        priorities.Priority.BULK,
        NOW + 2,
        2,
        b'f',
        ('u1', 'u2'),
    )
    struct = conversions.write_request(fleets.SERVICE, request, NOW, 7)
    received = conversions.read_request(send(struct), 'h1', NOW)
    assert (received.host, received.deadline) == ('h1', NOW + 2)
    assert (received.attempt, received.excluded) == (2, ('u1', 'u2'))
    assert received.priority is priorities.Priority.BULK


def test_decisions_survive_conversion_to_wire_and_back():
    """Guards against fields that are lost or changed by the conversion."""
    grant = slots.Grant('r1', 5, 'u1', 'a:1', NOW + 3, True)
    struct = conversions.write_decision(result.Success(grant), NOW, 9)
    assert conversions.read_decision(send(struct), NOW).unwrap() == grant
    refusal = failures.Refusal('r1', outcomes.RefusalReason.QUEUE_FULL, 1.5)
    struct = conversions.write_decision(result.Failure(refusal), NOW)
    assert conversions.read_decision(send(struct), NOW).failure() == refusal
