"""Stand-ins for the platform, the replicas and the clients of the second review.

They follow the users' pages and use the standard library only. All of them run in the
process of a script; the daemons are separate processes, started with the command of the
deploy file. Times are monotonic seconds.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
LISTENERS = ("http", "readiness", "admin", "directory")
# The bounds of the site file reperes-crue.toml, as SYSTEM.md states them.
PARAMETERS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_timeout_ms": 5000,
    "sync_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 12000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_burst": 116,
    "warmup_excess": 1.5,
    "warmup_tolerance": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "ttl_max_s": 5,
}
HEARTBEAT_S = 1.2
HOST_NAME = "hufi27.example"
START_TIMEOUT_S = 20.0


class NotRunError(Exception):
    """The case could not be run."""


class Record:
    """Lines of ``record.txt``, with the seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self._started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{time.monotonic() - self._started_at:8.3f} s  {text}")

    def at(self, moment: float) -> str:
        """Return a monotonic time in seconds since the start of the script."""
        return f"{moment - self._started_at:.3f} s"

    def save(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Message:
    """A request or response of HTTP/1.1, read completely."""

    __slots__ = ("body", "first_line", "headers")

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length; None if the connection ended before its head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(lines[0], headers, body)


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class HttpServer:
    """Listens on a loopback address and answers one request at a time."""

    def __init__(self, answer: Callable[[Message], Awaitable[bytes | None]]) -> None:
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._is_lit = asyncio.Event()
        self._is_lit.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def go_dark(self) -> None:
        """Read and answer nothing any more, without closing a connection."""
        self._is_lit.clear()

    def return_anew(self) -> None:
        """Answer again, as a new process that knows no earlier connection."""
        self._is_lit.set()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._wait_until_lit():
                    break
                response = await self._answer(request)
                if response is None or not await self._wait_until_lit():
                    break
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _wait_until_lit(self) -> bool:
        """Return whether the server is not dark; if it is, wait until it is not."""
        if self._is_lit.is_set():
            return True
        await self._is_lit.wait()
        return False


class Store:
    """The platform's store: items with revisions, range reads and watches."""

    def __init__(self) -> None:
        self._is_up = asyncio.Event()
        self._is_up.set()
        self.revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._answer)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    @property
    def address(self) -> str:
        """``ip:port`` of the store."""
        return self._server.address

    def set_silent(self, is_silent: bool) -> None:
        """Give no answers any more, as if the store were down, or give them again."""
        if is_silent:
            self._is_up.clear()
        else:
            self._is_up.set()

    async def put(self, key: str, value: object) -> float:
        """Write an item, and return the time of the acknowledgement."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.revision += 1
        item = {"key": key, "value": text, "revision": self.revision}
        self._items[key] = item | {"created": self.revision, "lease": 0}
        return await self._publish(self._items[key])

    async def delete(self, key: str) -> float:
        """Remove an item, and return the time of the acknowledgement."""
        self.revision += 1
        self._items.pop(key, None)
        return await self._publish(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    async def _publish(self, event: dict) -> float:
        acknowledged_at = time.monotonic()
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()
        return acknowledged_at

    async def _answer(self, request: Message) -> bytes | None:
        parts = urlsplit(request.target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("path_prefix", "")
        match parts.path:
            case "/kv-range":
                await self._wait_while_silent()
                items = sorted(self._items.items())
                content = {
                    "items": [item for key, item in items if key.startswith(prefix)],
                    "truncated": False,
                    "as_of": self.revision,
                }
            case "/kv-watch":
                content = await self._watch(
                    prefix, int(query["after"]), int(query["wait_ms"]) / 1000
                )
            case _:
                return encode_response(404, {})
        body = json.dumps(content).encode()
        return encode_response(200, {"Content-Type": "application/json"}, body)

    async def _watch(self, prefix: str, after: int, wait_s: float) -> dict:
        def list_events() -> list[dict]:
            return [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not list_events():
                    async with self._changed:
                        await self._changed.wait()
        await self._wait_while_silent()
        return {"events": list_events(), "as_of": self.revision}

    async def _wait_while_silent(self) -> None:
        """Hold the answer while the store is silent; its caller gives up before."""
        await self._is_up.wait()


class Replica:
    """A replica of one service.

    :ivar arrivals: time, request id and target of each request that was meant for it.
    :ivar arrivals_refused: those of them that it turned away.
    :ivar crash_rate_per_s: it ends when it gets more than this in one second while it
        is cold; None to bear any rate.
    :ivar has_crashed: whether it has ended for this reason.
    :ivar running: ids of the requests that it is working on.
    :ivar health_count: health checks that it has answered while cold.
    :ivar refusal: headers with which it turns each request away, None to serve.
    """

    def __init__(
        self, instance_id: str, service: str, zone: str, work_s: float
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.arrivals: list[tuple[float, str, str]] = []
        self.arrivals_refused: list[tuple[float, str, str]] = []
        self.health_count = 0
        self.refusal: dict[str, str] | None = None
        self.crash_rate_per_s: float | None = None
        self.has_crashed = False
        self.running: set[str] = set()
        self._cold_from = 0.0
        self._cold_until = 0.0
        self.born_ms = int(time.time() * 1000)
        self._server = HttpServer(self._answer)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.stop()

    @property
    def key(self) -> str:
        """Key of its entry in the store."""
        return f"servers/{self.instance_id}"

    def become_cold(self, cold_s: float) -> None:
        """Become cold for some time."""
        self._cold_from = time.monotonic()
        self._cold_until = self._cold_from + cold_s

    def go_dark(self) -> None:
        """Let its machine go dark."""
        self._server.go_dark()

    def return_anew(self, cold_s: float) -> None:
        """Start a new process under the same id and address, which is cold."""
        self.born_ms = int(time.time() * 1000)
        self.become_cold(cold_s)
        self._server.return_anew()

    def compute_warmup_left_ms(self) -> int:
        """Return for how many milliseconds it is still cold."""
        return max(0, int((self._cold_until - time.monotonic()) * 1000))

    def _crash_if_overloaded(self) -> None:
        now = time.monotonic()
        if self.crash_rate_per_s is None or not self.compute_warmup_left_ms():
            return
        started_at = max(self._cold_from, now - 1)
        count = sum(started_at < at for at, _, _ in self.arrivals)
        if count > self.crash_rate_per_s:
            self.has_crashed = True
            self.stop()

    def make_entry(self) -> dict:
        """Return its entry in the store."""
        return {
            "backend": self.service,
            "address": self._server.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 4,
            "lifecycle": "ready",
            "warmup_left_ms": self.compute_warmup_left_ms(),
            "seq": 1,
            "born": self.born_ms,
        }

    async def _answer(self, request: Message) -> bytes:
        if request.target == "/healthz":
            left_ms = self.compute_warmup_left_ms()
            cold = {"X-Warmup-Ms": str(left_ms)} if left_ms else {}
            self.health_count += bool(left_ms)
            return encode_response(200, {"X-Instance-Id": self.instance_id} | cold)
        if request.headers.get("x-expect-instance") != self.instance_id:
            return encode_response(421, {"X-Instance-Id": self.instance_id})
        request_id = request.headers.get("x-request-id", "")
        self.arrivals.append((time.monotonic(), request_id, request.target))
        echo = {"X-Request-Id": request_id, "X-Server-Load": "1,0,4"}
        if self.refusal is not None:
            self.arrivals_refused.append(self.arrivals[-1])
            return encode_response(503, echo | self.refusal)
        self.running.add(request_id)
        self._crash_if_overloaded()
        await asyncio.sleep(self.work_s)
        if not self.has_crashed:
            self.running.discard(request_id)
        stamp = {"X-Server-Stamp": f"{self.instance_id}.{request_id}"}
        return encode_response(200, echo | stamp, b"answer of one record")


def read_command() -> list[str]:
    """Return the command of the role that serves clients, from the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = (each for each in deploy["roles"].values() if "edge" in each["serves"])
    return role["run"].split()


