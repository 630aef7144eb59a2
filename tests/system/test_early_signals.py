"""Tests of signals that arrive while the daemon starts."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from celeryferry_standins.platform.fleet import PlatformHost
from celeryferry_standins.processes import wait_until
from tests.system.platform_case import TEST_TIMEOUT

SCRIPT = Path(__file__).parents[2] / "deploy" / "celeryferryd.py"


class TestSignalDuringTheStart(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that a change of its settings ends while it starts.

    The default action of SIGHUP ends the process, and the imports take some 0.3 s.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.host = PlatformHost("host-za", "za")
        self.addCleanup(self.host.close)
        settings = {
            "node_name": "host-za",
            "zone": "za",
            "bind_addrs": self.host.addresses,
            "platform": {"address": "127.0.0.1:9"},
            "parameters": {"grace_s": 1},
        }
        self.settings = msgspec.json.encode(settings)
        # The daemon waits at the pipe after its imports, before it handles signals.
        self.pipe_path = Path(folder.name) / "settings.json"
        os.mkfifo(self.pipe_path)
        self.log_path = Path(folder.name) / "log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(SCRIPT)],
                env=os.environ | {"CELERYFERRY_BOOT": str(self.pipe_path)},
                stdout=log,
            )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    async def has_opened_pipe(self) -> bool:
        """Return whether the daemon waits for its settings."""
        try:
            self.pipe = os.open(self.pipe_path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            return False
        return True

    async def has_started(self) -> bool:
        """Return whether the daemon has logged its start."""
        return b'"event":"started"' in self.log_path.read_bytes()

    async def test_daemon_starts_in_spite_of_the_signal(self):
        """Guards against a start that has to be repeated."""
        await wait_until(self.has_opened_pipe, TEST_TIMEOUT, "the imports are done")
        self.process.send_signal(signal.SIGHUP)
        with contextlib.suppress(BrokenPipeError):
            os.write(self.pipe, self.settings)
        os.close(self.pipe)
        await wait_until(self.has_started, TEST_TIMEOUT, "the daemon has started")
        self.assertIsNone(self.process.poll())
