"""Tests of the daemon as real processes, against stand-ins of the platform."""

import asyncio
from datetime import timedelta
from pathlib import Path

import msgspec

from tests.system.platform_case import (
    LOOKUP,
    ORDER,
    SHARDS,
    TEST_TIMEOUT,
    PlatformTestCase,
    make_configuration,
)

ODD_ENTRIES = Path(__file__).parent.parent / "corpus" / "entries"


class TestPlatformDaemon(PlatformTestCase):
    """Guards against failures that only real processes show.

    Requests go through sockets, several daemons and several upstreams. Hosts are
    stopped with signals, killed, and started without the store.
    """

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

        async def are_rejections_logged() -> bool:
            # The daemon writes its lines some time after what they report.
            logs = [host.process.read_log() for host in self.fleet.hosts]
            return all(log.count('"event":"item_rejected"') > 10 for log in logs)

        await self.wait(are_rejections_logged, "more than 10 rejections on each host")
        for host in self.fleet.hosts:
            log = host.process.read_log()
            self.assertEqual(log.count('"event":"started"'), 1)
            self.assertEqual(log.count('"event":"item_failed"'), 0)

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
