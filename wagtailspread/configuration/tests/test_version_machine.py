"""Invariants of the configuration under any order of submissions.

The model keeps the files of every version and the agreements that each member
submitted, and decides by itself who may be a member.
"""

import copy
import dataclasses

import hypothesis
import pytest

from hypothesis import stateful
from hypothesis import strategies as st

from wagtailspread.configuration import (
    answers,
    approvals,
    deltas,
    histories,
    memberships,
    signatures,
    versions,
)
from wagtailspread.configuration.tests import builders

NAMES = ('a', 'b', 'c', 'd')
SUBJECTS = st.sampled_from(NAMES)
SETTINGS = hypothesis.settings(
    max_examples=40,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
#: A machine with a broken state only has to fail, not to fail briefly.
BROKEN_SETTINGS = hypothesis.settings(
    SETTINGS,
    max_examples=2000,
    phases=[hypothesis.Phase.generate],
)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Compares a state with the model after every submission."""

    create = staticmethod(versions.create_configuration)

    def __init__(self):
        """Start with the members a and b."""
        super().__init__()
        self.state = self.create()
        first = signatures.create_submission(
            'first',
            0,
            'a',
            {'base.ini': builders.write_base('a', 'b')},
        )
        self.state.submit(first)
        self.history = {1: self.state.files}
        self.given = {}
        self.sent = []
        self.digests = [self.state.membership.digest()]

    @stateful.rule(
        member=SUBJECTS,
        listed=st.sets(SUBJECTS),
        age=st.sampled_from([0, 0, 0, 1]),
    )
    def submit_base(self, member, listed, age):
        """List some members and candidates."""
        texts = {'base.ini': builders.write_base(*sorted(listed))}
        self.submit(member, texts, age)

    @stateful.rule(
        member=SUBJECTS,
        subjects=st.sets(SUBJECTS),
        is_removal=st.booleans(),
        age=st.sampled_from([0, 0, 0, 1]),
        digest=st.integers(0, 3),
        deadline=st.integers(1, 3),
    )
    def submit_overlay(
        self, member, subjects, is_removal, age, digest, deadline
    ):
        """Approve or remove some, under the present or an old membership."""
        membership = self.digests[-1 - min(digest // 2, len(self.digests) - 1)]
        kind = 'removal' if is_removal else 'approval'
        text = f'[service vitrina]\ndeadline = {deadline}s\n'
        agreed = set()
        for subject in sorted(subjects):
            about = digest_of(subject)
            agreed.add((kind, subject, membership))
            text += builders.write_section(kind, subject, about, membership)
        texts = {f'overlay-{member}.ini': text}
        self.submit(member, texts, age, agreed)

    @stateful.rule(member=SUBJECTS)
    def leave(self, member):
        """Leave by the own overlay."""
        self.submit(member, {f'overlay-{member}.ini': '[leave]\n'}, 0, set())

    @stateful.precondition(lambda machine: machine.sent)
    @stateful.rule(number=st.integers(0, 100))
    def resend(self, number):
        """Get the original answer and change nothing."""
        submission, answer = self.sent[number % len(self.sent)]
        before = self.state.take_snapshot()
        if answer.status == 'refused' and 'bad-signature' in builders.kinds(
            answer,
        ):
            return
        assert self.state.submit(submission) == answer
        assert self.state.take_snapshot() == before

    @stateful.rule()
    def restart(self):
        """Go on from a snapshot."""
        snapshot = self.state.take_snapshot()
        other = self.create()
        other.restore(snapshot)
        assert other.take_snapshot() == snapshot
        assert other.pending == self.state.pending
        assert other.settings == self.state.settings
        self.state = other

    def submit(self, member, texts, age, agreed=None):
        """Submit, and compare what changed with the model."""
        version = self.state.version
        before = set(self.state.members)
        membership = self.state.membership.digest()
        submission = builders.sign(member, max(1, version - age), texts)
        answer = self.state.submit(submission)
        self.sent.append((submission, answer))
        if answer.status != 'accepted':
            assert self.state.version == version
            assert set(self.state.members) == before
            return
        assert submission.based_on == version
        assert (answer.version, self.state.version) == (
            version + 1,
            version + 1,
        )
        assert member in before
        if agreed is not None:
            self.given[member] = agreed
        self.check_members(before, membership, member, texts)
        self.history[self.state.version] = self.state.files
        if self.digests[-1] != self.state.membership.digest():
            self.digests.append(self.state.membership.digest())

    def check_members(self, before, membership, member, texts):
        """Every change of the membership was agreed to by all others."""
        after = set(self.state.members)
        assert after
        assert len(before ^ after) <= 1
        for name in after - before:
            self.check_agreed('approval', name, membership, before)
        for name in before - after:
            if name != member or '[leave]' not in ''.join(texts.values()):
                self.check_agreed('removal', name, membership, before - {name})
            self.given.pop(name, None)

    def check_agreed(self, kind, name, membership, voters):
        """All voters hold the agreement in their overlay in force."""
        for voter in voters:
            assert (kind, name, membership) in self.given.get(voter, ())

    @stateful.invariant()
    def deltas_lead_to_the_files_in_force(self):
        """Any version that a host may have becomes the present one."""
        for version, known in self.history.items():
            delta = self.state.delta_since(version)
            assert deltas.apply_delta(known, delta) == self.state.files
        full = self.state.delta_since(0)
        assert deltas.apply_delta({}, full) == self.state.files


def digest_of(name):
    """Return the digest of a member's section."""
    parsed = builders.start(name).members[name]
    return memberships.member_digest(parsed)


ConfigurationMachine.TestCase.settings = SETTINGS
TestConfigurationMachine = ConfigurationMachine.TestCase


class AnyBase(versions.ConfigurationState):
    """Accepts a submission made from an older version."""

    def _decide(self, submission):
        rebased = copy.copy(submission)
        rebased.based_on = self.version
        return super()._decide(rebased)


class NoMemory(versions.ConfigurationState):
    """Does not remember answers."""

    def __init__(self):
        super().__init__()
        self._memory.add = lambda key, remembered: None


class LostAnswers(versions.ConfigurationState):
    """Restores everything but the answers."""

    def restore(self, snapshot):
        super().restore(snapshot)
        self._memory = answers.AnswerMemory()


class VersionGoesBack(versions.ConfigurationState):
    """Counts down at the third version."""

    def _accept(self, proposal):
        if self._history.version == 3:
            self._history.version -= 2
        return super()._accept(proposal)


def check_breaks(create):
    """The machine finds that a state of this factory is broken."""

    class Broken(ConfigurationMachine):
        """The machine with another state."""

    Broken.create = staticmethod(create)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Broken, settings=BROKEN_SETTINGS)


