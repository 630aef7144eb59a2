"""Writes the log of the daemon to standard error."""

import asyncio

import logbook

from celeryferry_core.decisions.base import Decision


def format_line(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    """Return time, level and message of a record, and its traceback if it has one.

    Logbook's own formatter fills a format string from the attributes of the record,
    which takes longer.

    :param record: record whose time is in UTC.
    """
    time = record.time.isoformat(timespec="microseconds")
    line = f"{time}Z {record.level_name} {record.message}"
    traceback = record.formatted_exception
    return f"{line}\n{traceback}" if traceback else line


class LineHandler(logbook.StderrHandler):
    """Writes the lines of one iteration of the event loop to standard error together.

    A query logs a decision for each shard, and each separate write would cost a system
    call. Lines are formatted when they are logged and are written in that order.
    Lines from ``WARNING`` upwards are written at once, with all buffered lines. Lines
    logged outside the event loop are also written at once, unless lines are already
    buffered; they are then written with those.

    :param level: lowest level that is written.
    """

    def __init__(self, level: str) -> None:
        super().__init__(level=level)
        self.formatter = format_line
        self._lines: list[str] = []

    def emit(self, record: logbook.LogRecord) -> None:
        """Format a record, and write it now or in the next iteration of the loop."""
        line = self.format(record)
        with self.lock:
            self._lines.append(line)
            is_first = len(self._lines) == 1
        if not is_first and record.level < logbook.WARNING:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            loop = None
        # A warning is written at once, because it may be the last line before a crash.
        if loop is None or record.level >= logbook.WARNING:
            self.flush()
        else:
            loop.call_soon(self.flush)

    def flush(self) -> None:
        """Write all buffered lines."""
        with self.lock:
            lines, self._lines = self._lines, []
            if lines:
                self.stream.write("\n".join(lines) + "\n")
                self.stream.flush()


def make_handler(level: str) -> LineHandler:
    """Return a handler that writes to standard error.

    The caller pushes the handler, and closes it at the end.

    :param level: name of the lowest level that is written, such as ``info``.
    """
    return LineHandler(level.upper())


class LogbookDecisionLog:
    """Writes every decision to Logbook at level ``info``.

    A line is built only if its level is written, because building it costs more
    processor time than making the decision. Operators can save that time with a higher
    level.

    :param level: name of the lowest level that is written.
    """

    __slots__ = ("_is_written", "_logger")

    def __init__(self, level: str) -> None:
        self._logger = logbook.Logger("celeryferry")
        self._is_written = logbook.lookup_level(level.upper()) <= logbook.INFO

    def record(self, decision: Decision) -> None:
        """Write a decision, unless the level of the log is above ``info``."""
        if self._is_written:
            self._logger.info(decision.to_line())
