"""Parses the command line, runs the command and prints its report."""

import asyncio
import contextlib
import difflib
import io
import os
import re
import sys
from collections.abc import Sequence

import fire

from celeryferry_cli._internal.commands.check import check
from celeryferry_cli._internal.commands.drain import drain
from celeryferry_cli._internal.commands.entry_hosts import entry_hosts
from celeryferry_cli._internal.commands.explain import explain
from celeryferry_cli._internal.commands.run_once import run_once
from celeryferry_cli._internal.commands.search import search
from celeryferry_cli._internal.commands.status import status
from celeryferry_cli._internal.reports import ExitCode, Invocation, print_report

COMMANDS = {
    "check": check,
    "entry-hosts": entry_hosts,
    "search": search,
    "run-once": run_once,
    "status": status,
    "explain": explain,
    "drain": drain,
}

HELP = """\
celeryferry: command-line tool of operators and callers

usage: celeryferry COMMAND [ARGUMENTS] [--json]

For operators:
  check FILE...                 check service documents before they are stored
  status                        state of the whole fleet
  explain APPLICATION           how queries of an application are routed now
  explain ID --log FILE         what happened to a request, from the hosts' logs
  drain                         begin the planned stop of one host

status, explain and drain need --host IP:PORT of a peer listener and
--token-file FILE with the fleet token.

For callers:
  entry-hosts APPLICATION       entry hosts to connect to
  search APPLICATION QUERY      search all shards of an application
  run-once APPLICATION REQUEST  run a request at most once

These need --host IP:PORT of a listener for callers; several are separated by
commas, and the next one is tried if a host gives no answer.

celeryferry COMMAND --help describes the arguments of a command.
--json prints JSON for programs instead of text.

Exit codes: 0 ok, 1 failed, 2 wrong usage or invalid input,
            3 incomplete coverage, 4 outcome unknown.
"""


def run(arguments: Sequence[str]) -> int:
    """Run one command.

    :param arguments: arguments of the command line without the program's name.
    :returns: exit code of the process.
    """
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(HELP, end="")
        return ExitCode.OK
    if arguments[0] not in COMMANDS:
        print(_describe_unknown_command(arguments[0]), file=sys.stderr)
        return ExitCode.INVALID
    # Without this, Fire starts a pager program for long help texts.
    os.environ["PAGER"] = "-"
    fire_output = io.StringIO()
    try:
        with contextlib.redirect_stderr(fire_output):
            invocation = fire.Fire(
                COMMANDS,
                list(arguments),
                name="celeryferry",
                serialize=_hide_invocation,
            )
    except fire.core.FireExit as fire_exit:
        return _print_fire_exit(arguments[0], fire_exit, fire_output.getvalue())
    return _execute(invocation)


def _describe_unknown_command(name: str) -> str:
    similar = difflib.get_close_matches(name, COMMANDS, n=1)
    hint = f"; did you mean {similar[0]!r}?" if similar else "."
    return (
        f"unknown command {name!r}{hint} "
        f"The commands are {', '.join(COMMANDS)}. The command comes first; "
        "celeryferry --help describes them."
    )


def _print_fire_exit(name: str, fire_exit: fire.core.FireExit, fire_output: str) -> int:
    """Print the help text or the usage error with which Fire stopped.

    :param name: name of the command.
    :param fire_exit: exception that Fire raised.
    :param fire_output: text that Fire wrote to standard error.
    :returns: exit code of the process.
    """
    if isinstance(fire_exit.trace.GetResult(), Invocation):
        # Fire would describe the fields of ``Invocation`` instead of the command.
        if not fire_exit.code:
            return run([name, "--help"])
        argument = fire_exit.trace.elements[-1].ErrorAsStr().rpartition("arg: ")[2]
        print(
            f"{argument!r} is not an argument of 'celeryferry {name}'; see "
            f"'celeryferry {name} --help'. Put quotes around a value with spaces.",
            file=sys.stderr,
        )
        return ExitCode.INVALID
    # Fire writes options with underscores; all other texts write them with hyphens.
    fire_output = re.sub(
        r"--[a-z_]+", lambda match: match[0].replace("_", "-"), fire_output
    )
    fire_output = re.sub(r"INFO: Showing help.*\n+", "", fire_output)
    print(fire_output, end="", file=sys.stderr if fire_exit.code else sys.stdout)
    return ExitCode.INVALID if fire_exit.code else ExitCode.OK


def _execute(invocation: Invocation) -> int:
    try:
        report = asyncio.run(invocation.start())
    except KeyboardInterrupt:
        print("interrupted")
        return invocation.interrupted_code
    print_report(report, invocation.as_json)
    return report.code


def _hide_invocation(result: object) -> object:
    return None if isinstance(result, Invocation) else result
