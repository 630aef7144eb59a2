"""Log of the daemon on standard error."""

import asyncio

import logbook

from celeryferry_core.decisions.base import Decision


def format_line(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    """Return the line of a record, with its traceback if there is one.

    Filling a format string through the attributes of the record takes longer.

    :param record: the record, with its time in UTC.
    :returns: time, level and message.
    """
    time = record.time.isoformat(timespec="microseconds")
    line = f"{time}Z {record.level_name} {record.message}"
    trace = record.formatted_exception
    return f"{line}\n{trace}" if trace else line


class LineHandler(logbook.StderrHandler):
    """Writes lines to standard error, those of one step of the event loop at once.

    A query logs a decision for each shard, and a write for each of them costs a system
    call. Lines are formatted as they come and keep their order.

    :param level: lowest level that is written.
    """

    def __init__(self, level: str) -> None:
        super().__init__(level=level)
        self.formatter = format_line
        self._lines: list[str] = []

    def emit(self, record: logbook.LogRecord) -> None:
        """Take over a record.

        :param record: the record.
        """
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
        # A warning may be the last line before a crash.
        if loop is None or record.level >= logbook.WARNING:
            self.flush()
        else:
            loop.call_soon(self.flush)

    def flush(self) -> None:
        """Write all lines that were taken over."""
        with self.lock:
            lines, self._lines = self._lines, []
            if lines:
                self.stream.write("\n".join(lines) + "\n")
                self.stream.flush()


def make_handler(level: str) -> LineHandler:
    """Return a handler that writes to standard error.

    :param level: lowest level that is written, such as ``info``.
    :returns: the handler, to be pushed by the command and closed at its end.
    """
    return LineHandler(level.upper())


class LogbookDecisionLog:
    """Writes every decision to Logbook at level ``info``.

    The line is only built if its level is written, because building it costs more
    than the decision. Operators who need the processor time set a higher level.

    :param level: lowest level that is written.
    """

    __slots__ = ("_is_written", "_logger")

    def __init__(self, level: str) -> None:
        self._logger = logbook.Logger("celeryferry")
        self._is_written = logbook.lookup_level(level.upper()) <= logbook.INFO

    def record(self, decision: Decision) -> None:
        """Write one decision.

        :param decision: the decision.
        """
        if self._is_written:
            self._logger.info(decision.to_line())
