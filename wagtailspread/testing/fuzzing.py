"""Runs changed inputs through every decoder: ``python -m ...testing.fuzzing``.

>>> findings = run_round(targets=fuzz_targets.list_targets()[:1], seed=1)
>>> findings
[]
"""

import argparse
import dataclasses
import itertools
import random as random_module
import sys
import time
import traceback
import typing

from wagtailspread.testing import fuzz_targets

#: Inputs for each decoder in one round.
INPUTS_PER_ROUND = 50
#: Rounds between two progress lines.
_ROUNDS_PER_LINE = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """An input that a decoder neither accepted nor refused.

    :param trace: traceback of the exception.
    """

    target: str
    seed: int
    body: bytes
    trace: str

    def describe(self) -> str:
        """Return the lines of a report."""
        return (
            f'{self.target}, seed {self.seed}: {self.body[:400]!r}\n'
            f'{self.trace}'
        )


def run_round(
    targets: typing.Iterable[fuzz_targets.FuzzTarget],
    seed: int,
) -> list[Finding]:
    """Run one round of inputs through each decoder, up to a first finding.

    :param seed: determines the inputs.
    """
    findings = []
    for target in targets:
        random = random_module.Random(f'{target.name} {seed}')
        for _ in range(INPUTS_PER_ROUND):
            body = target.mutate(random)
            try:
                target.run(body)
            except Exception:
                trace = traceback.format_exc(limit=-4)
                findings.append(Finding(target.name, seed, body, trace))
                break
    return findings


def main(arguments: typing.Sequence[str] | None = None) -> int:
    """Run rounds until the time is over; return the exit status.

    :returns: 0 without findings, 1 otherwise.
    """
    parser = argparse.ArgumentParser(
        prog='python -m wagtailspread.testing.fuzzing',
        description=__doc__.splitlines()[0] if __doc__ else None,
        epilog='Exit status: 0 without findings, 1 with findings.',
    )
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument(
        '--seconds', type=float, default=60.0, help='duration (default: 60)'
    )
    options = parser.parse_args(arguments)
    targets = fuzz_targets.list_targets()
    until = time.monotonic() + options.seconds
    for number in itertools.count():
        seed = options.seed + number
        findings = run_round(targets, seed)
        for finding in findings:
            sys.stdout.write(finding.describe())
        if findings:
            return 1
        if number % _ROUNDS_PER_LINE == 0:
            sys.stdout.write(f'seed {seed}: no findings\n')
            sys.stdout.flush()
        if time.monotonic() >= until:
            return 0
    return 0


if __name__ == '__main__':
    sys.exit(main())
