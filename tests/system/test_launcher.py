"""Tests of the launcher, of network faults and of the mechanism switches."""

import asyncio
import os
import subprocess
import sys
import unittest
from datetime import timedelta

import aiohttp
from result import Ok

from celeryferry_core.exceptions import PeerFailureKind
from celeryferry_core.models.topology import Host
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.faulty_daemon import make_mechanisms
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.network_faults import (
    NetworkFaults,
    PartitionedPeerClient,
    TcpProxy,
)
from celeryferry_standins.plans import FleetPlan
from celeryferry_standins.processes import wait_until
from celeryferry_standins.serving import Listener, json_response

WITHIN = timedelta(seconds=5)
SHORT = timedelta(milliseconds=20)
HOST = Host("b", "d", "127.0.0.2:1", "127.0.0.2:2")
STANDINS_ONLY = FleetPlan(("d",), (ServicePlan("s", "a"),), daemons_per_domain=0)
KILLED_LAUNCHER = """
import asyncio
from celeryferry_standins.launcher import Fleet
from tests.system.test_launcher import STANDINS_ONLY

async def main():
    async with Fleet(STANDINS_ONLY) as fleet:
        print(*(one.pid for one in fleet.processes.values()), flush=True)
        await asyncio.sleep(30)

asyncio.run(main())
"""


def is_running(pid):
    try:
        with open(f"/proc/{pid}/stat") as stat:
            return stat.read().rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False


class TestFleet(unittest.IsolatedAsyncioTestCase):
    """Guards against processes that stay after a failed test."""

    async def test_stops_everything_after_an_exception(self):
        with self.assertRaises(ZeroDivisionError):
            async with Fleet(STANDINS_ONLY) as fleet:
                pids = [one.pid for one in fleet.processes.values()]
                self.assertEqual([is_running(pid) for pid in pids], [True] * 3)
                raise ZeroDivisionError
        self.assertFalse(any(is_running(pid) for pid in pids))
        with self.assertRaises(FileNotFoundError):
            os.stat(fleet.directory)

    def start_and_kill_launcher(self):
        command = [sys.executable, "-c", KILLED_LAUNCHER]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as launcher:
            pids = [int(pid) for pid in launcher.stdout.readline().split()]
            launcher.kill()
        return pids

    async def test_processes_end_with_a_killed_launcher(self):
        pids = self.start_and_kill_launcher()

        async def all_ended():
            return not any(is_running(pid) for pid in pids)

        self.assertEqual(len(pids), 3)
        await wait_until(all_ended, WITHIN, "end of the processes")

    async def test_restarts_a_killed_upstream_on_its_address(self):
        async with Fleet(STANDINS_ONLY) as fleet:
            address = fleet.upstreams["s/d/0"].address
            fleet.kill_upstream("s/d/0")
            self.assertEqual(await fleet.read_counters(), {})
            await fleet.restart_upstream("s/d/0", cold=True)
            url = f"http://{address}/health"
            async with fleet.session.get(url) as response:
                self.assertEqual((await response.json())["state"], "cold")


class FakePeers:
    """Peer client that always answers."""

    async def probe(self, host, request, timeout):
        return Ok("reply")

    async def send_subqueries(self, host, batch, timeout):
        yield Ok("first")
        yield Ok("second")


class TestCuts(unittest.IsolatedAsyncioTestCase):
    """Guards against partition tests whose traffic is not cut."""

    def setUp(self):
        self.faults = NetworkFaults()
        self.client = PartitionedPeerClient(FakePeers(), self.faults)

    async def test_calls_fail_as_long_as_the_host_is_cut(self):
        self.assertEqual(await self.client.probe(HOST, None, SHORT), Ok("reply"))
        for mode, kind in (("timeout", "TIMEOUT"), ("refused", "NOT_SENT")):
            self.faults.apply({"cut_hosts": ["b"], "mode": mode})
            result = await self.client.probe(HOST, None, SHORT)
            self.assertEqual(result.err_value.kind, PeerFailureKind[kind])
        self.faults.apply({"cut_hosts": []})
        self.assertEqual(await self.client.probe(HOST, None, SHORT), Ok("reply"))

    async def test_a_stream_that_is_cut_ends_with_a_failure(self):
        lines = self.client.send_subqueries(HOST, None, SHORT)
        self.assertEqual(await anext(lines), Ok("first"))
        self.faults.apply({"cut_hosts": ["b"]})
        failure = await anext(lines)
        self.assertEqual(failure.err_value.kind, PeerFailureKind.TIMEOUT)

    async def test_relay_drops_connections_while_cut(self):
        async def handle(request):
            return json_response("here")

        listener = Listener(handle)
        proxy = TcpProxy(await listener.open(), lambda: self.faults.host_list)
        url = f"http://{await proxy.open()}/"
        self.addAsyncCleanup(listener.close)
        self.addAsyncCleanup(proxy.close)
        async with aiohttp.ClientSession() as session:
            for cut in (False, True, False):
                self.faults.apply({"host_list": cut})
                proxy.drop_if_unreachable()
                self.assertEqual(await self.is_reachable(session, url), not cut)

    async def is_reachable(self, session, url):
        try:
            async with asyncio.timeout(2), session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


class TestMakeMechanisms(unittest.TestCase):
    """Guards against a misspelt switch that leaves every mechanism on."""

    def test_switches_off_the_named_ones_and_rejects_unknown_names(self):
        made = make_mechanisms("hedging,lease_check")
        self.assertEqual((made.hedging, made.lease_check), (False, False))
        self.assertTrue(made.cold_limit)
        with self.assertRaises(ValueError):
            make_mechanisms("hedgeing")


if __name__ == "__main__":
    unittest.main()
