"""Runs the daemon from the source tree, on machines where it is not installed."""

import gc
import os
import signal
import sys
from pathlib import Path

# Until the daemon handles it, the signal would end the process. The settings are read
# after the imports in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(ROOT / "packages" / f"celeryferry-{name}" / "src")
    for name in ("core", "daemon")
]

# Garbage collections during the imports free nothing and take a tenth of the start-up
# time. ``main`` enables the collector again with ``configure_garbage_collector``,
# before it runs the daemon.
gc.disable()
# aiohttp loads the system's certificates during its import, which takes 0.1 s. The
# daemon opens no TLS connections, so an empty file is used.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from celeryferry_daemon.platform.__main__ import main  # noqa: E402

sys.exit(main())
