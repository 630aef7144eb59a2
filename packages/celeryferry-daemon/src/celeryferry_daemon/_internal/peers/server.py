"""Listener for other daemons and operators."""

import hmac
from collections.abc import Iterable
from datetime import timedelta

import msgspec
from aiohttp import web
from aioprometheus import Registry, render

from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.models import CallerBounds
from celeryferry_core.models.messages import (
    DocumentsReply,
    DocumentsRequest,
    ProbeReply,
    ProbeRequest,
)
from celeryferry_daemon._internal.bounded_connection import track_request
from celeryferry_daemon._internal.bounded_site import BoundedSite, ListenerOptions

MAX_PEER_BODY_BYTES = 256 * 1024
MAX_HEADER_LINE_BYTES = 8190
MAX_HEADERS = 64
# A connection with an unfinished head counts towards the connection limit.
HEAD_TIMEOUT = timedelta(seconds=10)
# Each open connection uses memory, even if it never sends a request. A caller keeps a
# few connections open; a daemon keeps many to each of its peers.
MAX_CALLER_CONNECTIONS = 1024
MAX_PEER_CONNECTIONS = 16_384
# Longest deadline that a caller may ask for, and the largest difference between the
# clocks of two hosts.
MAX_DEADLINE = timedelta(seconds=60)
MAX_CLOCK_SKEW = timedelta(milliseconds=100)
# Longer than the daemons keep idle connections, so that the client closes them first.
KEEPALIVE_TIME = timedelta(seconds=75)
HANDLER_OPTIONS = {
    "access_log": None,
    "max_line_size": MAX_HEADER_LINE_BYTES,
    "max_field_size": MAX_HEADER_LINE_BYTES,
    "max_headers": MAX_HEADERS,
    "auto_decompress": False,
}
PROBE_PATH = "/peer/v1/probe"
UNAUTHENTICATED_PATHS = frozenset({"/metrics"})


def peer_json_response(message: msgspec.Struct, status: int = 200) -> web.Response:
    """Encode a message as a JSON response."""
    return web.Response(
        body=msgspec.json.encode(message),
        status=status,
        content_type="application/json",
    )


def make_token_middleware(token: str):
    """Return a middleware that rejects requests without the fleet token.

    Requests to ``/metrics`` need no token.
    """
    expected = f"Bearer {token}".encode()

    @web.middleware
    async def check_token(request: web.Request, handler) -> web.StreamResponse:
        if request.path not in UNAUTHENTICATED_PATHS:
            given = request.headers.get("Authorization", "")
            given_bytes = given.encode("utf-8", "surrogateescape")
            if not hmac.compare_digest(given_bytes, expected):
                raise web.HTTPUnauthorized(text="send the fleet token\n")
        return await handler(request)

    return check_token


async def _drop_unused_headers(
    request: web.Request, response: web.StreamResponse
) -> None:
    # Daemons do not read these headers, and probes are most of the control traffic.
    response.headers.popall("Server", None)
    response.headers.popall("Date", None)
    if request.path == PROBE_PATH:
        response.headers.popall("Content-Type", None)


def make_peer_app(token: str, routes: Iterable[web.RouteDef]) -> web.Application:
    """Build the application of the peer listener, which requires the fleet token."""
    app = web.Application(
        client_max_size=MAX_PEER_BODY_BYTES, middlewares=[make_token_middleware(token)]
    )
    app.on_response_prepare.append(_drop_unused_headers)
    app.add_routes(list(routes))
    return app


async def start_listener(
    app: web.Application,
    address: str,
    stop_timeout: timedelta = timedelta(seconds=5),
    connections: int = MAX_PEER_CONNECTIONS,
    head_timeout: timedelta = HEAD_TIMEOUT,
) -> web.AppRunner:
    """Serve an application at an address.

    :param address: ``ip:port``.
    :param stop_timeout: time that running handlers get when the runner is cleaned up.
    :param connections: largest number of open connections.
    :param head_timeout: time in which a complete request head must arrive.
    :returns: the runner; the caller has to clean it up.
    :raises OSError: if the address cannot be bound.
    """
    app.middlewares.insert(0, track_request)
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        shutdown_timeout=stop_timeout.total_seconds(),
    )
    await runner.setup()
    ip, _, port = address.rpartition(":")
    options = ListenerOptions(connections, HANDLER_OPTIONS)
    bounds = CallerBounds(
        MAX_HEADERS * MAX_HEADER_LINE_BYTES,
        MAX_PEER_BODY_BYTES,
        head_timeout,
        KEEPALIVE_TIME,
    )
    try:
        await BoundedSite(runner, ip, int(port), options, lambda: bounds).start()
    except OSError:
        await runner.cleanup()
        raise
    return runner


def check_deadline(deadline_unix_ms: int, clock: Clock) -> None:
    """Check that the deadline of a peer's request is one that a caller may ask for.

    :param deadline_unix_ms: milliseconds of wall-clock time.
    :raises web.HTTPBadRequest: if the deadline is too late, even with the clock skew.
    """
    latest = clock.wall() + MAX_DEADLINE + MAX_CLOCK_SKEW
    if deadline_unix_ms > latest.timestamp() * 1000:
        raise web.HTTPBadRequest(text="correct deadline_unix_ms: it is too late\n")


async def decode_request(request: web.Request, decoder: msgspec.json.Decoder):
    """Decode the body of a peer's request.

    :raises web.HTTPBadRequest: if the body is malformed or has another type.
    """
    body = await request.read()
    try:
        return decoder.decode(body)
    except (ValueError, RecursionError) as error:
        raise web.HTTPBadRequest(text=f"correct the request: {error}\n") from error


class ControlRoutes:
    """Routes for probes, documents and metrics.

    :param answer_probe: returns the reply to a probe.
    :param answer_documents: returns the reply to a request for documents, or None while
        this host has no complete configuration.
    :param registry: metrics of the daemon.
    :param update_metrics: called before each scrape to set the gauges.
    """

    def __init__(
        self, answer_probe, answer_documents, registry: Registry, update_metrics
    ) -> None:
        self._update_metrics = update_metrics
        self._answer_probe = answer_probe
        self._answer_documents = answer_documents
        self._registry = registry
        self._probe_decoder = msgspec.json.Decoder(ProbeRequest)
        self._documents_decoder = msgspec.json.Decoder(DocumentsRequest)

    def routes(self) -> list[web.RouteDef]:
        """Return the route definitions."""
        return [
            web.post(PROBE_PATH, self._handle_probe),
            web.post("/peer/v1/documents", self._handle_documents),
            web.get("/metrics", self._handle_metrics),
        ]

    async def _handle_probe(self, request: web.Request) -> web.Response:
        message = await decode_request(request, self._probe_decoder)
        reply: ProbeReply = self._answer_probe(message)
        return peer_json_response(reply)

    async def _handle_documents(self, request: web.Request) -> web.Response:
        message = await decode_request(request, self._documents_decoder)
        reply: DocumentsReply | None = self._answer_documents(message)
        if reply is None:
            raise web.HTTPServiceUnavailable(text="starting; ask another host\n")
        return peer_json_response(reply)

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        self._update_metrics()
        accepts = request.headers.getall("Accept", [])
        content, headers = render(self._registry, accepts)
        return web.Response(body=content, headers=headers)
