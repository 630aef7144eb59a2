"""Tests of the imports of a command and of its garbage collection settings."""

import gc
import subprocess
import sys
import unittest

from celeryferry_daemon._internal.process import (
    GC_THRESHOLDS,
    configure_garbage_collector,
)

LIST_MODULES_SCRIPT = (
    "import sys, celeryferry_daemon.platform.__main__; print('\\n'.join(sys.modules))"
)
# Modules of the other daemon; importing them doubles the start-up time.
OTHER_DAEMON_MODULES = (
    "app",
    "command",
    "control_plane",
    "front",
    "owner",
    "tickets",
    "peers",
)


class TestStart(unittest.TestCase):
    """Guards the time until a host serves again after a power failure."""

    def test_command_on_the_platform_leaves_the_other_daemon_out(self):
        """Guards against an import that loads the whole other daemon for a constant."""
        result = subprocess.run(
            [sys.executable, "-c", LIST_MODULES_SCRIPT],
            capture_output=True,
            text=True,
            check=True,
        )
        loaded = set(result.stdout.split())
        self.assertIn("celeryferry_daemon._internal.forwarding.app", loaded)
        unwanted = {
            f"celeryferry_daemon._internal.{name}" for name in OTHER_DAEMON_MODULES
        }
        unwanted |= {"fire", "reactivex", "celeryferry_core.models"}
        self.assertEqual(loaded & unwanted, set())


class TestCollector(unittest.TestCase):
    """Guards the settings of the garbage collector."""

    def setUp(self):
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.enable)

    def test_collector_runs_after_the_start(self):
        """Guards against growing memory because garbage collection stays disabled."""
        gc.disable()
        configure_garbage_collector()
        self.assertTrue(gc.isenabled())
        self.assertEqual(gc.get_threshold(), GC_THRESHOLDS)
        self.assertGreater(gc.get_freeze_count(), 0)
