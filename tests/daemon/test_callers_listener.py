"""Tests of the limits on callers of the forwarding daemon, over real connections."""

import asyncio
import contextlib
import gzip
import unittest
import zlib
from datetime import timedelta

from aiohttp import web

from celeryferry_core.forwarding.caller_bounds import CallerBoundsInForce
from celeryferry_core.forwarding.models import CallerBounds
from celeryferry_daemon._internal.clock import SystemClock
from celeryferry_daemon._internal.forwarding.listener import (
    MAX_CONNECTIONS,
    CallersServer,
    compute_max_connections,
    start_callers_listener,
)
from celeryferry_daemon._internal.forwarding.requests import (
    STATUS_CODES,
    Rejection,
    read_bounded_body,
)
from celeryferry_standins.processes import wait_until

BOUNDS = CallerBounds(
    header_bytes=1000,
    body_bytes=100,
    head_time=timedelta(seconds=0.4),
    idle_time=timedelta(seconds=3),
)
TIME_LEFT = timedelta(seconds=0.4)
MAX_DESCRIPTORS = 1535
CLOCK = SystemClock()
# Ends a test that hangs.
TEST_TIMEOUT_S = 10.0
TEST_TIMEOUT = timedelta(seconds=TEST_TIMEOUT_S)


def make_timeout() -> asyncio.Timeout:
    """Return the time limit of one body."""
    return asyncio.timeout(TIME_LEFT.total_seconds())


class QuietHandler:
    """Handler that keeps nothing of requests that can't be read."""

    def record_unreadable(self, status, reason):
        """Do nothing."""


class BodyLengthHandler(QuietHandler):
    """Handler that answers with the length of the body, or rejects the request."""

    async def handle(self, request, read_bounds):
        """Read the body within the limits and answer."""
        result = await read_bounded_body(request, read_bounds, make_timeout())
        if result.is_err():
            return web.Response(status=STATUS_CODES[result.unwrap_err()])
        return web.Response(text=str(len(result.unwrap())))


