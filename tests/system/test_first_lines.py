"""Tests of upstreams whose answers have a first line that HTTP doesn't allow."""

import asyncio
import contextlib

from celeryferry_core.addresses import split_address
from tests.system.platform_case import PlatformTestCase

NOT_RUN_STATUSES = (408, 421, 429, 503)


class TestFirstLines(PlatformTestCase):
    """Guards against callers that get a broken answer, or wait for another one."""

    async def break_upstreams(self, service: str, zones: tuple[str, ...], line: bytes):
        """Let upstreams of a service answer each request with a first line alone."""

        async def serve(reader, writer):
            # The connection stays open until the test ends.
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(line + b"\r\nContent-Length: 0\r\n\r\n")
                await reader.read()
            writer.close()

        for upstream in self.fleet.upstreams:
            if upstream.service == service and upstream.zone in zones:
                await upstream.stop()
                address = split_address(upstream.address)
                server = await asyncio.start_server(serve, *address)
                self.addCleanup(server.close)

    async def test_order_ends_with_an_unknown_outcome_at_once(self):
        """Guards against 000 as an answer, or as a wait until the deadline."""
        await self.break_upstreams("orders", ("za", "zb", "zc"), b"HTTP/1.1 000 X")
        statuses = set()
        for _ in range(4):
            status, *_ = await self.send(self.fleet.hosts[0], "/order/1", "POST", b"x")
            statuses.add(status)
        # 504 is the answer at the deadline. An upstream that was lost before the order
        # was sent leads to "not run".
        self.assertIn(502, statuses)
        self.assertLessEqual(statuses, {502, *NOT_RUN_STATUSES})

    async def test_lookup_is_answered_by_another_upstream(self):
        """Guards against a broken answer that costs a request its answer."""
        await self.break_upstreams("s0", ("za",), b"HTTP/1.1 999 X")
        for _ in range(4):
            status, headers, *_ = await self.send(self.fleet.hosts[0])
            self.assertEqual((status, headers["X-Missing-Parts"]), (200, "0"))
