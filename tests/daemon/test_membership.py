"""Tests of leases, liveness and pauses in a fleet of daemons."""

import asyncio
import time
import unittest

import aiohttp

from celeryferry_core.leases import LEASE_DURATION
from celeryferry_core.models.messages import SAME_DIGEST, ProbeRequest
from celeryferry_daemon._internal.membership.host_list import HostListReader
from celeryferry_standins.host_list import HostList, ListedHost
from celeryferry_standins.serving import ANY_PORT_ADDRESS
from tests.daemon.fleet import DOMAINS, Fleet, RecordingLog, make_text, wait_until

NAME = "survey-desk-01"
KEY = "survey-desk/0/agadir-a"


def list_holders(daemons):
    return [d for d in daemons if d.control.lease_manager.expires_at(KEY) is not None]


async def start_cell(fleet, size=3):
    await fleet.services.put(NAME, make_text(1))
    daemons = await fleet.start(size, ("agadir-a",))
    await wait_until(lambda: list_holders(daemons))
    return daemons


class TestOwnership(unittest.IsolatedAsyncioTestCase):
    """Guards against keys that have no lease holder, or two at a time.

    The holder is killed, its keys move to a host that ranks higher, or its process is
    paused for longer than the lease.
    """

    async def test_killed_holder_is_replaced_after_its_lease(self):
        async with Fleet() as fleet:
            daemons = await start_cell(fleet)
            holder = list_holders(daemons)[0]
            await holder._tasks.stop()
            await holder._stop()
            rest = [d for d in daemons if d is not holder]
            await wait_until(lambda: list_holders(rest), 6.0)
            self.assertEqual(len(list_holders(rest)), 1)

    async def test_newly_started_better_host_takes_over_without_overlap(self):
        async with Fleet() as fleet:
            daemons = await start_cell(fleet)
            first = list_holders(daemons)[0]
            first.control.table.is_leaving = True
            first.control.prober.request_round()
            rest = [d for d in daemons if d is not first]
            await wait_until(lambda: list_holders(rest), 4.0)
            first.control.table.is_leaving = False
            max_holders = 0
            while not list_holders([first]):
                max_holders = max(max_holders, len(list_holders(daemons)))
                await asyncio.sleep(0.01)
            self.assertLessEqual(max_holders, 1)

    async def test_pause_drops_leases_and_freshness_before_anything_else(self):
        async with Fleet() as fleet:
            daemons = await start_cell(fleet)
            holder = list_holders(daemons)[0]
            self.assertTrue(holder.control.gate.may_act())
            # Blocks the event loop of the whole fleet, as SIGSTOP does.
            time.sleep(LEASE_DURATION.total_seconds() / 2)  # noqa: ASYNC251
            self.assertIsNone(holder.control.lease_manager.expires_at(KEY))
            self.assertFalse(holder.control.gate.may_act())
            await wait_until(lambda: list_holders(daemons))
            await wait_until(holder.control.gate.may_act)


