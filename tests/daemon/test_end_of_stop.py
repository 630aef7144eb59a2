"""Tests of the last moments of a stopping daemon, which runs in this process."""

import asyncio
import contextlib
from datetime import timedelta

from celeryferry_standins.processes import wait_until
from tests.daemon.daemon_case import TEST_TIMEOUT, DaemonCase
from tests.system.platform_case import ORDER

# Time that the last task of the daemon takes to end. On a slow machine it takes about
# as long without this.
SLOW_END = timedelta(milliseconds=300)
# Longer than the users' rules let a request that was read wait for nothing (200 ms).
WORK_TIME = timedelta(milliseconds=300)
DEADLINE_MS = 800


class TestEndOfStop(DaemonCase):
    """Guards against orders that a stopping daemon passes on and never answers.

    It decided to exit while it still read from the connections that callers had kept.
    """

    async def stop_and_wait_for_decision(self) -> None:
        """Request a stop and wait until the daemon has decided to exit."""

        async def end_slowly() -> None:
            try:
                await asyncio.Event().wait()
            finally:
                await asyncio.sleep(SLOW_END.total_seconds())

        self.daemon._tasks.spawn(end_slowly(), "slow")
        self.daemon._stop_requested.set()

        async def is_decided() -> bool:
            return self.log.count("stopped") == 1

        await wait_until(is_decided, TEST_TIMEOUT, "the decision to exit")

    async def test_order_after_the_decision_is_not_passed_on(self):
        """Guards against an order that runs while its connection ends unanswered."""
        reader, writer = await self.connect()
        await self.stop_and_wait_for_decision()
        self.send(writer, "late")
        with contextlib.suppress(ConnectionError):
            await reader.read()
        await asyncio.wait_for(self.run_task, TEST_TIMEOUT.total_seconds())
        self.assertEqual([name for name, _ in self.upstream.arrivals], ["first"])

    async def test_order_behind_a_running_one_is_answered(self):
        """Guards against an order that was read and ends with a closed connection."""
        reader, writer = await self.connect()
        self.upstream.work_time = WORK_TIME
        self.daemon._stop_requested.set()
        self.send(writer, "running", DEADLINE_MS)
        self.send(writer, "behind", DEADLINE_MS)
        received = await asyncio.wait_for(reader.read(), TEST_TIMEOUT.total_seconds())
        self.assertEqual(received.count(b"HTTP/1.1 200 "), 2, received)
        await asyncio.wait_for(self.run_task, TEST_TIMEOUT.total_seconds())

    async def test_exit_waits_for_a_body_only_until_results_are_due(self):
        """Guards against a caller that stops in a body and gets no answer."""
        reader, writer = await self.connect()
        writer.write(
            f"POST {ORDER['path_prefix']}1 HTTP/1.1\r\nHost: {ORDER['host']}\r\n"
            "X-Request-Id: slow\r\nX-Deadline-Ms: 5000\r\n"
            "Content-Length: 3\r\n\r\none".encode()[:-1]
        )
        await asyncio.sleep(0.05)
        self.daemon._stop_requested.set()
        answer = await asyncio.wait_for(reader.read(), TEST_TIMEOUT.total_seconds())
        self.assertTrue(answer.startswith(b"HTTP/1.1 408 "), answer)
        await asyncio.wait_for(self.run_task, TEST_TIMEOUT.total_seconds())
