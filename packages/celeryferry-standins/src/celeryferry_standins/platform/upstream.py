"""Stand-in for an upstream of the platform."""

import asyncio
import time
from collections import Counter
from datetime import timedelta

from aiohttp import web

RECORD_BYTES = 16
HEALTH_PATH = "/healthz"


class PlatformUpstream:
    """Upstream that answers requests and counts their executions.

    :param instance_id: id of this incarnation.
    :param service: service that it belongs to.
    :param zone: failure domain that it is in.
    :param work_time: time that a request takes.
    :ivar runs: executions by request id.
    :ivar refused_count: requests that were meant for another instance.
    :ivar arrivals: request ids with the monotonic time at which each arrived, without
        those that were meant for another instance.
    :ivar is_leaving: whether all answers say that it leaves.
    :ivar pause: pause that it asks for; it turns each request away. None to serve.
    :ivar started_ms: time of its start as its entry states it.
    :ivar cold_time: time for which its entry says that it is cold.
    :ivar cold_until: monotonic time until which it says so when it is asked.
    :ivar question_count: how often it was asked for its health.
    :ivar address: ``ip:port`` once started.
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        zone: str,
        work_time: timedelta = timedelta(milliseconds=2),
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.zone = zone
        self.work_time = work_time
        self.runs: Counter[str] = Counter()
        self.refused_count = 0
        self.arrivals: list[tuple[str, float]] = []
        self.is_leaving = False
        self.pause: timedelta | None = None
        self.started_ms = 1
        self.cold_time = timedelta(0)
        self.cold_until = 0.0
        self.question_count = 0
        self._is_lit = asyncio.Event()
        self._is_lit.set()
        self.address = ""
        self._server: web.Server | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on a loopback address, after a stop at the same one again."""
        self._server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.1)
        await self._runner.setup()
        port = int(self.address.rpartition(":")[2] or 0)
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        ip, port = self._runner.addresses[0][:2]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def go_dark(self) -> None:
        """Answer nothing any more, without closing a connection."""
        self._is_lit.clear()

    def return_anew(self, cold_time: timedelta) -> None:
        """Answer again as a new process, which is cold and knows no connection."""
        self.started_ms += 1
        self.cold_until = time.monotonic() + cold_time.total_seconds()
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self._is_lit.set()

    def make_entry(self, lifecycle: str = "ready") -> dict[str, object]:
        """Return the entry that the store holds of this upstream.

        :param lifecycle: ``ready`` or ``draining``.
        """
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 4,
            "lifecycle": lifecycle,
            "warmup_left_ms": self.cold_time // timedelta(milliseconds=1),
            "seq": 1,
            "born": self.started_ms,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await self._is_lit.wait()
        if request.path == HEALTH_PATH:
            return self._answer_health()
        request_id = request.headers.get("X-Request-Id", "")
        if request.headers.get("X-Expect-Instance") != self.instance_id:
            self.refused_count += 1
            return web.Response(status=421)
        self.arrivals.append((request_id, time.monotonic()))
        notice = {"Server-Leaving": "1"} if self.is_leaving else {}
        await request.read()
        if self.pause is not None:
            notice["Retry-After"] = str(self.pause.total_seconds())
            notice["X-Not-Executed"] = "1"
            return web.Response(status=503, headers=notice)
        self.runs[request_id] += 1
        await asyncio.sleep(self.work_time.total_seconds())
        record = self.instance_id.encode().rjust(RECORD_BYTES)[:RECORD_BYTES]
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.instance_id}.{request_id}",
            "X-Server-Load": "1,0,4",
            **notice,
        }
        return web.Response(body=record, headers=headers)

    def _answer_health(self) -> web.Response:
        self.question_count += 1
        headers = {"X-Instance-Id": self.instance_id}
        left_ms = int((self.cold_until - time.monotonic()) * 1000)
        if left_ms > 0:
            headers["X-Warmup-Ms"] = str(left_ms)
        return web.Response(headers=headers)
