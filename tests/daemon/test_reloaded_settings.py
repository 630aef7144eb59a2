"""Tests of settings that change while the daemon runs."""

import asyncio
import socket
import unittest
from datetime import timedelta
from random import Random

from result import Err, Ok

from celeryferry_core.forwarding.reading import ReadingReason
from celeryferry_daemon._internal.clock import SystemClock
from celeryferry_daemon._internal.forwarding.app import ForwardingDaemon
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.listener import compute_max_connections
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import SourceChanges
from celeryferry_daemon._internal.forwarding.settings import (
    FIXED_SETTINGS,
    ForwardingSettings,
    InvalidSettingsError,
)
from celeryferry_daemon._internal.forwarding.state import HostState
from celeryferry_standins.platform.store import PlatformStore
from celeryferry_standins.processes import wait_until
from tests.daemon.daemon_case import STOP_TIME, TEST_TIMEOUT, DaemonCase
from tests.daemon.test_forwarding_sources import (
    RecordingLog,
    ScriptedSource,
    make_entry,
    make_settings,
)
from tests.system.platform_case import ORDER, make_configuration

PROCESSOR_SHARE = 0.5
# Changed values of the settings that are followed, each with the place that must use
# it and what is to be found there.
FOLLOWED = {
    "seed_addresses": (
        ("127.0.0.1:9",),
        lambda daemon: daemon._peers._fleet.seeds,
        ("127.0.0.1:9",),
    ),
    "store_address": (
        "127.0.0.1:9",
        lambda daemon: daemon._followers["store"].source._client.address,
        "127.0.0.1:9",
    ),
    "extra_ratio": (
        0.4,
        lambda daemon: daemon._state.session_context.budgets.limits.ratio,
        0.4,
    ),
    "extra_burst": (
        7.0,
        lambda daemon: daemon._state.session_context.budgets.limits.burst,
        7.0,
    ),
    "extra_window": (
        timedelta(seconds=3),
        lambda daemon: daemon._state.session_context.budgets.limits.window,
        timedelta(seconds=3),
    ),
    "cold_excess": (3.0, lambda daemon: daemon._state.warmup._rate_factor, 3.0),
    "cold_tolerance": (9.0, lambda daemon: daemon._state.warmup._tolerance, 9.0),
    "contact_time": (
        timedelta(seconds=10),
        lambda daemon: (
            daemon._state._contact_time,
            daemon._followers["store"].source._client.watch_wait,
        ),
        (timedelta(seconds=10), timedelta(seconds=6)),
    ),
    "stop_time": (
        timedelta(seconds=9),
        lambda daemon: daemon.settings.stop_time,
        timedelta(seconds=9),
    ),
    "max_entry_hosts_validity": (
        timedelta(seconds=1),
        lambda daemon: daemon.settings.max_entry_hosts_validity,
        timedelta(seconds=1),
    ),
    "max_descriptors": (
        5000,
        lambda daemon: daemon._callers_server.options.max_connections,
        compute_max_connections(5000),
    ),
    "heartbeat_interval": (
        timedelta(seconds=3),
        lambda daemon: daemon._state._holding_time,
        None,
    ),
    "processor_share": (
        PROCESSOR_SHARE,
        lambda daemon: daemon._peers._table.own.processor_share,
        PROCESSOR_SHARE,
    ),
}


