"""HTTP interface of one stand-in upstream."""

import asyncio
import time
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web

from celeryferry_standins.serving import (
    ANY_PORT_ADDRESS,
    KEEPALIVE_TIMEOUT_S,
    Listener,
    json_response,
)
from celeryferry_standins.upstream.behaviour import (
    MS_PER_S,
    Misbehaviour,
    Refusal,
    UpstreamSpec,
)
from celeryferry_standins.upstream.engine import Engine
from celeryferry_standins.upstream.hits import make_hits


class CountingServer(web.Server):
    """Low-level server that counts, limits and delays connections.

    :param handler: handles each request.
    :param engine: state of the upstream.
    :ivar usable_at: monotonic time from which each open connection handles requests.
    """

    def __init__(self, handler, engine: Engine):
        super().__init__(
            handler, handler_cancellation=True, keepalive_timeout=KEEPALIVE_TIMEOUT_S
        )
        self._engine = engine
        self.usable_at: dict[web.RequestHandler, float] = {}

    def connection_made(self, handler, transport) -> None:
        """Accept a connection or close it if there are too many.

        :param handler: protocol of the connection.
        :param transport: its transport.
        """
        super().connection_made(handler, transport)
        counters = self._engine.counters
        if len(self.usable_at) >= self._engine.behaviour.connections:
            counters.connections_refused += 1
            transport.abort()
            return
        cost_s = self._engine.behaviour.connect_cost_ms / MS_PER_S
        self.usable_at[handler] = time.monotonic() + cost_s
        counters.connections_opened += 1
        self._update_open_count()
        open_count = counters.connections_open
        counters.max_connections = max(counters.max_connections, open_count)

    def connection_lost(self, handler, exc=None) -> None:
        """Remove a closed connection from the counts.

        :param handler: protocol of the connection.
        :param exc: cause, if there was an error.
        """
        super().connection_lost(handler, exc)
        self.usable_at.pop(handler, None)
        self._update_open_count()

    def _update_open_count(self) -> None:
        self._engine.counters.connections_open = len(self.usable_at)


