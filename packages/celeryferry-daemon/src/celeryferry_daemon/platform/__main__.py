"""Entry point of the daemon ``celeryferryd`` on the users' platform."""

import asyncio
import sys

from result import Err, Ok

from celeryferry_daemon._internal.forwarding.app import ForwardingDaemon
from celeryferry_daemon._internal.forwarding.settings import ForwardingSettings
from celeryferry_daemon._internal.process import (
    EXIT_BAD_SETTINGS,
    EXIT_OK,
    configure_garbage_collector,
)
from celeryferry_daemon.platform import wire
from celeryferry_daemon.platform.boot import load_settings
from celeryferry_daemon.platform.sources import StoreSource
from celeryferry_daemon.platform.store import StoreClient


async def serve(settings: ForwardingSettings) -> None:
    """Run the daemon until a signal stops it."""
    client = StoreClient(settings.store_address, settings.contact_time)
    try:
        await ForwardingDaemon(
            settings, [StoreSource(client)], wire, load_settings
        ).run()
    finally:
        await client.close()


def main() -> int:
    """Read the platform's settings and run the daemon.

    :returns: exit code of the process.
    """
    match load_settings():
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        case Ok(settings):
            configure_garbage_collector()
            asyncio.run(serve(settings))
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
