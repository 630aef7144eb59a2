"""Proofs: an answer that says "not run" is true, whichever hop fails."""

import asyncio
import unittest
from collections import Counter

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from celeryferry_core.models.callers import Ran
from celeryferry_daemon._internal.caller_middleware import CallerMiddleware
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.processes import wait_until
from tests.system.support_once import (
    APPLICATION,
    DOMAINS,
    LIMITS,
    SLOW_MS,
    WITHIN,
    OnceCase,
    make_once_plan,
    post,
    read_statement,
)

SEARCHED = "survey"
SEARCHES = ServicePlan(SEARCHED, SEARCHED, shards=("s1", "s2"), upstreams=LIMITS)
DEADLINE_MS = 700
EACH = 6
REFUSALS = (
    {"draining": True, "drain_refuses": True},
    {"cold": True, "cold_refuses": True, "cold_bears": 0},
    {"slots": 1, "queue_bound": 0, "service_ms": SLOW_MS},
)
LOSSES = (
    {"misbehaviour": "close_after_reading"},
    {"misbehaviour": "close_after_executing"},
    {"misbehaviour": "truncated"},
    {"misbehaviour": "other_request"},
    {"service_ms": 3.0 * DEADLINE_MS},
)
HEALTHY = {
    "draining": False,
    "drain_refuses": False,
    "cold": False,
    "cold_refuses": False,
    "cold_bears": 1,
    "slots": 4,
    "queue_bound": 16,
    "service_ms": 4.0,
    "misbehaviour": None,
}


class NotRunCase(OnceCase):
    """Bursts of run-once requests and searches, and what the upstreams counted."""

    @classmethod
    async def prepare(cls) -> None:
        """Wait until every daemon runs requests and searches."""
        await cls.wait_for_runs()
        await cls.fleet.wait_for_coverage(SEARCHED)

    async def search(self, host_id, number):
        """Search through one entry host."""
        address = self.fleet.daemons[host_id].host.callers_address
        body = {"application": SEARCHED, "query": number, "deadline_ms": DEADLINE_MS}
        content = await post(self.fleet.session, address, "/v1/search", body)
        return read_statement(f"search {number}", content)

    async def burst(self, entries, issuers):
        """Start fresh tickets and searches at once; returns them as tasks."""
        calls = []
        for number in range(EACH):
            entry = entries[number % len(entries)]
            ticket = await self.take_ticket(issuers[number % len(issuers)])
            calls.append(self.run_once(entry, ticket, DEADLINE_MS))
            calls.append(self.search(entry, number))
        return [asyncio.create_task(call) for call in calls]

    async def burst_until_started(self, entries, issuers):
        """Start a burst on slow upstreams and wait until some of it runs."""
        await self.set_upstreams(service_ms=SLOW_MS)
        before = self.fleet.count_runs().total()
        tasks = await self.burst(entries, issuers)

        async def has_started():
            return self.fleet.count_runs().total() > before

        await wait_until(has_started, WITHIN, "start of the burst")
        return tasks

    async def end_fault(self):
        """Let the upstreams work again and wait until all are idle."""
        await self.set_upstreams(**HEALTHY)

        async def is_idle():
            found = await self.fleet.read_counters()
            return not any(one.active for one in found.values())

        await wait_until(is_idle, WITHIN, "end of all requests")

    def assert_truth(self, statements):
        """Assert that nothing ran for the statements that say so; returns a count.

        Each statement is about a ticket or a query of its own.
        """
        executions = self.fleet.count_runs() + self.fleet.count_searches()
        denied = [one for one in statements if one.ran is Ran.NO]
        false = [one for one in denied if executions[one.key]]
        self.assertEqual(false, [])
        self.assertLessEqual(max(self.fleet.count_runs().values(), default=0), 1)
        return Counter(one.ran for one in statements)


