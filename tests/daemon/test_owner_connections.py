"""Tests of which connections to an upstream are reused, with the checks and without."""

import unittest
from unittest import mock

from aiohttp.client_proto import ResponseHandler

from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import (
    OutcomeUnknown,
    RunAnswered,
    UnknownReason,
)
from celeryferry_daemon._internal.owner.client import UpstreamClient
from celeryferry_daemon._internal.owner.replies import Expectation
from tests.daemon.fake_upstreams import RawUpstream, answer_run

BAD_ANSWER = OutcomeUnknown(UnknownReason.BAD_ANSWER)
LONG_SECONDS = 5.0
SHORT_SECONDS = 0.2
HEAD_END = b"\r\n\r\n"


class ConnectionsTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts an upstream on a raw socket and a client for it."""

    async def start(self, answers, **switches):
        self.upstream = await RawUpstream().start()
        self.addCleanup(self.upstream.server.close)
        self.upstream.answers = answers
        self.client = UpstreamClient(self.upstream.address, 2, Mechanisms(**switches))
        self.addAsyncCleanup(self.client.close)

    async def send(self, request_id, seconds=LONG_SECONDS):
        expected, headers = Expectation(request_id), {"X-Request-Id": request_id}
        reply = await self.client.send(
            "run", b"1", headers, expected, seconds, lambda: None
        )
        return reply.outcome


class TestAbandonedAnswers(ConnectionsTestCase):
    """Guards against the rest of an answer being read as that of the next request.

    A request times out while its answer is incomplete, and the next request reuses the
    connection. The client closes such a connection, and so does aiohttp if an answer
    was not read to its end. Each of the two suffices.
    """

    async def send_after_an_abandoned_answer(self, sent_bytes=1, **switches):
        """Let one request time out and send a second.

        :param sent_bytes: bytes of the first body that are sent in time; None if its
            head is late as well.
        :returns: outcome of the second request, and the number of connections.
        """
        first = answer_run("first")
        body_start = first.index(HEAD_END) + len(HEAD_END)
        split = 0 if sent_bytes is None else body_start + sent_bytes

        def answer(request_id):
            rest = first[split:] if self.upstream.connections == 1 else b""
            return rest + answer_run(request_id)

        await self.start([lambda _: first[:split], answer], **switches)
        with self.assertRaises(TimeoutError):
            await self.send("first", SHORT_SECONDS)
        return await self.send("second"), self.upstream.connections

    async def assert_answered(self, **switches):
        outcome, connections = await self.send_after_an_abandoned_answer(**switches)
        self.assertIsInstance(outcome, RunAnswered)
        self.assertEqual(connections, 2)

    async def test_next_request_gets_its_answer_on_another_connection(self):
        await self.assert_answered()

    async def test_answer_abandoned_before_its_head(self):
        await self.assert_answered(sent_bytes=None)

    async def test_close_by_the_client_suffices(self):
        with mock.patch.object(ResponseHandler, "should_close", False):
            await self.assert_answered()

    async def test_close_by_aiohttp_suffices(self):
        await self.assert_answered(connection_close=False)

    async def test_next_request_meets_the_rest_without_both(self):
        with mock.patch.object(ResponseHandler, "should_close", False):
            result = await self.send_after_an_abandoned_answer(connection_close=False)
        self.assertEqual(result, (BAD_ANSWER, 1))


class TestWrongAnswers(ConnectionsTestCase):
    """Guards against the reuse of a connection whose answers are off by one.

    An upstream answers each request on a connection with the answer of the request
    before it. After the first bad answer, the client must not use it again.
    """

    async def send_twice(self, **switches):
        """Send two requests; the first connection returns each answer one too late."""
        ids = ["another"]

        def answer(request_id):
            ids.append(request_id)
            return answer_run(ids[-2 if self.upstream.connections == 1 else -1])

        await self.start([answer, answer], **switches)
        return [await self.send("first"), await self.send("second")]

    async def test_next_request_gets_its_answer_on_another_connection(self):
        first, second = await self.send_twice()
        self.assertEqual(first, BAD_ANSWER)
        self.assertIsInstance(second, RunAnswered)
        self.assertEqual(self.upstream.connections, 2)

    async def test_next_request_gets_a_wrong_answer_without_the_mechanism(self):
        result = await self.send_twice(connection_retire=False)
        self.assertEqual(result, [BAD_ANSWER, BAD_ANSWER])
        self.assertEqual(self.upstream.connections, 1)


if __name__ == "__main__":
    unittest.main()
