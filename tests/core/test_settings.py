"""Tests of the daemon settings."""

import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryferry_core.settings import load_settings

TOKEN = "0123456789abcdef"
VALID = """\
host_id = "agadir-a-1"
failure_domain = "agadir-a"
callers_address = "127.0.0.1:7001"
peers_address = "127.0.0.1:7101"
fleet_token_file = "token"
configuration_service = "127.0.0.1:6001"
host_list = "127.0.0.1:6002"

[limits]
waiting_requests = 64
"""


class SettingsCase(unittest.TestCase):
    """Base class with a temporary folder for the settings and the token."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "token").write_text(TOKEN + "\n")

    def load(self, content: bytes):
        """Load settings from a file with the given content."""
        path = self.folder / "settings.toml"
        path.write_bytes(content)
        return load_settings(path)


class TestLoadSettings(SettingsCase):
    """Guards against a daemon that starts with unintended settings.

    Misspelled fields and invalid values must be errors, not silently ignored.
    """

    def test_valid_settings_are_read(self):
        loaded = self.load(VALID.encode()).unwrap()
        self.assertEqual(loaded.fleet_token, TOKEN)
        self.assertEqual(loaded.limits.waiting_requests, 64)
        self.assertEqual(loaded.limits.body_bytes, 65_536)

    def test_each_error_names_line_and_field(self):
        cases = [
            ("= 64", "= 0", "line 10: limits.waiting_requests: found 0"),
            ("waiting_", "waitin_", "did you mean waiting_requests?"),
            ('"token"', '"tokens"', "line 5: fleet_token_file: found tokens: no such"),
            ('"token"', "5", "line 5: fleet_token_file: found 5"),
            ("7101", "7001", "line 4: peers_address"),
            ("127.0.0.1:6002", "localhost:6002", "line 7: host_list"),
            ("[limits]", "[log]\nlevel = 'loud'\n[limits]", "line 10: log.level"),
        ]
        for old, new, expected in cases:
            errors = self.load(VALID.replace(old, new, 1).encode()).unwrap_err()
            self.assertEqual(len(errors.errors), 1, str(errors))
            self.assertIn(expected, str(errors))

    def test_short_token_is_rejected_and_not_shown(self):
        (self.folder / "token").write_text(TOKEN[:15])
        error = str(self.load(VALID.encode()).unwrap_err())
        self.assertIn("a token of 15 characters", error)
        self.assertNotIn(TOKEN[:15], error)

    def test_missing_file_is_an_error_value(self):
        self.assertTrue(load_settings(self.folder / "none.toml").is_err())


class TestLoadSettingsFuzz(SettingsCase):
    """Guards against an exception at the start of the daemon.

    A traceback would hide from the operator which setting is wrong.
    """

    def test_any_change_gives_a_result(self):
        @settings(max_examples=200, derandomize=True, deadline=None, database=None)
        @given(st.integers(0, len(VALID)), st.integers(0, 9), st.binary(max_size=20))
        def check(start, length, inserted):
            source = VALID.encode()
            result = self.load(source[:start] + inserted + source[start + length :])
            self.assertTrue(result.is_ok() or result.unwrap_err().errors)

        check()
