"""Runs the soak by hand: ``python -m tests.soak --help``."""

import argparse
import asyncio
import sys
from datetime import timedelta
from pathlib import Path

from tests.soak.run import run_soak

DEFAULT_LENGTH_S = 20.0


def parse_seeds(text: str) -> range:
    """Parse a number of seeds, or ``first-last``."""
    first, _, last = text.partition("-")
    return range(int(first), int(last) + 1) if last else range(int(first))


def main(arguments: list[str]) -> int:
    """Run the seeds one after the other.

    :returns: exit code, 1 if a promise was broken.
    """
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("seeds", type=parse_seeds, help="a number, or first-last")
    parser.add_argument("seconds", type=float, nargs="?", default=DEFAULT_LENGTH_S)
    parser.add_argument(
        "--restores", action="store_true", help="the store also returns from copies"
    )
    parser.add_argument("--hosts-per-zone", type=int, default=1)
    parser.add_argument(
        "--logs", type=Path, help="keep the logs of the hosts in this folder"
    )
    options = parser.parse_args(arguments)
    length = timedelta(seconds=options.seconds)
    failed = []
    for seed in options.seeds:
        folder = None if options.logs is None else options.logs / str(seed)
        report = asyncio.run(
            run_soak(seed, length, options.restores, options.hosts_per_zone, folder)
        )
        print(report.to_text(), flush=True)
        if report.violations:
            failed.append(seed)
            print("\n".join((*report.violations, *report.faults)), flush=True)
    print(f"{len(options.seeds)} seeds, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
