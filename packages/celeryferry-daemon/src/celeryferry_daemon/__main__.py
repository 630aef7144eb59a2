"""Command entry of ``celeryferryd``."""

import sys


def main() -> None:
    """Run the daemon until it is told to stop."""
    from celeryferry_daemon._internal.command import run

    sys.exit(run())


if __name__ == "__main__":
    main()
