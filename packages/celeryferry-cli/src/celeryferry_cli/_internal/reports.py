"""Results of commands, and how they are printed."""

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
    :param lines: lines of the text output.
    :param record: value of the JSON output.
    """

    code: ExitCode
    lines: tuple[str, ...]
    record: Any


@dataclass(frozen=True, slots=True)
class Invocation:
    """A command with its parsed arguments that has not started yet.

    Fire reports unknown arguments only after it has called the command, so a command
    returns an invocation and nothing runs before Fire has returned.

    :param start: coroutine function that runs the command.
    :param as_json: whether to print JSON instead of text.
    :param interrupted_code: exit code if the command is interrupted from the keyboard.
    """

    start: Callable[[], Awaitable[Report]]
    as_json: bool = False
    interrupted_code: ExitCode = ExitCode.FAILED

    def __dir__(self) -> tuple[str, ...]:
        # Fire looks up a surplus argument among the members listed here. With the
        # argument "start" it would run the command and then report wrong usage.
        return ()


def print_report(report: Report, as_json: bool) -> None:
    """Print a report.

    The text output of a failed command goes to standard error. JSON and all other text
    go to standard output.

    :param as_json: True to print one JSON value instead of text.
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
        # The reader of the pipe, such as ``head``, has exited. The stream is redirected
        # to the null device, because the interpreter flushes it again on exit.
        devnull = os.open(os.devnull, os.O_WRONLY)
        os.dup2(devnull, stream.fileno())
        os.close(devnull)
