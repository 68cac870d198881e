"""``wagtailspread submit``: submits files to the replicas."""

import asyncio
import dataclasses
import pathlib
import shlex
import typing
import uuid

import click

from returns import result

from wagtailspread.commands import connections, file_sets, renderings
from wagtailspread.configuration import answers, schemas, signatures
from wagtailspread.core import failures, identifiers
from wagtailspread.wire import messages, signing

#: Exit status if the replicas refused the files.
EXIT_REFUSED = 1
#: Exit status if another submission was accepted first.
EXIT_CONFLICT = 3
#: Exit status if the outcome is unknown.
EXIT_UNKNOWN = 4

_PATH = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


_OPTIONS = (
    click.argument('paths', nargs=-1, required=True, type=_PATH),
    click.option(
        '--based-on',
        type=click.IntRange(min=0),
        required=True,
        help='Version that the files are based on, as printed by fetch.',
    ),
    click.option(
        '--id',
        'submission_id',
        help='Id of an earlier submission whose outcome is unknown.',
    ),
    click.option(
        '--trust',
        type=_PATH,
        help="Base file with the keys of the replicas' members; the default "
        'is base.ini beside the first file.',
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitOptions(connections.Options):
    """Values of the options of ``submit``."""

    paths: tuple[pathlib.Path, ...]
    based_on: int
    submission_id: str | None
    trust: pathlib.Path | None

    def format_command(self, submission_id: str) -> str:
        """Return the command line that repeats this submission.

        It prints the outcome of the submission with this id.
        """
        words = ['wagtailspread', 'submit', *map(str, self.paths)]
        words.extend(('--based-on', str(self.based_on), '--id', submission_id))
        for replica in self.replicas:
            words.extend(('--replica', replica))
        words.extend(('--member', str(self.member)))
        words.extend(('--key', str(self.key_path)))
        if self.trust is not None:
            words.extend(('--trust', str(self.trust)))
        return shlex.join(words)


@click.command()
@connections.add_options(*_OPTIONS, *connections.OPTIONS)
@click.pass_obj
def submit(
    connector: connections.Connector | None,
    **option_values: typing.Any,
) -> None:
    """Submit the base file and your overlay, signed with your key.

    The exit status is 0 if the files are in force, 1 if they were refused, 2
    for a wrong command line, 3 if another submission was accepted first, and
    4 if the outcome is unknown. In the last case, run the command that is
    printed. A submission with the same id is accepted at most once and gets its
    original answer, so it is safe to repeat.

    \b
    Examples:
      wagtailspread submit base.ini overlay-costa-norte.ini --based-on 41 \\
          --replica 10.0.0.1:7400 --member costa-norte --key costa-norte.pem
    """
    options = SubmitOptions(**option_values)
    identity = options.create_identity(_read_trusted(options))
    submission = _create_submission(options, identity)
    client = (connector or connections.connect)(identity)
    answered = asyncio.run(_send(client, submission))
    if isinstance(answered, result.Failure):
        _write_unknown_outcome(options, submission.id, answered.failure())
        raise click.exceptions.Exit(EXIT_UNKNOWN)
    answer = answers.decode_answer(answered.unwrap())
    _write_answer(submission.id, answer, options.is_json)
    raise click.exceptions.Exit(_find_exit_status(answer))


def _read_trusted(options: SubmitOptions) -> dict[str, str]:
    path = options.trust or options.paths[0].with_name(schemas.BASE_FILE)
    return {schemas.BASE_FILE: file_sets.read_text(path)}


def _create_submission(
    options: SubmitOptions,
    identity: connections.Identity,
) -> messages.Struct:
    submission = signatures.create_submission(
        identifiers.SubmissionId(options.submission_id or uuid.uuid4().hex),
        options.based_on,
        identity.member,
        {path.name: file_sets.read_text(path) for path in options.paths},
    )
    key = signing.load_key(identity.key)
    signatures.sign_submission(submission, key)
    return submission


async def _send(
    client: connections.ConfigurationClient,
    submission: messages.Struct,
) -> connections.CallResult:
    return await client.submit(submission)


def _find_exit_status(answer: answers.Answer) -> int:
    if answer.status == answers.ACCEPTED:
        return 0
    if answer.status == answers.CONFLICT:
        return EXIT_CONFLICT
    return EXIT_REFUSED


def _write_answer(
    submission_id: str,
    answer: answers.Answer,
    is_json: bool,
) -> None:
    if is_json:
        renderings.write_json(
            {
                'id': submission_id,
                'status': answer.status,
                'version': answer.version,
                'findings': renderings.encode_findings(answer.findings),
                'differences': list(answer.differences),
            }
        )
        return
    renderings.write_lines(finding.describe() for finding in answer.findings)
    renderings.write_lines(answer.differences)
    renderings.write_lines([_summarise(answer)])


def _summarise(answer: answers.Answer) -> str:
    if answer.status == answers.ACCEPTED:
        return f'accepted: version {answer.version} is in force'
    if answer.status == answers.CONFLICT:
        return (
            f'conflict: version {answer.version} is in force; the sections '
            'above changed since your base version'
        )
    return f'refused: version {answer.version} stays in force'


def _write_unknown_outcome(
    options: SubmitOptions,
    submission_id: str,
    failure: failures.Failure,
) -> None:
    command = options.format_command(submission_id)
    if options.is_json:
        renderings.write_json(
            {
                'id': submission_id,
                'status': 'unknown',
                'failure': failure.describe(),
                'command': command,
            }
        )
        return
    renderings.write_lines(
        [
            f'unknown: {failure.describe()}',
            'To find out the outcome, run this command with the same files:',
            f'  {command}',
        ]
    )
