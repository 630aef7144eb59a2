"""Stand-ins of the third review: store, servers, clients, and the daemons they use.

Everything but the daemons runs in the process of the script. Only the standard library
is used, and all addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
RUN = ["python3", "deploy/celeryferryd.py"]
# Bounds of the small deployments, as the platform writes them into the settings.
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
LIMITS = {
    "cpu_quota": 0.731,
    "cpus": 1,
    "memory_mb": 222,
    "max_fds": 1535,
    "bandwidth_mbps": 350.0,
    "disk_mb": 0,
}
HISTORY_S = 20


class Record:
    """Writes what happened to ``record.txt``, with the time since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self.started = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:9.3f} {text}"
        print(line, file=self._file, flush=True)

    def say(self, text):
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


async def read_head(reader):
    """Return the first line and the headers of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_answer(status, headers, body):
    """Return an HTTP response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on each connection.

    ``answer`` takes method, target, headers, body and writer, and returns the bytes of
    the response, or None to close the connection.
    """

    def __init__(self, answer):
        self._answer = answer
        self._server = None
        self.writers = set()
        self.address = ""

    async def start(self):
        """Listen, at the same address again after a stop."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                first, headers = message
                method, target, _ = first.split(" ", 2)
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                answer = await self._answer(method, target, headers, body)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The end of the script cancels what still waits.
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store: range and watch over all keys, with a revision counter."""

    def __init__(self):
        self.revision = 1
        self.era = 1
        self.is_silent = False
        self.call_count = 0
        self._items = {}
        self._events = []
        # Changes up to this revision are no longer available to a watch.
        self._history_after = 0
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)

    @property
    def address(self):
        """``ip:port`` of the store."""
        return self._server.address

    async def start(self):
        """Listen for calls."""
        await self._server.start()

    async def move(self):
        """Listen at another address, too.

        :returns: the former listener, which the caller stops.
        """
        former, self._server = self._server, HttpServer(self._handle)
        await self._server.start()
        return former

    def stop(self):
        """Close all connections."""
        self._server.stop()

    def copy(self):
        """Return what a copy of the store holds."""
        return self.revision, dict(self._items)

    def restore(self, copy):
        """Come back from a copy; what was acknowledged since is lost."""
        self.revision, self._items = copy[0], dict(copy[1])
        self._events = []
        self._history_after = self.revision
        self.era += 1
        self.is_silent = False
        for writer in list(self._server.writers):
            writer.transport.abort()

    def put(self, key, value):
        """Write an item; the return is the acknowledgement."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        known = self._items.get(key)
        created = known["created"] if known else self.revision
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self._items[key] = item
        self._publish(item)

    def delete(self, key):
        """Remove an item."""
        if key in self._items:
            self.revision += 1
            del self._items[key]
            event = {"key": key, "revision": self.revision, "deleted": True}
            self._publish(event)

    def _publish(self, event):
        now = time.monotonic()
        self._events.append((now, event))
        while now - self._events[0][0] >= HISTORY_S:
            self._history_after = self._events.pop(0)[1]["revision"]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        params = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.call_count += 1
        await asyncio.sleep(0.004)
        if self.is_silent:
            await asyncio.sleep(3600)
        if path == "/kv-range":
            items = [self._items[key] for key in sorted(self._items)]
            return self._reply({"items": items, "as_of": self.revision})
        if path == "/kv-watch":
            return await self._watch(int(params["after"]), int(params["wait_ms"]))
        return encode_answer(404, {"Store-Era": str(self.era)}, b"")

    async def _watch(self, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if not self._history_after <= after <= self.revision:
                return encode_answer(410, {"Store-Era": str(self.era)}, b"")
            events = [each for _, each in self._events if each["revision"] > after]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue
        if self.is_silent:
            await asyncio.sleep(3600)
        return self._reply({"events": events, "as_of": self.revision})

    def _reply(self, message):
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return encode_answer(200, headers, json.dumps(message).encode())


class Server:
    """One replica. ``arrivals`` holds the time, id and target of each request.

    The stand-in clients name the machine that they send to in the header X-Sent-To, so
    that arrivals can be counted by machine.
    """

    def __init__(self, name, service, zone, work_s=0.002, keep_alive_s=None):
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.keep_alive_s = keep_alive_s
        self.born = int(time.time() * 1000)
        self.cold_until = 0.0
        # Fraction of the requests that fail after they have run.
        self.failing_share = 0.0
        # Senders that it turns away once each, with this time in Retry-After.
        self.pause_s = 0
        self.told = {}
        self.arrivals = []
        self._server = HttpServer(self._handle)

    @property
    def address(self):
        """``ip:port`` of the replica."""
        return self._server.address

    async def start(self):
        """Listen, at the same address again after a stop."""
        await self._server.start()

    def stop(self):
        """End as a crash does."""
        self._server.stop()

    def begin_cold(self, cold_s):
        """Be a new process that is cold."""
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_s

    @property
    def cold_left_ms(self):
        """Time for which it stays cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def make_entry(self, lifecycle="ready", seq=1):
        """Return the entry in the store."""
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 4,
            "lifecycle": lifecycle,
            "warmup_left_ms": self.cold_left_ms,
            "seq": seq,
            "born": self.born,
        }

    async def _handle(self, method, target, headers, body):
        kept = {}
        if self.keep_alive_s is not None:
            kept["Keep-Alive"] = f"timeout={self.keep_alive_s}"
        if target == "/healthz":
            kept["X-Instance-Id"] = self.name
            if self.cold_left_ms:
                kept["X-Warmup-Ms"] = str(self.cold_left_ms)
            return encode_answer(200, kept, b"")
        if headers.get("x-expect-instance", self.name) != self.name:
            return encode_answer(421, {"X-Not-Executed": "1"}, b"")
        request_id = headers.get("x-request-id", "")
        self.arrivals.append((time.monotonic(), request_id, target))
        sender = headers.get("x-sent-to", "")
        if self.pause_s and sender not in self.told:
            self.told[sender] = time.monotonic()
            kept |= {"Retry-After": str(self.pause_s), "X-Not-Executed": "1"}
            return encode_answer(503, kept, b"")
        await asyncio.sleep(self.work_s)
        kept["X-Request-Id"] = request_id
        kept["X-Server-Stamp"] = f"{self.name}.{request_id}"
        kept["X-Server-Load"] = "1,0,4"
        if random.random() < self.failing_share:
            return encode_answer(500, kept, b"")
        return encode_answer(200, kept, self.name.encode())


class Host:
    """A machine of the system with one daemon."""

    def __init__(self, name, zone, folder):
        self.name = name
        self.zone = zone
        self.process = None
        self._folder = folder
        self._path = Path(folder) / f"{name}.json"
        self._reserved = []
        self.addresses = {}
        for listener in ("http", "readiness", "admin", "directory"):
            reserved = socket.socket()
            # The port stays reserved; the daemon can listen on it all the same.
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind(("127.0.0.1", 0))
            self._reserved.append(reserved)
            self.addresses[listener] = f"127.0.0.1:{reserved.getsockname()[1]}"

    def write_settings(self, seeds, store_address, zones):
        """Write the settings file of the daemon, as the platform does."""
        settings = {
            "node_name": self.name,
            "role": "daemon",
            "instance_class": "edge",
            "serves": ["edge", "control", "directory"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "r",
            "zones": dict.fromkeys(zones, "r"),
            "bind_addrs": self.addresses,
            "port_range": [0, 0],
            "seed_nodes": seeds,
            "bootstrap": True,
            "limits": LIMITS,
            "data_dir": None,
            "discovery": "platform",
            "ingress": "directory",
            "heartbeat_ms": 1200,
            "parameters": PARAMETERS,
            "platform": {"address": store_address, "form": "read"},
        }
        written = self._path.with_suffix(".new")
        written.write_text(json.dumps(settings))
        written.replace(self._path)

    def start(self, seeds, store_address, zones):
        """Start the daemon with the command of the deploy file."""
        self.write_settings(seeds, store_address, zones)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "CELERYFERRY_BOOT": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (Path(self._folder) / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number):
        """Send a signal to the daemon."""
        self.process.send_signal(number)

    def close(self):
        """Kill the daemon, also if it is stopped, and release the ports."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for reserved in self._reserved:
            reserved.close()


class Fleet:
    """Store, servers and hosts of one case."""

    def __init__(self, record, host_counts, servers):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.store = Store()
        self.servers = servers
        self.zones = list(host_counts)
        self.hosts = [
            Host(f"edge-{zone}-{number}", zone, self.folder)
            for zone, count in host_counts.items()
            for number in range(1, count + 1)
        ]
        self.seeds = [
            next(host for host in self.hosts if host.zone == zone).addresses["admin"]
            for zone in self.zones
        ][:3]

    async def start(self, configuration):
        """Start everything and wait until all hosts are ready."""
        await self.store.start()
        self.store.put("op/config", configuration)
        for server in self.servers:
            await server.start()
            self.register(server)
        for host in self.hosts:
            self.start_host(host)
        await self.wait_ready(self.hosts, 30)

    def start_host(self, host):
        """Start the daemon of one host."""
        host.start(self.seeds, self.store.address, self.zones)

    def reload_host(self, host):
        """Write the settings of a host anew and tell its daemon."""
        host.write_settings(self.seeds, self.store.address, self.zones)
        host.send(signal.SIGHUP)

    def register(self, server, lifecycle="ready", seq=1):
        """Write the entry of a server."""
        entry = server.make_entry(lifecycle, seq)
        self.store.put(f"servers/{server.name}", entry)

    async def wait_ready(self, hosts, seconds):
        """Wait until hosts answer 200 at their readiness address."""
        until = time.monotonic() + seconds
        for host in hosts:
            while (await fetch(host.addresses["readiness"], "/readyz"))[0] != 200:
                if time.monotonic() > until:
                    raise TimeoutError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)

    def stop(self):
        """End all processes that the case has started."""
        for host in self.hosts:
            host.close()
        for server in self.servers:
            server.stop()
        self.store.stop()

    def read_log(self, host):
        """Return the lines of a host's log that are JSON."""
        lines = []
        text = (Path(self.folder) / f"{host.name}.log").read_text()
        for line in text.splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines


