"""The accepted configuration as a state machine of the replicated log.

Every replica applies the same submissions in the same order and returns the
same answers: the code uses no clock, no random numbers and no set order.

Submissions and answers are thrift structs, as sent between the processes.
"""

import typing

from returns import result

from wagtailspread.configuration import (
    answers,
    approvals,
    checks,
    deltas,
    findings,
    histories,
    memberships,
    proposals,
    schemas,
    signatures,
    snapshots,
)
from wagtailspread.core import identifiers
from wagtailspread.wire import messages

#: Lifetime of the idempotency keys of services that are not configured.
DEFAULT_KEY_SECONDS = 24 * 60 * 60.0

_Kind = findings.FindingKind


class ConfigurationState:
    """Versions, members and cached answers.

    Use :func:`create_configuration`.
    """

    def __init__(self, max_answers: int = answers.MAX_ANSWERS) -> None:
        """Start without a version.

        :param max_answers: answers cached for resent submissions; must be the
            same on every replica.
        """
        self._max_answers = max_answers
        self._history = histories.create_history()
        self._membership = memberships.create_membership(())
        self._answer_cache = answers.AnswerCache(max_answers)
        self._examiner = proposals.create_examiner()
        self._sites: checks.SiteSettings = {}

    @property
    def version(self) -> identifiers.ConfigurationVersion:
        """Return the active version; 0 before the first version."""
        return identifiers.ConfigurationVersion(self._history.version)

    @property
    def files(self) -> dict[str, str]:
        """Return the active texts by file name, with the members file."""
        return dict(self._history.texts)

    @property
    def members(
        self,
    ) -> typing.Mapping[identifiers.MemberId, schemas.MemberSettings]:
        """Return the members in force, sorted by name."""
        return self._membership.members

    @property
    def membership(self) -> memberships.Membership:
        """Return the members in force with their digest."""
        return self._membership

    @property
    def pending(self) -> tuple[approvals.PendingChange, ...]:
        """Return the changes of the membership that wait for agreements."""
        if not self._history.version:
            return ()
        return self._examiner.list_pending(
            self._history.texts,
            self._membership,
        )

    def submit(self, submission: messages.Struct) -> messages.Struct:
        """Apply a submission and return the answer.

        :param submission: a thrift ``Submission``.
        :returns: a thrift ``SubmissionAnswer``; the original answer if the
            submission was applied before.
        """
        if not signatures.is_well_formed(submission):
            return self._refuse_malformed().encode()
        key = answers.AnswerKey(
            identifiers.MemberId(submission.member or ''),
            identifiers.SubmissionId(submission.id or ''),
        )
        digest = signatures.digest_submission(submission)
        cached = self._answer_cache.find(key)
        if cached is not None and cached.digest == digest:
            return cached.answer.encode()
        if not self._is_authentic(submission):
            return self._refuse_signature().encode()
        if cached is not None:
            return self._refuse_reuse().encode()
        answer = self._decide(submission)
        self._answer_cache.add(key, answers.CachedAnswer(digest, answer))
        return answer.encode()

    def delta_since(self, version: int) -> messages.Struct:
        """Return a thrift ``ConfigurationDelta`` for a host.

        :param version: version that the host has; 0 if it has none.
        """
        return self._history.delta_since(version)

    @property
    def settings(self) -> checks.SiteSettings:
        """Return the effective settings of each site in the active version."""
        return self._sites

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the raw public key of a member in force, or ``None``.

        This makes the state a ``credentials.MemberDirectory`` that reflects
        every change of the membership.
        """
        return self._membership.find_key(member)

    def find_lifetime(self, service: str) -> float:
        """Return the lifetime of the idempotency keys of a service.

        :returns: seconds; the default if the service is not configured.
        """
        for site in self._sites.values():
            settings = site.services.get(identifiers.ServiceName(service))
            return settings.key_lifetime if settings else DEFAULT_KEY_SECONDS
        return DEFAULT_KEY_SECONDS

    def take_snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return snapshots.encode_state(self._history, self._answer_cache)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state.

        :param snapshot: result of :meth:`take_snapshot`.
        :raises ValueError: if the bytes are not a snapshot.
        """
        state = snapshots.decode_state(snapshot, self._max_answers)
        self._history = state.history
        self._answer_cache = state.answer_cache
        self._membership = proposals.read_members(self._history.texts)
        self._examiner = proposals.create_examiner()
        self._sites = self._examiner.prepare(
            self._history.texts,
            self._membership,
        ).value_or({})

    def _is_authentic(self, submission: messages.Struct) -> bool:
        """Check the signature; only the first version is unsigned."""
        if not self._history.version:
            return True
        key = self._membership.find_key(submission.member)
        return signatures.is_signed(submission, key)

    def _decide(self, submission: messages.Struct) -> answers.Answer:
        based_on = submission.based_on or 0
        if based_on > self._history.version or based_on < 0:
            return answers.refuse_submission(
                self._history.version,
                f'a base version of at most {self._history.version}',
                _Kind.UNKNOWN_VERSION,
            )
        if based_on != self._history.version:
            return self._answer_conflict(based_on)
        proposed = self._examiner.examine(
            self._history.texts,
            self._membership,
            submission,
        )
        if isinstance(proposed, result.Failure):
            return answers.refuse(self._history.version, proposed.failure())
        return self._accept(proposed.unwrap())

    def _accept(self, proposal: proposals.Proposal) -> answers.Answer:
        self._history.replace(proposal.texts, proposal.parts)
        self._membership = proposal.membership
        self._sites = proposal.sites
        return answers.Answer(
            answers.ACCEPTED,
            self._history.version,
            proposal.void_agreements[: answers.MAX_LINES],
        )

    def _answer_conflict(self, based_on: int) -> answers.Answer:
        lines = deltas.list_differences(self._history.delta_since(based_on))
        return answers.Answer(
            answers.CONFLICT,
            self._history.version,
            differences=tuple(lines[: answers.MAX_LINES]),
        )

    def _refuse_malformed(self) -> answers.Answer:
        return answers.refuse_submission(
            self._history.version,
            'an id, a member and texts in UTF-8',
            _Kind.MALFORMED,
        )

    def _refuse_signature(self) -> answers.Answer:
        return answers.refuse_submission(
            self._history.version,
            'a signature with the key of a member in force',
            _Kind.BAD_SIGNATURE,
        )

    def _refuse_reuse(self) -> answers.Answer:
        return answers.refuse_submission(
            self._history.version,
            'an id that no other submission of this member has',
            _Kind.ID_REUSED,
        )


def create_configuration(
    max_answers: int = answers.MAX_ANSWERS,
) -> ConfigurationState:
    """Return a state without a version.

    >>> create_configuration().version
    0

    :param max_answers: answers cached for resent submissions; must be the same
        on every replica.
    """
    return ConfigurationState(max_answers)
