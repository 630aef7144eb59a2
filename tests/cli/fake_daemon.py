"""A fake of the daemon interfaces that the command-line tool calls."""

import asyncio
import threading
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from celeryferry_core.models.status import DaemonStatus

THREAD_TIMEOUT_S = 5.0


def drop_connection(request: web.Request) -> web.Response:
    """Close the connection without an answer."""
    request.transport.close()
    return web.Response()


class FakeDaemon:
    """An HTTP server in a thread that sends preset answers and records requests.

    :ivar answers: by path, a (status, JSON value) or a function that takes the request;
        other paths get a ``not_found`` error.
    :ivar requests: path, headers and JSON body of each request; the query parameters
        if it has no body.
    """

    def __init__(self) -> None:
        self.answers: dict[str, tuple[int, Any] | Callable] = {}
        self.requests: list[tuple[str, Any, Any]] = []
        self.address = ""
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._stop = asyncio.Event()
        self._thread = threading.Thread(
            target=self._loop.run_until_complete, args=(self._serve(),)
        )
        self._thread.start()
        assert self._started.wait(THREAD_TIMEOUT_S)

    def close(self) -> None:
        """Stop the server and its thread."""
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(THREAD_TIMEOUT_S)
        self._loop.close()

    def count_requests(self, path: str) -> int:
        """Return the number of requests to a path."""
        return sum(1 for request_path, _, _ in self.requests if request_path == path)

    async def _serve(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{runner.addresses[0][1]}"
        self._started.set()
        await self._stop.wait()
        await runner.cleanup()

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.json() if request.can_read_body else dict(request.query)
        self.requests.append((request.path, request.headers, body))
        answer = self.answers.get(request.path, (404, make_error("not_found", "no")))
        if callable(answer):
            return answer(request)
        return web.json_response(answer[1], status=answer[0])


def make_error(error_type: str, ran: str) -> dict[str, Any]:
    """Build the JSON body of an error answer."""
    return {"error": {"type": error_type, "message": "try again", "ran": ran}}


def make_status(host_id: str, **fields: Any) -> dict[str, Any]:
    """Build the JSON status of a serving daemon; ``fields`` replace or add fields."""
    status = DaemonStatus(
        host_id=host_id,
        failure_domain="b",
        incarnation="i",
        state="serving",
        may_act=True,
        service_age_ms=0,
        watching=False,
        config_digest="",
        **dict.fromkeys(("documents", "rejected", "keys", "listed_hosts"), ()),
        **dict.fromkeys(("live_hosts", "leaving_hosts", "leaving_upstreams"), ()),
        requests_in_flight=0,
    )
    return msgspec.to_builtins(status) | fields
