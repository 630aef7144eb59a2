"""Tests of the daemon as real processes, against stand-ins of the platform."""

import asyncio
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

import aiohttp
import msgspec

from celeryferry_standins.platform.fleet import PlatformFleet
from celeryferry_standins.processes import StartError, wait_until

SHARDS = ("s0", "s1", "s2", "s3")
ODD_ENTRIES = Path(__file__).parent.parent / "corpus" / "entries"
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
    backends = [{"name": name, "max_conns": 80, "warmup_per_s": 0.0} for name in names]
    return {"version": version, "routes": list(routes), "backends": backends}


class TestPlatformDaemon(unittest.IsolatedAsyncioTestCase):
    """Guards against failures that only real processes show.

    Requests go through sockets, several daemons and several upstreams. Hosts are
    stopped with signals, killed, and started without the store.
    """

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

    async def test_sharded_request_is_answered_in_full(self):
        """Guards against a merged response that lacks shards, records or stamps."""
        for host in self.fleet.hosts:
            status, headers, body, request_id = await self.send(host)
            self.assertEqual(status, 200)
            stamps = headers["X-Part-Stamps"].split(", ")
            self.assertEqual(len(stamps), len(SHARDS))
            self.assertTrue(all(stamp.endswith(request_id) for stamp in stamps))
            self.assertEqual(len(body), 3 * 16)

    async def test_order_runs_once_and_is_relayed(self):
        """Guards against running a request twice that must run at most once."""
        host = self.fleet.hosts[0]
        answer = await self.send(host, "/order/1", "POST", b"one order")
        self.assertEqual(answer[0], 200)
        self.assertEqual(len(self.list_runs(answer[3])), 1)
        self.assertIn(answer[3], answer[1]["X-Server-Stamp"])

    async def test_changes_are_in_force_everywhere(self):
        """Guards against a host that does not apply a new configuration or a drain."""
        extra = dict(LOOKUP, name="extra", path_prefix="/extra/")
        draining = [r for r in self.fleet.upstreams if r.zone == "za"]
        for replica in draining:
            await self.fleet.register(replica, "draining")
        await self.fleet.store.put(
            "op/config", make_configuration(2, LOOKUP, ORDER, extra)
        )

        async def is_in_force() -> bool:
            answers = [await self.send(host, "/extra/1") for host in self.fleet.hosts]
            return all(answer[0] == 200 for answer in answers)

        await self.wait(is_in_force, "version 2 on all hosts")

        async def is_drained() -> bool:
            before = sum(sum(r.runs.values()) for r in draining)
            for host in self.fleet.hosts:
                await self.send(host)
            return before == sum(sum(r.runs.values()) for r in draining)

        await self.wait(is_drained, "no work for draining upstreams")

    async def test_odd_entries_cost_only_themselves(self):
        """Guards against an entry of another writer that stops the hosts.

        An entry that can't be decoded used to end the task that follows the store, and
        it did so again after each restart of the task.
        """
        for path in sorted(ODD_ENTRIES.iterdir()):
            value = msgspec.Raw(path.read_bytes() or b" ")
            await self.fleet.store.put(f"servers/{path.stem}", value)
        extra = dict(LOOKUP, name="extra", path_prefix="/extra/")
        await self.fleet.store.put("op/config", make_configuration(2, LOOKUP, extra))

        async def is_in_force() -> bool:
            answers = [await self.send(host, "/extra/1") for host in self.fleet.hosts]
            return all(answer[0] == 200 for answer in answers)

        await self.wait(is_in_force, "version 2 on all hosts")
        for host in self.fleet.hosts:
            log = host.process.read_log()
            self.assertEqual(log.count('"event":"started"'), 1)
            self.assertEqual(log.count('"event":"item_failed"'), 0)
            self.assertGreater(log.count('"event":"item_rejected"'), 10)

    async def test_reused_address_gets_no_request_of_the_former_upstream(self):
        """Guards against a request that runs at the wrong upstream.

        An upstream has stopped and another one listens at its address, while the hosts
        still know the former one.
        """
        replica = self.fleet.upstreams[0]
        replica.instance_id = "i-other"
        status, *_ = await self.send(self.fleet.hosts[0])
        self.assertEqual(status, 200)
        self.assertGreater(replica.refused_count, 0)
        self.assertEqual(sum(replica.runs.values()), 0)

    async def test_planned_stop_drops_no_request(self):
        """Guards against dropping requests, and listing a stopping host to callers."""
        host, other = self.fleet.hosts[:2]
        for replica in self.fleet.upstreams:
            replica.work_time = timedelta(milliseconds=700)
        running = [asyncio.create_task(self.send(host)) for _ in range(5)]

        await self.wait(
            lambda: self.have_requests_reached_shards(5),
            "all requests at the upstreams",
        )
        host.process.terminate()
        answers = await asyncio.gather(*running)
        self.assertEqual([answer[0] for answer in answers], [200] * 5)

        async def is_unlisted() -> bool:
            listed = await self.list_entry_hosts(other)
            return host.addresses["http"] not in listed

        await self.wait(is_unlisted, "the stopping host is no longer listed")
        self.assertEqual(await host.process.wait(TEST_TIMEOUT), 0)

    async def have_requests_reached_shards(self, count: int) -> bool:
        """Return whether at least ``count`` requests reached every shard."""
        runs = [
            sum(sum(r.runs.values()) for r in self.fleet.upstreams if r.service == name)
            for name in SHARDS
        ]
        return min(runs) >= count

    async def test_killed_host_is_no_longer_listed(self):
        """Guards against listing a failed host to callers."""
        host, other = self.fleet.hosts[:2]
        host.process.kill()

        async def is_unlisted() -> bool:
            listed = await self.list_entry_hosts(other)
            return bool(listed) and host.addresses["http"] not in listed

        await self.wait(is_unlisted, "the killed host is no longer listed")

    async def test_host_that_starts_without_the_store_gets_its_state_from_its_peers(
        self,
    ):
        """Guards against a host that can't start while the store is unavailable."""
        host, *peers = self.fleet.hosts
        host.process.kill()
        await self.fleet.store.go_down()

        async def have_peers_lost_store() -> bool:
            logs = [peer.process.read_log() for peer in peers]
            return all('"source_lost"' in log for log in logs)

        await self.wait(
            have_peers_lost_store, "the peers report that the store is unavailable"
        )
        host.start(self.fleet.folder, self.fleet.settings)
        await self.wait(self.do_all_hosts_list_all, "the restarted host serves")
        self.assertEqual((await self.send(host))[0], 200)
