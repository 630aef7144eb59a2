"""Tests of parsing, checking and rendering service documents."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryferry_core.documents import (
    MAX_DOCUMENT_BYTES,
    parse_document,
    render_document,
)

VALID = """\
schema = 1
version = 3
application = "survey-desk"
service = "survey-desk-01"
team = "survey"
preference = "coverage"
repeatable = true
deadline_ms = 1000
answer_within_ms = 250
failure_domains_out = ["agadir-a"]

[upstreams]
slots = 4
connections = 80
cold_limit = 1
connect_cost_ms = 6

[[shards]]
name = "one"
last_snapshot = 41
replicas = [
  { address = "127.0.0.1:9001", failure_domain = "agadir-a" },
  { address = "[::1]:9002", failure_domain = "agadir-a" },
  { address = "[::1]:9003", failure_domain = "tiznit-c" },
]

[[shards]]
name = "one"
first_snapshot = 42
replicas = [{ address = "127.0.0.1:9001", failure_domain = "agadir-a" }]
"""


def list_errors(old: str, new: str) -> list[str]:
    """Return the errors after replacing one text in the valid document."""
    assert old in VALID
    return str(parse_document(VALID.replace(old, new, 1)).unwrap_err()).split("\n")


class TestParseDocument(unittest.TestCase):
    """Guards against accepting an invalid document.

    For example, an upstream in two groups would get two owners, and overlapping
    snapshot ranges would make the choice of a shard ambiguous. The errors must name
    field and line, and must be reported all at once.
    """

    def test_one_upstream_in_two_groups_is_rejected(self):
        errors = list_errors("first_snapshot = 42", 'first_snapshot = 42\ngroup = "b"')
        self.assertEqual(len(errors), 1)
        self.assertIn("shards[1].group", errors[0])
        self.assertIn("127.0.0.1:9001", errors[0])

    def test_valid_document_round_trips(self):
        document = parse_document(VALID).unwrap()
        self.assertEqual(document.shards[0].replicas[1].address, "[::1]:9002")
        self.assertEqual(parse_document(render_document(document)).unwrap(), document)

    def test_empty_array_of_shards_round_trips(self):
        text = "shards = []\n" + VALID[: VALID.index("[[shards]]")]
        document = parse_document(text).unwrap()
        self.assertEqual(document.shards, ())
        self.assertEqual(parse_document(render_document(document)).unwrap(), document)

    def test_each_error_names_line_and_field(self):
        cases = [
            ("slots = 4", "slots = 81", "line 13: upstreams.slots", "connections"),
            ("cold_limit = 1", "cold_limit = 5", "line 15: upstreams.cold", "slots"),
            ("slots = 4", "slots = true", "line 13: upstreams.slots", "found true"),
            ("slots = 4", "slots = 4\nslot = 4", "line 14: upstreams.slot", "slots?"),
            ("connect_cost_ms = 6", "connect_cost_ms = nan", "line 16: ", "found nan"),
            ("_ms = 1000", "_ms = 100", "line 9: answer_within_ms", "deadline_ms"),
            ("schema = 1", "schema = 2", "line 1: schema", "from 1 to 1"),
            ("repeatable = true\n", "", "repeatable", "missing"),
            ('["agadir-a"]', '["agadir"]', "line 10: failure_domains", "agadir-a, ti"),
            ("= 41", "= 42", "line 28: shards[1].name", "shards[0] overlaps"),
            ('"[::1]:9002"', '"::1:9002"', "replicas[1].address", "ip:port"),
            ('"[::1]:9002"', '"h:80"', "line 23: shards[0].replicas[1].addr", "'h:80'"),
            ("[::1]:9002", "127.0.0.1:9001", "line 23: ", "each replica once"),
            ('{ address = "127', '{ port = 1, address = "127', "line 22: ", "unknown"),
            ('"tiznit-c"', '"Tiznit C"', "replicas[2].failure_domain", "lower-case"),
            ("version = 3", "version = ", "line 2: ", "invalid TOML"),
            ("[[shards]]", "[shards]", "", "TOML"),
            ("[upstreams]", "[" + "a." * 9_000, "line 12: ", "4096 characters in"),
        ]
        for old, new, location, detail in cases:
            errors = list_errors(old, new)
            self.assertEqual(len(errors), 1, errors)
            self.assertIn(location, errors[0])
            self.assertIn(detail, errors[0])

    def test_same_upstream_in_two_failure_domains_is_rejected(self):
        text = VALID.replace('9001", failure_domain = "agadir-a" }]', '9001", X }]')
        text = text.replace("X", 'failure_domain = "tiznit-c"')
        (error,) = parse_document(text).unwrap_err().errors
        self.assertEqual(error.place, "shards[1].replicas[0].failure_domain")

    def test_all_errors_are_reported_at_once(self):
        text = VALID.replace("= 3", '= "3"').replace("= 80", "= 0").replace("one", "O")
        field_paths = [
            error.place for error in parse_document(text).unwrap_err().errors
        ]
        expected = ["version", "upstreams.connections", "shards[0].name"]
        self.assertEqual(field_paths, [*expected, "shards[1].name"])

    def test_oversized_document_is_rejected(self):
        text = VALID + "#" * MAX_DOCUMENT_BYTES
        self.assertIn("at most 1000000 bytes", str(parse_document(text).unwrap_err()))


class TestParseDocumentFuzz(unittest.TestCase):
    """Guards against an exception from the parser.

    Any text can be stored in the configuration service; an exception would stop the
    task that reads the configuration.
    """

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(st.text(max_size=200))
    def test_any_text_gives_a_result(self, text):
        self.assertTrue(parse_document(text).is_err())

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(
        st.integers(0, len(VALID)),
        st.integers(0, 12),
        st.sampled_from(
            ["", "[", "{}", "=", '"', "'''", "1e999", "-1", "nan", "\n[[a.b]]\n", "\0"]
            + ["0x" + "f" * 5000, "9" * 5000, "[" * 3000, "1979-99-99", "\ud800", "é"]
        ),
    )
    def test_any_change_gives_a_result(self, start, length, inserted):
        result = parse_document(VALID[:start] + inserted + VALID[start + length :])
        if result.is_err():
            for error in result.unwrap_err().errors:
                self.assertEqual(str(error).count("\n"), 0)