class Machine:
    """A machine of the system, which runs one daemon.

    :param name: name of the machine.
    :ivar addresses: ``ip:port`` by listener.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        # The sockets stay bound, so that no other process gets their ports.
        self._reserved = [_reserve_port() for _ in LISTENERS]
        self.addresses = {
            listener: f"127.0.0.1:{reserved.getsockname()[1]}"
            for listener, reserved in zip(LISTENERS, self._reserved, strict=True)
        }
        self._process: subprocess.Popen | None = None

    def start(self, folder: Path, settings: dict) -> None:
        """Start the daemon with the command of the deploy file."""
        own = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": "127.0.0.1",
            "bind_addrs": self.addresses,
        }
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(settings | own))
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment |= {
            "CELERYFERRY_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                read_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that was started here."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_for_end(self) -> None:
        """Wait until the process has ended by itself.

        :raises NotRunError: if it is still there after twice the time that it has.
        """
        deadline = time.monotonic() + 2 * PARAMETERS["grace_s"]
        while self._process is not None and self._process.poll() is None:
            if time.monotonic() > deadline:
                raise NotRunError(f"{self.name} did not end")
            await asyncio.sleep(0.02)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    def close(self) -> None:
        """Kill the process and release its ports."""
        self.kill()
        for reserved in self._reserved:
            reserved.close()

    async def is_ready(self) -> bool:
        """Ask the machine for its readiness, as the platform does."""
        try:
            async with asyncio.timeout(1):
                response = await call(self.addresses["readiness"], "/readyz", {})
        except (OSError, TimeoutError):
            return False
        return response is not None and response.status == 200


def _reserve_port() -> socket.socket:
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


def encode_request(target: str, headers: dict[str, str]) -> bytes:
    """Return a request without a body."""
    lines = [f"GET {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def call(address: str, target: str, headers: dict[str, str]) -> Message | None:
    """Send a request on a new connection and return the response."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(encode_request(target, {"Host": address} | headers))
        return await read_message(reader)
    finally:
        writer.transport.abort()


