"""Tests of the commands for callers against fake daemons."""

from aiohttp import web

from tests.cli.command_case import CLOSED_ADDRESS, SEARCH_ANSWER, CommandTestCase
from tests.cli.fake_daemon import drop_connection, make_error


class TestSearch(CommandTestCase):
    """Guards against an incomplete or failed search that looks complete.

    This happens if the exit code or the coverage in the output ignores missing shards,
    error answers, answers that can't be decoded or lost connections.
    """

    def test_complete_answer_through_the_second_host(self):
        daemon = self.start_fake_daemon(v1_search=(200, SEARCH_ANSWER))
        hosts = f"{CLOSED_ADDRESS},{daemon.address}"
        code, output = self.run_command("search", "a", '{"t": true}', "--host", hosts)
        self.assertEqual(code, 0, output)
        self.assertIn('2  r1  {"x": 1}', output)
        self.assertEqual(daemon.requests[0][2]["query"], {"t": True})

    def test_exit_codes(self):
        missing = [{"service": "s2", "shard": "s2", "reason": "no_owner"}]
        partial = SEARCH_ANSWER | {"complete": False, "not_covered": missing}
        for answer, expected in (
            ((200, partial), 3),
            ((503, make_error("overloaded", "no")), 1),
            ((400, make_error("bad_request", "no")), 2),
            ((502, make_error("outcome_unknown", "unknown")), 4),
            ((200, []), 1),
            (lambda _: web.Response(status=404, text="no such path"), 1),
            (drop_connection, 1),
        ):
            daemon = self.start_fake_daemon(v1_search=answer)
            words = ("search", "a", "q", "--host", daemon.address)
            code, output = self.run_command(*words)
            self.assertEqual(code, expected, output)
            self.assertEqual(self.run_command(*words, "--json")[0], expected)
        self.assertEqual(
            self.run_command("search", "a", "q", "--host", CLOSED_ADDRESS)[0], 1
        )

    def test_incomplete_answer_names_the_missing_shard(self):
        missing = [{"service": "s2", "shard": "s2", "reason": "no_owner"}]
        partial = SEARCH_ANSWER | {"complete": False, "not_covered": missing}
        daemon = self.start_fake_daemon(v1_search=(200, partial))
        _, output = self.run_command("search", "a", "q", "--host", daemon.address)
        self.assertIn("coverage: 1 of 2 shards", output)
        self.assertIn("not covered: s2/s2: no_owner", output)


class TestRunOnce(CommandTestCase):
    """Guards against a request that runs twice, or a wrong report on whether it ran.

    A request could run twice if the tool retried it with a new ticket after a lost
    answer. The report would be wrong if a later "not run" hid that an earlier attempt
    without an answer, or an earlier use of the ticket, may have run the request.
    """

    def setUp(self):
        super().setUp()
        self.second = self.start_fake_daemon()
        entry_hosts = [{"address": self.second.address, "failure_domain": "b"}]
        self.first = self.start_fake_daemon(
            v1_tickets=(200, {"ticket": "t1", "expires_in_ms": 60000}),
        )
        self.first.answers["/v1/entry-hosts"] = (
            200,
            {"hosts": entry_hosts, "valid_for_ms": 5000},
        )

    def run_request(self, first, second=None, *words: str) -> tuple[int, str]:
        """Run a request; the hosts answer run-once with ``first`` and ``second``."""
        self.first.answers["/v1/run-once"] = first
        self.second.answers["/v1/run-once"] = second
        host = ("--host", self.first.address)
        return self.run_command("run-once", "a", "pay", *host, *words)

    def test_lost_answer_is_retried_with_the_same_ticket(self):
        ran = (200, {"ticket": "t1", "result": {"n": 1}, "ran": "yes"})
        code, output = self.run_request(drop_connection, ran)
        self.assertEqual(code, 0, output)
        self.assertIn('result: {"n": 1}', output)
        self.assertEqual(self.first.count_requests("/v1/tickets"), 1)
        self.assertEqual(self.first.count_requests("/v1/run-once"), 1)
        self.assertEqual(self.second.requests[-1][2]["ticket"], "t1")

    def test_not_run_is_stated_only_if_every_attempt_ran_nothing(self):
        code, output = self.run_request(lambda _: web.Response(status=404), (404, None))
        self.assertEqual(code, 1)
        self.assertIn("ran: no\n", output)
        self.second.requests.clear()
        refused = (503, make_error("not_run", "no"))
        code, output = self.run_request(refused)
        self.assertEqual(code, 1)
        self.assertIn("ran: no\n", output)
        self.assertEqual(self.second.requests, [])
        for words in ((), ("--json",)):
            code, output = self.run_request(drop_connection, refused, *words)
            self.assertEqual(code, 4, output)
            self.assertIn("unknown", output)
        expired = (410, make_error("ticket_expired", "no"))
        code, output = self.run_request(drop_connection, expired)
        self.assertEqual(code, 1)
        self.assertIn("request a new ticket", output)
        code, output = self.run_request(refused, refused, "--ticket", "t0")
        self.assertEqual(code, 4, output)

    def test_malformed_ticket_is_wrong_input(self):
        unknown = (404, make_error("ticket_unknown", "no"))
        code, output = self.run_request(unknown, unknown, "--ticket", "abc")
        self.assertEqual(code, 2, output)
        self.assertIn("check the text after --ticket", output)
        self.assertEqual(self.second.requests, [])

    def test_unknown_outcome_is_final(self):
        code, output = self.run_request((502, make_error("outcome_unknown", "unknown")))
        self.assertEqual(code, 4)
        self.assertIn("ran: unknown", output)
        self.assertIn("--ticket t1", output)
        self.assertEqual(self.second.requests, [])

    def test_without_a_ticket_nothing_ran(self):
        self.first.answers["/v1/tickets"] = drop_connection
        code, output = self.run_request(drop_connection)
        self.assertEqual(code, 1)
        self.assertIn("ran: no", output)
        self.assertEqual(self.first.count_requests("/v1/run-once"), 0)
