"""Starts the daemon from the source tree, on machines where it is not installed."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(ROOT / "packages" / f"celeryferry-{name}" / "src")
    for name in ("core", "daemon")
]

from celeryferry_daemon.platform.__main__ import main  # noqa: E402

sys.exit(main())
