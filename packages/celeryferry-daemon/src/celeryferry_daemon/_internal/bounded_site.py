"""Listening socket with bounds on connections and request heads."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from weakref import WeakSet

from aiohttp import web

from celeryferry_daemon._internal.request_heads import (
    CHECKS_PER_TIMEOUT,
    HeadTimeoutHandler,
)

BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class ListenerBounds:
    """Bounds of one listener.

    :param max_connections: largest number of open connections.
    :param head_timeout: time for a complete request head.
    :param options: options of aiohttp's connection handler.
    :param times_first_head: whether the time of the first head counts from the
        opening of the connection; otherwise it counts from the first byte.
    """

    max_connections: int
    head_timeout: timedelta
    options: Mapping[str, Any]
    times_first_head: bool = True


class _ClosingProtocol(asyncio.Protocol):
    """Closes a connection that exceeds the bound."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.abort()


class BoundedSite(web.BaseSite):
    """Listens at an address and bounds what is open there.

    :param runner: runner of the application or server.
    :param ip: IP address.
    :param port: port.
    :param read_bounds: returns the bounds for the next connection.
    """

    def __init__(
        self,
        runner: web.BaseRunner,
        ip: str,
        port: int,
        read_bounds: Callable[[], ListenerBounds],
    ) -> None:
        super().__init__(runner, backlog=BACKLOG)
        self._address = ip, port
        self._read_bounds = read_bounds
        self._timer: asyncio.TimerHandle | None = None
        # The event loop accepts up to BACKLOG connections before the server knows one
        # of them. Weak, because a connection may fail before it is established.
        self._connecting: WeakSet[HeadTimeoutHandler] = WeakSet()

    @property
    def name(self) -> str:
        """URL of the listener."""
        ip, port = self._address
        return f"http://{ip}:{port}"

    async def start(self) -> None:
        """Listen."""
        await super().start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, *self._address, backlog=BACKLOG
        )
        self._schedule_check()

    async def stop(self) -> None:
        """Stop listening."""
        if self._timer is not None:
            self._timer.cancel()
        await super().stop()

    def _accept(self) -> asyncio.Protocol:
        server = self._runner.server
        bounds = self._read_bounds()
        if server is None:
            return _ClosingProtocol()
        if len(server.connections) + len(self._connecting) >= bounds.max_connections:
            return _ClosingProtocol()
        handler = HeadTimeoutHandler(
            server,
            self._connecting.discard,
            bounds.times_first_head,
            loop=asyncio.get_running_loop(),
            **bounds.options,
        )
        self._connecting.add(handler)
        return handler

    def _schedule_check(self) -> None:
        seconds = self._read_bounds().head_timeout.total_seconds() / CHECKS_PER_TIMEOUT
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._check_request_heads)

    def _check_request_heads(self) -> None:
        self._schedule_check()
        server = self._runner.server
        for connection in server.connections if server is not None else ():
            connection.check_head()
