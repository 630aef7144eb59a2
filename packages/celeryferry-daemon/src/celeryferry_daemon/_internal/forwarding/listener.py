"""Listener for callers. The operators configure its limits."""

import asyncio

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from celeryferry_core.addresses import split_address
from celeryferry_core.forwarding.models import CallerBounds
from celeryferry_daemon._internal.bounded_site import BoundedSite, ListenerBounds
from celeryferry_daemon._internal.forwarding.callers import CallersHandler
from celeryferry_daemon._internal.forwarding.state import HostState
from celeryferry_daemon._internal.request_heads import HeadTimeoutHandler

# An open connection takes about 10 KB, even if it never sends a request.
MAX_CONNECTIONS = 4096
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Fraction of the other descriptors that connections of callers may take. The rest is
# for connections to upstreams, to other hosts and to the store.
CALLER_DESCRIPTOR_FRACTION = 0.6
# A name of one character, a colon and the end of the line.
MIN_HEADER_LINE_BYTES = 4
# In force until the first configuration is received.
DEFAULT_BOUNDS = CallerBounds()


class CallersServer(web.Server):
    """Passes requests to the handler, with the limits of the current configuration.

    :param state: holds the configuration in force.
    :param max_descriptors: file descriptors that the process may use.
    """

    def __init__(
        self, handler: CallersHandler, state: HostState, max_descriptors: int
    ) -> None:
        super().__init__(
            self._handle,
            request_factory=self._make_bounded_request,
            handler_cancellation=True,
        )
        self._callers_handler = handler
        self._state = state
        self._max_connections = compute_max_connections(max_descriptors)
        self._is_draining = False

    def read_bounds(self) -> CallerBounds:
        """Return the limits on callers in the configuration in force."""
        configuration = self._state.configuration
        return DEFAULT_BOUNDS if configuration is None else configuration.callers

    def read_listener_bounds(self) -> ListenerBounds:
        """Return the limits for the next accepted connection.

        The time limit for a request head starts with its first byte, also on a new
        connection, which counts as idle until then. For this, the last argument,
        ``starts_timeout_on_connect``, is False.
        """
        bounds = self.read_bounds()
        options = {
            "access_log": None,
            # Bodies are forwarded with their headers, so their bytes must not change.
            "auto_decompress": False,
            "max_line_size": bounds.header_bytes,
            "max_field_size": bounds.header_bytes,
            "max_headers": bounds.header_bytes // MIN_HEADER_LINE_BYTES,
            "keepalive_timeout": bounds.idle_time.total_seconds(),
        }
        return ListenerBounds(self._max_connections, bounds.head_time, options, False)

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
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task,
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=self.read_bounds().body_bytes,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, HeadTimeoutHandler)
        connection.start_request(request)
        try:
            response = await self._callers_handler.handle(request, self.read_bounds())
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
    await BoundedSite(runner, ip, port, server.read_listener_bounds).start()
    return runner
