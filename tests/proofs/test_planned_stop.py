"""Proofs: a planned stop cuts no request."""

import asyncio
import subprocess
import sys
import unittest
from datetime import timedelta

from celeryferry_core.models.settings import LimitSettings
from tests.proofs.support_config import (
    SERVICE,
    ConfigCase,
    list_cut,
    make_plan,
    name_hosts,
    running_load,
    wait_for_calls,
    wait_until_steady,
)

VALIDITY_MS = 800
STOP_WITHIN = timedelta(seconds=15)
SHARDS = tuple(f"shard-{number}" for number in range(6))
LIMITS = LimitSettings(entry_hosts_valid_ms=VALIDITY_MS)


def drain_by_command(fleet, host_id):
    """Begin a planned stop with the command-line tool and return its exit code."""
    address = fleet.daemons[host_id].host.peers_address
    token = str(fleet.directory / "token")
    command = [sys.executable, "-m", "celeryferry_cli", "drain"]
    command += ["--host", address, "--token-file", token]
    return subprocess.run(command, capture_output=True, timeout=20).returncode


def find_owners(case, domain):
    """List the hosts of a failure domain that hold keys, most keys first."""
    hosts = name_hosts(case.fleet, domain)
    counted = sorted((-len(case.latest(one).status["keys"]), one) for one in hosts)
    return [name for count, name in counted if count]


async def stop_under_load(fleet, host_ids, begin):
    """Stop daemons under a steady load.

    :returns: the calls that ended after the stop began, and the exit codes.
    """
    async with running_load(fleet) as load:
        await wait_until_steady(load)
        before = {id(one) for one in load.records}
        processes = [fleet.daemons[one].process for one in host_ids]
        for host_id in host_ids:
            await begin(host_id)
        codes = [await one.wait(STOP_WITHIN) for one in processes]
        await wait_for_calls(load, 40)
        records = [one for one in load.records if id(one) not in before]
    return records, codes


class TestPlannedStop(ConfigCase):
    """Guards against stops that cut requests of callers or of other fronts.

    Callers keep their list of entry hosts for its whole validity. The stopped hosts
    own upstreams that running queries use.
    """

    plan = make_plan(SHARDS, limits=LIMITS)

    async def terminate(self, host_id):
        """Send SIGTERM."""
        self.fleet.daemons[host_id].process.terminate()

    async def drain(self, host_id):
        """Use the command-line tool."""
        code = await asyncio.to_thread(drain_by_command, self.fleet, host_id)
        self.assertEqual(code, 0)

    def assert_nothing_cut(self, host_ids, begin):
        """Stop daemons under load, check every call, and start them again."""
        self.assertNotIn("", host_ids)
        records, codes = self.run_async(stop_under_load(self.fleet, host_ids, begin))
        self.assertEqual(codes, [0] * len(host_ids))
        self.assertGreater(len(records), 60)
        self.assertEqual(list_cut(records), [])
        for host_id in host_ids:
            self.run_async(self.fleet.start_daemon(host_id))
        self.run_async(self.fleet.wait_for_coverage(SERVICE))

    def test_drain_of_an_owner(self):
        self.assert_nothing_cut(find_owners(self, "a")[:1], self.drain)

    def test_two_owners_at_once(self):
        hosts = [find_owners(self, domain)[0] for domain in ("b", "c")]
        self.assert_nothing_cut(hosts, self.terminate)

    def test_two_owners_of_one_failure_domain(self):
        names = find_owners(self, "a") + sorted(name_hosts(self.fleet, "a"))
        hosts = list(dict.fromkeys(names))[:2]
        self.assert_nothing_cut(hosts, self.terminate)


class TestWithoutGracefulStop(ConfigCase):
    """Shows that a stop at once cuts requests."""

    plan = make_plan(
        SHARDS, limits=LIMITS, daemons_per_domain=1, without=("graceful_stop",)
    )

    def test_stop_cuts_requests(self):
        async def terminate(host_id):
            self.fleet.daemons[host_id].process.terminate()

        records, _ = self.run_async(stop_under_load(self.fleet, ["a-1"], terminate))
        self.assertNotEqual(list_cut(records), [])


if __name__ == "__main__":
    unittest.main()
