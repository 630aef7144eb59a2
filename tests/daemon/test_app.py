"""Tests of the start, the planned stop and the endpoints of a daemon."""

import asyncio
import time
import unittest

import aiohttp
import msgspec

from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.status import DaemonStatus
from tests.daemon.fleet import TOKEN, Fleet, make_text, wait_until, wait_until_ready

SERVICE = "survey-desk-01"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}


class TestLifecycle(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that are sent to a host that cannot serve them.

    A starting host that others consider live would be named as an entry host before it
    has a configuration. A leaving host that is still named, or that stops before other
    hosts know of it, would drop requests.
    """

    async def get_hosts(self, daemon):
        url = f"http://{daemon.callers_address}/v1/entry-hosts?application=survey-desk"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return response.status, await response.json()

    async def test_starting_host_answers_starting_and_is_not_named(self):
        async with Fleet() as fleet:
            await fleet.services.put(SERVICE, make_text(1))
            daemons = await fleet.start(2, ("agadir-a",))
            await wait_until_ready(daemons)
            fleet.services.is_down = True
            late = fleet.make_daemon(fleet.list_host(9, "agadir-a"))
            late.control.start_up = asyncio.Event().wait
            await late.start()
            table = daemons[0].control.table
            await wait_until(lambda: "agadir-a-9" in table._answers)
            status, body = await self.get_hosts(late)
            self.assertEqual((status, body["error"]["type"]), (503, "starting"))
            self.assertEqual(body["error"]["ran"], "no")
            await wait_until(lambda: len(daemons[0].streams.membership.value.live) == 2)
            _, body = await self.get_hosts(daemons[0])
            self.assertEqual(len(body["hosts"]), 2)

    async def wait_until_named(self, daemon, staying):
        # Gossip from the start of the fleet may still report a staying host as
        # unavailable, so it may be missing for a while. A leaving host must not be
        # named in any answer.
        end = time.monotonic() + 2.0
        named = set()
        while named != staying:
            self.assertLess(time.monotonic(), end, f"{named} instead of {staying}")
            status, body = await self.get_hosts(daemon)
            named = {host["address"] for host in body["hosts"]}
            self.assertEqual((status, named - staying), (200, set()))
            await asyncio.sleep(0.02)

    async def test_two_hosts_that_leave_are_not_named_and_keep_serving(self):
        async with Fleet() as fleet:
            await fleet.services.put(SERVICE, make_text(1))
            daemons = await fleet.start(2, ("agadir-a", "tiznit-c"))
            await wait_until_ready(daemons)
            views = [d.streams.membership for d in daemons]
            await wait_until(lambda: all(len(v.value.live) == 4 for v in views))
            leaving = [daemons[0], daemons[2]]
            for daemon in leaving:
                daemon.begin_drain()
                daemon.begin_drain()
            names = {d.settings.host.host_id for d in leaving}
            await wait_until(lambda: all(v.value.leaving == names for v in views), 2.0)
            staying = {daemons[1].callers_address, daemons[3].callers_address}
            for daemon in daemons:
                await self.wait_until_named(daemon, staying)
            await asyncio.gather(*(daemon.drain() for daemon in leaving))
            self.assertFalse(leaving[0].control.lease_manager.has_grants())

    async def test_drain_waits_for_running_requests(self):
        for mechanisms, expected in (
            (Mechanisms(), False),
            (Mechanisms(graceful_stop=False), True),
        ):
            async with Fleet() as fleet:
                await fleet.services.put(SERVICE, make_text(1))
                daemon = fleet.make_daemon(fleet.list_host(0, "agadir-a"), mechanisms)
                await daemon.start()
                await wait_until(daemon.ready.is_set)
                daemon.caller_middleware.in_flight += 1
                daemon.begin_drain()
                if expected:
                    await wait_until(daemon.stopped.is_set)
                    continue
                await wait_until(
                    lambda d=daemon: not d.control.lease_manager.has_grants()
                )
                self.assertFalse(daemon.stopped.is_set())
                daemon.caller_middleware.in_flight -= 1
                await wait_until(daemon.stopped.is_set)


class TestEndpoints(unittest.IsolatedAsyncioTestCase):
    """Guards against endpoints that need no token or give wrong answers."""

    async def asyncSetUp(self):
        self.fleet = await Fleet().__aenter__()
        await self.fleet.services.put(SERVICE, make_text(1, out=["agadir-a"]))
        [self.daemon] = await self.fleet.start(1, ("agadir-a",))
        await wait_until(self.daemon.ready.is_set)
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.fleet.__aexit__()

    async def request(self, method, path, address=None, **options):
        url = f"http://{address or self.daemon.peers_address}{path}"
        async with self.session.request(method, url, **options) as response:
            return response.status, await response.text()

    async def test_token_is_required_except_for_metrics(self):
        for path in ("/operator/v1/status", "/peer/v1/none"):
            status, _ = await self.request("GET", path)
            self.assertEqual(status, 401)
        wrong = {"Authorization": f"Bearer {TOKEN[:-1]}\u00e9"}
        status, _ = await self.request("GET", "/operator/v1/status", headers=wrong)
        self.assertEqual(status, 401)
        status, text = await self.request("GET", "/metrics")
        self.assertEqual(status, 200)
        self.assertIn("celeryferry_document_version", text)

    async def test_status_and_bad_requests(self):
        status, text = await self.request("GET", "/operator/v1/status", headers=HEADERS)
        self.assertEqual(status, 200)
        status_message = msgspec.json.decode(text, type=DaemonStatus)
        address = self.daemon.peers_address
        self.assertEqual(
            [host.peers_address for host in status_message.hosts], [address]
        )
        self.assertEqual(
            (status_message.state, status_message.documents[0].version), ("serving", 1)
        )
        path = "/peer/v1/probe"
        status, _ = await self.request("POST", path, headers=HEADERS, data=b"{}")
        self.assertEqual(status, 400)
        large = b"x" * 300_000
        status, _ = await self.request("POST", path, headers=HEADERS, data=large)
        self.assertEqual(status, 413)

    async def test_drain_answers_that_the_host_is_leaving(self):
        path = "/operator/v1/drain"
        for _ in range(2):
            status, text = await self.request("POST", path, headers=HEADERS)
            self.assertEqual((status, "leaving" in text), (202, True), text)

    async def test_large_headers_are_refused(self):
        headers = {f"x-{number}": "x" * 4000 for number in range(3)}
        address = self.daemon.callers_address
        status, text = await self.request("GET", "/v1/x", address, headers=headers)
        self.assertEqual(status, 413)
        self.assertIn('"ran":"no"', text)

    async def test_entry_hosts_leave_out_domains_out_of_service(self):
        address = self.daemon.callers_address
        path = "/v1/entry-hosts?application="
        status, text = await self.request("GET", path + "survey-desk", address)
        self.assertEqual((status, text[:11]), (200, '{"hosts":[]'))
        status, _ = await self.request("GET", path + "none", address)
        self.assertEqual(status, 404)
        status, _ = await self.request("GET", path, address)
        self.assertEqual(status, 400)