class UpstreamServer:
    """One stand-in upstream with its listener.

    :param spec: name, address and behaviour.
    :param seed: seed of the random service times.
    :param journal: file for the ids of non-repeatable requests.
    :param search_journal: file for the ids of searches.
    """

    def __init__(
        self,
        spec: UpstreamSpec,
        seed: int = 0,
        journal: Path | None = None,
        search_journal: Path | None = None,
    ):
        self.name = spec.name
        record_run = partial(_append_to_journal, journal)
        record_search = partial(_append_to_journal, search_journal)
        self.engine = Engine(spec.behaviour, seed, record_run, record_search)
        self._server = CountingServer(self._handle, self.engine)
        self._listener = Listener(self._handle, self._server)
        self._requested_address = spec.address
        self._previous_content: dict[str, Any] | None = None

    async def open(self) -> str:
        """Open the listener.

        :returns: the actual address.
        """
        return await self._listener.open(self._requested_address or ANY_PORT_ADDRESS)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self._listener.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        match request.method, request.path:
            case "POST", "/search" | "/run":
                return await self._handle_work(request)
            case "GET", "/health":
                state, _, _ = self.engine.report_status()
                versions = self.engine.behaviour.index_versions
                return json_response({"state": state, "index_versions": versions})
            case "GET", "/load":
                _, active, queued = self.engine.report_status()
                slots = self.engine.behaviour.slots
                body = {"active": active, "queued": queued, "slots": slots}
                return json_response(body)
        return json_response({"error": "not found"}, 404)

    async def _handle_work(self, request: web.BaseRequest) -> web.StreamResponse:
        self.engine.counters.given += 1
        try:
            return await self._process_work(request)
        except asyncio.CancelledError:
            self.engine.counters.cancelled += 1
            raise

    async def _process_work(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        deadline_unix_ms = float(request.headers.get("X-Deadline-Unix-Ms", "inf"))
        version = _read_version(request)
        body = msgspec.json.decode(await request.read())
        await self._wait_for_connection(request)
        fault = self.engine.consume_misbehaviour()
        if fault is Misbehaviour.CLOSE_AFTER_READING:
            return _close_connection(request)
        refusal = self.engine.check_admission(version, deadline_unix_ms)
        if refusal is None and not await self.engine.slots.acquire():
            refusal = self.engine.record_refusal(Refusal.SHEDDING)
        if refusal is not None:
            return self._make_refusal_response(request_id, refusal)
        shard = body["shard"] if request.path == "/search" else None
        try:
            # The state may have changed while the request waited for its slot.
            refusal = self.engine.check_admission(version, deadline_unix_ms)
            if refusal is not None:
                return self._make_refusal_response(request_id, refusal)
            succeeded = await self._execute(request_id, shard)
        finally:
            self.engine.slots.release()
        if not succeeded:
            return _close_connection(request)
        if fault is Misbehaviour.CLOSE_AFTER_EXECUTING:
            return _close_connection(request)
        if fault is Misbehaviour.LATE:
            await asyncio.sleep(self.engine.behaviour.late_ms / MS_PER_S)
        content = self._make_content(request_id, shard, version, body, fault)
        previous, self._previous_content = self._previous_content, content
        if fault is Misbehaviour.PREVIOUS_ANSWER and previous is not None:
            content = previous
        if fault is Misbehaviour.DOUBLED:
            return await self._send_twice(request, content)
        if fault is Misbehaviour.DOUBLED_LATER:
            return await self._send_twice(
                request, content, self.engine.behaviour.late_ms
            )
        if fault is Misbehaviour.TRUNCATED:
            return await self._send_truncated(request, content)
        return self._make_response(content)

    async def _wait_for_connection(self, request: web.BaseRequest) -> None:
        usable_at = self._server.usable_at.get(request.protocol, 0.0)
        delay_s = usable_at - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)

    async def _execute(self, request_id: str, shard: str | None) -> bool:
        work = self.engine.start(request_id, shard)
        succeeded = False
        try:
            succeeded = await work.done
        finally:
            self.engine.finish(work, succeeded)
        return succeeded

    def _make_content(
        self,
        request_id: str,
        shard: str | None,
        version: int | None,
        body: Any,
        fault: Misbehaviour | None,
    ) -> dict[str, Any]:
        if fault is Misbehaviour.OTHER_REQUEST:
            request_id += "-other"
        if shard is None:
            return {"request_id": request_id, "result": {"ran": body}}
        if version is None:
            version = max(self.engine.behaviour.index_versions)
        if fault is Misbehaviour.OTHER_SHARD:
            shard += "-other"
        if fault is Misbehaviour.OTHER_VERSION:
            version += 1
        count = self.engine.behaviour.hits
        return {
            "request_id": request_id,
            "shard": shard,
            "index_version": version,
            "hits": make_hits(shard, version, body["query"], count),
        }

    def _make_state_headers(self) -> dict[str, str]:
        versions = ",".join(map(str, self.engine.behaviour.index_versions))
        return {
            "X_Upstream_State": self.engine.state,
            "X_Index_Versions": versions,
            "X_Load": f"{self.engine.load:.3f}",
        }

    def _make_response(
        self, content: dict[str, Any], status: int = 200
    ) -> web.Response:
        response = json_response(content, status, **self._make_state_headers())
        self.engine.mark_cold_signal()
        return response

    def _make_refusal_response(self, request_id: str, reason: Refusal) -> web.Response:
        content: dict[str, Any] = {"request_id": request_id, "refused": reason}
        if reason != Refusal.VERSION_GONE:
            return self._make_response(content, 503)
        content["index_versions"] = self.engine.behaviour.index_versions
        return self._make_response(content, 409)

    async def _send_truncated(
        self, request: web.BaseRequest, content: dict[str, Any]
    ) -> web.StreamResponse:
        body = msgspec.json.encode(content)
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        return _close_connection(request)

    async def _send_twice(
        self, request: web.BaseRequest, content: dict[str, Any], delay_ms: float = 0.0
    ) -> web.StreamResponse:
        # The second copy stays in the connection until the client reads again.
        response = self._make_response(content)
        await response.prepare(request)
        await response.write_eof()
        if delay_ms > 0:
            await asyncio.sleep(delay_ms / MS_PER_S)
        body = msgspec.json.encode(content)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        if request.transport is not None:
            request.transport.write(head.encode() + body)
        return response


def _append_to_journal(path: Path | None, request_id: str) -> None:
    if path is not None:
        # Unbuffered, so that the id is in the file before the request runs.
        with path.open("ab", 0) as journal:
            journal.write(f"{request_id}\n".encode())


def _read_version(request: web.BaseRequest) -> int | None:
    text = request.headers.get("X-Index-Version")
    return None if text is None or request.path == "/run" else int(text)


def _close_connection(request: web.BaseRequest) -> web.Response:
    # The response is not sent, but aiohttp requires one from every handler.
    if request.transport is not None:
        request.transport.close()
    return web.Response(status=500)
