"""Tests of the checks that an owner makes before it sends work."""

import asyncio
import time
from datetime import timedelta

from celeryferry_core.models.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
    UpstreamState,
)
from celeryferry_core.models.views import HeldKeys
from tests.daemon.fakes import wait_for
from tests.daemon.owner_fakes import KEY, OwnerTestCase, make_view


class TestSendChecks(OwnerTestCase):
    """Guards against sending without a lease, or to an upstream that must get no work.

    The lease, the freshness of the configuration, the failure domains out of service or
    the leaving upstreams can change after a request was accepted and before it is sent.
    """

    async def assert_refused(self, reason, **switches):
        outcome = await self.harness.search_single()
        self.assertIsInstance(outcome, NotRun)
        self.assertIs(outcome.reason, reason)
        self.assertEqual(self.upstream.executions, [])
        return outcome

    async def assert_sent(self):
        self.assertIsInstance(await self.harness.search_single(), Answered)
        self.assertEqual(len(self.upstream.executions), 1)

    async def test_a_lost_lease_refuses_with_the_holder(self):
        harness, _ = await self.start_owner()
        harness.leases.seconds = None
        harness.leases.holder = "host-2"
        outcome = await self.assert_refused(NotRunReason.NOT_OWNER)
        self.assertEqual(outcome.holder, "host-2")

    async def test_without_the_lease_check_it_sends_without_a_lease(self):
        harness, _ = await self.start_owner(lease_check=False)
        harness.leases.seconds = None
        await self.assert_sent()

    async def test_the_deadline_is_not_later_than_the_lease(self):
        harness, upstream = await self.start_owner()
        harness.leases.until = timedelta(seconds=time.monotonic() + 1.0)
        latest = (time.time() + 1.0 - 0.1) * 1000
        await self.assert_sent()
        self.assertLess(upstream.deadlines_unix_ms[0], latest + 50)

    async def test_the_wait_for_an_answer_ends_with_the_lease(self):
        harness, upstream = await self.start_owner()
        harness.leases.seconds = 0.3
        upstream.gate.clear()
        started = time.monotonic()
        outcome = await harness.search_single()
        self.assertEqual(outcome, OutcomeUnknown(UnknownReason.TIMEOUT))
        self.assertLess(time.monotonic() - started, 2.0)

    async def test_a_lease_within_the_clock_skew_refuses(self):
        harness, _ = await self.start_owner()
        harness.leases.seconds = 0.09
        await self.assert_refused(NotRunReason.NOT_OWNER)

    async def test_stale_configuration_refuses(self):
        harness, _ = await self.start_owner()
        harness.gate.is_open = False
        await self.assert_refused(NotRunReason.STALE_CONFIGURATION)

    async def test_a_domain_taken_out_refuses_queued_work_too(self):
        harness, upstream = await self.start_owner()
        upstream.gate.clear()
        task = asyncio.create_task(harness.search(count=3))
        await wait_for(lambda: upstream.active == 1)
        view = make_view(harness.addresses, domains_out=["agadir-a"], version=2)
        harness.streams.configuration.on_next(view)
        upstream.gate.set()
        (line,) = await task
        reasons = [getattr(entry.outcome, "reason", None) for entry in line.entries]
        self.assertEqual(reasons.count(NotRunReason.FAILURE_DOMAIN_OUT), 2)
        self.assertEqual(reasons.count(None), 1)
        self.assertEqual(len(upstream.executions), 1)

    async def test_without_domain_out_it_sends_to_the_domain(self):
        await self.start_owner(domain_out=False, document={"domains_out": ["agadir-a"]})
        await self.assert_sent()

    async def test_a_listed_leaving_upstream_refuses(self):
        harness, upstream = await self.start_owner()
        harness.set_leaving(upstream.address)
        await self.assert_refused(NotRunReason.DRAINING)
        self.assertIs(harness.observe().state, UpstreamState.DRAINING)

    async def test_without_the_drain_check_it_sends_to_a_leaving_upstream(self):
        harness, upstream = await self.start_owner(drain_check=False)
        harness.set_leaving(upstream.address)
        await self.assert_sent()

    async def test_a_lost_key_refuses_the_queue_and_finishes_the_rest(self):
        harness, upstream = await self.start_owner()
        upstream.gate.clear()
        task = asyncio.create_task(harness.search(count=3))
        await wait_for(lambda: upstream.active == 1)
        harness.streams.held_keys.on_next(HeldKeys())
        self.assertEqual(harness.owner.in_flight(KEY), 1)
        upstream.gate.set()
        (line,) = await task
        answered = [e for e in line.entries if isinstance(e.outcome, Answered)]
        self.assertEqual((len(line.entries), len(answered)), (3, 1))
        await wait_for(lambda: harness.owner.in_flight(KEY) == 0)
        harness.streams.held_keys.on_next(HeldKeys(frozenset({KEY})))
        self.assertIsInstance(await harness.search_single(), Answered)
        self.assertEqual(harness.observe().limit, 1)
