"""Runs the test suite under nose2 and prints how many tests passed.

Without names, the groups of the suite run as processes beside each other.

Tests named on ``test:`` lines of KNOWN-RED.txt may fail; they are printed and counted
as skipped. If one of them passes, that is printed too, so that its entry is removed.
"""

import re
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import IO

import nose2

from tests.counting import OutcomeCounter

# The failure proofs in tests.proofs take several minutes and depend on the load that
# they reach, so they are run by hand (``make proofs``).
# The groups run beside each other; together they use about two of the processors.
SUITE = (("tests.core", "tests.daemon", "tests.cli"), ("tests.system",))
# Printed to show what to shorten when the suite nears the five minutes of CI.
SLOWEST_PRINTED = 12
CLOSING_LINE = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)
KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> frozenset[str]:
    """Read the ids of the tests that are known to fail.

    :returns: ids from the ``test:`` lines; empty without the file.
    """
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def run_suite() -> int:
    """Run the groups of the suite as processes and print the output of each.

    :returns: exit code, 0 if every test of every group passed.
    """
    outputs = [tempfile.TemporaryFile("w+") for _ in SUITE]  # noqa: SIM115
    processes = [
        subprocess.Popen(
            [sys.executable, "-m", "tests.run", *group],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        for group, output in zip(SUITE, outputs, strict=True)
    ]
    totals = [0, 0, 0]
    is_green = True
    for process, output in zip(processes, outputs, strict=True):
        is_green &= process.wait() == 0
        counts = print_output(output)
        is_green &= counts is not None
        totals = [sum(pair) for pair in zip(totals, counts or (0, 0, 0), strict=True)]
    print("whole suite: {} passed, {} failed, {} skipped".format(*totals))
    return 0 if is_green else 1


def print_output(output: IO[str]) -> tuple[int, ...] | None:
    """Print the output of a group.

    :param output: file that the group has written.
    :returns: tests passed, failed and skipped, or None without a closing line.
    """
    output.seek(0)
    text = output.read()
    output.close()
    print(text, end="")
    found = CLOSING_LINE.findall(text)
    return tuple(map(int, found[-1])) if found else None


def run_tests(names: list[str]) -> int:
    """Run the named tests in this process.

    :param names: dotted names of test modules or packages.
    :returns: exit code, 0 if every test passed.
    """
    argv = ["nose2", "-v", *names]
    nose2.discover(argv=argv, exit=False, plugins=["tests.counting"])
    counter = OutcomeCounter.latest
    known = read_known_red()
    print("slowest tests:", *counter.list_slowest(SLOWEST_PRINTED), sep="\n")
    red = [name for name in counter.failed if name in known]
    failed = [name for name in counter.failed if name not in known]
    for name in red:
        print(f"known red: {name}")
    for name in sorted(known.intersection(counter.passed)):
        print(f"listed in KNOWN-RED.txt, but passed: {name}")
    skipped = len(counter.skipped) + len(red)
    print(f"{len(counter.passed)} passed, {len(failed)} failed, {skipped} skipped")
    return 0 if counter.passed and not failed else 1


if __name__ == "__main__":
    sys.exit(run_tests(sys.argv[1:]) if sys.argv[1:] else run_suite())
