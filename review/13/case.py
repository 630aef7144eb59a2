"""The operator raises a limit; kept connections go on with the former one."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import fleet  # noqa: E402

CONFIG_APPLY_S = fleet.PARAMETERS["config_apply_ms"] / 1000
HOST_COUNTS = {"agadir-a": 1, "taroudant-b": 1, "tiznit-c": 1}
CLIENTS_PER_HOST = 6
FORMER_LIMIT, NEW_LIMIT = 4096, 16384
# Size of one header of a request: above the former limit, well below the new one.
COOKIE_BYTES = 6000
REQUEST_INTERVAL_S = 0.5


class KeptClient:
    """A client that sends all its requests on one connection."""

    def __init__(self, host, name):
        self.host = host
        self.name = name
        self.count = 0

    async def connect(self):
        """Open the connection."""
        ip, _, port = self.host.addresses["http"].rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))

    async def ask(self, cookie_bytes=0):
        """Send one request and return its id and the status of the answer."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        lines = [
            "GET /read/x HTTP/1.1",
            "Host: site.example",
            f"X-Request-Id: {request_id}",
            "X-Deadline-Ms: 1000",
        ]
        if cookie_bytes:
            lines.append("Cookie: " + "c" * cookie_bytes)
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        message = await fleet.read_head(self.reader)
        if message is None:
            return request_id, 0
        first, headers = message
        length = int(headers.get("content-length", 0))
        await self.reader.readexactly(length)
        return request_id, int(first.split(" ")[1])


def make_configuration(version, header_bytes):
    """Return a configuration with a limit on the size of a request head."""
    configuration = fleet.make_configuration(
        version, {"/read/": {"backend": "reader"}}, {"reader": {}}
    )
    configuration["limits"]["max_header_bytes"] = header_bytes
    return configuration


async def case(record):
    """Return whether proper requests were served under the new limit."""
    servers = [fleet.Server(f"i-reader-{zone}", "reader", zone) for zone in HOST_COUNTS]
    world = fleet.Fleet(record, HOST_COUNTS, servers)
    first_limit = FORMER_LIMIT if fleet.is_trouble() else NEW_LIMIT
    try:
        await world.start(make_configuration(3, first_limit))
        record(f"version 3: max_header_bytes {first_limit}")
        await asyncio.sleep(4)
        clients = [
            KeptClient(host, f"{host.name}-c{number}")
            for host in world.hosts
            for number in range(CLIENTS_PER_HOST)
        ]
        for client in clients:
            await client.connect()
            record(
                "small request on a new connection: {} {}".format(*await client.ask())
            )
        if fleet.is_trouble():
            world.store.put("op/config", make_configuration(7, NEW_LIMIT))
            record(f"version 7 acknowledged: max_header_bytes {NEW_LIMIT}")
        acked_at = time.monotonic()
        total = len(clients)
        while time.monotonic() < acked_at + 2 * CONFIG_APPLY_S:
            await asyncio.sleep(REQUEST_INTERVAL_S)
            for client in clients:
                _, status = await client.ask()
                total += 1
                if status != 200:
                    raise ValueError(f"a small request got {status}")
        refused = 0
        for client in clients:
            after_s = time.monotonic() - acked_at
            request_id, status = await client.ask(COOKIE_BYTES)
            total += 1
            refused += 400 <= status < 500
            record(
                f"{request_id}: {COOKIE_BYTES} header bytes, sent {after_s:.3f} s after"
                f" the ack on the kept connection: {status}"
            )
        for host in world.hosts:
            headers = {
                "Host": "site.example",
                "X-Request-Id": f"{host.name}-new",
                "X-Deadline-Ms": "1000",
                "Cookie": "c" * COOKIE_BYTES,
            }
            status, _, _ = await fleet.fetch(host.addresses["http"], "/read/x", headers)
            record(f"{host.name}-new: the same on a new connection: {status}")
        allowed = 5 + total / 500
        record.say(
            f"{refused} of {total} proper requests were ended with a 4xx, all later"
            f" than {CONFIG_APPLY_S} s after the ack; {allowed:.1f} are allowed"
        )
        return refused <= allowed
    finally:
        world.stop()


if __name__ == "__main__":
    sys.exit(fleet.run_case(case, HERE))
