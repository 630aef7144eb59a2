"""Test daemon: the daemon with mechanisms switched off and network faults."""

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
from celeryferry_standins.network_faults import (
    NetworkFaults,
    PartitionedPeerClient,
    TcpProxy,
)
from celeryferry_standins.serving import ANY_PORT_ADDRESS, Listener, json_response


def make_mechanisms(without: str) -> Mechanisms:
    """Return the mechanisms with some of them switched off.

    :param without: names to switch off, separated by commas; empty for none.
    :raises ValueError: a name is not a mechanism.
    """
    names = {name for name in without.split(",") if name}
    known_names = {field.name for field in fields(Mechanisms)}
    if names - known_names:
        unknown, allowed = sorted(names - known_names), sorted(known_names)
        raise ValueError(f"unknown mechanisms {unknown}; use some of {allowed}")
    return Mechanisms(**dict.fromkeys(names, False))


class FaultyDaemon:
    """A daemon with network faults in its outgoing traffic.

    :param settings: checked settings.
    :param mechanisms: switches.
    """

    def __init__(self, settings: DaemonSettings, mechanisms: Mechanisms):
        self._settings = settings
        self._mechanisms = mechanisms
        self._faults = NetworkFaults()
        self._control = Listener(self._handle)
        self._proxies = (
            TcpProxy(
                settings.configuration_service,
                lambda: self._faults.configuration_service,
            ),
            TcpProxy(settings.host_list, lambda: self._faults.host_list),
        )

    async def run(self, control_address: str) -> None:
        """Run until a planned shutdown has finished.

        :param control_address: address for control requests.
        """
        await self._control.open(control_address)
        proxy_addresses = [await proxy.open() for proxy in self._proxies]
        settings = replace(
            self._settings,
            configuration_service=proxy_addresses[0],
            host_list=proxy_addresses[1],
        )
        client = HttpPeerClient(settings.fleet_token)
        await client.start()
        try:
            peers = PartitionedPeerClient(client, self._faults)
            await Daemon(settings, mechanisms=self._mechanisms, peers=peers).run()
        finally:
            await client.close()
            for proxy in self._proxies:
                await proxy.close()
            await self._control.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if (request.method, request.path) != ("POST", "/control"):
            return json_response({"error": "not found"}, 404)
        try:
            self._faults.apply(msgspec.json.decode(await request.read(), type=dict))
        except msgspec.MsgspecError as error:
            return json_response({"error": str(error)}, 400)
        for proxy in self._proxies:
            proxy.drop_if_unreachable()
        return json_response(self._faults)


async def run(
    settings: DaemonSettings, mechanisms: Mechanisms, control_address: str
) -> None:
    """Run a test daemon until a planned shutdown has finished.

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
