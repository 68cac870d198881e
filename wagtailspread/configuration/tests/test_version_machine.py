"""Invariants of the configuration under any order of submissions.

The model stores the files of every version and the agreements that each member
submitted, and computes the membership independently.
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
#: A machine with a faulty state must fail; shrinking the example is not needed.
FAULTY_SETTINGS = hypothesis.settings(
    SETTINGS,
    max_examples=2000,
    phases=[hypothesis.Phase.generate],
)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Compares the state with the model after every submission."""

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
        self.agreements = {}
        self.sent = []
        self.digests = [self.state.membership.digest()]

    @stateful.rule(
        member=SUBJECTS,
        listed=st.sets(SUBJECTS),
        age=st.sampled_from([0, 0, 0, 1]),
    )
    def submit_base(self, member, listed, age):
        """Submit a base file that lists some members and candidates."""
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
        """Submit agreements that name the current or an earlier membership."""
        membership = self.digests[-1 - min(digest // 2, len(self.digests) - 1)]
        kind = 'removal' if is_removal else 'approval'
        text = f'[service vitrina]\ndeadline = {deadline}s\n'
        agreed = set()
        for subject in sorted(subjects):
            subject_digest = compute_digest(subject)
            agreed.add((kind, subject, membership))
            text += builders.write_section(
                kind, subject, subject_digest, membership
            )
        texts = {f'overlay-{member}.ini': text}
        self.submit(member, texts, age, agreed)

    @stateful.rule(member=SUBJECTS)
    def leave(self, member):
        """Submit an overlay with a leave section."""
        self.submit(member, {f'overlay-{member}.ini': '[leave]\n'}, 0, set())

    @stateful.precondition(lambda machine: machine.sent)
    @stateful.rule(number=st.integers(0, 100))
    def resend(self, number):
        """Resend a submission: same answer, unchanged state."""
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
        """Continue with a state restored from a snapshot."""
        snapshot = self.state.take_snapshot()
        other = self.create()
        other.restore(snapshot)
        assert other.take_snapshot() == snapshot
        assert other.pending == self.state.pending
        assert other.settings == self.state.settings
        self.state = other

    def submit(self, member, texts, age, agreed=None):
        """Submit, and compare the changes with the model."""
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
            self.agreements[member] = agreed
        self.check_members(before, membership, member, texts)
        self.history[self.state.version] = self.state.files
        if self.digests[-1] != self.state.membership.digest():
            self.digests.append(self.state.membership.digest())

    def check_members(self, before, membership, member, texts):
        """Check that all other members agreed to a change of the membership."""
        after = set(self.state.members)
        assert after
        assert len(before ^ after) <= 1
        for name in after - before:
            self.check_agreed('approval', name, membership, before)
        for name in before - after:
            if name != member or '[leave]' not in ''.join(texts.values()):
                self.check_agreed('removal', name, membership, before - {name})
            self.agreements.pop(name, None)

    def check_agreed(self, kind, name, membership, voters):
        """Check that the active overlay of each voter has the agreement."""
        for voter in voters:
            assert (kind, name, membership) in self.agreements.get(voter, ())

    @stateful.invariant()
    def deltas_produce_the_active_files(self):
        """The delta from any version produces the active files."""
        for version, texts in self.history.items():
            delta = self.state.delta_since(version)
            assert deltas.apply_delta(texts, delta) == self.state.files
        full = self.state.delta_since(0)
        assert deltas.apply_delta({}, full) == self.state.files


def compute_digest(name):
    """Return the digest of a member's section."""
    member = builders.start(name).members[name]
    return memberships.member_digest(member)


ConfigurationMachine.TestCase.settings = SETTINGS
TestConfigurationMachine = ConfigurationMachine.TestCase


class StaleBaseAccepted(versions.ConfigurationState):
    """Accepts a submission based on an older version."""

    def _decide(self, submission):
        rebased = copy.copy(submission)
        rebased.based_on = self.version
        return super()._decide(rebased)


class NoAnswerCache(versions.ConfigurationState):
    """Does not cache answers."""

    def __init__(self):
        super().__init__()
        self._answer_cache.add = lambda key, stored: None


class AnswersNotRestored(versions.ConfigurationState):
    """Restores everything except the answers."""

    def restore(self, snapshot):
        super().restore(snapshot)
        self._answer_cache = answers.AnswerCache()


class DecreasingVersion(versions.ConfigurationState):
    """Decreases the version number at the third version."""

    def _accept(self, proposal):
        if self._history.version == 3:
            self._history.version -= 2
        return super()._accept(proposal)


def check_detects_fault(create):
    """Check that the machine detects the faulty state of a factory."""

    class FaultyMachine(ConfigurationMachine):
        """The machine with the faulty state."""

    FaultyMachine.create = staticmethod(create)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            FaultyMachine, settings=FAULTY_SETTINGS
        )


@pytest.mark.parametrize(
    'create',
    [StaleBaseAccepted, NoAnswerCache, AnswersNotRestored, DecreasingVersion],
)
def test_machine_detects_a_faulty_state(create):
    """Guards against a machine that accepts any state."""
    check_detects_fault(create)


def test_machine_detects_a_missing_approval(monkeypatch):
    """Guards against a machine that accepts too few approvals."""
    tally_agreements = approvals._tally_agreements

    def accept_one_agreement(*arguments):
        pending = tally_agreements(*arguments)
        if pending.agreed:
            return dataclasses.replace(pending, missing=())
        return pending

    monkeypatch.setattr(approvals, '_tally_agreements', accept_one_agreement)
    check_detects_fault(versions.create_configuration)


def test_machine_detects_an_ignored_membership(monkeypatch):
    """Guards against a machine that accepts void approvals.

    They contain the digest of an older membership.
    """
    tally_agreements = approvals._tally_agreements

    def accept_void_agreements(*arguments):
        pending = tally_agreements(*arguments)
        missing = set(pending.missing).difference(pending.void)
        return dataclasses.replace(
            pending,
            missing=tuple(sorted(missing)),
            agreed=(*pending.agreed, *pending.void),
        )

    monkeypatch.setattr(approvals, '_tally_agreements', accept_void_agreements)
    check_detects_fault(versions.create_configuration)


def test_machine_detects_a_delta_without_removals(monkeypatch):
    """Guards against a machine that ignores removed sections on hosts."""
    monkeypatch.setattr(
        histories.History,
        '_removed_since',
        lambda history, version: iter(()),
    )
    check_detects_fault(versions.create_configuration)
