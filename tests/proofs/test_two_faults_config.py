"""Proofs: stops and configuration changes while another fault lasts."""

import unittest
from datetime import timedelta

from celeryferry_standins.processes import wait_until
from tests.proofs.support_config import (
    ConfigCase,
    change,
    list_cut,
    make_plan,
    name_hosts,
    read_version,
    running_load,
    wait_for_calls,
    wait_in_force,
    wait_until_steady,
)

SHARDS = tuple(f"shard-{number}" for number in range(6))
DRAINED = "survey/shard-0/b/0"


class NoMajorityCase(ConfigCase):
    """Drains an upstream while a failure domain has no majority of hosts."""

    async def drain(self):
        """Kill two daemons and drain an upstream elsewhere, under load.

        :returns: work of the drained upstream once settled, calls that ended
            after that, and all calls.
        """
        fleet = self.fleet
        async with running_load(fleet) as load:
            await wait_until_steady(load)
            fleet.kill_daemon("a-1")
            fleet.kill_daemon("a-2")
            await fleet.control_upstream(DRAINED, draining=True)
            await wait_for_calls(load, 200)
            await wait_until_steady(load)
            worked = (await fleet.read_counters())[DRAINED].executed
            settled = {id(one) for one in load.records}
            await wait_for_calls(load, 80)
            records = [one for one in load.records if id(one) not in settled]
            worked = (await fleet.read_counters())[DRAINED].executed - worked
        return worked, records, load.records


class TestTwoFaults(NoMajorityCase):
    """Guards against answers that state coverage wrongly while two faults last."""

    plan = make_plan(SHARDS)

    def test_a_change_while_a_watcher_is_paused_and_another_cut_off(self):
        self.run_async(self.check_change())

    async def check_change(self):
        fleet = self.fleet
        paused, cut = (
            next(one for one in sorted(name_hosts(fleet, domain)) if self.watches(one))
            for domain in ("a", "b")
        )
        rest = frozenset(fleet.daemons) - {paused, cut}
        await fleet.partition(frozenset({cut}), rest | {paused})
        await fleet.control_daemon(cut, configuration_service=True)
        process = fleet.daemons[paused].process
        process.pause()
        try:
            version = await change(fleet)
            await wait_in_force(fleet, version, rest)
            self.assertNotEqual(await read_version(fleet, cut), version)
        finally:
            process.resume()
        await fleet.control_daemon(cut, configuration_service=False)
        await fleet.partition()
        await wait_in_force(fleet, version)
        self.assert_never_fell()

    def watches(self, host_id):
        return self.latest(host_id).status["watching"]

    def test_a_start_with_a_stale_service_while_another_daemon_stops(self):
        self.run_async(self.check_start_and_stop())

    async def check_start_and_stop(self):
        fleet = self.fleet
        old = (await fleet.control_configuration())["revision"]
        version = await change(fleet)
        await wait_in_force(fleet, version)
        await fleet.control_configuration(stale_at=old)
        fleet.kill_daemon("c-1")

        async def is_known():
            rest = [self.latest(one) for one in fleet.daemons if one != "c-1"]
            return all("c-1" not in one.status["live_hosts"] for one in rest)

        # From here on no caller is told to use the killed host.
        await wait_until(is_known, timedelta(seconds=5), "c-1 is down everywhere")
        async with running_load(fleet, sorted(set(fleet.daemons) - {"c-1"})) as load:
            await wait_until_steady(load)
            before = {id(one) for one in load.records}
            process = fleet.daemons["b-1"].process
            process.terminate()
            await fleet.start_daemon("c-1")
            self.assertEqual(await read_version(fleet, "c-1"), version)
            self.assertEqual(await process.wait(timedelta(seconds=15)), 0)
            records = [one for one in load.records if id(one) not in before]
        self.assertEqual(list_cut(records), [])
        await wait_in_force(fleet, version, set(fleet.daemons) - {"b-1"})
        await fleet.control_configuration(stale_at=-1)
        await fleet.start_daemon("b-1")
        self.assert_never_fell()

    def test_no_majority_in_one_domain_and_a_drained_upstream_elsewhere(self):
        worked, records, everything = self.run_async(self.drain())
        self.assertEqual(worked, 0)
        self.assertEqual(list_cut(records), [])
        self.assertEqual([f for one in everything for f in one.faults], [])


class TestWithoutDrainCheck(NoMajorityCase):
    """Shows that the drained upstream gets work if nobody looks for the drain."""

    plan = make_plan(SHARDS, without=("drain_check",))

    def test_no_majority_in_one_domain_and_a_drained_upstream_elsewhere(self):
        worked, _, _ = self.run_async(self.drain())
        self.assertGreater(worked, 0)


if __name__ == "__main__":
    unittest.main()
