"""Tests of the questions that the pool asks of upstreams, over real connections."""

import asyncio
from datetime import timedelta

from celeryferry_core.forwarding.outcomes import LossReason, Lost, Refused
from celeryferry_core.forwarding.outcomes import RefusalReason as Reason
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.questions import QUESTION_INTERVAL
from celeryferry_standins.processes import wait_until
from tests.daemon.test_forwarding_connections import (
    TEST_TIMEOUT,
    WITH_LENGTH,
    ScriptedServerTestCase,
    reset,
)

HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BUSY = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
SHORT_TIME = timedelta(milliseconds=100)


class ScriptedInquiry:
    """Inquiry that takes an answer with status 200 as settling the question.

    :ivar asked_count: questions so far.
    :ivar answers: statuses of the answers so far.
    :ivar may_ask_now: whether the upstream may get a question.
    :ivar takes_questions: whether it has a health check.
    :ivar unanswerable_count: connections to it while it takes no question.
    """

    def __init__(self):
        self.asked_count = self.unanswerable_count = 0
        self.answers: list[int] = []
        self.may_ask_now = self.takes_questions = True

    def record_question(self, upstream, cause):
        """Count the question."""
        self.asked_count += 1

    def may_ask(self, upstream):
        """Return what the test says."""
        return self.may_ask_now

    def is_askable(self, upstream):
        """Return what the test says."""
        return self.takes_questions

    def make_question(self, upstream):
        """Return the encoded question."""
        return b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"

    def record_answer(self, upstream, response):
        """Record the status."""
        self.answers.append(response.status)
        return response.status == 200

    def record_unanswerable(self, upstream):
        """Count the connection."""
        self.unanswerable_count += 1


class TestQuestions(ScriptedServerTestCase):
    """Guards against requests for a process that nobody has asked whether it is cold.

    The connections to the upstream were lost or remained silent, or the source of
    entries can't be read and no connection to the upstream was open.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.inquiry = self.pool.questions.inquiry = ScriptedInquiry()
        self.silence_ends = asyncio.Event()

    async def asyncTearDown(self):
        self.silence_ends.set()
        await super().asyncTearDown()

    async def lose_connection(self) -> None:
        """Exchange one request and lose the connection to a reset."""
        self._add_response(b"HTTP/1.1 ", then=reset)
        outcome = await self._exchange()
        self.assertEqual(outcome, Lost(LossReason.CONNECTION_LOST))

    async def test_calm_needs_no_question(self):
        """Guards against questions for each new connection while all is well."""
        for _ in range(2):
            self._add_response(WITH_LENGTH)
        outcomes = await asyncio.gather(self._exchange(), self._exchange())
        self.assertTrue(all(isinstance(each, RawResponse) for each in outcomes))
        self.assertEqual((self.accepted, self.inquiry.asked_count), (2, 0))

    async def test_question_precedes_the_next_request(self):
        """Guards against a request for the process that has reset a connection."""
        await self.lose_connection()
        self._add_response(HEALTHY)
        self._add_response(WITH_LENGTH)
        self.assertEqual((await self._exchange()).body, b"body")
        self.assertEqual(self.inquiry.answers, [200])
        self.assertEqual(self.accepted, 2, "the request uses the same connection")

    async def test_concurrent_requests_share_a_question(self):
        """Guards against as many questions as requests for a cold upstream."""
        await self.lose_connection()
        self._add_response(HEALTHY)
        for _ in range(3):
            self._add_response(WITH_LENGTH)
        outcomes = await asyncio.gather(*(self._exchange() for _ in range(3)))
        self.assertTrue(all(isinstance(each, RawResponse) for each in outcomes))
        self.assertEqual(self.inquiry.asked_count, 1)

    async def test_upstream_that_does_not_say_gets_no_request(self):
        """Guards against taking a busy or silent upstream for a warm one."""
        await self.lose_connection()
        self._add_response(BUSY)
        self.assertEqual(await self._exchange(), Refused(Reason.CONNECT_FAILED))
        self.assertEqual(await self._exchange(), Refused(Reason.CONNECT_FAILED))
        self.assertEqual(self.inquiry.asked_count, 1, "not one for each request")
        await asyncio.sleep(QUESTION_INTERVAL.total_seconds())
        self._add_response(HEALTHY)
        self._add_response(WITH_LENGTH)
        self.assertEqual((await self._exchange()).body, b"body")
        self.assertEqual(self.inquiry.answers, [503, 200])

    async def test_request_that_waits_for_an_answer_keeps_its_deadline(self):
        """Guards against a caller that waits for a silent upstream, and for nothing."""
        await self.lose_connection()
        self.scripts.append(self.be_silent)
        outcome = await self._exchange(time_left=SHORT_TIME)
        self.assertEqual(outcome, Refused(Reason.CONNECT_FAILED))

    async def be_silent(self, writer) -> bool:
        """Leave a request without an answer."""
        await self.silence_ends.wait()
        return True

    async def test_timeout_leads_to_a_question(self):
        """Guards against new connections to a machine that fell silent."""
        self.scripts.append(self.be_silent)
        outcome = await self._exchange(time_left=SHORT_TIME)
        self.assertEqual(outcome, Lost(LossReason.TIMEOUT))
        self._add_response(HEALTHY)
        self._add_response(WITH_LENGTH)
        self.assertEqual((await self._exchange()).body, b"body")
        self.assertEqual(self.inquiry.answers, [200])

    async def test_outage_of_the_source_leads_to_a_question(self):
        """Guards against an upstream that has restarted before the first contact."""
        self.pool.questions.is_source_read = lambda now: False
        self._add_response(HEALTHY)
        self._add_response(WITH_LENGTH)
        self.assertEqual((await self._exchange()).body, b"body")
        self.assertEqual(self.inquiry.answers, [200])

    async def test_upstream_without_a_health_check_is_told_to_the_host(self):
        """Guards against the full load for a new process that can't be asked."""
        await self.lose_connection()
        self.inquiry.takes_questions = False
        self._add_response(WITH_LENGTH)
        self.assertEqual((await self._exchange()).body, b"body")
        self.assertEqual(self.inquiry.unanswerable_count, 1)

    async def test_upstream_that_wants_a_pause_is_not_asked(self):
        """Guards against questions that an upstream has asked not to get."""
        self.inquiry.may_ask_now = False
        await self.lose_connection()
        self.assertEqual(await self._exchange(), Refused(Reason.CONNECT_FAILED))
        self.assertEqual(self.inquiry.asked_count, 0)

    async def test_loss_of_the_last_connection_is_followed_by_a_question(self):
        """Guards against learning of a restart only from the next request."""
        self._add_response(HEALTHY)
        self.scripts.insert(0, self.reset_connection)
        await self._exchange()

        async def is_answered() -> bool:
            return self.inquiry.answers == [200]

        await wait_until(is_answered, TEST_TIMEOUT, "the answer to the question")

    async def reset_connection(self, writer) -> bool:
        """Reset a connection instead of answering."""
        reset(writer)
        return True
