"""Proofs: an accepted configuration is in force everywhere and never reverts."""

import subprocess
import sys
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from celeryferry_core.models.views import DocumentVersion
from celeryferry_standins.processes import StartError, wait_until
from tests.proofs.support_config import (
    SERVICE,
    ConfigCase,
    activated_old,
    change,
    count_work,
    make_plan,
    name_hosts,
    read_version,
    render_variant,
    running_load,
    wait_for_reads,
    wait_in_force,
    write,
)

# Reads after which every watcher has had several answers.
MANY_READS = 40
MAX_STARTS = 6
# A daemon that takes the old version gets the new one back from the first peer that
# still has it, so an outage undoes the change for good only if all take the old one.
MAX_OUTAGES = 3


async def start_again(fleet, host_id):
    """Kill a daemon and start it again as a new process."""
    fleet.kill_daemon(host_id)
    await fleet.start_daemon(host_id)


class TestConfiguration(ConfigCase):
    """Guards against changes that do not arrive, or that are undone later."""

    plan = make_plan()

    def tearDown(self):
        """Check the samples of all daemons since the start of the fleet."""
        self.assert_never_fell()

    def test_service_down_then_stale(self):
        self.run_async(self.check_service_down_then_stale())

    async def check_service_down_then_stale(self):
        fleet = self.fleet
        old = (await fleet.control_configuration())["revision"]
        version = await change(fleet, failure_domains_out=("a",))
        await wait_in_force(fleet, version)
        async with running_load(fleet) as load:
            worked = await count_work(fleet, "a")
            await fleet.control_configuration(down="refuses")
            await start_again(fleet, "b-1")
            self.assertEqual(await read_version(fleet, "b-1"), version)
            await fleet.control_configuration(down="no", stale_at=old)
            await start_again(fleet, "c-1")
            self.assertEqual(await read_version(fleet, "c-1"), version)
            for host_id in ("b-1", "c-1"):
                self.assertFalse(activated_old(fleet, host_id, version))
            await wait_for_reads(fleet, MANY_READS)
            await wait_in_force(fleet, version)
            self.assertEqual(await count_work(fleet, "a"), worked)
            await fleet.control_configuration(stale_at=-1)
        self.assertEqual([f for one in load.records for f in one.faults], [])
        version = await change(fleet, failure_domains_out=())
        await wait_in_force(fleet, version)

    def test_partition_and_race_of_two_operators(self):
        self.run_async(self.check_partition_and_race())

    async def check_partition_and_race(self):
        """The majority sees the first write, a cut-off domain only the second."""
        fleet = self.fleet
        version = await change(fleet)
        await wait_in_force(fleet, version)
        cut, rest = name_hosts(fleet, "c"), name_hosts(fleet, "a", "b")
        await fleet.partition(cut, rest)
        for host_id in cut:
            await fleet.control_daemon(host_id, configuration_service=True)
        first = await change(fleet, failure_domains_out=("b",))
        await wait_in_force(fleet, first, rest)
        for host_id in cut:
            self.assertEqual(await read_version(fleet, host_id), version)
        document = fleet.documents[SERVICE]
        await write(fleet, render_variant(document, failure_domains_out=("a",)))
        for host_id in cut:
            await fleet.control_daemon(host_id, configuration_service=False)
        second = DocumentVersion(first.version, first.revision + 1)
        await wait_in_force(fleet, second, cut)
        await fleet.partition()
        await wait_in_force(fleet, first)
        worked = await count_work(fleet, "b")
        async with running_load(fleet) as load:
            await wait_for_reads(fleet, MANY_READS)
        await wait_in_force(fleet, first)
        self.assertEqual(await count_work(fleet, "b"), worked)
        self.assertEqual([one.error for one in load.records if one.error], [])
        await wait_in_force(fleet, await change(fleet, failure_domains_out=()))

    def test_watcher_killed_and_watcher_paused(self):
        self.run_async(self.check_watcher_killed_and_watcher_paused())

    async def check_watcher_killed_and_watcher_paused(self):
        fleet = self.fleet
        killed, paused = (
            next(
                name for name in sorted(name_hosts(fleet, domain)) if self.watches(name)
            )
            for domain in ("a", "b")
        )
        fleet.kill_daemon(killed)
        process = fleet.daemons[paused].process
        process.pause()
        try:
            version = await change(fleet)
            await wait_in_force(fleet, version, set(fleet.daemons) - {killed, paused})
        finally:
            process.resume()
        await wait_in_force(fleet, version, {paused})
        await fleet.start_daemon(killed)
        await wait_in_force(fleet, version)

    def watches(self, host_id):
        return self.latest(host_id).status["watching"]

    def test_invalid_document_is_refused_with_the_text_of_check(self):
        self.run_async(self.check_invalid_document())

    async def check_invalid_document(self):
        fleet = self.fleet
        version = await change(fleet)
        await wait_in_force(fleet, version)
        document = fleet.documents[SERVICE]
        text = render_variant(document, version=version.version + 1, deadline_ms=0)
        text = text.replace('team = "test"', 'teem = "test"')
        revision = await write(fleet, text)
        expected = "; ".join(list_mistakes(text))

        async def is_refused():
            hosts = [host for host in fleet.daemons if self.watches(host)]
            found = [self.latest(host).status["rejected"] for host in hosts]
            return len(hosts) == 6 and all(
                [(one["revision"], one["reason"]) for one in each]
                == [(revision, expected)]
                for each in found
            )

        await wait_until(is_refused, timedelta(seconds=5), "refusal by the watchers")
        for host_id in fleet.daemons:
            self.assertEqual(await read_version(fleet, host_id), version)
        await wait_in_force(fleet, await change(fleet))


