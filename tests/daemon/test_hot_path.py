"""Tests of deadlines, request headers and log lines, which every request uses."""

import asyncio
import io
import unittest
from contextlib import closing, redirect_stderr
from datetime import timedelta

import logbook
import msgspec

from celeryferry_core.decisions.owner import BatchAdmitted
from celeryferry_core.exceptions import PeerFailureKind
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import RunRequest
from celeryferry_core.models.topology import Host
from celeryferry_daemon._internal.logs import LogbookDecisionLog, make_handler
from celeryferry_daemon._internal.owner.client import UpstreamClient
from celeryferry_daemon._internal.owner.deadlines import Deadlines
from celeryferry_daemon._internal.owner.replies import Expectation
from celeryferry_daemon._internal.peers.client import HttpPeerClient


class TestDeadlines(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that run past their deadline or end before it.

    All requests share one timer, which must fire at the earliest deadline and must stay
    set when the request that it was set for has ended.
    """

    async def test_each_task_ends_at_its_own_deadline(self):
        deadlines = Deadlines()
        ended = []

        async def wait(name, seconds):
            deadlines.add(asyncio.current_task(), seconds)
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                ended.append((name, deadlines.remove(asyncio.current_task())))

        waits = (wait("late", 0.08), wait("early", 0.02), wait("over", -1))
        tasks = [asyncio.create_task(coroutine) for coroutine in waits]
        cancelled = asyncio.create_task(wait("cancelled", 1))
        await asyncio.wait(tasks, timeout=2)
        cancelled.cancel()
        await asyncio.wait([cancelled], timeout=2)
        deadlines.close()
        expected = [("over", False), ("early", False), ("late", False)]
        self.assertEqual(ended, [*expected, ("cancelled", True)])

    async def test_a_finished_task_leaves_the_timer_for_the_next_one(self):
        deadlines = Deadlines()
        task = asyncio.create_task(asyncio.sleep(0.1))
        deadlines.add(task, 0.02)
        self.assertTrue(deadlines.remove(task))
        deadlines.add(task, 0.05)
        await asyncio.wait([task], timeout=2)
        self.assertTrue(task.cancelled())
        deadlines.close()


class TestHeaders(unittest.IsolatedAsyncioTestCase):
    """Guards against headers that the HTTP library adds to requests.

    By default aiohttp accepts compressed responses, which could exceed the size limit
    when they are decompressed.
    """

    async def test_a_request_has_the_headers_of_the_protocol_only(self):
        received = asyncio.Queue()

        async def refuse(reader, writer):
            received.put_nowait(await reader.readuntil(b"\r\n\r\n"))
            writer.close()

        server = await asyncio.start_server(refuse, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = UpstreamClient(address, 4, Mechanisms())
        headers, expected = {"X-Request-Id": "r"}, Expectation("r")
        await client.send("run", b"{}", headers, expected, 2.0, lambda: None)
        await client.close()
        peers = HttpPeerClient("t")
        host = Host("h", "d", address, address)
        request = RunRequest("t", "a", "s", "h", "u", 1, msgspec.Raw(b"{}"))
        failed = await peers.run(host, request, timedelta(seconds=2))
        await peers.close()
        server.close()
        common = {b"Host", b"Content-Length", b"Content-Type"}
        for added in (b"X-Request-Id", b"Authorization"):
            lines = (await received.get()).split(b"\r\n")[1:-2]
            names = {line.split(b":")[0] for line in lines}
            self.assertEqual(names, common | {added})
        kind = failed.unwrap_err().kind
        self.assertIs(kind, PeerFailureKind.CONNECTION_LOST)


class TestLines(unittest.TestCase):
    """Guards against log lines that are lost, out of order or in another format.

    Lines are buffered until the next iteration of the event loop, while errors are
    written at once.
    """

    def test_all_lines_are_written_in_order_by_the_end(self):
        output = io.StringIO()
        decisions = [BatchAdmitted(f"q{{{n}}}", n, 2, 1, 0) for n in range(3)]

        async def log():
            decision_log = LogbookDecisionLog("info")
            decision_log.record(decisions[0])
            self.assertEqual(output.getvalue(), "")
            await asyncio.sleep(0)
            self.assertEqual(output.getvalue().count("\n"), 1)
            decision_log.record(decisions[1])
            try:
                raise ValueError("x")
            except ValueError:
                logbook.Logger("celeryferry").exception("front: query failed")
            self.assertIn("ValueError: x", output.getvalue())
            decision_log.record(decisions[2])

        with redirect_stderr(output):
            handler = make_handler("info")
            with closing(handler), handler.applicationbound():
                asyncio.run(log())
        lines = output.getvalue().splitlines()
        starts = [line for line in lines if line[:2] == "20"]
        for line, decision in zip((*starts[:2], starts[3]), decisions, strict=True):
            form = r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z INFO "
            self.assertRegex(line, form)
            self.assertEqual(line.split(" INFO ")[1], decision.to_line())
        self.assertIn(" ERROR front: query failed", starts[2])
