"""Base class of the command tests."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from celeryferry_cli._internal.command_line import run
from tests.cli.fake_daemon import FakeDaemon

CLOSED_ADDRESS = "127.0.0.1:1"
TOKEN = "0123456789abcdef"
SEARCH_ANSWER = {
    "query_id": "q1",
    "application": "a",
    "snapshot": 41,
    "hits": [{"id": "r1", "score": 2.0, "record": {"x": 1}}],
    "covered": [{"service": "s1", "shard": "s1"}],
    "not_covered": [],
    "complete": True,
    "elapsed_ms": 1.5,
}


class CommandTestCase(unittest.TestCase):
    """Runs commands in this process, captures their output and starts fake daemons."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.token_file = self.folder / "token"
        self.token_file.write_text(TOKEN)

    def start_fake_daemon(self, **answers) -> FakeDaemon:
        """Start a fake daemon; each keyword is a path with ``_`` in place of ``/``."""
        daemon = FakeDaemon()
        self.addCleanup(daemon.close)
        daemon.answers.update(
            {"/" + name.replace("_", "/"): answer for name, answer in answers.items()}
        )
        return daemon

    def run_command(self, *words: str) -> tuple[int, str]:
        """Run a command; return its exit code, and standard output and error as one."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = run(words)
        return code, output.getvalue()

    def run_operator_command(self, *words: str) -> tuple[int, str]:
        """Run a command with the token file that operator commands need."""
        return self.run_command(*words, "--token-file", str(self.token_file))
