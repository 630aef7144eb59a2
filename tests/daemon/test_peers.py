"""Tests of the client side of the interface between daemons."""

import asyncio
import unittest
from datetime import timedelta

import msgspec
from aiohttp import web

from celeryferry_core.exceptions import PeerFailureKind
from celeryferry_core.models.messages import (
    DocumentsRequest,
    PartialAnswer,
    RunOnceForward,
    SubqueryBatch,
)
from celeryferry_core.models.topology import Host
from celeryferry_daemon._internal.peers.client import MAX_LINE_BYTES, HttpPeerClient
from celeryferry_daemon._internal.peers.server import make_peer_app, start_listener
from celeryferry_standins.ports import reserve_port
from tests.daemon.fleet import wait_until

TIMEOUT = timedelta(seconds=2)
BATCH = SubqueryBatch("q1", "survey-desk", 1, 1, 1, msgspec.Raw(b"{}"), ())


def encode_line(final):
    return msgspec.json.encode(PartialAnswer("q1", final, ())) + b"\n"


class TestHttpPeerClient(unittest.IsolatedAsyncioTestCase):
    """Guards against a call that is retried, or that ran and is reported as not run.

    A call can fail before its first byte, while the peer works, or while the answer is
    read. Only a call that certainly ran nothing may be reported as such.
    """

    async def asyncSetUp(self):
        self.handler = None
        self.calls = 0
        self.cancelled = False
        paths = ("/peer/v1/documents", "/peer/v1/run-once", "/peer/v1/subqueries")
        routes = [web.post(path, self.handle) for path in paths]
        self.runner = await start_listener(
            make_peer_app("secret", routes), "127.0.0.1:0"
        )
        address = "{}:{}".format(*self.runner.addresses[0])
        self.host = Host("agadir-a-1", "agadir-a", address, address)
        self.client = HttpPeerClient("secret")
        await self.client.start()

    async def asyncTearDown(self):
        await self.client.close()
        await self.runner.cleanup()

    async def handle(self, request):
        self.calls += 1
        try:
            return await self.handler(request)
        except asyncio.CancelledError:
            self.cancelled = True
            raise

    async def fetch(self, timeout=TIMEOUT):
        request = DocumentsRequest(())
        result = await self.client.fetch_documents(self.host, request, timeout)
        return result.err_value.kind

    async def read_lines(self):
        lines = self.client.send_subqueries(self.host, BATCH, TIMEOUT)
        return [line async for line in lines]

    async def test_refused_connection_is_not_sent(self):
        port = self.enterContext(reserve_port()).getsockname()[1]
        self.host = Host("gone", "agadir-a", "", f"127.0.0.1:{port}")
        self.assertEqual(await self.fetch(), PeerFailureKind.NOT_SENT)

    async def test_only_refusing_statuses_count_as_rejected(self):
        expected = {
            503: PeerFailureKind.REJECTED,
            401: PeerFailureKind.REJECTED,
            500: PeerFailureKind.BAD_ANSWER,
            302: PeerFailureKind.BAD_ANSWER,
        }
        for status, kind in expected.items():

            async def answer(request, status=status):
                return web.Response(status=status)

            self.handler = answer
            self.assertEqual(await self.fetch(), kind)

    async def test_slow_answer_is_a_timeout_and_cancels_the_handler(self):
        self.handler = lambda request: asyncio.Event().wait()
        kind = await self.fetch(timedelta(milliseconds=100))
        self.assertEqual(kind, PeerFailureKind.TIMEOUT)
        await wait_until(lambda: self.cancelled)

    async def test_call_on_a_lost_connection_is_not_repeated(self):
        async def answer(request):
            if self.calls > 1:
                request.transport.abort()
            return web.json_response({"documents": []})

        self.handler = answer
        request = DocumentsRequest(())
        first = await self.client.fetch_documents(self.host, request, TIMEOUT)
        self.assertTrue(first.is_ok())
        self.assertEqual(await self.fetch(), PeerFailureKind.CONNECTION_LOST)
        forward = RunOnceForward("t", msgspec.Raw(b"{}"), 1)
        result = await self.client.forward_run_once(self.host, forward, TIMEOUT)
        self.assertFalse(result.err_value.did_not_run)
        self.assertEqual(self.calls, 3)

    async def test_unknown_field_is_a_bad_answer(self):
        async def answer(request):
            return web.json_response({"documents": [], "more": 1})

        self.handler = answer
        self.assertEqual(await self.fetch(), PeerFailureKind.BAD_ANSWER)

    async def stream(self, request, *lines):
        response = web.StreamResponse()
        await response.prepare(request)
        for line in lines:
            await response.write(line)
        return response

    async def test_stream_ends_after_the_final_line_and_keeps_the_connection(self):
        ports = set()

        async def answer(request):
            ports.add(request.transport.get_extra_info("peername")[1])
            return await self.stream(request, encode_line(False), encode_line(True))

        self.handler = answer
        for _ in range(3):
            lines = await self.read_lines()
            self.assertEqual([line.ok_value.final for line in lines], [False, True])
        self.assertEqual(len(ports), 1)

    async def test_stream_without_final_line_is_a_lost_connection(self):
        self.handler = lambda request: self.stream(request, encode_line(False))
        lines = await self.read_lines()
        self.assertEqual(lines[-1].err_value.kind, PeerFailureKind.CONNECTION_LOST)

    async def test_line_without_end_is_a_bad_answer(self):
        long = b"x" * (MAX_LINE_BYTES + 1)
        self.handler = lambda request: self.stream(request, long)
        lines = await self.read_lines()
        self.assertEqual(lines[-1].err_value.kind, PeerFailureKind.BAD_ANSWER)

    async def test_closing_the_iterator_cancels_the_batch(self):
        async def answer(request):
            response = await self.stream(request, encode_line(False))
            await asyncio.Event().wait()
            return response

        self.handler = answer
        lines = self.client.send_subqueries(self.host, BATCH, TIMEOUT)
        self.assertTrue((await anext(lines)).is_ok())
        await lines.aclose()
        await wait_until(lambda: self.cancelled)
