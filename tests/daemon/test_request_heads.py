"""Tests of the time limit for incomplete request heads."""

import asyncio
import unittest
from datetime import timedelta

import msgspec
from aiohttp import web

from celeryferry_core.exceptions import PeerFailureKind
from celeryferry_core.models.messages import DocumentsRequest, RunOnceForward
from celeryferry_core.models.topology import Host
from celeryferry_daemon._internal.peers.client import HttpPeerClient
from celeryferry_daemon._internal.peers.server import make_peer_app, start_listener

HEAD_TIMEOUT = timedelta(seconds=0.3)
# Several times the head timeout, and far below the keep-alive timeout.
IDLE_SECONDS = 3 * HEAD_TIMEOUT.total_seconds()
TIMEOUT = timedelta(seconds=5)
HEAD = b"POST /peer/v1/run-once HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n"
REQUEST = HEAD + b"Content-Length: 2\r\n\r\n{}"


class TestRequestHeads(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that occupy a listener without a complete request.

    Callers that send no head, or only part of one, could use up the connection limit.
    Slow bodies, slow answers and idle connections must not be closed.
    """

    async def asyncSetUp(self):
        self.ports = []
        self.seconds = 0.0
        paths = ("/peer/v1/documents", "/peer/v1/run-once")
        self.app = make_peer_app("secret", [web.post(p, self.handle) for p in paths])
        self.runner = await start_listener(
            self.app, "127.0.0.1:0", head_timeout=HEAD_TIMEOUT
        )
        self.addAsyncCleanup(self.runner.cleanup)
        self.ip, self.port = self.runner.addresses[0]

    async def handle(self, request):
        self.ports.append(request.transport.get_extra_info("peername")[1])
        await request.read()
        await asyncio.sleep(self.seconds)
        return web.json_response({"documents": []})

    async def connect(self):
        reader, writer = await asyncio.open_connection(self.ip, self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def is_closed(self, reader):
        """Return whether the listener closes a connection within ``IDLE_SECONDS``."""
        try:
            return await asyncio.wait_for(reader.read(1), IDLE_SECONDS) == b""
        except TimeoutError:
            return False
        except ConnectionError:
            # The listener closes while bytes of the head are unread, which resets the
            # connection.
            return True

    async def read_answer(self, reader):
        await reader.readuntil(b"\r\n\r\n")
        return await reader.readexactly(len(b'{"documents": []}'))

    async def test_connection_without_a_byte_is_closed(self):
        reader, _ = await self.connect()
        self.assertTrue(await self.is_closed(reader))

    async def test_head_that_arrives_byte_by_byte_is_closed(self):
        reader, writer = await self.connect()
        closed = asyncio.create_task(self.is_closed(reader))
        for byte in HEAD:
            writer.write(bytes([byte]))
            await asyncio.wait([closed], timeout=0.02)
            if closed.done():
                break
        self.assertTrue(await closed)

    async def test_partial_head_on_a_used_connection_is_closed(self):
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.read_answer(reader)
        writer.write(HEAD)
        self.assertTrue(await self.is_closed(reader))

    async def test_partial_head_during_a_request_is_closed_after_its_answer(self):
        self.seconds = IDLE_SECONDS
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        writer.write(HEAD)
        await self.read_answer(reader)
        self.assertTrue(await self.is_closed(reader))

    async def test_slow_body_and_slow_answer_are_not_closed(self):
        self.seconds = IDLE_SECONDS
        reader, writer = await self.connect()
        writer.write(REQUEST[:-1])
        await asyncio.sleep(IDLE_SECONDS)
        writer.write(REQUEST[-1:])
        await self.read_answer(reader)
        self.assertFalse(await self.is_closed(reader))

    async def test_pool_reuses_a_connection_that_was_idle_for_longer(self):
        client, host = await self.make_client()
        for _ in range(2):
            request = DocumentsRequest(())
            self.assertTrue(
                (await client.fetch_documents(host, request, TIMEOUT)).is_ok()
            )
            await asyncio.sleep(IDLE_SECONDS)
        self.assertEqual(len(self.ports), 2)
        self.assertEqual(len(set(self.ports)), 1)

    async def test_request_after_an_idle_connection_was_closed_runs_once(self):
        client, host = await self.make_client()
        forward = RunOnceForward("t", msgspec.Raw(b"{}"), 1)
        await client.forward_run_once(host, forward, TIMEOUT)
        for connection in self.runner.server.connections:
            connection.force_close()
        await asyncio.sleep(0.05)
        result = await client.forward_run_once(host, forward, TIMEOUT)
        # The answer arrived, but the handler of this test sends another message type.
        self.assertIs(result.err_value.kind, PeerFailureKind.BAD_ANSWER)
        self.assertEqual(len(self.ports), 2)
        self.assertEqual(len(set(self.ports)), 2)

    async def make_client(self):
        client = HttpPeerClient("secret")
        await client.start()
        self.addAsyncCleanup(client.close)
        address = f"{self.ip}:{self.port}"
        return client, Host("agadir-a-1", "agadir-a", address, address)


if __name__ == "__main__":
    unittest.main()
