"""Tests of the document check, wrong usage and help texts."""

import contextlib
import json
import os
from pathlib import Path

from celeryferry_cli._internal.command_line import run
from tests.cli.command_case import CLOSED_ADDRESS, SEARCH_ANSWER, CommandTestCase

SAMPLE = Path(__file__).parents[2] / "samples" / "alami" / "foundry-orders.toml"


class TestCheck(CommandTestCase):
    """Guards against a check that passes an invalid, missing or duplicate document."""

    def test_valid_document(self):
        code, output = self.run_command("check", str(SAMPLE))
        self.assertEqual((code, output), (0, "1 valid, 0 invalid\n"))

    def test_invalid_missing_and_duplicate_documents(self):
        copy, broken = self.folder / "copy.toml", self.folder / "broken.toml"
        copy.write_text(SAMPLE.read_text())
        broken.write_text(SAMPLE.read_text().replace("slots = 6", "slots = 0"))
        files = [str(SAMPLE), str(copy), str(broken), str(self.folder / "none")]
        code, output = self.run_command("check", *files)
        self.assertEqual(code, 2)
        self.assertIn("broken.toml: line 14: upstreams.slots: found 0", output)
        self.assertIn("one document for each service", output)
        self.assertIn("1 valid, 3 invalid", output)
        code, output = self.run_command("check", *files, "--json")
        valid = [record["valid"] for record in json.loads(output)["files"]]
        self.assertEqual((code, valid), (2, [True, False, False, False]))


class TestUsage(CommandTestCase):
    """Guards against wrong usage that sends a request or exits with 0.

    Fire calls a command before it reports surplus arguments, so a command that ran at
    once would send its request in spite of the usage error.
    """

    def test_wrong_usage_exits_with_2_and_sends_nothing(self):
        daemon = self.start_fake_daemon(v1_search=(200, SEARCH_ANSWER))
        host = ("--host", daemon.address)
        for words in (
            ("unknown",),
            ("check",),
            ("search", "a", "q"),
            ("search", "a", "q", "--host", "localhost:80"),
            ("search", "a", "q", *host, "--limit", "0"),
            ("search", "a", "q", *host, "--nosuch", "1"),
            ("search", "a", "q", "extra", *host),
            ("status", *host),
            ("search", "a", "q", "start", *host),
            (
                "drain",
                "--host",
                f"{CLOSED_ADDRESS},{CLOSED_ADDRESS}",
                "--token-file",
                "none",
            ),
        ):
            code, output = self.run_command(*words)
            self.assertEqual(code, 2, (words, output))
        self.assertEqual(daemon.requests, [])

    def test_message_names_the_wrong_word_and_what_to_do(self):
        for words, expected in (
            (("statsu",), "did you mean 'status'?"),
            (("--json", "status"), "unknown command '--json'"),
            (("check", str(SAMPLE), "--fast"), "'--fast' is not an argument of"),
            (("search", "a", "q", "r", "--host", CLOSED_ADDRESS), "search --help"),
            (("status",), "--token-file"),
        ):
            code, output = self.run_command(*words)
            self.assertEqual(code, 2, output)
            self.assertIn(expected, output)
            self.assertNotIn("as_json", output)
        code, output = self.run_command(
            "search", "a", "q", "--host", CLOSED_ADDRESS, "--help"
        )
        self.assertEqual(code, 0)
        self.assertIn("--deadline-ms", output)

    def test_reader_that_stops_early_is_no_failure(self):
        reading, writing = os.pipe()
        os.close(reading)
        with open(writing, "w") as stream, contextlib.redirect_stdout(stream):
            self.assertEqual(run(["check", str(SAMPLE)]), 0)

    def test_help_names_every_command(self):
        code, output = self.run_command()
        self.assertEqual(code, 0)
        for name in ("check", "entry-hosts", "run-once", "explain", "Exit codes"):
            self.assertIn(name, output)
        code, output = self.run_command("run-once", "--help")
        self.assertEqual(code, 0)
        self.assertIn("ticket of an earlier attempt", output)
