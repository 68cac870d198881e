"""Status report of a replica for operators."""

import typing

from returns import result

from wagtailspread.consensus import messages, replicas
from wagtailspread.core import identifiers
from wagtailspread.replica import drivers

Report = dict[str, typing.Any]


def create_report(
    driver: drivers.Driver,
    address: identifiers.Address,
    now: float,
) -> Report:
    """Return the status as a dictionary that JSON can represent."""
    replica = driver.replica
    state = replica.state
    is_current = isinstance(replica.read_index(now), result.Success)
    leader = address if replica.is_leader else replica.find_leader_address()
    return {
        'identity': state.identity,
        'address': address,
        'role': state.role.value,
        'term': state.term,
        'leader': leader or '',
        'is_current': is_current,
        'last_index': state.log.last_index,
        'commit': state.commit,
        'applied': driver.applied,
        'snapshot': state.log.snapshot.index,
        'members': _list_members(replica, now),
        'replacements': _list_replacements(state.membership),
    }


def _list_members(replica: replicas.Replica, now: float) -> list[Report]:
    membership = replica.state.membership
    voters = membership.voter_ids()
    return [
        _describe_member(replica, node, now, is_voter=node.identity in voters)
        for node in membership.nodes()
    ]


def _describe_member(
    replica: replicas.Replica,
    node: messages.ReplicaNode,
    now: float,
    *,
    is_voter: bool,
) -> Report:
    described: Report = {
        'identity': node.identity,
        'address': node.address,
        'is_voter': is_voter,
    }
    progress = replica.state.progress.get(node.identity)
    if progress is not None:
        described['match'] = progress.match_index
        described['silent_seconds'] = round(now - progress.active_at, 3)
    return described


def _list_replacements(
    membership: messages.MembershipRecord,
) -> list[Report]:
    """Return the step of each learner on its way to become a voter.

    A learner at the address of a voter replaces that voter and is reported as
    catching up with the log until the voter is removed. Every other learner is
    reported as waiting for its admission as a voter.
    """
    voter_ids = {node.address: node.identity for node in membership.voters}
    return [
        {
            'address': learner.address,
            'new': learner.identity,
            'old': voter_ids.get(learner.address, ''),
            'step': (
                'catching-up' if learner.address in voter_ids else 'admission'
            ),
        }
        for learner in membership.learners
    ]