def list_mistakes(text):
    """List what ``celeryferry check`` says about a document."""
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory, "document.toml")
        file.write_text(text)
        command = [sys.executable, "-m", "celeryferry_cli", "check", str(file)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=20)
    lines = (done.stdout + done.stderr).splitlines()
    return [line.removeprefix(f"{file}: ") for line in lines if str(file) in line]


class WithoutMechanism(ConfigCase):
    """One daemon in each failure domain, without one mechanism."""

    def setUp(self):
        """Note the revision before the change."""
        state = self.run_async(self.fleet.control_configuration())
        self.old = state["revision"]

    async def take_a_out_and_go_stale(self):
        """Take a failure domain out, then let the service forget it."""
        version = await change(self.fleet, failure_domains_out=("a",))
        await wait_in_force(self.fleet, version)
        await self.fleet.control_configuration(stale_at=self.old)
        return version


class TestWithoutVersionOrder(WithoutMechanism):
    """Shows that a stale service undoes a change without the order of versions."""

    plan = make_plan(daemons_per_domain=1, without=("version_order",))

    def test_stale_service_reverts(self):
        self.run_async(self.check_stale_service_reverts())

    async def check_stale_service_reverts(self):
        old = await read_version(self.fleet, "a-1")
        for _ in range(MAX_OUTAGES):
            await self.take_a_out_and_go_stale()
            if await self.becomes_active(old):
                break
            await self.fleet.control_configuration(stale_at=-1)
        worked = await count_work(self.fleet, "a")

        async def has_work():
            return await count_work(self.fleet, "a") > worked

        # Callers that ask before the change is undone keep to the other domains.
        async with running_load(self.fleet, domain="a"):
            await wait_until(has_work, timedelta(seconds=8), "work in the domain out")
        falls = self.sampler.list_falls()
        self.assertTrue(falls)

    async def becomes_active(self, version):
        """Tell whether a version becomes active on all daemons."""
        try:
            await wait_in_force(self.fleet, version)
        except StartError:
            return False
        return True


class TestWithoutStartupPeers(WithoutMechanism):
    """Shows that a starting daemon serves an old version if it asks no peer."""

    plan = make_plan(daemons_per_domain=1, without=("startup_peers",))

    def test_starting_daemon_serves_an_old_version(self):
        self.run_async(self.check_starting_daemon())

    async def check_starting_daemon(self):
        version = await self.take_a_out_and_go_stale()
        # The service usually answers before the first probe, but not always.
        for _ in range(MAX_STARTS):
            await start_again(self.fleet, "a-1")
            if activated_old(self.fleet, "a-1", version):
                return
        self.fail("no start without asking peers took the old version")


if __name__ == "__main__":
    unittest.main()
