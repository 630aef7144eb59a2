"""Runs the daemon of another checkout, named by an environment variable."""

import os
import sys
from importlib import import_module
from pathlib import Path

CHECKOUT_VARIABLE = "CELERYFERRY_BENCH_CHECKOUT"
PACKAGES = ("celeryferry-core", "celeryferry-daemon")


def main() -> int:
    """Run the daemon until SIGTERM.

    :returns: exit code of the daemon.
    """
    checkout = Path(os.environ[CHECKOUT_VARIABLE]).resolve(strict=True)
    for package in PACKAGES:
        # Before the installed packages, which are those of this checkout.
        sys.path.insert(0, str(checkout / "packages" / package / "src"))
    return import_module("celeryferry_daemon._internal.command").run() or 0


if __name__ == "__main__":
    sys.exit(main())
