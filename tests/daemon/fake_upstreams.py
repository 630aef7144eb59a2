"""Fake upstreams: one that counts its work, and one that answers with raw bytes."""

import asyncio

import msgspec
from aiohttp import web

from tests.daemon.fakes import listen

SNAPSHOT = 42


class FakeUpstream:
    """Upstream that counts executions and concurrency.

    :ivar gate: cleared to hold back answers.
    :ivar state: state in answers and, unless ``health`` is set, in health answers.
    :ivar refusal: ``(status, reason)`` that refuses all requests, None to execute them.
    :ivar change_answer: changes the decoded body of each answer before it is sent.
    :ivar peak_active: largest number of concurrent executions.
    """

    def __init__(self):
        self.gate = asyncio.Event()
        self.gate.set()
        self.state = "ready"
        self.health = None
        self.refusal = None
        self.change_answer = lambda answer: answer
        self.executions = []
        self.deadlines_unix_ms = []
        self.active = self.peak_active = self.cancelled = self.polls = 0
        self.runner = self.address = None

    async def start(self, port=0):
        app = web.Application()
        app.router.add_post("/search", self._search)
        app.router.add_post("/run", self._run)
        app.router.add_get("/health", self._health)
        self.runner, self.address = await listen(app, port)
        return self

    async def stop(self):
        await self.runner.cleanup()

    async def restart(self):
        """Close all connections and listen again at the same address."""
        await self.stop()
        await self.start(int(self.address.rpartition(":")[2]))

    async def _health(self, request):
        self.polls += 1
        return web.json_response(
            {"state": self.health or self.state, "index_versions": [SNAPSHOT]}
        )

    async def _search(self, request):
        body = await request.json()
        return await self._execute(
            request,
            {
                "request_id": request.headers["X-Request-Id"],
                "shard": body["shard"],
                "index_version": int(request.headers["X-Index-Version"]),
                "hits": [{"id": "a", "score": 1.0, "query": body["query"]}],
            },
        )

    async def _run(self, request):
        body = await request.json()
        request_id = request.headers["X-Request-Id"]
        return await self._execute(request, {"request_id": request_id, "result": body})

    async def _execute(self, request, answer):
        request_id = request.headers["X-Request-Id"]
        if self.refusal is not None:
            status, reason = self.refusal
            refused = {"request_id": request_id, "refused": reason}
            return web.json_response(refused, status=status)
        self.executions.append(request_id)
        self.deadlines_unix_ms.append(int(request.headers["X-Deadline-Unix-Ms"]))
        self.active += 1
        self.peak_active = max(self.peak_active, self.active)
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.active -= 1
        headers = {
            "X-Upstream-State": self.state,
            "X-Index-Versions": f"41,{SNAPSHOT}",
        }
        return web.json_response(
            self.change_answer(answer),
            headers=headers,
            dumps=lambda value: msgspec.json.format(
                msgspec.json.encode(value)
            ).decode(),
        )


class RawUpstream:
    """Upstream on a raw socket that answers with prepared bytes.

    :ivar answers: functions that return the bytes for a request id; each is used for
        one request. Without one left, the connection is closed instead.
    :ivar closes_after_answer: whether to close the connection after each answer.
    :ivar received: bytes of requests that ended before their head or body was complete.
    """

    def __init__(self):
        self.requests = []
        self.connections = 0
        self.answers = []
        self.closes_after_answer = False
        self.closed_count = 0
        self.received = b""
        self.server = self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if head.startswith("GET"):
                    break
                fields = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:] if line
                )
                await reader.readexactly(int(fields["Content-Length"]))
                self.requests.append(fields["X-Request-Id"])
                answer = self.answers.pop(0) if self.answers else None
                if answer is None:
                    break
                writer.write(answer(fields["X-Request-Id"]))
                await writer.drain()
                if self.closes_after_answer:
                    break
        except asyncio.IncompleteReadError as error:
            self.received += error.partial
        except ConnectionError:
            pass
        finally:
            self.closed_count += 1
            writer.close()


def answer_run(request_id, length=None):
    body = f'{{"request_id":"{request_id}","result":1}}'
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length or len(body)}\r\n\r\n"
    return (head + body).encode()
