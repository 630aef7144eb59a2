"""What a command found, as text or JSON, with an exit code."""

import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgspec


class ExitCode(IntEnum):
    """Exit codes of the command-line tool."""

    OK = 0
    FAILED = 1
    INVALID = 2
    INCOMPLETE = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a command.

    :param code: exit code.
    :param lines: text for people.
    :param record: value for programs, printed as JSON.
    """

    code: ExitCode
    lines: tuple[str, ...]
    record: Any


@dataclass(frozen=True, slots=True)
class Invocation:
    """A command with its arguments, not started yet.

    Fire reports words that it cannot use only after it has called the command, so
    nothing may run before Fire has returned.

    :param start: runs the command.
    :param as_json: whether to print JSON.
    :param interrupted_code: exit code after an interrupt from the keyboard.
    """

    start: Callable[[], Awaitable[Report]]
    as_json: bool = False
    interrupted_code: ExitCode = ExitCode.FAILED

    def __dir__(self) -> tuple[str, ...]:
        # Fire takes a further word of the command line for a member listed here, and
        # would run the command for the word "start" and then report wrong usage.
        return ()


def print_report(report: Report, as_json: bool) -> None:
    """Print a report.

    Text about failures goes to standard error, everything else to standard output.

    :param report: the report.
    :param as_json: True for one JSON value instead of text.
    """
    is_answer = report.code in (ExitCode.OK, ExitCode.INCOMPLETE)
    stream = sys.stdout if as_json or is_answer else sys.stderr
    lines = report.lines
    if as_json:
        lines = (msgspec.json.format(msgspec.json.encode(report.record)).decode(),)
    try:
        for line in lines:
            print(line, file=stream)
        stream.flush()
    except BrokenPipeError:
        # The reader, such as ``head``, has ended; the rest goes nowhere, also when
        # the interpreter flushes the stream at its end.
        devnull = os.open(os.devnull, os.O_WRONLY)
        os.dup2(devnull, stream.fileno())
        os.close(devnull)
