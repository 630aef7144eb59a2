"""Starts the daemon from the source tree, on machines where it is not installed."""

import gc
import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(ROOT / "packages" / f"celeryferry-{name}" / "src")
    for name in ("core", "daemon")
]

# Collections during the imports find nothing to free and take a tenth of the start;
# the command enables them again.
gc.disable()
# aiohttp loads the system's certificates while it is imported, which takes 0.1 s of the
# start. The daemon makes no TLS connections.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from celeryferry_daemon.platform.__main__ import main  # noqa: E402

sys.exit(main())
