"""Tests of which connections to an upstream are used again, with companions."""

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
    """Starts an upstream on a raw socket and its client."""

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
    """Guards against the rest of an answer being met by the next request.

    The client closes the connection, and aiohttp does so by itself for an answer that
    was not read to its end; either suffices.
    """

    async def send_after_an_abandoned_answer(self, sent_bytes=1, **switches):
        """Return the outcome of a request and the number of connections.

        :param sent_bytes: bytes of the first body that are sent in time; None if its
            head is late as well.
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
    """Guards against requests on a connection whose answers belong to others."""

    async def send_twice(self, **switches):
        """Use an upstream whose first connection gives each answer to the next."""
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