async def fetch(address, target, headers=None, method="GET", timeout_s=1.0, body=b""):
    """Send one request on a new connection.

    :returns: status, headers and body; status 0 without a whole answer.
    """
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            named = {"Host": address} | (headers or {})
            lines += [f"{name}: {value}" for name, value in named.items()]
            lines.append("Connection: close")
            if body:
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode("latin-1") + body)
            message = await read_head(reader)
            if message is None:
                return 0, {}, b""
            first, answered = message
            length = int(answered.get("content-length", 0))
            content = await reader.readexactly(length) if length else b""
            return int(first.split(" ")[1]), answered, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


def make_configuration(version, routes, services):
    """Return a configuration of the operators.

    :param routes: by path prefix, the fields that differ from the defaults.
    :param services: by name, the fields that differ from the defaults.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"route-{prefix.strip('/')}",
                "host": "site.example",
                "path_prefix": prefix,
                "type": "idempotent",
                "timeout_ms": 2000,
                "target_latency_ms": 300,
                "attempts": 3,
                "priority": 1,
            }
            | fields
            for prefix, fields in routes.items()
        ],
        "backends": [
            {
                "name": name,
                "max_conns": 77,
                "warmup_s": 3,
                "warmup_per_s": 4,
                "health_check": "/healthz",
            }
            | fields
            for name, fields in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 60000,
        },
    }


async def sleep_until(at):
    """Sleep until a monotonic time."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))


def is_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, folder):
    """Run a case; the exit code is 1 if the rule broke, 0 if it held, 2 if it failed.

    :param case: coroutine function that takes the record and returns whether the rule
        held.
    """
    record = Record(folder)
    record.say(f"trouble: {is_trouble()}")

    async def bounded():
        async with asyncio.timeout(115):
            return await case(record)

    try:
        held = asyncio.run(bounded())
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
        return 2
    record.say("the rule held" if held else "the rule was broken")
    return 0 if held else 1


STOP, CONTINUE, KILL, TERM = (
    signal.SIGSTOP,
    signal.SIGCONT,
    signal.SIGKILL,
    signal.SIGTERM,
)