class TestHostList(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong use of the host list.

    A fault of the server can make the list empty, which must not remove all hosts. An
    unchanged list must not publish the membership again.
    """

    async def test_added_and_removed_hosts_are_applied_and_an_empty_list_is_not(
        self,
    ):
        async with Fleet() as fleet:
            daemons = await start_cell(fleet, 2)
            hosts = fleet.services.hosts
            fleet.services.hosts = []
            await wait_until(
                lambda: "HostListFailed" in fleet.logs["agadir-a-0"].list_names()
            )
            membership = daemons[0].streams.membership
            self.assertEqual(len(membership.value.hosts), 2)
            fleet.services.hosts = [*hosts, {**hosts[0], "host_id": "new"}]
            await wait_until(lambda: "new" in membership.value.hosts)
            fleet.services.hosts = hosts
            await wait_until(lambda: "new" not in membership.value.hosts)

    async def test_membership_is_published_only_when_it_changed(self):
        async with Fleet() as fleet:
            daemons = await start_cell(fleet, 2)
            views = []
            daemons[0].streams.membership.subscribe(views.append)
            await wait_until(lambda: len(views[-1].live) == 2)
            count = len(views)
            rounds = daemons[0].control.lease_manager._holder._sequence
            await wait_until(
                lambda: daemons[0].control.lease_manager._holder._sequence > rounds + 3
            )
            self.assertEqual(len(views), count)


class TestProbes(unittest.IsolatedAsyncioTestCase):
    """Guards against probes that repeat what the receiver knows, or omit what it lacks.

    A digest is left out only if it equals the sender's, and the summary of a cell only
    if the receiver belongs to the cell.
    """

    async def test_probe_between_settled_hosts_of_a_cell_is_small(self):
        async with Fleet() as fleet:
            daemons = await start_cell(fleet)
            await wait_until(lambda: all(d.ready.is_set() for d in daemons))
            await asyncio.sleep(2 * LEASE_DURATION.total_seconds())
            rest = next(d for d in daemons if not list_holders([d]))
            totals = rest._peers.traffic.totals["/peer/v1/probe"]
            before = totals.calls, totals.sent_bytes + totals.received_bytes
            await asyncio.sleep(1.2)
            body_bytes = totals.sent_bytes + totals.received_bytes - before[1]
            self.assertLess(body_bytes / (totals.calls - before[0]), 220)

    async def test_reply_leaves_out_only_what_the_sender_has(self):
        async with Fleet() as fleet:
            await fleet.services.put(NAME, make_text(1))
            near, _, far, *_ = await fleet.start(2, DOMAINS[:2])
            await wait_until(lambda: near.ready.is_set() and far.ready.is_set())
            digest = near.streams.configuration.value.digest
            prober = near.control.prober

            def ask(host_id, digest):
                probe = ProbeRequest(host_id, "another", digest, sequence=1)
                reply = prober.answer_probe(probe)
                return reply.config_digest, {summary.cell for summary in reply.cells}

            own, other = near.control.table.own_cell, far.control.table.own_cell
            await wait_until(lambda: other in ask("agadir-a-1", "")[1])
            self.assertEqual(ask("agadir-a-1", digest), (SAME_DIGEST, {other}))
            self.assertEqual(ask("agadir-a-1", ""), (digest, {other}))
            self.assertEqual(ask("taroudant-b-0", "old")[0], digest)
            self.assertIn(own, ask("taroudant-b-0", "old")[1])


class TestConditionalReads(unittest.IsolatedAsyncioTestCase):
    """Guards against full reads of an unchanged host list and against missed changes.

    The reader sends the ETag of the last valid list, which must not hide a change.
    """

    async def asyncSetUp(self):
        self.standin, self.lists, self.log = HostList(), [], RecordingLog()
        addresses = await self.standin.open(ANY_PORT_ADDRESS)
        self.addAsyncCleanup(self.standin.close)
        self.control_url = f"http://{addresses['control_address']}/control"
        self.reader = HostListReader(addresses["address"], self.lists.append, self.log)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def change_list(self, count, **fields):
        listed = [ListedHost(f"h{n}", "a", f"c{n}", f"p{n}") for n in range(count)]
        hosts = [{f: getattr(h, f) for f in h.__struct_fields__} for h in listed]
        change = {"hosts": hosts, **fields}
        async with self.session.post(self.control_url, json=change) as response:
            self.assertEqual(response.status, 200)

    async def read_once(self):
        before = self.standin.exchanged_bytes
        await self.reader._read_once(self.session)
        return self.standin.exchanged_bytes - before

    async def test_unchanged_list_is_not_sent_again(self):
        await self.change_list(2200)
        self.assertGreater(await self.read_once(), 100_000)
        self.assertLess(await self.read_once(), 600)
        self.assertTrue(self.reader.has_read.is_set())
        self.assertEqual(len(self.lists), 1)
        await self.change_list(2199)
        await self.read_once()
        self.assertEqual([len(hosts.hosts) for hosts in self.lists], [2200, 2199])

    async def test_unchanged_list_ends_a_failure(self):
        await self.change_list(2)
        await self.read_once()
        for _ in range(2):
            await self.change_list(0)
            await self.read_once()
            await self.change_list(2)
            await self.read_once()
        self.assertEqual(self.log.list_names(), ["HostListFailed"] * 2)
        self.assertEqual(len(self.lists), 1)

    async def test_server_without_validator_is_read_in_full(self):
        await self.change_list(2)
        await self.read_once()
        await self.change_list(2, with_etag=False)
        await self.read_once()
        await self.read_once()
        self.assertEqual(len(self.lists), 3)
        self.assertEqual(self.log.list_names(), [])
