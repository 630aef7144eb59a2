"""Entry point of the ``celeryferry`` command."""

import sys


def main() -> None:
    """Run the command and exit with its exit code."""
    from celeryferry_cli._internal.command_line import run

    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
