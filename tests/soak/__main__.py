"""Runs the soak by hand: ``python -m tests.soak SEEDS [SECONDS]``."""

import asyncio
import sys
from datetime import timedelta

from tests.soak.run import run_soak

DEFAULT_LENGTH = timedelta(seconds=20)


def main(arguments: list[str]) -> int:
    """Run the seeds one after the other.

    :param arguments: number of seeds, or ``first-last``, and the seconds of each.
    :returns: exit code, 1 if a promise was broken.
    """
    first, _, last = arguments[0].partition("-")
    seeds = range(int(first), int(last) + 1) if last else range(int(first))
    length = DEFAULT_LENGTH
    if len(arguments) > 1:
        length = timedelta(seconds=float(arguments[1]))
    failed = []
    for seed in seeds:
        report = asyncio.run(run_soak(seed, length))
        print(report.to_text(), flush=True)
        if report.violations:
            failed.append(seed)
            print("\n".join((*report.violations, *report.faults)), flush=True)
    print(f"{len(seeds)} seeds, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