class TestNotRun(NotRunCase):
    """Guards against a refusal of a request that ran."""

    plan = make_once_plan(faulty=True, others=(SEARCHES,), journals_searches=True)

    async def fail_call(self, caller, callee, entries, issuers):
        """Cut or refuse calls of one host to another before and after the send."""
        statements = []
        for mode in ("refused", "timeout"):
            cut = {"cut_hosts": [callee], "mode": mode}
            await self.fleet.control_daemon(caller, **cut)
            statements += await asyncio.gather(*await self.burst(entries, issuers))
            await self.fleet.control_daemon(caller, cut_hosts=[])
            tasks = await self.burst_until_started(entries, issuers)
            await self.fleet.control_daemon(caller, **cut)
            statements += await asyncio.gather(*tasks)
            await self.fleet.control_daemon(caller, cut_hosts=[])
            await self.end_fault()
        return statements

    async def kill_during(self, host_id, entries, issuers):
        """Kill a host before, while and after it works on a burst."""
        tasks = await self.burst_until_started(entries, issuers)
        self.fleet.kill_daemon(host_id)
        statements = await asyncio.gather(*tasks)
        living = [name for name in issuers if name != host_id] or entries
        statements += await asyncio.gather(*await self.burst(entries, living))
        await self.end_fault()
        await self.fleet.start_daemon(host_id)
        await self.wait_for_runs()
        return statements

    def test_upstream_refuses(self):
        async def scenario():
            statements = []
            for fault in REFUSALS:
                await self.set_upstreams(**fault)
                hosts = list(self.fleet.daemons)
                statements += await asyncio.gather(*await self.burst(hosts, hosts[1:]))
                await self.end_fault()
                await self.wait_for_runs()
            return statements

        counts = self.assert_truth(self.run_async(scenario()))
        self.assertGreater(counts[Ran.NO], EACH)

    def test_upstream_loses_the_answer(self):
        async def scenario():
            statements = []
            for fault in LOSSES:
                await self.set_upstreams(**fault)
                hosts = list(self.fleet.daemons)
                statements += await asyncio.gather(*await self.burst(hosts, hosts[1:]))
                await self.end_fault()
            return statements

        counts = self.assert_truth(self.run_async(scenario()))
        self.assertGreater(counts[Ran.UNKNOWN], EACH)

    def test_upstreams_killed(self):
        async def scenario():
            hosts = list(self.fleet.daemons)
            tasks = await self.burst_until_started(hosts, hosts[1:])
            for domain in DOMAINS:
                self.fleet.kill_upstream(f"{APPLICATION}/{domain}/0")
            statements = await asyncio.gather(*tasks)
            statements += await asyncio.gather(*await self.burst(hosts, hosts[1:]))
            for domain in DOMAINS:
                await self.fleet.restart_upstream(f"{APPLICATION}/{domain}/0")
            await self.end_fault()
            await self.prepare()
            return statements

        counts = self.assert_truth(self.run_async(scenario()))
        self.assertGreater(counts[Ran.NO], EACH)
        self.assertGreater(counts[Ran.UNKNOWN], 0)

    def test_retry_with_no_time_left_is_not_a_denial(self):
        async def scenario():
            issuer, entry, *_ = self.fleet.daemons
            ticket = await self.take_ticket(issuer)
            first = await self.run_once(issuer, ticket)
            return [first, await self.run_once(entry, ticket, deadline_ms=0)]

        statements = self.run_async(scenario())
        self.assertEqual(statements[0].ran, Ran.YES)
        self.assert_truth(statements)

    def test_calls_between_hosts_fail(self):
        async def scenario():
            owner, issuer = self.choose_roles("a")
            entry = self.choose_roles("b")[1]
            to_issuer = await self.fail_call(entry, issuer, [entry], [issuer])
            return to_issuer + await self.fail_call(issuer, owner, [issuer], [issuer])

        counts = self.assert_truth(self.run_async(scenario()))
        self.assertGreater(counts[Ran.UNKNOWN], EACH)

    def test_hosts_killed(self):
        async def scenario():
            owner, issuer = self.choose_roles("b")
            entry = self.choose_roles("c")[1]
            statements = await self.kill_during(owner, [issuer], [issuer])
            statements += await self.kill_during(issuer, [entry], [issuer])
            return statements + await self.kill_during(entry, [entry], [issuer])

        self.assert_truth(self.run_async(scenario()))


class TestWithoutUnknownOutcome(NotRunCase):
    """Shows the lie if a request that was sent and lost counts as not run."""

    plan = make_once_plan(
        ("a",), others=(SEARCHES,), without=("sent_unknown",), journals_searches=True
    )

    def test_requests_that_ran_are_denied(self):
        async def scenario():
            hosts = list(self.fleet.daemons)
            await self.set_upstreams(misbehaviour="close_after_executing")
            return await asyncio.gather(*await self.burst(hosts, hosts))

        statements = self.run_async(scenario())
        executions = self.fleet.count_runs() + self.fleet.count_searches()
        denied = [one for one in statements if one.ran is Ran.NO]
        self.assertGreater(sum(executions[one.key] > 0 for one in denied), 0)


class TestStartingHost(unittest.IsolatedAsyncioTestCase):
    """Guards against a starting host that denies what another host has run."""

    async def test_says_unknown_for_a_ticket_and_no_for_a_search(self):
        app = web.Application(middlewares=[CallerMiddleware().make_middleware()])
        async with TestClient(TestServer(app)) as client:
            for path, ran in (("/v1/run-once", "unknown"), ("/v1/search", "no")):
                async with client.post(path, json={}) as response:
                    error = (await response.json())["error"]
                self.assertEqual((error["type"], error["ran"]), ("starting", ran))


if __name__ == "__main__":
    unittest.main()
