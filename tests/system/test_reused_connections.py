"""Proofs: second answers on reused connections reach no other caller."""

import unittest

from tests.system.support_answers import (
    SERVICES,
    AnswersCase,
    ask_many,
    make_small_plan,
    name_upstream,
)

IN_A = tuple(name_upstream(service, "a") for service in SERVICES[:2])
# The first answer has been read and its connection is idle or in use again by then.
SECOND_ANSWER_MS = 10.0
QUERIES = 60
# A second answer only does harm if the next request is on its way just then.
MAX_ROUNDS = 10


class ReusedConnectionsCase(AnswersCase):
    """Asks upstreams that answer every request a second time a little later.

    The second answer is the first data that the next request on the connection gets.
    """

    async def ask(self):
        """Ask while the answers are doubled, and return the queries."""
        fault = {"misbehaviour": "doubled_later", "late_ms": SECOND_ANSWER_MS}
        await self.change_upstreams(IN_A, **fault)
        queries = await ask_many(self.fleet, "second", QUERIES)
        await self.change_upstreams(IN_A, misbehaviour=None)
        return queries


class TestReusedConnections(ReusedConnectionsCase):
    """Guards against hits of the query that used the connection before."""

    plan = make_small_plan()

    def test_second_answers_that_come_later(self):
        self.assert_all_complete(self.run_async(self.ask()))
        after = self.run_async(ask_many(self.fleet, "after", QUERIES))
        self.assert_all_complete(after)


class TestWithoutAnswerMatch(ReusedConnectionsCase):
    """Shows that callers get the second answers when ids are not compared."""

    plan = make_small_plan(without=("answer_match",))

    def test_second_answers_that_come_later(self):
        for _ in range(MAX_ROUNDS):
            if self.run_async(self.ask()).list_faults():
                return
        self.fail("no caller got hits of another query")


if __name__ == "__main__":
    unittest.main()
