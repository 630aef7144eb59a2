"""Command line of ``celeryferryd``."""

import asyncio
import sys
from contextlib import closing
from pathlib import Path

import fire
from result import Err, Ok

from celeryferry_core.models.settings import DaemonSettings
from celeryferry_core.settings import load_settings
from celeryferry_daemon._internal.app import Daemon
from celeryferry_daemon._internal.logs import make_handler
from celeryferry_daemon._internal.process import (
    EXIT_BAD_SETTINGS,
    EXIT_FAILED,
    EXIT_OK,
    configure_garbage_collector,
)


def serve(settings: str) -> int:
    """Run the daemon until SIGTERM, SIGINT or a drain request stops it.

    :param settings: path of the settings file.
    :returns: exit code.
    """
    match load_settings(Path(settings)):
        case Err(errors):
            for error in errors.errors:
                print(error, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        case Ok(loaded):
            return _serve(loaded)
    return EXIT_FAILED


def run() -> int:
    """Run the command line and return the exit code of the process."""
    return fire.Fire(serve, name="celeryferryd", serialize=lambda _: None)


def _serve(settings: DaemonSettings) -> int:
    async def run_daemon() -> None:
        await Daemon(settings).run()

    handler = make_handler(settings.log_level)
    with closing(handler), handler.applicationbound():
        configure_garbage_collector()
        try:
            asyncio.run(run_daemon())
        except OSError as error:
            print(
                f"cannot listen: {error}; correct callers_address or peers_address, "
                "or stop the process that uses the address",
                file=sys.stderr,
            )
            return EXIT_FAILED
    return EXIT_OK
