"""Runs the test suite under nose2 and prints how many tests passed.

Tests named on ``test:`` lines of KNOWN-RED.txt may fail; they are printed and counted
as skipped.
"""

import sys
from pathlib import Path

import nose2

from tests.counting import OutcomeCounter

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


def main(names: list[str]) -> int:
    """Run the named tests, or all tests.

    :param names: dotted names of test modules; empty for the whole suite.
    :returns: exit code of the process, 0 if every test passed.
    """
    nose2.discover(argv=["nose2", "-v", *names], exit=False, plugins=["tests.counting"])
    counter = OutcomeCounter.latest
    known = read_known_red()
    red = [name for name in counter.failed if name in known]
    failed = [name for name in counter.failed if name not in known]
    for name in red:
        print(f"known red: {name}")
    skipped = len(counter.skipped) + len(red)
    print(f"{len(counter.passed)} passed, {len(failed)} failed, {skipped} skipped")
    return 0 if counter.passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
