"""Tests of hosts whose upstreams say that they leave or want a pause."""

import asyncio
import time
from datetime import timedelta

from celeryferry_standins.platform.fleet import PlatformHost
from celeryferry_standins.platform.upstream import PlatformUpstream
from tests.system.platform_case import PlatformTestCase

SEND_INTERVAL = timedelta(milliseconds=20)
# Time in which hosts tell each other. It is much shorter than the shortest time that
# the platform allows for a drain (3 s).
TELL_TIME = timedelta(seconds=1)
# From half a second after the answer, at most two requests may arrive in a pause.
PAUSE = timedelta(seconds=2)
PAUSE_SLACK = timedelta(milliseconds=500)
MAX_IN_PAUSE = 2


class NoticesTestCase(PlatformTestCase):
    """Sends orders to one upstream that is best for two of the three hosts."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.hosts_by_request: dict[str, PlatformHost] = {}
        self.upstream, drained, _ = self.list_orders_upstreams()
        # The hosts of its domain use the upstreams of the other domains, too.
        await self.fleet.register(drained, "draining")

    def list_orders_upstreams(self) -> list[PlatformUpstream]:
        """Return the upstreams that run orders."""
        return [each for each in self.fleet.upstreams if each.service == "orders"]

    async def send_for(self, duration: timedelta, *hosts: PlatformHost) -> list[int]:
        """Send orders to some hosts in turn; returns the statuses."""
        statuses = []
        end = time.monotonic() + duration.total_seconds()
        while time.monotonic() < end:
            for host in hosts:
                status, _, _, request_id = await self.send(
                    host, "/order/1", "POST", b"one"
                )
                self.hosts_by_request[request_id] = host
                statuses.append(status)
            await asyncio.sleep(SEND_INTERVAL.total_seconds())
        return statuses

    def count_arrivals(
        self, after: float, before: float = float("inf"), host=None
    ) -> int:
        """Count the orders that reached the upstream in a time.

        :param host: host that sent them, None for all.
        """
        return sum(
            after <= at < before
            and (host is None or self.hosts_by_request.get(request_id) is host)
            for request_id, at in self.upstream.arrivals
        )


class TestLeavingUpstream(NoticesTestCase):
    """Guards against orders for an upstream that leaves while its entry says ready.

    It has said so to one host only. The others must learn of it from that host, a host
    that restarts from its peers, and a stale reading of the store must not undo it.
    """

    async def test_all_hosts_stop_sending(self):
        """Guards against orders that are lost when the upstream stops."""
        hosts = self.fleet.hosts
        await self.send_for(TELL_TIME, *hosts)
        self.assertTrue(self.upstream.arrivals)
        self.fleet.store.keep_stale()
        self.upstream.is_leaving = True
        told_at = time.monotonic()
        statuses = await self.send_for(TELL_TIME, hosts[0])
        self.assertGreater(self.count_arrivals(told_at), 0)
        told_all_at = time.monotonic()
        statuses += await self.send_for(TELL_TIME, *hosts)
        self.assertEqual(self.count_arrivals(told_all_at), 0)

        restarted = hosts[1]
        restarted.process.kill()
        restarted.start(self.fleet.folder, self.fleet.settings)
        await self.wait(self.do_all_hosts_list_all, "the restarted host serves")
        await asyncio.sleep(TELL_TIME.total_seconds())
        restarted_at = time.monotonic()
        statuses += await self.send_for(2 * TELL_TIME, *hosts)
        self.assertEqual(self.count_arrivals(restarted_at), 0)
        self.assertEqual(set(statuses), {200})

    async def test_new_process_gets_orders_again(self):
        """Guards against losing an id that starts anew."""
        host = self.fleet.hosts[0]
        self.upstream.is_leaving = True
        await self.send_for(TELL_TIME, host)
        self.upstream.is_leaving = False
        self.upstream.started_ms += 1
        await self.fleet.register(self.upstream)
        registered_at = time.monotonic()

        async def is_used() -> bool:
            await self.send_for(SEND_INTERVAL, host)
            return self.count_arrivals(registered_at) > 0

        await self.wait(is_used, "an order for the new process")


class TestPause(NoticesTestCase):
    """Guards against requests for an upstream that has asked for a pause."""

    async def test_host_keeps_the_pause_and_returns(self):
        """Guards against more than two requests in a pause, and a pause for good."""
        host = self.fleet.hosts[0]
        self.upstream.pause = PAUSE
        asked_at = time.monotonic()
        statuses = await self.send_for(PAUSE, host)
        pause_end = asked_at + PAUSE.total_seconds()
        in_pause = self.count_arrivals(
            asked_at + PAUSE_SLACK.total_seconds(), pause_end, host
        )
        self.assertLessEqual(in_pause, MAX_IN_PAUSE)
        self.assertEqual(self.count_arrivals(asked_at), 1, "the rest went elsewhere")
        self.assertEqual(set(statuses), {200})
        self.upstream.pause = None
        await self.send_for(2 * PAUSE, host)
        self.assertGreater(self.count_arrivals(pause_end), 0)

    async def test_orders_are_refused_at_once_if_all_want_a_pause(self):
        """Guards against callers that wait for their deadline."""
        for upstream in self.list_orders_upstreams():
            upstream.pause = timedelta(seconds=20)
        host = self.fleet.hosts[0]
        await self.send_for(TELL_TIME, host)
        started = time.monotonic()
        status, headers, *_ = await self.send(host, "/order/1", "POST", b"one")
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - started, TELL_TIME.total_seconds())
        self.assertGreater(float(headers["Retry-After"]), 15)
        ran = [each for each in self.list_orders_upstreams() if each.runs]
        self.assertEqual(ran, [])
