"""Listening socket that limits open connections and the times of callers."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from weakref import WeakSet

from aiohttp import web

from celeryferry_daemon._internal.bounded_connection import (
    BoundedConnection,
    ReadBounds,
    RecordUnreadable,
)

BACKLOG = 1024
CHECKS_PER_TIMEOUT = 10
# A lowered limit is noticed with the next check, so checks are never far apart.
MAX_CHECK_INTERVAL = timedelta(seconds=1)
MIN_CHECK_INTERVAL = timedelta(milliseconds=10)


@dataclass(slots=True)
class ListenerOptions:
    """Properties of a listener.

    :param max_connections: maximum number of open connections; may be changed while the
        listener is open.
    :param handler_options: keyword arguments for aiohttp's connection handler.
    :param starts_timeout_on_connect: whether the timeout of the first head starts when
        the connection opens; otherwise it starts with the first byte.
    :param record_unreadable: called for each request that can't be read.
    """

    max_connections: int
    handler_options: Mapping[str, Any]
    starts_timeout_on_connect: bool = True
    record_unreadable: RecordUnreadable | None = None


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
    :param options: properties of the listener.
    :param read_bounds: returns the limits in force.
    """

    def __init__(
        self,
        runner: web.BaseRunner,
        ip: str,
        port: int,
        options: ListenerOptions,
        read_bounds: ReadBounds,
    ) -> None:
        super().__init__(runner, backlog=BACKLOG)
        self._address = ip, port
        self._options = options
        self._read_bounds = read_bounds
        self._check_interval = MAX_CHECK_INTERVAL
        self._timer: asyncio.TimerHandle | None = None
        # Accepted connections that are not yet in server.connections: the event loop
        # may accept up to BACKLOG of them before the server registers the first. The
        # references are weak, because a connection may fail before it is established.
        self._connecting: WeakSet[BoundedConnection] = WeakSet()

    @property
    def name(self) -> str:
        """URL of the configured address."""
        ip, port = self._address
        return f"http://{ip}:{port}"

    async def start(self) -> None:
        """Bind the address and start the checks of the times of connections.

        :raises OSError: if the address cannot be bound.
        """
        await super().start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, *self._address, backlog=BACKLOG
        )
        self._schedule_check()

    async def stop(self) -> None:
        """Stop listening and end the checks."""
        if self._timer is not None:
            self._timer.cancel()
        await super().stop()

    def _accept(self) -> asyncio.Protocol:
        server = self._runner.server
        if server is None:
            return _ClosingProtocol()
        open_count = len(server.connections) + len(self._connecting)
        if open_count >= self._options.max_connections:
            return _ClosingProtocol()
        connection = BoundedConnection(
            server,
            self._read_bounds,
            self._connecting.discard,
            self._options.starts_timeout_on_connect,
            self._options.record_unreadable,
            loop=asyncio.get_running_loop(),
            **self._options.handler_options,
        )
        self._connecting.add(connection)
        return connection

    def _schedule_check(self) -> None:
        bounds = self._read_bounds()
        interval = min(bounds.head_time, bounds.idle_time) / CHECKS_PER_TIMEOUT
        interval = max(MIN_CHECK_INTERVAL, min(MAX_CHECK_INTERVAL, interval))
        self._check_interval = interval
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(interval.total_seconds(), self._check_times)

    def _check_times(self) -> None:
        self._schedule_check()
        server = self._runner.server
        for connection in server.connections if server is not None else ():
            connection.check_times(self._check_interval)
