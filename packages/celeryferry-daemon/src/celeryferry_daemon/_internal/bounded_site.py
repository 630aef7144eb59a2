"""Listening socket that limits open connections and the time for a request head."""

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
    """Limits of one listener.

    :param max_connections: maximum number of open connections.
    :param head_timeout: time within which a request head must be complete.
    :param options: keyword arguments for aiohttp's connection handler.
    :param starts_timeout_on_connect: whether the timeout of the first head starts when
        the connection opens; otherwise it starts with the first byte.
    """

    max_connections: int
    head_timeout: timedelta
    options: Mapping[str, Any]
    starts_timeout_on_connect: bool = True


class _ClosingProtocol(asyncio.Protocol):
    """Protocol that closes its connection at once.

    Used when the connection limit is reached or the runner has stopped.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.abort()


class BoundedSite(web.BaseSite):
    """Listens at an address and limits its connections.

    :param runner: runner of the application or server.
    :param ip: IP address to bind.
    :param port: port to bind.
    :param read_bounds: returns the limits that apply to the next connection.
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
        # Accepted connections that are not yet in server.connections: the event loop
        # may accept up to BACKLOG of them before the server registers the first. The
        # references are weak, because a connection may fail before it is established.
        self._connecting: WeakSet[HeadTimeoutHandler] = WeakSet()

    @property
    def name(self) -> str:
        """URL of the configured address."""
        ip, port = self._address
        return f"http://{ip}:{port}"

    async def start(self) -> None:
        """Bind the address and start the checks for unfinished request heads.

        :raises OSError: if the address cannot be bound.
        """
        await super().start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, *self._address, backlog=BACKLOG
        )
        self._schedule_check()

    async def stop(self) -> None:
        """Stop listening and end the checks of request heads."""
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
            bounds.starts_timeout_on_connect,
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