class TestReloadedSettings(DaemonCase):
    """Guards against settings that are logged as in force and not used.

    The address of the store was read once, when the process started. After the store
    had moved, hosts never learned of a change again (review/12).
    """

    def reload(self, cause: str = "signal", **changes):
        """Let the daemon read settings with these changes."""
        settings = make_settings(**{"stop_time": STOP_TIME, **changes})
        self.daemon._load_settings = lambda: Ok(settings)
        ForwardingDaemon._reload(self.daemon, cause)

    def list_lines(self, event: str) -> list[dict]:
        """Return the fields of the log lines of an event."""
        return [fields for name, fields in self.log.lines if name == event]

    async def start_second_store(self) -> PlatformStore:
        """Start a store with the same contents at another address."""
        store = PlatformStore()
        await store.restore(self.store.copy())
        store.era = self.store.era
        await store.start()
        self.addAsyncCleanup(store.stop)
        return store

    async def wait_for(self, condition):
        """Wait for a condition on the daemon."""

        async def is_met() -> bool:
            return condition()

        await wait_until(is_met, TEST_TIMEOUT, "the condition of the test")

    async def wait_for_version(self, store: PlatformStore, version: int):
        """Publish a version and wait until it is in force."""
        await store.put("op/config", make_configuration(version, ORDER))
        await self.wait_for(lambda: self.daemon._state.configuration.version == version)

    async def test_store_that_moves_is_followed(self):
        """Guards against versions that no host learns of."""
        await self.wait_for(lambda: self.daemon._followers["store"].reads_it)
        moved = await self.start_second_store()
        self.reload(store_address=moved.address)
        await self.wait_for(lambda: moved.call_count > 0)
        former_calls = self.store.call_count
        await self.store.stop()
        await self.wait_for_version(moved, 2)
        self.assertEqual(self.store.call_count, former_calls)
        self.assertEqual(len(self.list_lines("source_moved")), 1)
        self.assertEqual(self.list_lines("source_lost"), [])

    async def test_wrong_address_keeps_what_is_in_force(self):
        """Guards against contents that are lost with a mistyped address."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            self.reload(store_address=address)
            await self.wait_for(lambda: self.list_lines("source_lost"))
            self.assertIn(address, self.list_lines("source_lost")[0]["reason"])
            # The request is answered with 200.
            await self.connect()
            self.reload(store_address=self.store.address)
        await self.wait_for_version(self.store, 2)

    async def test_each_setting_is_followed_or_refused(self):
        """Guards against a new setting that nobody follows."""
        names = set(ForwardingSettings.__struct_fields__)
        self.assertEqual(names, {*FIXED_SETTINGS, *FOLLOWED})
        for name, (value, read, expected) in FOLLOWED.items():
            with self.subTest(name):
                before = read(self.daemon)
                self.reload(**{name: value})
                self.daemon._peers._update_own()
                after = read(self.daemon)
                self.assertNotEqual(after, before)
                if expected is not None:
                    self.assertEqual(after, expected)
                self.assertEqual(getattr(self.daemon.settings, name), value)
        self.assertEqual(self.list_lines("settings_rejected"), [])
        self.reload()
        in_force = self.daemon.settings
        for name in FIXED_SETTINGS:
            with self.subTest(name):
                self.log.lines.clear()
                self.reload(**{name: "127.0.0.1:9"})
                (line,) = self.list_lines("settings_rejected")
                self.assertEqual(line["names"], (name,))
                self.assertEqual(self.daemon.settings, in_force)

    async def test_others_are_followed_beside_a_fixed_one(self):
        """Guards against changes that wait for a restart without a reason."""
        self.reload(failure_domain="b", extra_burst=7.0)
        self.assertEqual(self.daemon.settings.failure_domain, "a")
        self.assertEqual(self.daemon.settings.extra_burst, 7.0)
        (line,) = self.list_lines("settings_reloaded")
        self.assertEqual(line["settings"], self.daemon.settings)

    async def test_a_file_that_stays_wrong_is_logged_once(self):
        """Guards against a log that is full of one line."""
        for _ in range(3):
            self.reload("poll", failure_domain="b")
        self.assertEqual(len(self.list_lines("settings_rejected")), 1)
        in_force = self.daemon.settings
        self.daemon._load_settings = lambda: Err(InvalidSettingsError("cut off"))
        for cause in ("poll", "poll", "signal"):
            ForwardingDaemon._reload(self.daemon, cause)
        reasons = [line["reason"] for line in self.list_lines("settings_rejected")]
        self.assertEqual(reasons, ["needs a restart", "cut off", "cut off"])
        self.assertEqual(self.daemon.settings, in_force)


class MovingSource(ScriptedSource):
    """Source whose settings always name another address.

    :ivar call: what the running call waits for, once there are no results.
    """

    async def _next(self, after):
        self.calls.append(after)
        if self.results:
            return self.results.pop(0)
        self.call = asyncio.get_running_loop().create_future()
        self.is_done.set()
        return await self.call

    def replace_settings(self, settings):
        """Return that the address has changed."""
        return True


class TestMovedSource(unittest.IsolatedAsyncioTestCase):
    """Guards against answers of a former address, and against a loss that is none."""

    def make_listing(self, revision: int) -> SourceChanges:
        """Return a listing with one entry."""
        return SourceChanges((make_entry("s0-a", 3),), revision)

    async def asyncSetUp(self):
        self.log = RecordingLog()
        clock = SystemClock()
        state = HostState(
            make_settings(), Random(1), UpstreamPool(clock), self.log, timedelta(0)
        )
        self.source = MovingSource()
        self.follower = SourceFollower(self.source, state, clock, Random(1), self.log)

    def start(self, *results):
        """Follow the source with these results."""
        self.source.results.extend(results)
        task = asyncio.create_task(self.follower.run())
        self.addCleanup(task.cancel)

    async def wait_for_call(self):
        """Wait until a call finds no result left."""
        await asyncio.wait_for(self.source.is_done.wait(), TEST_TIMEOUT.total_seconds())
        self.source.is_done.clear()

    async def test_waiting_call_ends_without_a_failure(self):
        """Guards against a move that counts as a loss of the source."""
        self.follower.set_reading(ReadingReason.RELAY)
        self.start(Ok(self.make_listing(5)))
        await self.wait_for_call()
        self.source.results.append(Ok(self.make_listing(6)))
        self.follower.replace_settings(make_settings())
        await self.wait_for_call()
        self.assertEqual(self.source.calls, [None, 5, None, 6])
        self.assertEqual(self.log.count("source_lost"), 0)
        self.assertTrue(self.follower.reads_it)

    async def test_answer_of_the_former_address_is_dropped(self):
        """Guards against an answer that arrives in the moment of the move."""
        self.follower.set_reading(ReadingReason.RELAY)
        self.start(Ok(self.make_listing(5)))
        await self.wait_for_call()
        self.source.call.set_result(Ok(SourceChanges((make_entry("s0-b", 9),), 9)))
        self.follower.replace_settings(make_settings())
        await self.wait_for_call()
        self.assertEqual(self.follower.revision, 5)
        self.assertEqual(self.source.calls, [None, 5, None])

    async def test_first_read_is_repeated(self):
        """Guards against a host that starts during a move and knows nothing."""
        self.start()
        await self.wait_for_call()
        self.source.results.append(Ok(self.make_listing(5)))
        self.follower.replace_settings(make_settings())

        async def has_contents() -> bool:
            return self.follower.has_contents

        await wait_until(has_contents, TEST_TIMEOUT, "the first contents")
