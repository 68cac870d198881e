"""Runs soaks by hand: ``python -m wagtailspread.platform.tests.soak``."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from wagtailspread.platform.tests.soak import soaks


def main():
    """Run a soak for each seed; keep the logs of those that fail."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--hosts', type=int, default=8)
    parser.add_argument('--callers', type=int, default=120)
    parser.add_argument('--pause', type=float, default=5.0)
    parser.add_argument('--unplanned', action='store_true')
    parser.add_argument('--block', type=int, default=30)
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.count):
        plan = soaks.Plan(
            seed,
            options.seconds,
            options.hosts,
            options.callers,
            options.pause,
            not options.unplanned,
            options.block,
        )
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        soak = asyncio.run(soaks.run_soak(plan, folder))
        lines, is_held = soaks.summarise(soak)
        sys.stdout.write('\n'.join((f'seed {seed}', *lines, '')))
        sys.stdout.write('held\n' if is_held else f'broken, see {folder}\n')
        sys.stdout.flush()
        if not is_held:
            failed.append(seed)
    sys.exit(f'broken: seeds {failed}' if failed else 0)


if __name__ == '__main__':
    main()
