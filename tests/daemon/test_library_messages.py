"""Tests of what is logged about requests that can't be read."""

import asyncio
import io
import json
import logging
import unittest
from contextlib import redirect_stderr

from celeryferry_core.addresses import split_address
from celeryferry_daemon._internal.forwarding.library_messages import (
    MAX_TEXT_LENGTH,
    LibraryMessageHandler,
    log_library_messages,
)
from tests.daemon.daemon_case import DaemonCase
from tests.daemon.test_forwarding_sources import RecordingLog

TEST_TIMEOUT_S = 10.0


class TestUnreadableRequests(DaemonCase):
    """Guards against a daemon that waits for the reader of its standard error.

    Each malformed request used to write a traceback there, outside the rate limit of
    the log, and no line on standard output.
    """

    async def ask(self, address: str, data: bytes) -> int:
        """Send bytes on a new connection and return the status of the response."""
        reader, writer = await asyncio.open_connection(*split_address(address))
        self.addCleanup(writer.close)
        writer.write(data)
        line = await asyncio.wait_for(reader.readline(), TEST_TIMEOUT_S)
        return int(line.split()[1])

    def list_rejections(self) -> list[dict]:
        """Return the fields of the log lines about rejected requests."""
        return [fields for name, fields in self.log.lines if name == "request_rejected"]

    def count_http_messages(self) -> int:
        """Return the number of log lines from the HTTP library.

        In tests, asyncio logs each slow step, too.
        """
        return sum(
            name == "library_message" and fields["logger"].startswith("aiohttp")
            for name, fields in self.log.lines
        )

    async def test_callers_are_counted_and_logged(self):
        """Guards against refusals that operators can't see."""
        cases = (
            (b"no head\r\n\r\n", 400, "malformed"),
            (b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, "malformed"),
            (b"GET / HTTP/1.1\r\nA: " + b"a" * 100_000, 431, "head_too_large"),
        )
        metrics = self.daemon._callers._metrics._rejections
        for data, status, reason in cases:
            with self.subTest(data=data[:30]), redirect_stderr(io.StringIO()) as stderr:
                self.log.lines.clear()
                before = metrics.values.get({"reason": reason}) or 0
                self.assertEqual(await self.ask(self.address, data), status)
                (line,) = self.list_rejections()
                self.assertEqual(line["outcome"], f"rejected_{reason}")
                self.assertLessEqual(len(line["reason"]), MAX_TEXT_LENGTH)
                self.assertEqual(metrics.get({"reason": reason}), before + 1)
                self.assertEqual(self.count_http_messages(), 0)
                self.assertEqual(stderr.getvalue(), "")

    async def test_other_listeners_log_a_line(self):
        """Guards against tracebacks of the listeners without limits."""
        others = [
            runner
            for runner in self.daemon._runners
            if runner.server is not self.daemon._callers_server
        ]
        self.assertEqual(len(others), 3)
        for runner in others:
            address = "{}:{}".format(*runner.addresses[0][:2])
            with self.subTest(address), redirect_stderr(io.StringIO()) as stderr:
                self.log.lines.clear()
                data = b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n"
                self.assertEqual(await self.ask(address, data), 400)
                self.assertEqual(self.count_http_messages(), 1)
                self.assertEqual(stderr.getvalue(), "")


class TestLibraryMessages(unittest.TestCase):
    """Guards against lines that are endless or that can't be written."""

    def write(self, text: str, *arguments, error: Exception | None = None) -> dict:
        """Log a message and return the fields of its line."""
        log = RecordingLog()
        with log_library_messages(log):
            logging.getLogger("some.library").warning(text, *arguments, exc_info=error)
        ((event, fields),) = log.lines
        self.assertEqual(event, "library_message")
        json.dumps(fields).encode()
        return fields

    def test_texts_are_bounded(self):
        """Guards against a caller who decides how long a line is."""
        fields = self.write("a" * 10_000, error=ValueError("b" * 10_000))
        self.assertEqual(fields["message"], "a" * MAX_TEXT_LENGTH)
        self.assertLessEqual(len(fields["error"]), MAX_TEXT_LENGTH)

    def test_place_of_an_error_is_stated(self):
        """Guards against a fault that nobody finds without its traceback."""
        try:
            raise RuntimeError("seen")
        except RuntimeError as error:
            fields = self.write("message %d", 1, error=error)
        self.assertEqual(fields["message"], "message 1")
        self.assertEqual(fields["error"], "RuntimeError: seen")
        self.assertRegex(fields["place"], r"^test_library_messages\.py:\d+ test_place")

    def test_texts_that_do_not_fit_are_written(self):
        """Guards against an error while an error is logged."""
        self.assertEqual(self.write("%d", "x")["message"], "%d")
        self.assertEqual(self.write("\udcff")["message"], "\\udcff")

    def test_rate_is_limited(self):
        """Guards against a surge of messages that takes the processor."""
        log = RecordingLog()
        handler = LibraryMessageHandler(log)
        record = logging.makeLogRecord({"msg": "again"})
        for _ in range(1_000):
            handler.handle(record)
        self.assertLess(len(log.lines), 500)
        self.assertGreater(log.suppressed_count, 500)
