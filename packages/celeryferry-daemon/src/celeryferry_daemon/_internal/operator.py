"""Endpoints for operators."""

from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from celeryferry_core.models.status import DaemonStatus, DrainAnswer
from celeryferry_daemon._internal.peers.server import peer_json_response


class OperatorHandler:
    """Endpoints for the status, the explanation of routing and the planned stop.

    :param read_status: returns the current status.
    :param begin_drain: starts a planned stop; further calls have no effect.
    :param explain: explains the routing of an application; returns None if no document
        names the application.
    """

    def __init__(
        self,
        read_status: Callable[[], DaemonStatus],
        begin_drain: Callable[[], None],
        explain: Callable[[str], Any],
    ) -> None:
        self._read_status = read_status
        self._begin_drain = begin_drain
        self._explain = explain

    def peer_routes(self) -> list[web.RouteDef]:
        """Return the routes for the peer listener."""
        return [
            web.get("/operator/v1/status", self._handle_status),
            web.get("/operator/v1/explain", self._handle_explain),
            web.post("/operator/v1/drain", self._handle_drain),
        ]

    async def _handle_status(self, request: web.Request) -> web.Response:
        return peer_json_response(self._read_status())

    async def _handle_explain(self, request: web.Request) -> web.Response:
        application = request.query.get("application", "")
        explanation = self._explain(application)
        if explanation is None:
            text = f"no service document names application {application!r}; "
            raise web.HTTPNotFound(text=f"{text}check the name\n")
        body = msgspec.json.encode(explanation)
        return web.Response(body=body, content_type="application/json")

    async def _handle_drain(self, request: web.Request) -> web.Response:
        self._begin_drain()
        status = self._read_status()
        return peer_json_response(DrainAnswer(status.host_id, status.state), 202)
