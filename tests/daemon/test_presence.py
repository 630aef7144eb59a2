"""Tests of what the pool learns of the processes of upstreams."""

import asyncio

from celeryferry_core.forwarding.outcomes import LossReason, Lost
from celeryferry_standins.processes import wait_until
from tests.daemon.test_forwarding_connections import (
    TEST_TIMEOUT,
    WITH_LENGTH,
    WITHOUT_LENGTH,
    ScriptedServerTestCase,
    reset,
)


class TestPresence(ScriptedServerTestCase):
    """Guards against missing the restart of an upstream, and against inventing one.

    An upstream that has restarted is cold. While the source of entries is unavailable,
    only refused connections tell of it. Most lost connections mean something else.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.refused: asyncio.Queue[str] = asyncio.Queue()
        self.reached: list[str] = []
        self.pool.on_refused = lambda u: self.refused.put_nowait(u.instance_id)
        self.pool.on_reached = lambda u, _now: self.reached.append(u.instance_id)

    async def wait_for_refusal(self) -> str:
        """Return the upstream that refuses connections."""
        async with asyncio.timeout(TEST_TIMEOUT.total_seconds()):
            return await self.refused.get()

    async def wait_for_check(self):
        """Wait until the pool has connected again."""
        before = self.pool.opened_count

        async def has_connected() -> bool:
            return self.pool.opened_count > before

        await wait_until(has_connected, TEST_TIMEOUT, "a further connection")

    async def test_crash_is_noticed_by_an_idle_connection(self):
        """Guards against the full load for an upstream that restarts unnoticed."""
        writers = []
        self._add_response(WITH_LENGTH)
        self.scripts.append(None)
        serve = self._serve

        async def remember(reader, writer):
            writers.append(writer)
            await serve(reader, writer)

        self.server.close()
        port = int(self.upstream.address.rpartition(":")[2])
        self.server = await asyncio.start_server(remember, "127.0.0.1", port)
        await self._exchange()
        self.server.close()
        reset(writers[0])
        self.assertEqual(await self.wait_for_refusal(), "s0-a")

    async def test_lost_connection_is_no_crash(self):
        """Guards against a cold start after each answer that is lost."""
        self._add_response(b"", then=reset)
        outcome = await self._exchange()
        self.assertEqual(outcome, Lost(LossReason.CONNECTION_LOST))
        await self.wait_for_check()
        self.assertTrue(self.refused.empty())
        self.assertEqual(self.reached, ["s0-a", "s0-a"])

    async def test_announced_close_is_not_checked(self):
        """Guards against a needless connection after each close by the upstream."""
        self._add_response(WITHOUT_LENGTH, then=lambda writer: writer.close())
        await self._exchange()
        await asyncio.sleep(0.05)
        self.assertEqual(self.pool.opened_count, 1)

    async def test_upstream_with_an_open_connection_is_present(self):
        """Guards against a cold start of an upstream that takes no more connections."""
        self._add_response(WITH_LENGTH)
        await self._exchange()
        self.server.close()
        self.pool.check_presence(self.upstream)

        async def has_checked() -> bool:
            return not self.pool._checks

        await wait_until(has_checked, TEST_TIMEOUT, "the end of the check")
        self.assertTrue(self.refused.empty())
