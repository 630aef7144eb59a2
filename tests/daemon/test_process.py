"""Tests of what lengthens the start and the pauses of a process."""

import gc
import subprocess
import sys
import unittest

from celeryferry_daemon._internal.process import GC_THRESHOLDS, tune_garbage_collector

LIST_MODULES = (
    "import sys, celeryferry_daemon.platform.__main__; print('\\n'.join(sys.modules))"
)
# Parts of the other daemon; importing them doubles the time of the start.
FOREIGN = ("app", "command", "control_plane", "front", "owner", "tickets", "peers")


class TestStart(unittest.TestCase):
    """Guards the time until a host serves again after a loss of power."""

    def test_command_on_the_platform_leaves_the_other_daemon_out(self):
        """Guards against an import of the whole owner daemon for a constant."""
        done = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            capture_output=True,
            text=True,
            check=True,
        )
        loaded = set(done.stdout.split())
        self.assertIn("celeryferry_daemon._internal.forwarding.app", loaded)
        foreign = {f"celeryferry_daemon._internal.{name}" for name in FOREIGN}
        foreign |= {"fire", "reactivex", "celeryferry_core.models"}
        self.assertEqual(loaded & foreign, set())


class TestCollector(unittest.TestCase):
    """Guards the settings of the garbage collector."""

    def setUp(self):
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.enable)

    def test_collector_runs_after_the_start(self):
        """Guards against memory that grows because collection stays off."""
        gc.disable()
        tune_garbage_collector()
        self.assertTrue(gc.isenabled())
        self.assertEqual(gc.get_threshold(), GC_THRESHOLDS)
        self.assertGreater(gc.get_freeze_count(), 0)