class KeptConnection:
    """A client's connection to one machine, which carries one request at a time."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect.

        :raises OSError: if the machine refuses the connection.
        """
        ip, _, port = self._machine.addresses["http"].rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))

    async def send(
        self, path: str, request_id: str, deadline_ms: int
    ) -> Message | None:
        """Send a request; returns None if the connection ends without an answer."""
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        assert self._reader is not None and self._writer is not None
        try:
            self._writer.write(encode_request(path, headers))
            return await read_message(self._reader)
        except (OSError, asyncio.IncompleteReadError):
            return None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None


class Client:
    """Sends requests to one machine on a kept connection, one after the other.

    :ivar sent: time of sending and status of each request, by its id. The status is
        None without an answer, or if no connection could be opened.
    """

    def __init__(self, name: str, machine: Machine, path: str) -> None:
        self.name = name
        self.machine = machine
        self._path = path
        self.sent: dict[str, tuple[float, int | None]] = {}

    async def run(self, interval_s: float, deadline_ms: int) -> None:
        """Send a request in each interval until cancelled."""
        connection: KeptConnection | None = None
        try:
            while True:
                request_id = f"{self.name}-{len(self.sent)}"
                sent_at, response = time.monotonic(), None
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(deadline_ms / 1000):
                        if connection is None:
                            connection = KeptConnection(self.machine)
                            await connection.open()
                        response = await connection.send(
                            self._path, request_id, deadline_ms
                        )
                status = None if response is None else response.status
                self.sent[request_id] = (sent_at, status)
                is_closing = response is None or (
                    response.headers.get("connection", "").lower() == "close"
                )
                if is_closing and connection is not None:
                    connection.close()
                    connection = None
                elapsed_s = time.monotonic() - sent_at
                await asyncio.sleep(max(0.0, interval_s - elapsed_s))
        finally:
            if connection is not None:
                connection.close()


