"""Listener for callers, bounded as the operators configure."""

import asyncio

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from celeryferry_core.forwarding.models import CallerBounds
from celeryferry_daemon._internal.bounded_site import BoundedSite, ListenerBounds
from celeryferry_daemon._internal.forwarding.callers import CallersHandler
from celeryferry_daemon._internal.forwarding.state import HostState
from celeryferry_daemon._internal.request_heads import HeadTimedHandler

# Each open connection costs about 10 KB, also one that never sends a request.
MAX_CONNECTIONS = 4096
# In force until the first configuration is known.
DEFAULT_BOUNDS = CallerBounds()


class CallersServer(web.Server):
    """Hands requests to the handler and reads the bounds of each from the state.

    :param handler: answers the requests.
    :param state: holds the configuration in force.
    """

    def __init__(self, handler: CallersHandler, state: HostState) -> None:
        super().__init__(
            self._handle,
            request_factory=self._make_bounded_request,
            handler_cancellation=True,
        )
        self._callers_handler = handler
        self._state = state

    def read_bounds(self) -> CallerBounds:
        """Return what callers may send now."""
        configuration = self._state.configuration
        return DEFAULT_BOUNDS if configuration is None else configuration.callers

    def read_listener_bounds(self) -> ListenerBounds:
        """Return the bounds of the next connection.

        A connection without a request counts as idle, not as a head that is late.
        """
        bounds = self.read_bounds()
        options = {
            "access_log": None,
            "max_line_size": bounds.header_bytes,
            "max_field_size": bounds.header_bytes,
            "keepalive_timeout": bounds.idle_time.total_seconds(),
        }
        return ListenerBounds(MAX_CONNECTIONS, bounds.head_time, options, False)

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
        assert isinstance(connection, HeadTimedHandler)
        connection.start_request(request)
        try:
            return await self._callers_handler.handle(request, self.read_bounds())
        finally:
            connection.end_request()


async def start_callers_listener(
    handler: CallersHandler, state: HostState, address: str
) -> web.ServerRunner:
    """Serve callers at an address.

    :param handler: answers the requests.
    :param state: holds the configuration in force.
    :param address: ``ip:port``.
    :returns: the runner.
    :raises OSError: if the address can't be bound.
    """
    server = CallersServer(handler, state)
    runner = web.ServerRunner(server)
    await runner.setup()
    ip, _, port = address.rpartition(":")
    await BoundedSite(runner, ip, int(port), server.read_listener_bounds).start()
    return runner
