"""Bound on the time that a connection may take to deliver a request head."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from aiohttp import StreamReader, web

# An unfinished head occupies one of a bounded number of connections. aiohttp closes
# such a connection only with the idle ones, which are kept for much longer.
HEAD_TIMEOUT = timedelta(seconds=10)
CHECKS_PER_TIMEOUT = 10


class HeadTimeoutHandler(web.RequestHandler):
    """Connection that counts the checks for which a request head is unfinished.

    Checks are counted instead of time, so that a pause of the process does not close
    a connection whose request waits in the socket buffer. A partial head that arrives
    in one segment with the end of the previous request is not seen; such a connection
    is closed like an idle one.

    :param server: server that the connection belongs to once it is established.
    :param on_connected: called with the connection when it is established.
    :param times_first_head: whether the first head is unfinished before its first byte.
    :param options: options of aiohttp's handler.
    """

    __slots__ = (
        "__weakref__",
        "_body",
        "_checks",
        "_is_busy",
        "_on_connected",
        "_times_first_head",
    )

    def __init__(
        self,
        server: web.Server,
        on_connected: Callable[["HeadTimeoutHandler"], None],
        times_first_head: bool = True,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._on_connected = on_connected
        self._times_first_head = times_first_head

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first head.

        :param transport: the connection.
        """
        self._body: StreamReader | None = None
        self._checks: int | None = 0 if self._times_first_head else None
        self._is_busy = False
        super().connection_made(transport)
        self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Recognize the first bytes of a head.

        :param data: bytes of a head or a body.
        """
        # aiohttp itself calls this without data to resume reading.
        if data and self._checks is None and self._is_body_complete():
            self._checks = 0
        super().data_received(data)

    def _is_body_complete(self) -> bool:
        return self._body is None or self._body.is_eof()

    def start_request(self, request: web.BaseRequest) -> None:
        """Note that a head is complete.

        :param request: its request.
        """
        self._body = request.content
        self._checks = None
        self._is_busy = True

    def end_request(self) -> None:
        """Note that a request has been handled."""
        self._is_busy = False
        if self._checks is not None:
            # The next head has begun meanwhile and could not be taken up before.
            self._checks = 0

    def check_head(self) -> None:
        """Close the connection if a head has been unfinished for too many checks."""
        if self._checks is None or self._is_busy:
            return
        self._checks += 1
        if self._checks >= CHECKS_PER_TIMEOUT:
            self.force_close()


@web.middleware
async def track_request(request: web.Request, handler) -> web.StreamResponse:
    """Tell the connection when a request starts and ends.

    :param request: the request.
    :param handler: next handler.
    :returns: its response.
    """
    connection = request.protocol
    assert isinstance(connection, HeadTimeoutHandler)
    connection.start_request(request)
    try:
        return await handler(request)
    finally:
        connection.end_request()
