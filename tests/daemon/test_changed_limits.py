"""Tests of limits on callers that change while connections are open."""

import asyncio
import contextlib
import itertools
import unittest
from datetime import timedelta
from random import Random
from types import SimpleNamespace

from aiohttp import web

from celeryferry_core.forwarding.caller_bounds import (
    FORMER_BOUNDS_TIME,
    CallerBoundsInForce,
    merge_bounds,
)
from celeryferry_core.forwarding.models import CallerBounds
from celeryferry_daemon._internal.bounded_connection import (
    REQUEST_LINE_BYTES,
    UNFINISHED_HEAD_FACTOR,
)
from celeryferry_daemon._internal.forwarding.listener import (
    CallersServer,
    start_callers_listener,
)
from celeryferry_daemon._internal.forwarding.requests import (
    STATUS_CODES,
    Rejection,
    read_bounded_body,
)
from celeryferry_standins.processes import wait_until
from tests.daemon.daemon_case import FIRST_DEADLINE_MS, DaemonCase
from tests.system.platform_case import ORDER, make_configuration

# Ends a test that hangs.
TEST_TIMEOUT = timedelta(seconds=20)
MAX_DESCRIPTORS = 1535
LOW_HEAD_BYTES, HIGH_HEAD_BYTES = 1000, 4000
LOW_BODY_BYTES, HIGH_BODY_BYTES = 100, 1000
SEED = 7
EXAMPLE_COUNT = 60
LONG = timedelta(seconds=30)
SHORT_S = 0.4
SHORT = timedelta(seconds=SHORT_S)
# Longer than the short limits and their checks, and far below the long ones.
PAUSE_S = 2.5 * SHORT_S
# A lowered limit is noticed at the next check, after a second at most.
NOTICED_S = 1.0 + 2 * SHORT_S
# Time within which a configuration is in force.
APPLY_S = 3.0


def make_bounds(**changed) -> CallerBounds:
    """Return low limits on sizes and long times, except for what is stated."""
    bounds = {
        "header_bytes": LOW_HEAD_BYTES,
        "body_bytes": LOW_BODY_BYTES,
        "head_time": LONG,
        "idle_time": LONG,
    }
    return CallerBounds(**{**bounds, **changed})


def make_request(header_bytes: int = 10, body: bytes | None = None) -> bytes:
    """Return a request with one long header and a body of stated length."""
    lines = ["POST / HTTP/1.1", "Host: a", "Cookie: " + "c" * header_bytes]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


class HeldHandler:
    """Handler that reads each body and answers when it may.

    :ivar may_answer: cleared to hold the answers back.
    :ivar sizes: lengths of the bodies read so far.
    """

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.sizes: list[int] = []

    def record_unreadable(self, status, reason):
        """Do nothing."""

    async def handle(self, request, read_bounds):
        """Read the body within the limits and answer."""
        timeout = asyncio.timeout(TEST_TIMEOUT.total_seconds())
        result = await read_bounded_body(request, read_bounds, timeout)
        if result.is_err():
            response = web.Response(status=STATUS_CODES[result.unwrap_err()])
            if result.unwrap_err() is Rejection.MALFORMED:
                response.force_close()
            return response
        self.sizes.append(len(result.unwrap()))
        await self.may_answer.wait()
        return web.Response()