def make_configuration(
    service: str, path: str, route_type: str, warmup_per_s: float = 0.0
) -> dict:
    """Return a configuration with one route to one service.

    :param route_type: ``idempotent`` or ``non_idempotent``.
    :param warmup_per_s: requests per second that a cold replica bears.
    """
    route = {
        "name": "r-1",
        "host": HOST_NAME,
        "path_prefix": path,
        "type": route_type,
        "timeout_ms": 2000,
        "target_latency_ms": 600,
        "priority": 1,
        "attempts": 2,
        "backend": service,
    }
    backend = {
        "name": service,
        "health_check": "/healthz",
        "max_conns": 214,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "warmup_per_s": warmup_per_s,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": 7, "routes": [route], "backends": [backend], "limits": limits}


class Deployment:
    """Store, replicas and machines of one script.

    :param folder: folder of the case.
    :ivar record: lines of ``record.txt``.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.replicas: list[Replica] = []
        self.machines: list[Machine] = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._temporary = tempfile.TemporaryDirectory()
        self._folder = Path(self._temporary.name)
        self._tasks: list[asyncio.Task] = []

    @property
    def settings(self) -> dict:
        """Settings that all machines share."""
        zones = {machine.zone: "souss-massa" for machine in self.machines}
        first_by_zone = {m.zone: m for m in reversed(self.machines)}
        return {
            "role": "daemon",
            "instance_class": "edge",
            "serves": ["edge", "control", "directory"],
            "region": "souss-massa",
            "zones": zones,
            "seed_nodes": [m.addresses["admin"] for m in first_by_zone.values()],
            "bootstrap": True,
            "limits": {
                "cpu_quota": 0.731,
                "cpus": 1,
                "memory_mb": 222,
                "max_fds": 1535,
                "bandwidth_mbps": 350.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "ingress": "directory",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "parameters": PARAMETERS,
            "platform": {
                "address": self.store.address,
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }

    async def start(self, configuration: dict) -> None:
        """Start everything and wait until all machines are ready."""
        await self.store.start()
        await self.store.put("op/config", configuration)
        for replica in self.replicas:
            await replica.start()
            await self.store.put(replica.key, replica.make_entry())
        for machine in self.machines:
            self.start_machine(machine)
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all([await machine.is_ready() for machine in self.machines]):
            if time.monotonic() > deadline:
                raise NotRunError("the machines did not become ready")
            await asyncio.sleep(0.1)
        self.record.note("all machines are ready")

    def start_machine(self, machine: Machine) -> None:
        """Start the daemon of a machine."""
        machine.start(self._folder, self.settings)

    def spawn(self, work: Awaitable) -> None:
        """Run something until the end of the script."""
        self._tasks.append(asyncio.ensure_future(work))

    def read_log(self, machine: Machine) -> list[str]:
        """Return the lines that the daemons of a machine have written."""
        path = self._folder / f"{machine.name}.log"
        return path.read_text(errors="replace").splitlines()

    async def stop(self) -> None:
        """End all processes and connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            machine.close()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        self._temporary.cleanup()


@contextlib.asynccontextmanager
async def open_deployment(folder: Path) -> AsyncIterator[Deployment]:
    """Provide a deployment, and end all that it has started."""
    deployment = Deployment(folder)
    try:
        yield deployment
    finally:
        await deployment.stop()


def run_case(
    play: Callable[[Deployment], Awaitable[list[str]]], folder: Path, limit_s: float
) -> None:
    """Run a case and exit with its result.

    :param play: plays the case and returns what broke the rule.
    :param folder: folder of the case, which receives ``record.txt``.
    """

    async def run() -> int:
        async with open_deployment(folder) as deployment:
            record = deployment.record
            record.note(f"trouble: {'yes' if deployment.has_trouble else 'no'}")
            try:
                async with asyncio.timeout(limit_s):
                    breaks = await play(deployment)
            except Exception as error:
                # An unforeseen error of the script must not count as a broken rule.
                record.note(f"not run: {error!r}")
                record.save()
                return EXIT_NOT_RUN
            for text in breaks:
                record.note(f"BROKEN {text}")
            record.note(f"result: {'broken' if breaks else 'held'}")
            record.save()
            print("broken" if breaks else "held", *breaks[:3], sep="\n  ")
            return EXIT_BROKEN if breaks else EXIT_HELD

    sys.exit(asyncio.run(run()))
