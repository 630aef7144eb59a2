"""Connections whose requests are limited in size and time by limits that may change."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.http import HttpProcessingError, RawRequestMessage

from celeryferry_core.forwarding.caller_bounds import merge_bounds
from celeryferry_core.forwarding.models import CallerBounds

HEAD_END = b"\r\n\r\n"
# No request contains this byte outside its body, so the parser rejects the head.
INVALID_BYTE = b"\0"
# A complete head is limited by the sizes of its target, names and values. This factor
# bounds the separators and the target, too, while the head is incomplete.
UNFINISHED_HEAD_FACTOR = 3
# Method, version and separators of a request line.
REQUEST_LINE_BYTES = 64
# The parser can't change its own bounds on a connection that is open. They are far
# above those that operators configure, which the connection and its handler enforce.
PARSER_LINE_BYTES = 16 * 1024 * 1024
PARSER_HEADERS = PARSER_LINE_BYTES // 4
# aiohttp keeps the idle time that a connection was accepted with. This one never ends;
# ``check_times`` enforces the idle time.
UNLIMITED_IDLE_S = 365 * 86_400.0
PARSER_OPTIONS = {
    "max_line_size": PARSER_LINE_BYTES,
    "max_field_size": PARSER_LINE_BYTES,
    "max_headers": PARSER_HEADERS,
    "keepalive_timeout": UNLIMITED_IDLE_S,
}
ZERO = timedelta(0)

ReadBounds = Callable[[], CallerBounds]
# Takes the status of the response and what is wrong.
RecordUnreadable = Callable[[int, str], None]


class BoundedConnection(web.RequestHandler):
    """Connection that reads its limits again at each use.

    Nothing of the limits is kept for longer than one request: the limits on a request
    are the larger ones of those in force at its first byte and those in force now, so
    that a change neither refuses what was allowed when it was sent nor what is allowed
    since. The idle time is always the one in force.

    Times are counted in the intervals of ``check_times`` and not by a clock, so that a
    pause of the process does not close a connection whose request waits in the socket
    buffer. A partial head that arrives in one segment with the end of a chunked body
    counts from its next byte on, and so does one behind a body that the parser kept.

    :param server: server that handles the connection.
    :param read_bounds: returns the limits in force.
    :param on_connected: called with the connection when it is established.
    :param starts_timeout_on_connect: whether the first head counts as unfinished before
        its first byte has arrived.
    :param record_unreadable: called for each request that is refused because it can't
        be read; without it, aiohttp's logger has a message.
    :param options: keyword arguments for aiohttp's handler, in addition to
        ``PARSER_OPTIONS`` or in their place.
    :ivar bounds: limits at the first byte of the request that is being handled.
    """

    __slots__ = (
        "__weakref__",
        "_body",
        "_body_left_bytes",
        "_head_age",
        "_head_bounds",
        "_head_bytes",
        "_head_tail",
        "_idle_age",
        "_is_answered",
        "_is_busy",
        "_is_head_too_large",
        "_is_reading",
        "_on_connected",
        "_queued_bounds",
        "_read_bounds",
        "_record_unreadable",
        "_starts_timeout_on_connect",
        "bounds",
    )

    def __init__(
        self,
        server: web.Server,
        read_bounds: ReadBounds,
        on_connected: Callable[["BoundedConnection"], None],
        starts_timeout_on_connect: bool = True,
        record_unreadable: RecordUnreadable | None = None,
        **options: Any,
    ) -> None:
        super().__init__(server, **{**PARSER_OPTIONS, **options})
        self._read_bounds = read_bounds
        self._on_connected = on_connected
        self._starts_timeout_on_connect = starts_timeout_on_connect
        self._record_unreadable = record_unreadable

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for the first head."""
        self._body: StreamReader | None = None
        # Bytes of the body that have not arrived, None if that is not known.
        self._body_left_bytes: int | None = None
        # Limits at the first byte of the unfinished head, None if there is none.
        self._head_bounds: CallerBounds | None = None
        self._head_age = ZERO
        self._head_bytes = 0
        # Last bytes of the unfinished head, which may be the beginning of its end.
        self._head_tail = b""
        self._idle_age = ZERO
        self._is_busy = False
        self._is_answered = True
        self._is_head_too_large = False
        self._is_reading = True
        # Limits at the first byte of each request that waits to be handled.
        self._queued_bounds: deque[CallerBounds] = deque()
        self.bounds = self._read_bounds()
        if self._starts_timeout_on_connect:
            self._head_bounds = self.bounds
        super().connection_made(transport)
        self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Find where heads begin and end, and pass the bytes on to the parser.

        :param data: bytes of heads and bodies; empty when aiohttp calls this method to
            resume reading.
        """
        if not data:
            self._feed(data)
            return
        while data and self._is_reading:
            if self._body is not None and not self._body.is_eof():
                data = self._receive_body(data)
            else:
                data = self._receive_head(data)

    def _receive_head(self, data: bytes) -> bytes:
        """Pass bytes on up to the end of a head, and return the rest."""
        if not self._head_bytes:
            started = data.lstrip(b"\r\n")
            if len(started) < len(data):
                # Empty lines before a request line belong to no request.
                self._feed(data[: len(data) - len(started)])
                return started
        if self._head_bounds is None:
            self._head_bounds = self._read_bounds()
            self._head_age = ZERO
        end = (self._head_tail + data).find(HEAD_END)
        if end >= 0:
            end += len(HEAD_END) - len(self._head_tail)
            if not self._feed(data[:end]):
                # The parser waits until requests that were read before are handled.
                self._feed(data[end:])
                self._head_bytes = 0
                self._head_tail = b""
                return b""
            message, body = self._messages[-1]
            if isinstance(message, RawRequestMessage) and not message.chunked:
                length = message.headers.get("Content-Length")
                self._body_left_bytes = None if body.is_eof() else int(length or 0)
            return data[end:]
        self._head_bytes += len(data)
        self._head_tail = (self._head_tail + data)[1 - len(HEAD_END) :]
        if not self._feed(data) and self._head_bytes > self._get_max_head_bytes():
            self._reject_head()
        return b""

    def _receive_body(self, data: bytes) -> bytes:
        """Pass bytes on up to the end of a body, and return the rest."""
        if not self._body_left_bytes:
            self._feed(data)
            return b""
        part = data[: self._body_left_bytes]
        self._body_left_bytes -= len(part)
        self._feed(part)
        return data[len(part) :]

    def _feed(self, data: bytes) -> bool:
        """Pass bytes on to the parser.

        :returns: whether they complete at least one head.
        """
        self._drop_taken_bounds()
        super().data_received(data)
        return self._record_messages()

    def _drop_taken_bounds(self) -> None:
        # Listeners without limits on single requests do not take them.
        while len(self._queued_bounds) > len(self._messages):
            self._queued_bounds.popleft()

    def _record_messages(self) -> bool:
        """Record the requests that the parser has completed the heads of.

        aiohttp takes requests out of its queue in a task, so the queue only grows since
        the bounds of the taken ones were dropped.

        :returns: whether there are any.
        """
        count = len(self._messages) - len(self._queued_bounds)
        if not count:
            return False
        bounds = self._read_bounds()
        first = bounds
        if self._head_bounds is not None:
            first = merge_bounds(self._head_bounds, bounds)
        self._queued_bounds.extend((first, *((count - 1) * (bounds,))))
        self._head_bounds = None
        self._head_bytes = 0
        self._head_tail = b""
        self._idle_age = ZERO
        unfinished_body = self._body
        message, self._body = self._messages[-1]
        self._body_left_bytes = None
        if not isinstance(message, RawRequestMessage):
            # An error in a head or a body. The connection closes with the response.
            self._is_reading = False
            if unfinished_body is not None and not unfinished_body.is_eof():
                unfinished_body.set_exception(message.exc)
                unfinished_body.feed_eof()
        return True

    def _get_max_head_bytes(self) -> int:
        bounds = self._read_bounds()
        if self._head_bounds is not None:
            bounds = merge_bounds(self._head_bounds, bounds)
        return UNFINISHED_HEAD_FACTOR * bounds.header_bytes + REQUEST_LINE_BYTES

    def _reject_head(self) -> None:
        """Refuse the unfinished head after the requests that were read before it."""
        self._is_head_too_large = True
        self._is_reading = False
        if not self._feed(INVALID_BYTE) and self._is_answered:
            # The parser waits for nothing.
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to what can't be read (called by aiohttp).

        Other errors are answered as aiohttp does.
        """
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        status = exc.code
        if self._is_head_too_large:
            status = web.HTTPRequestHeaderFieldsTooLarge.status_code
        if self._record_unreadable is None:
            self.log_exception("Unreadable request", exc_info=exc)
        else:
            self._record_unreadable(status, str(exc))
        response = web.Response(status=status)
        response.force_close()
        return response

    def take_request(self) -> None:
        """Record that the next request leaves the queue.

        Its handler starts in a later turn of the event loop, and the request counts as
        unanswered in between, too.
        """
        self.bounds = self._queued_bounds.popleft()
        self._is_answered = False

    def read_request_bounds(self) -> CallerBounds:
        """Return the limits on the request that is being handled."""
        return merge_bounds(self.bounds, self._read_bounds())

    def start_request(self) -> None:
        """Record that the handling of a request begins."""
        self._is_busy = True
        self._is_answered = False

    def end_request(self) -> None:
        """Record that the request has been handled."""
        self._is_busy = False
        self._idle_age = ZERO
        # The time of a head that began to arrive meanwhile starts now.
        self._head_age = ZERO

    async def finish_response(self, *arguments: Any) -> Any:
        """Write a response (called by aiohttp).

        :param arguments: as aiohttp's handler takes them.
        """
        self._drop_taken_bounds()
        finished = await super().finish_response(*arguments)
        # What arrived behind a request to upgrade the connection is parsed just now.
        self._record_messages()
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
        is_arriving = self._head_bounds is not None
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

    def check_times(self, interval: timedelta) -> None:
        """Close the connection if its head or its pause takes too long.

        The listener calls this regularly.

        :param interval: time until the next call.
        """
        if self._is_busy or not self._is_answered or self.has_queued_request:
            return
        if self._head_bounds is not None:
            limit = max(self._head_bounds.head_time, self._read_bounds().head_time)
            if self._head_age >= limit:
                self.force_close()
            self._head_age += interval
        elif self._body is None or self._body.is_eof():
            if self._idle_age >= self._read_bounds().idle_time:
                self.force_close()
            self._idle_age += interval


@web.middleware
async def track_request(request: web.Request, handler) -> web.StreamResponse:
    """Middleware that tells the connection when a request starts and ends."""
    connection = request.protocol
    assert isinstance(connection, BoundedConnection)
    connection.start_request()
    try:
        return await handler(request)
    finally:
        connection.end_request()
