"""Encodes the configuration state as JSON with sorted keys."""

import dataclasses
import json
import typing

from wagtailspread.configuration import answers, findings, histories
from wagtailspread.core import identifiers

_FORMAT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Contents of a snapshot."""

    history: histories.History
    answer_cache: answers.AnswerCache


def encode_state(
    history: histories.History,
    answer_cache: answers.AnswerCache,
) -> bytes:
    """Return the snapshot of a state."""
    document = {
        'format': _FORMAT,
        'texts': history.texts,
        'version': history.version,
        'oldest': history.oldest,
        'changed': _encode_versions(history.changed),
        'removed': _encode_versions(history.removed),
        'reordered': history.reordered,
        'touched': history.touched,
        'answers': [
            _encode_answer(key, cached) for key, cached in answer_cache.items()
        ],
    }
    return json.dumps(document, sort_keys=True).encode()


def decode_state(snapshot: bytes, max_answers: int) -> State:
    """Return the state in a snapshot.

    :param max_answers: limit of the answer cache.
    :raises ValueError: if the bytes are not a snapshot of this format.
    """
    document = json.loads(snapshot)
    if document.get('format') != _FORMAT:
        raise ValueError(
            f'expected a configuration snapshot of format {_FORMAT}, '
            f'found format {document.get("format")!r:.40}',
        )
    history = histories.History(
        texts=document['texts'],
        version=document['version'],
        oldest=document['oldest'],
        changed=_decode_versions(document['changed']),
        removed=_decode_versions(document['removed']),
        reordered=document['reordered'],
        touched=document['touched'],
    )
    answer_cache = answers.AnswerCache(max_answers)
    for row in document['answers']:
        answer_cache.add(
            answers.AnswerKey(
                identifiers.MemberId(row['member']),
                identifiers.SubmissionId(row['submission']),
            ),
            answers.CachedAnswer(row['digest'], _decode_answer(row)),
        )
    return State(history, answer_cache)


def _encode_versions(
    versions: dict[histories.SectionId, int],
) -> list[list[typing.Any]]:
    return [
        [section.file, section.name, version]
        for section, version in versions.items()
    ]


def _decode_versions(
    rows: list[list[typing.Any]],
) -> dict[histories.SectionId, int]:
    return {
        histories.SectionId(file, name): version for file, name, version in rows
    }


def _encode_answer(
    key: answers.AnswerKey,
    cached: answers.CachedAnswer,
) -> dict[str, typing.Any]:
    answer = cached.answer
    return {
        'member': key.member,
        'submission': key.submission,
        'digest': cached.digest,
        'status': answer.status,
        'version': answer.version,
        'findings': [
            [
                finding.file,
                finding.line,
                finding.key,
                finding.expected,
                finding.kind.value,
            ]
            for finding in answer.findings
        ],
        'differences': answer.differences,
    }


def _decode_answer(row: dict[str, typing.Any]) -> answers.Answer:
    return answers.Answer(
        status=row['status'],
        version=row['version'],
        findings=tuple(
            findings.Finding(
                file,
                line,
                key,
                expected,
                findings.FindingKind(kind),
            )
            for file, line, key, expected, kind in row['findings']
        ),
        differences=tuple(row['differences']),
    )
