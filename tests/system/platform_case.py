"""Base of tests with a fleet of daemons against the stand-ins of the platform."""

import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

import aiohttp

from celeryferry_standins.platform.fleet import PlatformFleet
from celeryferry_standins.platform.upstream import HEALTH_PATH
from celeryferry_standins.processes import StartError, wait_until

SHARDS = ("s0", "s1", "s2", "s3")
# Ends a test that hangs.
TEST_TIMEOUT = timedelta(seconds=40)
LOOKUP = {
    "name": "lookup",
    "host": "a.example",
    "path_prefix": "/lookup/",
    "type": "idempotent",
    "timeout_ms": 5_000,
    "target_latency_ms": 4_000,
    "gather": list(SHARDS),
    "attempts": 2,
    "top_k": 3,
    "min_shard_ratio": 1.0,
}
ORDER = {
    "name": "order",
    "host": "a.example",
    "path_prefix": "/order/",
    "type": "non_idempotent",
    "timeout_ms": 5_000,
    "target_latency_ms": 4_000,
    "backend": "orders",
    "attempts": 2,
}


def make_configuration(version: int, *routes: dict) -> dict:
    """Return a configuration as operators publish it."""
    names = (*SHARDS, "orders")
    backends = [
        {
            "name": name,
            "max_conns": 80,
            "warmup_per_s": 0.0,
            "health_check": HEALTH_PATH,
        }
        for name in names
    ]
    return {"version": version, "routes": list(routes), "backends": backends}


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, upstreams and one daemon in each failure domain."""

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        path = Path(self.folder.name)
        self.fleet = PlatformFleet(path, (*SHARDS, "orders"))
        self.session = aiohttp.ClientSession()
        self.request_count = 0
        await self.fleet.start(make_configuration(1, LOOKUP, ORDER))
        await self.wait(
            self.do_all_hosts_list_all, "every host lists all hosts to callers"
        )

    async def asyncTearDown(self):
        await self.session.close()
        await self.fleet.stop()
        self.folder.cleanup()

    async def wait(self, condition, what: str):
        """Wait for a condition; print the logs of the processes on a time-out."""
        try:
            await wait_until(condition, TEST_TIMEOUT, what)
        except StartError:
            print(self.fleet.read_logs())
            raise

    async def list_entry_hosts(self, host) -> set[str]:
        """Return the entry hosts that a host lists, none if it does not answer."""
        url = f"http://{host.addresses['directory']}/resolve"
        try:
            async with self.session.get(url, params={"zone": host.zone}) as response:
                if response.status != 200:
                    return set()
                return set((await response.json())["addrs"])
        except aiohttp.ClientError:
            return set()

    async def do_all_hosts_list_all(self) -> bool:
        """Return whether every host lists all hosts as entry hosts."""
        listed = [await self.list_entry_hosts(host) for host in self.fleet.hosts]
        return all(len(addresses) == len(self.fleet.hosts) for addresses in listed)

    async def send(self, host, path="/lookup/1", method="GET", body=None):
        """Send a request to a host; returns status, headers, body and its id."""
        self.request_count += 1
        request_id = f"id-{self.request_count}"
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "5000",
        }
        url = f"http://{host.addresses['http']}{path}"
        async with self.session.request(
            method, url, headers=headers, data=body
        ) as response:
            content = await response.read()
            return response.status, response.headers, content, request_id

    def list_runs(self, request_id: str) -> list[str]:
        """Return the ids of the upstreams that ran a request."""
        return [r.instance_id for r in self.fleet.upstreams if r.runs[request_id]]
