"""Base of tests with a daemon, a store and an upstream in the process of the test."""

import asyncio
import unittest
from datetime import timedelta
from unittest import mock

from celeryferry_core.addresses import split_address
from celeryferry_daemon._internal.forwarding import app as app_module
from celeryferry_daemon._internal.forwarding.app import ForwardingDaemon
from celeryferry_daemon.platform import wire
from celeryferry_daemon.platform.sources import StoreSource
from celeryferry_daemon.platform.store import StoreClient
from celeryferry_standins.platform.store import PlatformStore
from celeryferry_standins.platform.upstream import RECORD_BYTES, PlatformUpstream
from celeryferry_standins.processes import wait_until
from tests.daemon.test_forwarding_sources import RecordingLog, make_settings
from tests.system.platform_case import ORDER, make_configuration

STOP_TIME = timedelta(seconds=2)
TEST_TIMEOUT = timedelta(seconds=10)
# The first request only opens the connection. All processes of the test share one event
# loop, so it takes long beside load.
FIRST_DEADLINE_MS = 10_000


class QuietLog(RecordingLog):
    """Log that keeps its lines and leaves the output of the tests as it is."""

    def __init__(self, _clock):
        super().__init__()

    def make_non_blocking(self):
        """Do nothing."""

    def flush(self):
        """Do nothing."""


class DaemonCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, an upstream and one daemon."""

    async def asyncSetUp(self):
        self.store = PlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.upstream = PlatformUpstream("i-1", "orders", "a")
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        await self.store.put("op/config", make_configuration(1, ORDER))
        await self.store.put("servers/i-1", self.upstream.make_entry())
        client = StoreClient(self.store.address, timedelta(seconds=4))
        self.addAsyncCleanup(client.close)
        settings = make_settings(stop_time=STOP_TIME)
        with mock.patch.object(app_module, "LogWriter", QuietLog):
            self.daemon = ForwardingDaemon(
                settings, [StoreSource(client)], wire, mock.Mock()
            )
        self.log = self.daemon._log
        self.daemon._reload = lambda cause: None
        self.run_task = asyncio.create_task(self.daemon.run())
        self.addCleanup(self.run_task.cancel)

        async def is_ready() -> bool:
            return self.daemon.is_ready

        await wait_until(is_ready, TEST_TIMEOUT, "readiness")
        runner = next(
            each
            for each in self.daemon._runners
            if each.server is self.daemon._callers_server
        )
        self.address = "{}:{}".format(*runner.addresses[0][:2])

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and use it once, so that the daemon keeps it open."""
        reader, writer = await asyncio.open_connection(*split_address(self.address))
        self.addCleanup(writer.close)
        self.send(writer, "first", FIRST_DEADLINE_MS)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 200 ", head)
        await reader.readexactly(RECORD_BYTES)
        return reader, writer

    def send(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        deadline_ms: int = 50,
        cookie_bytes: int = 0,
    ) -> None:
        """Send an order, one that is quick enough to be admitted late by default."""
        writer.write(
            f"POST {ORDER['path_prefix']}1 HTTP/1.1\r\nHost: {ORDER['host']}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"Cookie: {'c' * cookie_bytes}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
