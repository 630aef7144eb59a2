"""Command entry of ``celeryferry``."""

import sys


def main() -> None:
    """Run the command given on the command line."""
    from celeryferry_cli._internal.command_line import run

    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
