"""Tests of the state machine of the replicas and its commands."""

from wagtailspread.replica import machines
from wagtailspread.testing import machines as fakes
from wagtailspread.wire import messages


def create_claim(key='k', attempt='a1', wall=10.0):
    request = messages.structs.ClaimKey(
        service_name='contratos',
        caller='diario',
        key=key,
        attempt=attempt,
        host='h1',
        deadline_ms=1000,
        fingerprint=b'',
    )
    return machines.encode_command(
        machines.CommandKind.CLAIM_KEY,
        request,
        wall,
    )


class ClockedClaims(fakes.FakeClaims):
    """Records the time passed with each claim."""

    def __init__(self):
        super().__init__()
        self.times = []

    def claim(self, request, now):
        self.times.append(now)
        return super().claim(request, now)


def create_machine(claims):
    return machines.create_machine(fakes.FakeConfiguration(), claims)


def test_time_of_commands_never_decreases():
    """Guards against claims that expire differently after a leader change."""
    claims = ClockedClaims()
    machine = create_machine(claims)
    for index, wall in enumerate((10.0, 7.0, 11.0)):
        machine.apply(index, create_claim(wall=wall))
    assert claims.times == [10.0, 10.0, 11.0]


def test_time_survives_a_snapshot():
    """Guards against a restored replica that uses an older time."""
    machine = create_machine(fakes.FakeClaims())
    machine.apply(1, create_claim(wall=50.0))
    claims = ClockedClaims()
    restored = create_machine(claims)
    restored.restore(machine.take_snapshot())
    restored.apply(2, create_claim(key='other', wall=40.0))
    assert claims.times == [50.0]
    assert claims.attempts == {'k': 'a1', 'other': 'a1'}


def test_command_that_raises_an_exception_does_not_stop_the_replica():
    """Guards against a command that stops all replicas permanently."""
    machine = create_machine(fakes.FakeClaims())
    submission = messages.structs.Submission(id='s1', based_on=0)
    command = machines.encode_command(
        machines.CommandKind.SUBMIT,
        submission,
        1.0,
    )
    assert not machine.apply(1, command)
    assert machine.apply(2, create_claim())
