"""Runs the daemon under cProfile and writes the profile next to its settings."""

import cProfile
import sys
from pathlib import Path

from celeryferry_daemon._internal.command import run

PROFILE_SUFFIX = ".profile"


def main() -> int:
    """Run the daemon until SIGTERM.

    :returns: exit code of the daemon.
    """
    settings = Path(sys.argv[sys.argv.index("--settings") + 1])
    profile = cProfile.Profile()
    try:
        return profile.runcall(run) or 0
    finally:
        profile.dump_stats(settings.with_suffix(PROFILE_SUFFIX))


if __name__ == "__main__":
    sys.exit(main())
