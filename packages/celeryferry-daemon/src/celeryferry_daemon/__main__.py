"""Entry point of ``celeryferryd``."""

import sys


def main() -> None:
    """Run the command line and exit with its exit code."""
    from celeryferry_daemon._internal.command import run

    sys.exit(run())


if __name__ == "__main__":
    main()
