"""Test daemon: the product with mechanisms left out and traffic that can be cut."""

import argparse
import asyncio
import sys
from contextlib import closing
from dataclasses import fields, replace
from pathlib import Path

import msgspec
from aiohttp import web
from result import Err, Ok

from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.settings import DaemonSettings
from celeryferry_core.settings import load_settings
from celeryferry_daemon._internal.app import Daemon
from celeryferry_daemon._internal.logs import make_handler
from celeryferry_daemon._internal.peers.client import HttpPeerClient
from celeryferry_daemon._internal.process import EXIT_BAD_SETTINGS, EXIT_FAILED
from celeryferry_standins.cuts import CutPeerClient, Cuts, Relay
from celeryferry_standins.serving import ANY_PORT_ADDRESS, Listener, json_response


def make_mechanisms(without: str) -> Mechanisms:
    """Switch mechanisms off.

    :param without: names separated by commas; empty for none.
    :returns: the switches.
    :raises ValueError: a name is not a mechanism.
    """
    names = {name for name in without.split(",") if name}
    known = {field.name for field in fields(Mechanisms)}
    if names - known:
        unknown, allowed = sorted(names - known), sorted(known)
        raise ValueError(f"unknown mechanisms {unknown}; use some of {allowed}")
    return Mechanisms(**dict.fromkeys(names, False))


class FaultyDaemon:
    """A daemon whose outgoing traffic passes through cuts.

    :param settings: checked settings.
    :param mechanisms: switches.
    """

    def __init__(self, settings: DaemonSettings, mechanisms: Mechanisms):
        self._settings = settings
        self._mechanisms = mechanisms
        self._cuts = Cuts()
        self._control = Listener(self._handle)
        self._relays = (
            Relay(
                settings.configuration_service,
                lambda: self._cuts.configuration_service,
            ),
            Relay(settings.host_list, lambda: self._cuts.host_list),
        )

    async def run(self, control_address: str) -> None:
        """Run until a planned stop is finished.

        :param control_address: address for control requests.
        """
        await self._control.open(control_address)
        services = [await relay.open() for relay in self._relays]
        settings = replace(
            self._settings, configuration_service=services[0], host_list=services[1]
        )
        inner = HttpPeerClient(settings.fleet_token)
        await inner.start()
        try:
            peers = CutPeerClient(inner, self._cuts)
            await Daemon(settings, mechanisms=self._mechanisms, peers=peers).run()
        finally:
            await inner.close()
            for relay in self._relays:
                await relay.close()
            await self._control.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if (request.method, request.path) != ("POST", "/control"):
            return json_response({"error": "not found"}, 404)
        try:
            self._cuts.apply(msgspec.json.decode(await request.read(), type=dict))
        except msgspec.MsgspecError as error:
            return json_response({"error": str(error)}, 400)
        for relay in self._relays:
            relay.drop_if_cut()
        return json_response(self._cuts)


async def run(
    settings: DaemonSettings, mechanisms: Mechanisms, control_address: str
) -> None:
    """Run a test daemon until a planned stop is finished.

    :param settings: checked settings.
    :param mechanisms: switches.
    :param control_address: address for control requests.
    """
    await FaultyDaemon(settings, mechanisms).run(control_address)


def main() -> int:
    """Parse the command line and run.

    :returns: exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    parser.add_argument("--control", default=ANY_PORT_ADDRESS)
    parser.add_argument("--without", default="")
    arguments = parser.parse_args()
    mechanisms = make_mechanisms(arguments.without)
    match load_settings(arguments.settings):
        case Err(errors):
            print(*errors.errors, sep="\n", file=sys.stderr)
            return EXIT_BAD_SETTINGS
        case Ok(settings):
            handler = make_handler(settings.log_level)
            with closing(handler), handler.applicationbound():
                asyncio.run(run(settings, mechanisms, arguments.control))
            return 0
    return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
