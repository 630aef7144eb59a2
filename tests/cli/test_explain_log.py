"""Tests of ``celeryferry explain ID --log FILE``."""

import json
import unittest

from celeryferry_cli._internal.commands.explain_log import OUTCOME_EXPLANATIONS
from celeryferry_core.forwarding.outcomes import LossReason, RefusalReason
from celeryferry_daemon._internal.forwarding.requests import Rejection
from tests.cli.command_case import CommandTestCase


def format_log_line(event: str, prefix: str = "", **fields) -> str:
    """Return one log line as JSON after an optional prefix."""
    line = {"time": "2026-12-04T15:00:00+00:00", "event": event} | fields
    return prefix + json.dumps(line)


UNKNOWN_OUTCOME_LINE = format_log_line(
    "request_answered",
    prefix="  12.5 host-1 ",
    request_id="id-2",
    rule="lookup",
    configuration_version=7,
    outcome="unknown_not_covered",
    elapsed_ms=61.0,
    attempts=[
        "s0/i-1@10.0.0.1:80/own_domain/lost:connection_lost/4ms",
        "s0/i-2@10.0.0.2:80/remote/failed:500/9ms",
    ],
)
LOG_LINES = [
    "Traceback of another program {",
    format_log_line("upstream_gone", instance_id="i-9"),
    format_log_line("upstream_listed", upstream={"instance_id": "i-1"}),
    format_log_line("source_lost", source="upstreams", reason="status 503"),
    format_log_line("request_answered", request_id="id-1", outcome="complete"),
    UNKNOWN_OUTCOME_LINE,
    format_log_line(
        "request_rejected",
        request_id="id-4",
        outcome="rejected_no_rule",
        host="a.example",
        target="/old/1",
        configuration_version=7,
    ),
    format_log_line("source_back", source="upstreams"),
]


class TestExplainLog(CommandTestCase):
    """Guards against a failed request whose cause can't be found from its id.

    The command must find the request's log line among other text, and show its
    attempts and the changes before it that concern it.
    """

    def explain(self, *words: str) -> tuple[int, str]:
        """Run ``explain`` on a file with the test's log lines."""
        file = self.folder / "host-1.log"
        file.write_text("\n".join(LOG_LINES))
        return self.run_command("explain", *words, "--log", str(file))

    def test_attempts_and_what_the_host_knew_are_shown(self):
        """Guards against an outcome without its attempts and the changes before it."""
        code, output = self.explain("id-2")
        self.assertEqual(code, 0, output)
        self.assertIn("too few shards could be answered", output)
        self.assertIn("configuration version 7", output)
        self.assertIn("lost:connection_lost", output)
        self.assertIn("status 503", output)

    def test_changes_of_other_upstreams_and_later_ones_are_left_out(self):
        """Guards against changes that can't have affected the request."""
        output = self.explain("id-2")[1]
        self.assertIn('"instance_id":"i-1"', output)
        self.assertNotIn("i-9", output)
        self.assertNotIn("source_back", output)

    def test_rejected_request_is_explained(self):
        """Guards against a rejected request that is shown without its cause."""
        code, output = self.explain("id-4")
        self.assertEqual(code, 0, output)
        self.assertIn("no rule of that version matches the host name", output)
        self.assertIn("a.example/old/1, configuration version 7", output)
        self.assertNotIn("None", output)

    def test_json_holds_the_entries(self):
        """Guards against a JSON output without the log entry of the request."""
        explanations = json.loads(self.explain("id-2", "--json")[1])
        self.assertEqual(explanations[0]["request"]["outcome"], "unknown_not_covered")

    def test_unknown_id_says_what_to_do(self):
        """Guards against empty output or exit code 0 for an id that no line names."""
        code, output = self.explain("id-3")
        self.assertEqual(code, 1)
        self.assertIn("logs of all hosts", output)

    def test_unreadable_file_is_wrong_usage(self):
        """Guards against an explanation that skips a log file it can't read."""
        code, output = self.run_command("explain", "id-2", "--log", "/nowhere")
        self.assertEqual(code, 2)
        self.assertIn("/nowhere", output)

    def test_log_or_host_is_needed(self):
        """Guards against a call without a log file or a host to ask."""
        code, output = self.run_command("explain", "id-2")
        self.assertEqual(code, 2)
        self.assertIn("--log FILE", output)


class TestCauses(unittest.TestCase):
    """Guards against a new outcome in the log that has no explanation here."""

    def test_every_outcome_has_a_text(self):
        outcomes = {f"rejected_{reason.value}" for reason in Rejection}
        outcomes |= {f"not_run_{reason.value}" for reason in RefusalReason}
        outcomes |= {f"unknown_{reason.value}" for reason in LossReason}
        self.assertEqual(outcomes - set(OUTCOME_EXPLANATIONS), set())