class TestCallersListener(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that exhaust memory or connections.

    A caller may send a head or body that is larger than configured, stop in the middle
    of one, or leave a connection idle. The listener must end each of these within the
    configured limits, and must not end a connection that is within them.
    """

    async def asyncSetUp(self):
        self.bounds = CallerBoundsInForce(BOUNDS)
        self.server = CallersServer(
            BodyLengthHandler(), self.bounds, CLOCK, MAX_DESCRIPTORS
        )
        runner = await start_callers_listener(self.server, "127.0.0.1:0")
        self.addAsyncCleanup(runner.cleanup)
        self.ip, self.port = runner.addresses[0]

    async def is_unanswered(self) -> bool:
        """Return whether the listener counts a request without a response."""
        return self.server.count_unanswered() > 0

    async def connect(self):
        """Open a connection; it is closed after the test."""
        reader, writer = await asyncio.open_connection(self.ip, self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def send(self, data: bytes, timeout_s: float = TEST_TIMEOUT_S) -> int:
        """Send bytes on a new connection and return the status of the response."""
        reader, writer = await self.connect()
        writer.write(data)
        line = await asyncio.wait_for(reader.readline(), timeout_s)
        return int(line.split()[1])

    async def test_body_within_the_limit_is_read(self):
        """Guards against rejecting a body of exactly the largest size."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n"
        self.assertEqual(await self.send(head + b"x" * 100), 200)

    async def test_larger_body_is_rejected_before_it_arrives(self):
        """Guards against reading a body whose stated length is too large."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n"
        self.assertEqual(await self.send(head), 413)

    async def test_larger_body_without_a_length_is_rejected(self):
        """Guards against a chunked body that grows beyond the limit."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"60\r\n" + b"x" * 96 + b"\r\n5\r\nxxxxx\r\n0\r\n\r\n"
        self.assertEqual(await self.send(head + body), 413)

    async def test_limit_follows_the_configuration(self):
        """Guards against applying the limits of an earlier configuration."""
        bounds = CallerBounds(body_bytes=2_000_000)
        self.bounds.replace(bounds, CLOCK.monotonic())
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n"
        self.assertEqual(await self.send(head + b"x" * 2_000_000), 200)

    async def test_larger_head_is_rejected(self):
        """Guards against many headers that are small one by one but large in total."""
        lines = b"".join(b"X-%d: %s\r\n" % (n, b"y" * 90) for n in range(12))
        head = b"GET / HTTP/1.1\r\nHost: a\r\n" + lines + b"\r\n"
        self.assertEqual(await self.send(head), 431)

    async def test_many_small_headers_are_within_the_limit(self):
        """Guards against a limit on the number of headers that nobody configured."""
        lines = b"".join(b"A%d:\r\n" % n for n in range(150))
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + lines + b"\r\n"
        self.assertEqual(await self.send(head), 200)

    async def test_body_that_is_held_back_is_asked_for(self):
        """Guards against a caller that waits for 100 until its deadline."""
        reader, writer = await self.connect()
        writer.write(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        line = await asyncio.wait_for(reader.readline(), TEST_TIMEOUT_S)
        self.assertEqual(int(line.split()[1]), 100)
        writer.write(b"xx")
        await reader.readline()
        line = await asyncio.wait_for(reader.readline(), TEST_TIMEOUT_S)
        self.assertEqual(int(line.split()[1]), 200)

    async def test_connections_leave_descriptors_for_upstreams(self):
        """Guards against callers that take all descriptors of a small machine."""
        max_connections = self.server.options.max_connections
        self.assertLess(max_connections, MAX_DESCRIPTORS * 0.6)
        self.assertGreater(max_connections, MAX_DESCRIPTORS * 0.4)
        self.assertEqual(compute_max_connections(1), 1)
        self.assertEqual(compute_max_connections(100_000), MAX_CONNECTIONS)

    async def test_body_that_stops_is_rejected_as_late(self):
        """Guards against waiting forever for a body whose sender stopped."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nxx"
        timeout_s = BOUNDS.idle_time.total_seconds()
        self.assertEqual(await self.send(head, timeout_s), 408)

    async def test_unfinished_head_ends_the_connection(self):
        """Guards against connections held open by a head that never ends."""
        reader, writer = await self.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost:")
        closed = await asyncio.wait_for(reader.read(), BOUNDS.idle_time.total_seconds())
        self.assertEqual(closed, b"")

    async def test_unfinished_second_head_ends_the_connection(self):
        """Guards against the same on a connection that has carried a request."""
        reader, writer = await self.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n0"), TEST_TIMEOUT_S)
        writer.write(b"GET / HTTP/1.1\r\nHost:")
        closed = await asyncio.wait_for(reader.read(), BOUNDS.idle_time.total_seconds())
        self.assertEqual(closed, b"")

    async def test_connection_without_a_request_stays_open_like_an_idle_one(self):
        """Guards against closing a connection that was opened before it was needed.

        If the time for heads counted from the opening of the connection, a request sent
        later on it would be lost.
        """
        reader, writer = await self.connect()
        # Longer than the time for heads, and less than four fifths of the idle time.
        await asyncio.sleep(0.8)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), TEST_TIMEOUT_S)
        self.assertIn(b"200", line)

    async def test_idle_connection_is_closed_after_the_configured_time(self):
        """Guards against keeping idle connections longer than operators allow."""
        reader, writer = await self.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.wait_for(reader.read(), TEST_TIMEOUT_S)

    async def test_response_that_waits_to_be_sent_is_unanswered(self):
        """Guards against an exit of the process before a slow caller has its answer."""
        bounds = CallerBounds(body_bytes=100)
        self.bounds.replace(bounds, CLOCK.monotonic())
        reader, writer = await self.connect()
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n")
        await wait_until(self.is_unanswered, TEST_TIMEOUT, "the request is counted")
        writer.write(b"x")
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n1"), TEST_TIMEOUT_S)

        async def is_answered() -> bool:
            return not await self.is_unanswered()

        await wait_until(is_answered, TEST_TIMEOUT, "the response is sent")
        (connection,) = self.server.connections
        connection.transport.get_write_buffer_size = lambda: 1
        self.assertEqual(self.server.count_unanswered(), 1)


class TestRejections(unittest.TestCase):
    """Guards the mapping from rejections to HTTP statuses."""

    def test_every_rejection_has_a_status(self):
        """Guards against an internal error when a new rejection has no status."""
        self.assertEqual(set(STATUS_CODES), set(Rejection))


class CountingHandler(QuietHandler):
    """Handler that counts requests and answers them when it is told to.

    :ivar count: requests so far.
    :ivar may_answer: set to answer.
    """

    def __init__(self):
        self.count = 0
        self.may_answer = asyncio.Event()

    async def handle(self, request, read_bounds):
        """Count the request and answer it."""
        self.count += 1
        await self.may_answer.wait()
        return web.Response(text=str(self.count))


class TestEndOfReading(unittest.IsolatedAsyncioTestCase):
    """Guards against a stopping host that reads requests which it can't answer.

    It used to read from kept connections until its handlers were cancelled, and to
    pass on what it had read.
    """

    REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

    async def asyncSetUp(self):
        self.handler = CountingHandler()
        self.server = CallersServer(
            self.handler, CallerBoundsInForce(BOUNDS), CLOCK, MAX_DESCRIPTORS
        )
        runner = await start_callers_listener(self.server, "127.0.0.1:0")
        self.addAsyncCleanup(runner.cleanup)
        self.reader, self.writer = await asyncio.open_connection(*runner.addresses[0])
        self.addCleanup(self.writer.close)

    async def read_response(self) -> bytes:
        """Return what arrives until the connection ends."""
        return await asyncio.wait_for(self.reader.read(), TEST_TIMEOUT_S)

    async def use_connection(self) -> None:
        """Send one request and read its response, so that the connection is kept."""
        self.handler.may_answer.set()
        self.writer.write(self.REQUEST)
        await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n1"), TEST_TIMEOUT_S)

    async def wait_for_request(self) -> None:
        """Wait until the handler has a request."""

        async def has_request() -> bool:
            return self.handler.count == 1

        await wait_until(has_request, TEST_TIMEOUT, "the request is handled")

    async def test_request_on_a_kept_connection_is_not_read(self):
        """Guards against handling a request that arrives after the decision."""
        await self.use_connection()
        (connection,) = self.server.connections
        # The bytes are in the socket buffer when the reading ends.
        self.writer.write(self.REQUEST)
        self.server.end_reading()
        # Unread bytes reset the connection.
        with contextlib.suppress(ConnectionResetError):
            self.assertEqual(await self.read_response(), b"")
        self.assertEqual(self.handler.count, 1)
        self.assertIsNone(connection.transport)

    async def test_running_request_is_answered(self):
        """Guards against closing a connection that waits for its response."""
        self.writer.write(self.REQUEST)
        await self.wait_for_request()
        self.server.end_reading()
        self.assertEqual(self.server.count_unanswered(), 1)
        self.handler.may_answer.set()
        self.assertTrue((await self.read_response()).endswith(b"1"))

    async def test_request_that_was_read_counts_before_it_is_handled(self):
        """Guards against an exit between the reading of a request and its start."""
        await self.use_connection()
        (connection,) = self.server.connections
        self.assertEqual(self.server.count_unanswered(), 0)
        connection.data_received(self.REQUEST)
        self.assertEqual(self.handler.count, 1)
        self.assertEqual(self.server.count_unanswered(), 1)
        self.server.end_reading()
        self.assertTrue((await self.read_response()).endswith(b"2"))

    async def test_requests_behind_a_running_one_are_answered(self):
        """Guards against requests that were read and end with a closed connection.

        A caller may send the next request before it has the response to the last one.
        """
        self.server.begin_drain()
        self.writer.write(2 * self.REQUEST)
        await self.wait_for_request()
        (connection,) = self.server.connections
        connection.data_received(self.REQUEST)
        self.server.end_reading()
        connection.data_received(self.REQUEST)
        self.handler.may_answer.set()
        received = await self.read_response()
        self.assertEqual(received.count(b"HTTP/1.1 200 "), 3)
        self.assertEqual(received.lower().count(b"connection: close"), 1)
        self.assertTrue(received.endswith(b"3"))

    async def test_request_counts_at_each_turn_of_the_event_loop(self):
        """Guards against an exit between the queue of the library and the handler.

        The request is in neither for one turn.
        """
        await self.use_connection()
        (connection,) = self.server.connections
        self.handler.may_answer.clear()
        connection.data_received(self.REQUEST)
        counts = []
        for _ in range(10):
            counts.append(self.server.count_unanswered())
            await asyncio.sleep(0)
        self.assertEqual(counts, 10 * [1])

    async def test_request_is_answered_if_reading_ends_at_any_turn(self):
        """Guards against closing the connection of a request that was read."""
        address = self.writer.get_extra_info("peername")
        self.handler.may_answer.set()
        kept = []
        for _ in range(6):
            reader, writer = await asyncio.open_connection(*address)
            self.addCleanup(writer.close)
            writer.write(self.REQUEST)
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TEST_TIMEOUT_S)
            own_address = writer.get_extra_info("sockname")
            connection = next(
                each
                for each in self.server.connections
                if each.transport.get_extra_info("peername") == own_address
            )
            kept.append((connection, reader))
        self.server.begin_drain()
        for turns, (connection, reader) in enumerate(kept):
            with self.subTest(turns=turns):
                connection.data_received(self.REQUEST)
                for _ in range(turns):
                    await asyncio.sleep(0)
                connection.end_reading()
                received = await asyncio.wait_for(reader.read(), TEST_TIMEOUT_S)
                self.assertIn(b" 200 ", received)

    async def test_head_that_has_begun_counts(self):
        """Guards against an exit while the rest of a request is on its way."""
        await self.use_connection()
        (connection,) = self.server.connections
        connection.data_received(self.REQUEST[:10])
        self.assertEqual(self.server.count_unanswered(), 1)
        self.server.end_reading()
        self.assertEqual(await self.read_response(), b"")


class EchoHandler(QuietHandler):
    """Handler that answers with the body as it was read."""

    async def handle(self, request, read_bounds):
        """Read the body within the limits and return it."""
        result = await read_bounded_body(request, read_bounds, make_timeout())
        if result.is_err():
            return web.Response(status=STATUS_CODES[result.unwrap_err()])
        return web.Response(body=result.unwrap())


class TestEncodedBodies(unittest.IsolatedAsyncioTestCase):
    """Guards against bodies that reach an upstream changed.

    The listener used to decompress bodies, while their Content-Encoding was passed on.
    """

    PLAIN = b"one plaque " * 3
    BODIES = {
        "gzip": gzip.compress(PLAIN),
        "deflate": zlib.compress(PLAIN),
        "br": b"\x0b\x02\x80plaque\x03",
        "zstd": b"\x28\xb5\x2f\xfd\x20\x05\x29\x00\x00plaque",
        "gzip, deflate": zlib.compress(gzip.compress(PLAIN)),
        "x-unknown": PLAIN,
        "GZIP": gzip.compress(PLAIN)[:-3],
        "identity": b"",
    }

    async def asyncSetUp(self):
        server = CallersServer(
            EchoHandler(), CallerBoundsInForce(BOUNDS), CLOCK, MAX_DESCRIPTORS
        )
        runner = await start_callers_listener(server, "127.0.0.1:0")
        self.addAsyncCleanup(runner.cleanup)
        self.address = runner.addresses[0]

    async def exchange(self, lines: list[str], body: bytes) -> tuple[int, bytes]:
        """Send a request and return the status and the body of the response."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        head = "\r\n".join(["POST / HTTP/1.1", "Host: a", *lines, "", ""])
        writer.write(head.encode() + body)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            response = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = response.partition("content-length: ")[2].partition("\r\n")[0]
            return int(response.split()[1]), await reader.readexactly(int(length))

    async def test_bodies_with_a_length_are_unchanged(self):
        """Guards against an upstream that can't read what its label says."""
        for encoding, body in self.BODIES.items():
            lines = [f"Content-Encoding: {encoding}", f"Content-Length: {len(body)}"]
            with self.subTest(encoding):
                self.assertEqual(await self.exchange(lines, body), (200, body))

    async def test_chunked_bodies_are_unchanged(self):
        """Guards against decompression where the length is not known before."""
        for encoding, body in self.BODIES.items():
            lines = [f"Content-Encoding: {encoding}", "Transfer-Encoding: chunked"]
            chunks = [body[:5], body[5:]]
            framed = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks if c)
            with self.subTest(encoding):
                answer = await self.exchange(lines, framed + b"0\r\n\r\n")
                self.assertEqual(answer, (200, body))

    async def test_limit_applies_to_the_bytes_that_arrive(self):
        """Guards against a body that passes a limit by its size before or after."""
        body = gzip.compress(b"x" * 10 * BOUNDS.body_bytes)
        self.assertLess(len(body), BOUNDS.body_bytes)
        lines = ["Content-Encoding: gzip", f"Content-Length: {len(body)}"]
        self.assertEqual(await self.exchange(lines, body), (200, body))