class LimitsCase(unittest.IsolatedAsyncioTestCase):
    """Listener whose limits a test changes, and one connection to it."""

    async def start(self, **changed):
        """Start a listener with these limits and connect to it."""
        self.now = timedelta(hours=1)
        self.bounds = CallerBoundsInForce(make_bounds(**changed))
        self.handler = HeldHandler()
        clock = SimpleNamespace(monotonic=lambda: self.now)
        self.server = CallersServer(self.handler, self.bounds, clock, MAX_DESCRIPTORS)
        runner = await start_callers_listener(self.server, "127.0.0.1:0")
        self.addAsyncCleanup(runner.cleanup)
        self.address = runner.addresses[0]
        await self.connect()

    async def connect(self):
        """Open a connection in place of the last one."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.addCleanup(self.writer.close)

    def change(self, **changed):
        """Publish other limits, and let the former ones end."""
        self.bounds.replace(make_bounds(**changed), self.now)
        self.now += 2 * FORMER_BOUNDS_TIME

    async def read_status(self) -> int:
        """Return the status of the next response, 0 if the connection ends."""
        async with asyncio.timeout(TEST_TIMEOUT.total_seconds()):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                head = await self.reader.readuntil(b"\r\n\r\n")
                return int(head.split()[1])
        return 0

    async def ask(self, *parts: bytes) -> int:
        """Send a request and return the status of its response."""
        self.writer.write(b"".join(parts))
        return await self.read_status()

    async def send_part(self, data: bytes):
        """Send the beginning of a request and wait until it has arrived."""
        self.writer.write(data)
        await self.wait_for(lambda: self.server.count_unanswered() > 0)

    async def wait_for(self, condition):
        """Wait for a condition on the listener."""

        async def is_met() -> bool:
            return condition()

        await wait_until(is_met, TEST_TIMEOUT, "the condition of the test")

    async def is_closed_within(self, seconds: float) -> bool:
        """Return whether the listener closes the connection."""
        try:
            return await asyncio.wait_for(self.reader.read(1), seconds) == b""
        except TimeoutError:
            return False


LARGE_HEAD = make_request(3000)


class TestHeadSizes(LimitsCase):
    """Guards against requests judged by the limit that their connection began with.

    Callers on kept connections got 400 for heads that were within a raised limit, as
    long as they used the connection.
    """

    LINE_END = b" HTTP/1.1\r\nHost: a\r\n\r\n"

    async def test_raised_on_an_idle_connection(self):
        """Guards against the former limit on the next request (review/13)."""
        await self.start()
        self.assertEqual(await self.ask(make_request()), 200)
        self.change(header_bytes=HIGH_HEAD_BYTES)
        self.assertEqual(await self.ask(LARGE_HEAD), 200)

    async def test_lowered_on_an_idle_connection(self):
        """Guards against the former limit on the next request."""
        await self.start(header_bytes=HIGH_HEAD_BYTES)
        self.assertEqual(await self.ask(LARGE_HEAD), 200)
        self.change()
        self.assertEqual(await self.ask(LARGE_HEAD), 431)

    async def test_raised_in_the_middle_of_a_head(self):
        """Guards against the limit at the beginning of the head."""
        await self.start()
        await self.send_part(LARGE_HEAD[:1500])
        self.change(header_bytes=HIGH_HEAD_BYTES)
        self.assertEqual(await self.ask(LARGE_HEAD[1500:]), 200)

    async def test_lowered_in_the_middle_of_a_head(self):
        """Guards against refusing what was allowed when it was sent."""
        await self.start(header_bytes=HIGH_HEAD_BYTES)
        await self.send_part(LARGE_HEAD[:1500])
        self.change()
        self.assertEqual(await self.ask(LARGE_HEAD[1500:]), 200)
        self.assertEqual(await self.ask(LARGE_HEAD), 431)

    async def test_raised_behind_a_running_request(self):
        """Guards against the former limit on a request that does not wait its turn."""
        await self.start()
        self.handler.may_answer.clear()
        await self.send_part(make_request())
        self.change(header_bytes=HIGH_HEAD_BYTES)
        self.writer.write(LARGE_HEAD)
        (connection,) = self.server.connections
        await self.wait_for(lambda: connection.has_queued_request)
        self.handler.may_answer.set()
        self.assertEqual([await self.read_status() for _ in range(2)], [200, 200])

    async def test_lowered_while_a_request_waits_behind_a_running_one(self):
        """Guards against the limit at the time at which a request is handled."""
        await self.start(header_bytes=HIGH_HEAD_BYTES)
        self.handler.may_answer.clear()
        self.writer.write(make_request() + LARGE_HEAD)
        await self.wait_for(lambda: self.server.connections)
        (connection,) = self.server.connections
        await self.wait_for(lambda: connection.has_queued_request)
        self.change()
        self.handler.may_answer.set()
        self.assertEqual([await self.read_status() for _ in range(2)], [200, 200])
        self.assertEqual(await self.ask(LARGE_HEAD), 431)

    async def test_lowered_in_a_head_that_began_behind_another_request(self):
        """Guards against a head whose beginning came with the end of a request."""
        await self.start(header_bytes=HIGH_HEAD_BYTES)
        self.assertEqual(await self.ask(make_request(), LARGE_HEAD[:1500]), 200)
        self.change()
        self.assertEqual(await self.ask(LARGE_HEAD[1500:]), 200)

    async def test_lowered_in_the_middle_of_a_body(self):
        """Guards against judging a head again when its body is complete."""
        await self.start(header_bytes=HIGH_HEAD_BYTES)
        request = make_request(3000, b"x" * 20)
        await self.send_part(request[:-10])
        self.change()
        self.assertEqual(await self.ask(request[-10:]), 200)

    async def test_head_without_end_is_refused(self):
        """Guards against a head that is stored until the memory is used up."""
        await self.start()
        limit_bytes = UNFINISHED_HEAD_FACTOR * LOW_HEAD_BYTES + REQUEST_LINE_BYTES
        lines = b"POST / HTTP/1.1\r\n" + b"A:\r\n" * limit_bytes
        lines = lines[: limit_bytes + 1]
        await self.send_part(lines[:limit_bytes])
        self.assertFalse(await self.is_closed_within(0.1))
        self.assertEqual(await self.ask(lines[limit_bytes:]), 431)
        self.assertTrue(await self.is_closed_within(TEST_TIMEOUT.total_seconds()))

    async def test_head_without_end_behind_a_running_request(self):
        """Guards against an answer that comes before the one to an earlier request."""
        await self.start()
        self.handler.may_answer.clear()
        await self.send_part(make_request())
        self.writer.write(b"POST / HTTP/1.1\r\nCookie: " + b"c" * 4 * LOW_HEAD_BYTES)
        (connection,) = self.server.connections
        await self.wait_for(lambda: connection.has_queued_request)
        self.handler.may_answer.set()
        self.assertEqual([await self.read_status() for _ in range(2)], [200, 431])

    async def test_long_target_is_too_large_a_head(self):
        """Guards against a request line that no limit applies to."""
        await self.start()
        target = b"/" + b"t" * LOW_HEAD_BYTES
        self.assertEqual(await self.ask(b"GET ", target, self.LINE_END), 431)


class TestBodySizes(LimitsCase):
    """Guards against bodies judged by a limit that was not in force for them."""

    BODY = b"x" * 500

    async def test_changes_on_an_idle_connection(self):
        """Guards against the former limit on the next request."""
        await self.start()
        self.assertEqual(await self.ask(make_request()), 200)
        self.change(body_bytes=HIGH_BODY_BYTES)
        self.assertEqual(await self.ask(make_request(10, self.BODY)), 200)
        self.change()
        self.assertEqual(await self.ask(make_request(10, self.BODY)), 413)

    async def test_changes_in_the_middle_of_a_head(self):
        """Guards against one of the limits in force while a head arrives."""
        low_first = LOW_BODY_BYTES, HIGH_BODY_BYTES
        for before, after in (low_first, low_first[::-1]):
            with self.subTest(before=before, after=after):
                await self.start(body_bytes=before)
                request = make_request(10, self.BODY)
                await self.send_part(request[:20])
                self.change(body_bytes=after)
                self.assertEqual(await self.ask(request[20:]), 200)

    async def test_raised_in_the_middle_of_a_body(self):
        """Guards against the limit at the beginning of a body of unknown length."""
        await self.start()
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self.send_part(head + b"50\r\n" + b"x" * 0x50)
        self.change(body_bytes=HIGH_BODY_BYTES)
        rest = b"\r\n190\r\n" + b"x" * 0x190 + b"\r\n0\r\n\r\n"
        self.assertEqual(await self.ask(rest), 200)
        self.assertEqual(self.handler.sizes, [0x50 + 0x190])

    async def test_lowered_in_the_middle_of_a_body(self):
        """Guards against refusing what was allowed when it was sent."""
        await self.start(body_bytes=HIGH_BODY_BYTES)
        request = make_request(10, self.BODY)
        await self.send_part(request[:-400])
        self.change()
        self.assertEqual(await self.ask(request[-400:]), 200)
        self.assertEqual(await self.ask(request), 413)

    async def test_changes_behind_a_running_request(self):
        """Guards against the limit at the time at which a request is handled."""
        await self.start()
        self.handler.may_answer.clear()
        await self.send_part(make_request())
        (connection,) = self.server.connections
        self.change(body_bytes=HIGH_BODY_BYTES)
        self.writer.write(make_request(10, self.BODY))
        await self.wait_for(lambda: connection.has_queued_request)
        self.change()
        self.writer.write(make_request(10, self.BODY))
        self.handler.may_answer.set()
        statuses = [await self.read_status() for _ in range(3)]
        self.assertEqual(statuses, [200, 200, 413])


class TestHeadTimes(LimitsCase):
    """Guards against heads cut by a time that was not in force for them."""

    REQUEST = make_request()

    async def test_raised_on_an_idle_connection(self):
        """Guards against the former time for the next head."""
        await self.start(head_time=SHORT)
        self.assertEqual(await self.ask(self.REQUEST), 200)
        self.change()
        await self.send_part(self.REQUEST[:20])
        await asyncio.sleep(PAUSE_S)
        self.assertEqual(await self.ask(self.REQUEST[20:]), 200)

    async def test_lowered_on_an_idle_connection(self):
        """Guards against the former time for the next head."""
        await self.start()
        self.assertEqual(await self.ask(self.REQUEST), 200)
        self.change(head_time=SHORT)
        await self.send_part(self.REQUEST[:20])
        self.assertTrue(await self.is_closed_within(APPLY_S + SHORT_S))

    async def test_raised_in_the_middle_of_a_head(self):
        """Guards against the time at the beginning of the head.

        Each check counted as a tenth of the time in force at that moment.
        """
        await self.start(head_time=SHORT)
        await self.send_part(self.REQUEST[:20])
        await asyncio.sleep(SHORT_S / 4)
        self.change(head_time=8 * SHORT)
        await asyncio.sleep(5 * SHORT_S)
        self.assertEqual(await self.ask(self.REQUEST[20:]), 200)

    async def test_lowered_in_the_middle_of_a_head(self):
        """Guards against cutting what was allowed when it was sent."""
        await self.start()
        await self.send_part(self.REQUEST[:20])
        self.change(head_time=SHORT)
        await asyncio.sleep(NOTICED_S + SHORT_S)
        self.assertEqual(await self.ask(self.REQUEST[20:]), 200)

    async def test_lowered_in_the_middle_of_a_body(self):
        """Guards against a time for heads that cuts a body."""
        await self.start()
        request = make_request(10, b"x" * 10)
        await self.send_part(request[:-5])
        self.change(head_time=SHORT)
        await asyncio.sleep(NOTICED_S + SHORT_S)
        self.assertEqual(await self.ask(request[-5:]), 200)

    async def test_head_behind_a_running_request(self):
        """Guards against a time that ends while the connection waits for an answer."""
        await self.start(head_time=SHORT)
        self.handler.may_answer.clear()
        await self.send_part(self.REQUEST + self.REQUEST[:20])
        await asyncio.sleep(PAUSE_S)
        self.handler.may_answer.set()
        self.assertEqual(await self.read_status(), 200)
        self.assertEqual(await self.ask(self.REQUEST[20:]), 200)

    async def test_head_that_began_with_the_end_of_a_request(self):
        """Guards against a head that only the idle time ends."""
        await self.start(head_time=SHORT)
        self.assertEqual(await self.ask(self.REQUEST, self.REQUEST[:20]), 200)
        self.assertTrue(await self.is_closed_within(APPLY_S))


class TestIdleTimes(LimitsCase):
    """Guards against idle connections closed by the time that they began with."""

    REQUEST = make_request()

    async def test_raised_on_an_idle_connection(self):
        """Guards against closing a connection that a caller may still use."""
        await self.start(idle_time=SHORT)
        self.assertEqual(await self.ask(self.REQUEST), 200)
        self.change()
        await asyncio.sleep(PAUSE_S)
        self.assertEqual(await self.ask(self.REQUEST), 200)

    async def test_lowered_on_an_idle_connection(self):
        """Guards against connections that stay open for the former time."""
        await self.start()
        self.assertEqual(await self.ask(self.REQUEST), 200)
        self.change(idle_time=SHORT)
        self.assertTrue(await self.is_closed_within(APPLY_S + SHORT_S))

    async def test_lowered_before_the_first_request(self):
        """Guards against the same on a connection that was never used."""
        await self.start()
        await self.wait_for(lambda: self.server.connections)
        self.change(idle_time=SHORT)
        self.assertTrue(await self.is_closed_within(APPLY_S + SHORT_S))

    async def test_lowered_in_the_middle_of_a_head_and_a_body(self):
        """Guards against an idle time that cuts a request."""
        request = make_request(10, b"x" * 10)
        for position in (20, len(request) - 5):
            with self.subTest(position=position):
                await self.start()
                await self.send_part(request[:position])
                self.change(idle_time=SHORT)
                await asyncio.sleep(NOTICED_S + SHORT_S)
                self.assertEqual(await self.ask(request[position:]), 200)

    async def test_lowered_during_a_request(self):
        """Guards against an idle time that begins before the answer."""
        await self.start()
        self.handler.may_answer.clear()
        await self.send_part(self.REQUEST)
        self.change(idle_time=SHORT)
        await asyncio.sleep(NOTICED_S + SHORT_S)
        self.handler.may_answer.set()
        self.assertEqual(await self.read_status(), 200)
        self.assertEqual(await self.ask(self.REQUEST), 200)
        self.assertTrue(await self.is_closed_within(APPLY_S))


class TestFraming(LimitsCase):
    """Guards against requests that are lost or judged by the limits of another one.

    The connection finds the beginning of each head itself, because the HTTP library
    does not tell.
    """

    CHUNKED = (
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n"
    )
    # What arrives behind it is parsed when it is answered.
    UPGRADE = (
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n"
        b"Upgrade: websocket\r\n\r\n"
    )
    REQUESTS = (
        (make_request(), 0),
        (make_request(10, b"\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 22),
        (make_request(10, b""), 0),
        (b"\r\n" + make_request(10, b"x"), 1),
        (CHUNKED, 3),
        (UPGRADE, 0),
    )

    async def test_segments_do_not_change_the_requests(self):
        """Guards against a cut in the middle of the end of a head or a body."""
        random = Random(SEED)
        await self.start()
        for number in range(EXAMPLE_COUNT):
            requests = random.choices(self.REQUESTS, k=random.randint(1, 6))
            data = b"".join(content for content, _ in requests)
            cuts = sorted(random.choices(range(len(data)), k=random.randint(0, 8)))
            with self.subTest(number=number, cuts=cuts):
                await self.check_segments(requests, data, cuts)

    async def check_segments(self, requests, data, cuts):
        """Send requests in segments and compare what the handler reads."""
        self.writer.close()
        await self.wait_for(lambda: not self.server.connections)
        await self.connect()
        self.handler.sizes.clear()
        for start, end in itertools.pairwise((0, *cuts, len(data))):
            self.writer.write(data[start:end])
            await asyncio.sleep(0.001)
        statuses = [await self.read_status() for _ in requests]
        self.assertEqual(statuses, len(requests) * [200])
        self.assertEqual(self.handler.sizes, [size for _, size in requests])
        # No head is left unfinished, and each request has had limits of its own.
        self.assertEqual(self.server.count_unanswered(), 0)
        (connection,) = self.server.connections
        self.assertEqual(len(connection._queued_bounds), 0)

    async def test_more_requests_than_the_library_takes(self):
        """Guards against requests lost while the library reads nothing more.

        It stops after 32 requests that wait behind a running one.
        """
        await self.start()
        self.handler.may_answer.clear()
        count = 100
        self.writer.write(count * make_request(300, b"12345"))
        await self.wait_for(lambda: self.server.count_unanswered() > 0)
        self.handler.may_answer.set()
        statuses = [await self.read_status() for _ in range(count)]
        self.assertEqual(statuses, count * [200])
        self.assertEqual(self.handler.sizes, count * [5])
        self.assertEqual(await self.ask(LARGE_HEAD), 431)

    async def test_head_without_end_behind_many_requests(self):
        """Guards against requests cut because a later one is refused."""
        await self.start()
        for before in (self.UPGRADE, 100 * make_request(300)):
            with self.subTest(before=before[:20]):
                await self.connect()
                self.handler.may_answer.clear()
                await self.send_part(before)
                self.writer.write(b"GET / HTTP/1.1\r\nA: " + b"a" * 4 * LOW_HEAD_BYTES)
                await asyncio.sleep(0.1)
                self.handler.may_answer.set()
                statuses = [
                    await self.read_status() for _ in range(before.count(b" HTTP/"))
                ]
                self.assertEqual(set(statuses), {200})
                self.assertEqual(await self.read_status(), 431)

    async def test_broken_body_is_refused_at_once(self):
        """Guards against a caller that waits until its deadline for a refusal."""
        head = self.CHUNKED.partition(b"3\r\n")[0]
        for part in (b"", head, head + b"3\r\nabc\r\n"):
            with self.subTest(part=part):
                await self.start()
                if part:
                    await self.send_part(part)
                rest = (head + b"3\r\nabc\r\nno length\r\n")[len(part) :]
                async with asyncio.timeout(TEST_TIMEOUT.total_seconds() / 2):
                    self.assertEqual(await self.ask(rest), 400)
                self.assertEqual(await self.read_status(), 0)

    async def test_nothing_is_read_behind_an_invalid_head(self):
        """Guards against work for what follows a head that ends the connection."""
        await self.start()
        self.writer.write(make_request() + 1000 * b"no head\r\n\r\n")
        self.assertEqual([await self.read_status() for _ in range(3)], [200, 400, 0])


class TestPublishedLimits(DaemonCase):
    """Guards against limits that a daemon is told and does not use."""

    async def ask(self, reader, writer, request_id: str) -> int:
        """Send an order with a large head and return the status of the response."""
        self.send(writer, request_id, FIRST_DEADLINE_MS, 3000)
        async with asyncio.timeout(TEST_TIMEOUT.total_seconds()):
            head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length))
        return int(head.split()[1])

    async def publish(self, version: int, header_bytes: int):
        """Publish a limit on heads and wait until its version is in force."""
        configuration = make_configuration(version, ORDER)
        configuration["limits"] = {"max_header_bytes": header_bytes}
        await self.store.put("op/config", configuration)

        async def is_in_force() -> bool:
            return self.daemon._state.configuration.version == version

        await wait_until(is_in_force, TEST_TIMEOUT, "the version is in force")

    async def test_limits_of_each_version_hold_on_a_kept_connection(self):
        """Guards against the limits that the connection began with (review/13)."""
        await self.publish(2, LOW_HEAD_BYTES)
        reader, writer = await self.connect()
        await self.publish(3, HIGH_HEAD_BYTES)
        self.assertEqual(await self.ask(reader, writer, "raised"), 200)
        await self.publish(4, LOW_HEAD_BYTES)
        await asyncio.sleep(FORMER_BOUNDS_TIME.total_seconds())
        self.assertEqual(await self.ask(reader, writer, "lowered"), 431)
        names = [name for name, _ in self.upstream.arrivals]
        self.assertEqual(names, ["first", "raised"])


class TestCallerBoundsInForce(unittest.TestCase):
    """Guards against a limit that comes into force too early or too late."""

    LOW, HIGH = make_bounds(), make_bounds(header_bytes=HIGH_HEAD_BYTES)

    def test_raised_limit_holds_at_once(self):
        """Guards against refusing a request that the new version allows."""
        bounds = CallerBoundsInForce(self.LOW)
        bounds.replace(self.HIGH, timedelta(0))
        self.assertEqual(bounds.read(timedelta(0)), self.HIGH)

    def test_lowered_limit_holds_after_requests_on_their_way(self):
        """Guards against refusing a request that was sent before the change."""
        bounds = CallerBoundsInForce(self.HIGH)
        bounds.replace(self.LOW, timedelta(0))
        last = FORMER_BOUNDS_TIME - timedelta(microseconds=1)
        self.assertEqual(bounds.read(last), self.HIGH)
        self.assertEqual(bounds.read(FORMER_BOUNDS_TIME), self.LOW)

    def test_changes_in_quick_succession(self):
        """Guards against a limit that is forgotten, or kept by later changes."""
        other = make_bounds(body_bytes=HIGH_BODY_BYTES)
        step = FORMER_BOUNDS_TIME / 2
        bounds = CallerBoundsInForce(self.HIGH)
        bounds.replace(other, 0 * step)
        bounds.replace(self.LOW, 1 * step)
        self.assertEqual(bounds.read(1 * step), merge_bounds(self.HIGH, other))
        self.assertEqual(bounds.read(2 * step), other)
        bounds.replace(self.LOW, 2 * step)
        self.assertEqual(bounds.read(3 * step), self.LOW)


if __name__ == "__main__":
    unittest.main()
