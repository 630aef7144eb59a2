"""Closes connections that take too long to deliver a request head."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from aiohttp import StreamReader, web

# A connection with an unfinished head counts towards the connection limit. aiohttp
# itself closes it only after the keep-alive timeout, which is much longer.
HEAD_TIMEOUT = timedelta(seconds=10)
CHECKS_PER_TIMEOUT = 10


class HeadTimeoutHandler(web.RequestHandler):
    """Connection that counts the checks during which a request head is unfinished.

    It counts checks and not time, so that a pause of the process does not close a
    connection whose request waits in the socket buffer. A partial head that arrives in
    one segment with the end of the previous request is not detected; such a connection
    is closed as an idle one.

    :param server: server that handles the connection.
    :param on_connected: called with the connection when it is established.
    :param starts_timeout_on_connect: whether the first head counts as unfinished before
        its first byte has arrived.
    :param options: keyword arguments for aiohttp's handler.
    """

    __slots__ = (
        "__weakref__",
        "_body",
        "_head_checks",
        "_is_answered",
        "_is_busy",
        "_is_reading",
        "_on_connected",
        "_starts_timeout_on_connect",
    )

    def __init__(
        self,
        server: web.Server,
        on_connected: Callable[["HeadTimeoutHandler"], None],
        starts_timeout_on_connect: bool = True,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._on_connected = on_connected
        self._starts_timeout_on_connect = starts_timeout_on_connect

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for the first head."""
        self._body: StreamReader | None = None
        # Number of checks that found the current head unfinished; None if no head
        # counts as unfinished.
        self._head_checks: int | None = 0 if self._starts_timeout_on_connect else None
        self._is_busy = False
        self._is_answered = True
        self._is_reading = True
        super().connection_made(transport)
        self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Detect the first bytes of a head.

        :param data: bytes of a head or a body; empty when aiohttp calls this method to
            resume reading.
        """
        if data and not self._is_reading:
            # aiohttp may resume a paused transport.
            return
        if data and self._head_checks is None and self._is_body_complete():
            self._head_checks = 0
        super().data_received(data)

    def _is_body_complete(self) -> bool:
        return self._body is None or self._body.is_eof()

    def start_request(self, request: web.BaseRequest) -> None:
        """Record that the head of a request is complete."""
        self._body = request.content
        self._head_checks = None
        self._is_busy = True
        self._is_answered = False

    def end_request(self) -> None:
        """Record that the request has been handled."""
        self._is_busy = False
        if self._head_checks is not None:
            # The next head began to arrive while the request was handled, when aiohttp
            # could not process it. Its timeout starts now.
            self._head_checks = 0

    async def finish_response(self, *arguments: Any) -> Any:
        """Write a response (called by aiohttp).

        :param arguments: as aiohttp's handler takes them.
        """
        finished = await super().finish_response(*arguments)
        self._is_answered = True
        return finished

    @property
    def is_unanswered(self) -> bool:
        """Whether a request has begun to arrive or has no response yet.

        Also True while bytes of a response wait to be sent.
        """
        transport = self.transport
        if transport is None:
            return False
        is_arriving = self._head_checks is not None
        has_unsent_bytes = transport.get_write_buffer_size() > 0
        has_request = not self._is_answered or self.has_queued_request
        return is_arriving or has_request or has_unsent_bytes

    @property
    def has_queued_request(self) -> bool:
        """Whether a complete request waits behind the one that is being handled."""
        # The queue of aiohttp's handler.
        return bool(self._messages)

    def end_reading(self) -> None:
        """Read nothing more from the caller.

        Without a request the connection closes now. Bytes that arrive later are not
        read, so the caller knows that its next request was not run. Requests that were
        read before are still handled.
        """
        self._is_reading = False
        if self.transport is None:
            return
        if not self._is_answered or self.has_queued_request:
            self.transport.pause_reading()
        else:
            self.close()
            self.transport.close()

    def check_head(self) -> None:
        """Close the connection if its head was unfinished at too many checks.

        The listener calls this ``CHECKS_PER_TIMEOUT`` times in each head timeout.
        """
        if self._head_checks is None or self._is_busy:
            return
        self._head_checks += 1
        if self._head_checks >= CHECKS_PER_TIMEOUT:
            self.force_close()


@web.middleware
async def track_request(request: web.Request, handler) -> web.StreamResponse:
    """Middleware that tells the connection when a request starts and ends."""
    connection = request.protocol
    assert isinstance(connection, HeadTimeoutHandler)
    connection.start_request(request)
    try:
        return await handler(request)
    finally:
        connection.end_request()
