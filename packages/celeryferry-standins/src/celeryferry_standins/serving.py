"""Listeners for the stand-ins; each has a service address and a control address."""

import argparse
import asyncio
import contextlib
import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec
from aiohttp import web

# Listeners use another loopback address than outgoing connections, whose source address
# is 127.0.0.1. No outgoing connection can therefore occupy the port of a listener that
# restarts.
LISTEN_IP = "127.0.0.2"
ANY_PORT_ADDRESS = f"{LISTEN_IP}:0"
BACKLOG = 1024
KEEPALIVE_TIMEOUT_S = 3600.0

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    :param address: address as written in settings.
    :returns: IP address and port.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def json_response(value: Any, status: int = 200, **headers: str) -> web.Response:
    """Build a JSON response.

    :param value: anything that msgspec encodes.
    :param status: HTTP status.
    :param headers: headers, with underscores in place of hyphens.
    :returns: the response.
    """
    response_headers = {name.replace("_", "-"): text for name, text in headers.items()}
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
        headers=response_headers,
    )


class Listener:
    """One listening socket with an aiohttp low-level server.

    :param handler: handles each request.
    :param server: server to use; by default one that runs ``handler``.
    """

    def __init__(self, handler: RequestHandler, server: web.Server | None = None):
        self._server = server or web.Server(
            handler, handler_cancellation=True, keepalive_timeout=KEEPALIVE_TIMEOUT_S
        )
        self._asyncio_server: asyncio.Server | None = None
        self.address = ANY_PORT_ADDRESS

    async def open(self, address: str = ANY_PORT_ADDRESS) -> str:
        """Listen on an address.

        :param address: ``ip:port``; port 0 lets the kernel choose.
        :returns: the address with the actual port.
        """
        ip, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._asyncio_server = await loop.create_server(
            self._server, ip, port, backlog=BACKLOG
        )
        ip, port = self._asyncio_server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"
        return self.address

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._asyncio_server is not None:
            self._asyncio_server.close()
            self._asyncio_server = None
        await self.drop_connections()

    async def drop_connections(self) -> None:
        """Abort every open connection without sending a response."""
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(0)


class ControlledService:
    """A stand-in service with a listener for readers and one for control requests.

    :param handle: handles each request of a reader.
    :param handle_control: handles each control request.
    """

    def __init__(self, handle: RequestHandler, handle_control: RequestHandler):
        self._listener = Listener(handle)
        self._control = Listener(handle_control)

    async def open(self, address: str = ANY_PORT_ADDRESS) -> dict[str, str]:
        """Open both listeners.

        :param address: address for readers.
        :returns: the actual addresses as ``address`` and ``control_address``.
        """
        return {
            "address": await self._listener.open(address),
            "control_address": await self._control.open(),
        }

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self._listener.close()
        await self._control.close()


def write_ready_file(path: Path, content: Any) -> None:
    """Write the addresses of a started process for its launcher.

    The file appears in one step, so that the launcher never reads a part of it.

    :param path: file to write.
    :param content: anything that msgspec encodes.
    """
    partial = path.with_suffix(".partial")
    partial.write_bytes(msgspec.json.encode(content))
    os.replace(partial, path)


async def wait_for_termination() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def run_until_stopped(main: Awaitable[None]) -> None:
    """Run the main coroutine of a stand-in process.

    :param main: coroutine that ends when the process has to stop.
    """
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main)


class Standin(Protocol):
    """A stand-in that runs in a process of its own."""

    async def open(self, address: str) -> dict[str, str]:
        """Open the listeners and return their addresses."""

    async def close(self) -> None:
        """Close the listeners."""


def serve_standin(make_standin: Callable[[], Standin], description: str | None) -> None:
    """Parse the command line and serve a stand-in until the process is stopped.

    :param make_standin: builds the stand-in.
    :param description: text for the help.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "--address", default=ANY_PORT_ADDRESS, help="address for readers"
    )
    parser.add_argument(
        "--ready", type=Path, required=True, help="file to write once open"
    )
    arguments = parser.parse_args()

    async def run() -> None:
        standin = make_standin()
        write_ready_file(arguments.ready, await standin.open(arguments.address))
        await wait_for_termination()
        await standin.close()

    run_until_stopped(run())
