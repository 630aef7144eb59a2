"""Messages of libraries in the structured log."""

import contextlib
import logging
import traceback
from collections.abc import Iterator
from pathlib import PurePath

from celeryferry_daemon._internal.forwarding.log_lines import LogWriter

MAX_TEXT_LENGTH = 500


class LibraryMessageHandler(logging.Handler):
    """Writes each message of a library as one bounded line.

    Without a handler, messages and tracebacks go to standard error, and a reader of it
    that stands still blocks the process.

    :param log: receives the lines, within its rate limit.
    """

    def __init__(self, log: LogWriter) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write a message."""
        try:
            message = record.getMessage()
        except (TypeError, ValueError):
            # The arguments do not fit the text.
            message = str(record.msg)
        fields = {"message": shorten_text(message)}
        error = record.exc_info[1] if record.exc_info else None
        if error is not None:
            fields["error"] = shorten_text(f"{type(error).__name__}: {error}")
            frames = traceback.extract_tb(error.__traceback__)
            if frames:
                last = frames[-1]
                file_name = PurePath(last.filename).name
                fields["place"] = f"{file_name}:{last.lineno} {last.name}"
        self._log.write_request(
            "library_message",
            True,
            logger=record.name,
            level=record.levelname.lower(),
            **fields,
        )


def shorten_text(text: str) -> str:
    """Return a text that fits into a line and that UTF-8 can encode."""
    return text[:MAX_TEXT_LENGTH].encode("utf-8", "backslashreplace").decode()


@contextlib.contextmanager
def log_library_messages(log: LogWriter) -> Iterator[None]:
    """Write messages of libraries to the log in place of standard error."""
    handler = LibraryMessageHandler(log)
    root = logging.getLogger()
    root.addHandler(handler)
    try:
        yield
    finally:
        root.removeHandler(handler)
