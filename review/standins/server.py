"""Stand-in of one server (a replica of a service)."""

import asyncio
from collections.abc import Callable

from standins.http import Message, encode_message, read_message
from standins.ports import find_ports
from standins.record import Record


class Server:
    """Runs requests, each for the time that ``work_s`` returns, and records them.

    :param instance_id: its id in the store.
    :param slots: requests that it runs at once; others wait.
    :param work_s: returns how long a request takes.
    :ivar runs: request ids with the time at which each began to run.
    :ivar arrivals: times of the requests that were not answered with 421.
    :ivar bodies: body of each request id that it ran.
    """

    def __init__(
        self,
        record: Record,
        service: str,
        instance_id: str,
        zone: str,
        slots: int,
        work_s: Callable[[Message], float],
    ) -> None:
        self.service = service
        self.instance_id = instance_id
        self.zone = zone
        self.address = ""
        self.runs: list[tuple[str, float]] = []
        self.arrivals: list[float] = []
        self.bodies: dict[str, bytes] = {}
        self.cold_until_s = 0.0
        self.born_ms = 0
        self.lifecycle = "ready"
        self._record = record
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._work_s = work_s
        self._waiting = 0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, at the same port as before after a crash."""
        if not self.address:
            self.address = f"127.0.0.1:{find_ports(1)[0]}"
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, ip, int(port), reuse_address=True
        )

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        self._record.add(f"server {self.instance_id} crashes")

    def describe(self) -> dict:
        """Return its entry in the store."""
        cold_left_s = max(0.0, self.cold_until_s - self._record.now_s())
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self._slots,
            "lifecycle": self.lifecycle,
            "warmup_left_ms": int(cold_left_s * 1000),
            "seq": 1,
            "born": self.born_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if request.start[1] == "/healthz":
                    answer = self._answer_health()
                else:
                    answer = await self._answer(request, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except OSError:
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    def _answer_health(self) -> bytes:
        cold_left_s = max(0.0, self.cold_until_s - self._record.now_s())
        headers = [("X-Instance-Id", self.instance_id)]
        headers.append(("X-Warmup-Ms", str(int(cold_left_s * 1000))))
        return encode_message("HTTP/1.1 200 OK", headers)

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        request_id = request.get("x-request-id") or ""
        headers = [("X-Request-Id", request_id)]
        expected = request.get("x-expect-instance")
        if expected not in (None, self.instance_id):
            headers.append(("X-Not-Executed", "1"))
            return encode_message("HTTP/1.1 421 Misdirected Request", headers)
        self.arrivals.append(self._record.now_s())
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            is_complete = await self._run(request_id, request, reader)
        finally:
            self._running -= 1
            self._free.release()
        if not is_complete:
            return None
        load = f"{self._running},{self._waiting},{self._slots}"
        headers.append(("X-Server-Stamp", f"{self.instance_id}.{request_id}"))
        headers.append(("X-Server-Load", load))
        return encode_message(
            "HTTP/1.1 200 OK", headers, b"done " + request_id.encode()
        )

    async def _run(
        self, request_id: str, request: Message, reader: asyncio.StreamReader
    ) -> bool:
        """Work on a request; the work is dropped when its connection closes."""
        self.runs.append((request_id, self._record.now_s()))
        self.bodies[request_id] = request.body
        self._record.add(f"server {self.instance_id} runs {request_id}")
        end_s = self._record.now_s() + self._work_s(request)
        while self._record.now_s() < end_s:
            await asyncio.sleep(min(0.01, max(0.0, end_s - self._record.now_s())))
            if reader.at_eof() or reader.exception() is not None:
                self._record.add(
                    f"server {self.instance_id} drops {request_id}: connection closed"
                )
                return False
        self._record.add(f"server {self.instance_id} answers {request_id} with 200")
        return True
