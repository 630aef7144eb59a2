"""Listener for callers. The operators configure its limits."""

import asyncio
from collections.abc import Mapping
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from celeryferry_core.addresses import split_address
from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.caller_bounds import CallerBoundsInForce
from celeryferry_core.forwarding.models import CallerBounds
from celeryferry_daemon._internal.bounded_connection import BoundedConnection
from celeryferry_daemon._internal.bounded_site import BoundedSite, ListenerOptions
from celeryferry_daemon._internal.forwarding.callers import CallersHandler

# An open connection takes about 10 KB, even if it never sends a request.
MAX_CONNECTIONS = 4096
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Fraction of the other descriptors that connections of callers may take. The rest is
# for connections to upstreams, to other hosts and to the store.
CALLER_DESCRIPTOR_FRACTION = 0.6
# Bodies are forwarded with their headers, so their bytes must not change.
HANDLER_OPTIONS: Mapping[str, Any] = {"access_log": None, "auto_decompress": False}


class CallersServer(web.Server):
    """Passes requests to the handler, with the limits in force.

    :param bounds: limits on callers in force.
    :param max_descriptors: file descriptors that the process may use.
    """

    def __init__(
        self,
        handler: CallersHandler,
        bounds: CallerBoundsInForce,
        clock: Clock,
        max_descriptors: int,
    ) -> None:
        super().__init__(
            self._handle,
            request_factory=self._make_bounded_request,
            handler_cancellation=True,
        )
        self._callers_handler = handler
        self._bounds = bounds
        self._clock = clock
        # A new connection counts as idle until the first byte of a head.
        self.options = ListenerOptions(
            compute_max_connections(max_descriptors),
            HANDLER_OPTIONS,
            starts_timeout_on_connect=False,
            record_unreadable=handler.record_unreadable,
        )
        self._is_draining = False

    def read_bounds(self) -> CallerBounds:
        """Return the limits on callers in force."""
        return self._bounds.read(self._clock.monotonic())

    def replace_max_descriptors(self, max_descriptors: int) -> None:
        """Limit the open connections by another number of descriptors."""
        self.options.max_connections = compute_max_connections(max_descriptors)

    def count_unanswered(self) -> int:
        """Return how many connections have a request or unsent bytes of a response."""
        return sum(connection.is_unanswered for connection in self.connections)

    def begin_drain(self) -> None:
        """From now on, close each connection after the last request read on it."""
        self._is_draining = True

    def end_reading(self) -> None:
        """Read nothing more from callers; connections without a request close."""
        for connection in self.connections:
            connection.end_reading()

    def _make_bounded_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: BoundedConnection,
        writer: AbstractStreamWriter,
        task: asyncio.Task,
    ) -> web.BaseRequest:
        protocol.take_request()
        return web.BaseRequest(message, payload, protocol, writer, task, self._loop)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, BoundedConnection)
        connection.start_request()
        try:
            response = await self._callers_handler.handle(
                request, connection.read_request_bounds
            )
            # A request that was read behind this one needs its response, too.
            if self._is_draining and not connection.has_queued_request:
                response.force_close()
            return response
        finally:
            connection.end_request()


def compute_max_connections(max_descriptors: int) -> int:
    """Return how many connections of callers may be open at once.

    :param max_descriptors: file descriptors that the process may use.
    """
    usable = max(1, max_descriptors - FILE_DESCRIPTORS)
    return max(1, min(MAX_CONNECTIONS, int(usable * CALLER_DESCRIPTOR_FRACTION)))


async def start_callers_listener(
    server: CallersServer, address: str
) -> web.ServerRunner:
    """Start the listener for callers.

    :param address: ``ip:port`` to listen at.
    :returns: the runner, which the caller of this function must clean up.
    :raises OSError: if the address can't be bound.
    """
    runner = web.ServerRunner(server)
    await runner.setup()
    ip, port = split_address(address)
    await BoundedSite(runner, ip, port, server.options, server.read_bounds).start()
    return runner
