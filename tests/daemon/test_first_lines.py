"""Tests of answers whose first line is not one that HTTP allows."""

import asyncio
import unittest
from datetime import timedelta

from celeryferry_core.forwarding.hosts import HostInfo
from celeryferry_core.forwarding.outcomes import LossReason, Lost
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.connector import PeerConnector
from celeryferry_daemon._internal.forwarding.link_messages import ENCODER, SeedAnswer
from celeryferry_daemon.platform.store import StoreClient
from celeryferry_standins.fleet_simulation import make_info
from tests.daemon.test_forwarding_connections import (
    EARLIER_RESPONSE,
    ScriptedServerTestCase,
)
from tests.daemon.test_forwarding_sources import RecordingLog

# Long enough that a test which waits for it fails by its outcome.
TIME_LEFT = timedelta(seconds=1.5)
BAD_STATUSES = (b"000", b"001", b"099", b"101", b"600", b"999")
BAD_LINES = (
    *(b"HTTP/1.1 " + status + b" Status" for status in BAD_STATUSES),
    *(b"HTTP/1.1 20 OK", b"HTTP/1.1 2000 OK", b"HTTP/1.1 2x0 OK"),
    *(b"HTTP/1.1 -20 OK", b"HTTP/1.1 +200 OK", b"HTTP/1.1 200OK"),
    *(b"HTTP/1.1  200 OK", b"HTTP/1.1\t200 OK", b"HTTP/1.1 200\tOK"),
    *(b"HTTP/0.9 200 OK", b"HTTP/1.2 200 OK", b"HTTP/2.0 200 OK", b"HTTP/3.7 200 OK"),
    *(b"HTTP/11 200 OK", b"HTTP/1 200 OK", b"HTTP/1.10 200 OK", b"http/1.1 200 OK"),
    *(b"ICY 200 OK", b"RTSP/1.0 200 OK", b"HTTPS/1.1 200 OK", b"200 OK"),
    *(b"HTTP/1.1 200 O\x00K", b"HTTP/1.1 200 O\x01K", b"HTTP/1.1 200 O\x7fK"),
    *(b" HTTP/1.1 200 OK", b"\x00HTTP/1.1 200 OK", b"GET / HTTP/1.1"),
)
GOOD_LINES = (
    *(b"HTTP/1.1 200 OK", b"HTTP/1.1 200 ", b"HTTP/1.0 200 OK", b"HTTP/1.1 299 New"),
    *(b"HTTP/1.1 599 Odd", b"HTTP/1.1 200 \xe9t\xe9\tdone"),
    # Not by the grammar, but unambiguous.
    *(b"HTTP/1.1 200", b"\r\nHTTP/1.1 200 OK"),
)
REST = b"\r\nX-Request-Id: id-1\r\nX-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody"


class TestFirstLinesOfUpstreams(ScriptedServerTestCase):
    """Guards against passing on, or waiting behind, what is no answer in HTTP.

    An upstream in trouble sent the status 000. Statuses from 600 on were passed on to
    callers; behind one below 100 they waited until their deadline for another answer.
    """

    async def exchange_after(self, *parts: bytes):
        """Return the outcome of a request that is answered by some bytes."""
        self._add_response(*parts)
        outcome = await self._exchange(time_left=TIME_LEFT)
        self.pool.close_idle(self.upstream.instance_id)
        return outcome

    async def test_other_first_lines_are_lost_at_once(self):
        """Guards against an answer, or a time-out, in place of a broken answer."""
        expected = Lost(LossReason.BAD_RESPONSE)
        for line in BAD_LINES:
            with self.subTest(line):
                self.assertEqual(await self.exchange_after(line + REST), expected)

    async def test_allowed_first_lines_are_answers(self):
        """Guards against losing answers by a rule that is too strict."""
        for line in GOOD_LINES:
            with self.subTest(line):
                outcome = await self.exchange_after(line + REST)
                self.assertIsInstance(outcome, RawResponse)
                self.assertEqual(outcome.body, b"body")

    async def test_line_that_arrives_in_parts_is_read_the_same(self):
        """Guards against a first line that is judged by its first bytes alone."""
        expected = Lost(LossReason.BAD_RESPONSE)
        outcome = await self.exchange_after(b"HT", b"TP/1.1 0", b"00 Status" + REST)
        self.assertEqual(outcome, expected)
        outcome = await self.exchange_after(b"HT", b"TP/1.1 2", b"00 OK" + REST)
        self.assertEqual(outcome.status, 200)
        self.assertEqual(
            await self.exchange_after(b"RT", b"SP/1.0 200 OK" + REST), expected
        )

    async def test_line_behind_another_response_is_read_the_same(self):
        """Guards against a broken answer behind an interim or an earlier one."""
        expected = Lost(LossReason.BAD_RESPONSE)
        for first in (b"HTTP/1.1 103 Early Hints\r\n\r\n", EARLIER_RESPONSE):
            for line in (b"HTTP/1.1 000 Status", b"HTTP/1.1 999 Status"):
                with self.subTest((first, line)):
                    outcome = await self.exchange_after(first + line + REST)
                    self.assertEqual(outcome, expected)


class RawServerTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server that answers each request with the same bytes."""

    async def asyncSetUp(self):
        self.answer = b""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        """Answer one request and end the connection."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        writer.close()

    def set_answer(self, line: bytes, body: bytes) -> None:
        """Set first line and body of the answers."""
        head = f"\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        self.answer = line + head + body


# What aiohttp, which reads answers of the store and of other hosts, takes for answers.
ODD_LINES = (b"HTTP/1.1 000 X", b"HTTP/1.1 099 X", b"HTTP/1.1 600 X", b"HTTP/1.1 999 X")
ODD_VERSIONS = (b"HTTP/2.0 200 OK", b"HTTP/0.9 200 OK")


class TestFirstLinesOfTheStore(RawServerTestCase):
    """Guards against contents from an answer that HTTP doesn't allow."""

    async def test_contents_come_from_answers_only(self):
        """Guards against a configuration from a broken answer of the store."""
        client = StoreClient(self.address, timedelta(seconds=4))
        self.addAsyncCleanup(client.close)
        body = b'{"items": [], "as_of": 5, "truncated": false}'
        self.set_answer(b"HTTP/1.1 200 OK", body)
        self.assertTrue((await client.read_all("", False)).is_ok())
        for line in (*ODD_LINES, *ODD_VERSIONS):
            self.set_answer(line, body)
            with self.subTest(line):
                self.assertTrue((await client.read_all("", False)).is_err())


class TestFirstLinesOfPeers(RawServerTestCase):
    """Guards against relays from an answer that HTTP doesn't allow."""

    async def test_relays_come_from_answers_only(self):
        """Guards against hosts named by a failure or a broken answer of a seed."""
        connector = PeerConnector(RecordingLog())
        connector.open_session()
        self.addAsyncCleanup(connector.close_session)
        own: HostInfo = make_info("host-1", "a")
        body = ENCODER.encode(SeedAnswer((make_info("host-2", "b"),)))

        async def ask(line: bytes) -> int:
            self.set_answer(line, body)
            return len(await connector.ask_seed(self.address, own, True))

        self.assertEqual(await ask(b"HTTP/1.1 200 OK"), 1)
        failures = (b"HTTP/1.1 500 Internal Server Error", b"HTTP/1.1 404 Not Found")
        for line in (*ODD_LINES, *ODD_VERSIONS, *failures):
            with self.subTest(line):
                self.assertEqual(await ask(line), 0)