@pytest.mark.parametrize(
    'create',
    [AnyBase, NoMemory, LostAnswers, VersionGoesBack],
)
def test_machine_finds_a_broken_state(create):
    """Guards against a machine that accepts anything."""
    check_breaks(create)


def test_machine_finds_a_missing_approval(monkeypatch):
    """Guards against a machine that does not count the approvals."""
    count = approvals._count

    def count_all_but_one(*arguments):
        pending = count(*arguments)
        if pending.agreed:
            return dataclasses.replace(pending, missing=())
        return pending

    monkeypatch.setattr(approvals, '_count', count_all_but_one)
    check_breaks(versions.create_configuration)


def test_machine_finds_an_ignored_membership(monkeypatch):
    """Guards against approvals under an older membership."""
    count = approvals._count

    def count_void(*arguments):
        pending = count(*arguments)
        missing = set(pending.missing).difference(pending.void)
        return dataclasses.replace(
            pending,
            missing=tuple(sorted(missing)),
            agreed=(*pending.agreed, *pending.void),
        )

    monkeypatch.setattr(approvals, '_count', count_void)
    check_breaks(versions.create_configuration)


def test_machine_finds_a_delta_without_removals(monkeypatch):
    """Guards against sections that stay on hosts for ever."""
    monkeypatch.setattr(
        histories.History,
        '_removed_since',
        lambda history, version: iter(()),
    )
    check_breaks(versions.create_configuration)
