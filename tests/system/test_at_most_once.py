"""Proofs: a request that may not be repeated runs at most once."""

import unittest

from celeryferry_core.models.callers import Ran
from tests.system.support_cold import count, name_upstream
from tests.system.support_once import APPLICATION, OnceCase, make_once_plan

TICKETS = 4


async def retry_at_once(case):
    """Run fresh tickets through every entry host at once, twice."""
    hosts = list(case.fleet.daemons)[:TICKETS]
    tickets = [await case.take_ticket(host) for host in hosts]
    return tickets, await case.retry_everywhere(tickets, rounds=2)


async def retry_after_lost_answer(case):
    """Let every upstream close the connection after executing, and retry."""
    await case.set_upstreams(misbehaviour="close_after_executing")
    try:
        return await retry_at_once(case)
    finally:
        await case.set_upstreams(misbehaviour=None)


class TestRetries(OnceCase):
    """Guards against retries of a caller that run its request again."""

    plan = make_once_plan(faulty=True)

    def test_retries_at_once_share_one_execution(self):
        tickets, statements = self.run_async(retry_at_once(self))
        self.assert_once(tickets, statements)
        self.assertEqual({one.ran for one in statements}, {Ran.YES})

    def test_upstream_that_closes_after_executing(self):
        tickets, statements = self.run_async(retry_after_lost_answer(self))
        self.assert_once(tickets, statements)
        self.assertEqual({one.ran for one in statements}, {Ran.UNKNOWN})

    def test_http_library_does_not_send_again_on_a_reused_connection(self):
        async def scenario():
            _, issuer = self.choose_roles("a")
            upstream = name_upstream(APPLICATION, "a")
            await self.wait_for_run_on(issuer, upstream)
            before = await count(self.fleet, upstream)
            fault = {"misbehaviour": "close_after_executing", "misbehaviour_count": 1}
            await self.fleet.control_upstream(upstream, **fault)
            ticket = await self.take_ticket(issuer)
            statement = await self.run_once(issuer, ticket)
            after = await count(self.fleet, upstream)
            await self.set_upstreams(misbehaviour=None, misbehaviour_count=-1)
            return ticket, statement, before, after

        ticket, statement, before, after = self.run_async(scenario())
        self.assert_once([ticket], [statement])
        self.assertEqual(after.given, before.given + 1)
        self.assertEqual(after.connections_opened, before.connections_opened)

    def test_issuer_killed_and_replaced(self):
        async def scenario():
            _, issuer = self.choose_roles("a")
            ticket, task = await self.begin_slow_run(issuer)
            unused = await self.take_ticket(issuer)
            self.fleet.kill_daemon(issuer)
            tickets = [ticket, unused]
            statements = [await task, *await self.retry_everywhere(tickets)]
            await self.fleet.start_daemon(issuer)
            statements += await self.retry_everywhere(tickets)
            return ticket, unused, statements

        ticket, unused, statements = self.run_async(scenario())
        self.assert_once([ticket], statements)
        self.assertEqual(self.fleet.count_runs()[unused], 0)
        self.assertLessEqual({one.ran for one in statements}, {None, Ran.UNKNOWN})

    def test_owner_killed_and_replaced(self):
        async def scenario():
            owner, issuer = self.choose_roles("b")
            ticket, task = await self.begin_slow_run(issuer)
            self.fleet.kill_daemon(owner)
            statements = [await task, *await self.retry_everywhere([ticket])]
            await self.wait_for_run(issuer)
            statements += await self.retry_everywhere([ticket])
            await self.fleet.start_daemon(owner)
            return ticket, statements + await self.retry_everywhere([ticket])

        ticket, statements = self.run_async(scenario())
        self.assert_once([ticket], statements)
        self.assertEqual(statements[0].ran, Ran.UNKNOWN)

    def test_issuer_or_owner_stopped_and_continued(self):
        async def scenario():
            owner, issuer = self.choose_roles("c")
            tickets, statements = [], []
            for paused in (issuer, owner):
                ticket, task = await self.begin_slow_run(issuer)
                tickets.append(ticket)
                process = self.fleet.daemons[paused].process
                process.pause()
                try:
                    statements += await self.retry_everywhere([ticket])
                finally:
                    process.resume()
                statements += [await task, *await self.retry_everywhere([ticket])]
            await self.wait_for_run(issuer)
            return tickets, statements + await self.retry_everywhere(tickets)

        tickets, statements = self.run_async(scenario())
        self.assert_once(tickets, statements)

    def test_connections_cut_after_the_send(self):
        async def scenario():
            owner, issuer = self.choose_roles("a")
            others = [name for name in self.fleet.daemons if name != issuer]
            tickets, statements = [], []
            for cut in ([owner], others):
                ticket, task = await self.begin_slow_run(issuer)
                tickets.append(ticket)
                await self.fleet.control_daemon(issuer, cut_hosts=cut)
                for name in others:
                    await self.fleet.control_daemon(name, cut_hosts=[issuer])
                statements += [await task, *await self.retry_everywhere([ticket])]
                for name in self.fleet.daemons:
                    await self.fleet.control_daemon(name, cut_hosts=[])
                await self.wait_for_run(issuer)
                statements += await self.retry_everywhere([ticket])
            return tickets, statements

        tickets, statements = self.run_async(scenario())
        self.assert_once(tickets, statements)


class TestWithoutTicketMemory(OnceCase):
    """Shows that retries run a request again if the tickets sent are not remembered."""

    plan = make_once_plan(("a",), without=("ticket_memory",))

    def test_retries_run_again(self):
        tickets, _ = self.run_async(retry_after_lost_answer(self))
        runs = self.fleet.count_runs()
        self.assertGreater(min(runs[ticket] for ticket in tickets), 1)


class TestWithoutTicketOrigin(OnceCase):
    """Shows that other hosts run a request again if any process may run a ticket."""

    plan = make_once_plan(("a",), without=("ticket_origin", "ticket_memory"))

    def test_other_hosts_run_again(self):
        tickets, _ = self.run_async(retry_at_once(self))
        runs = self.fleet.count_runs()
        self.assertGreater(min(runs[ticket] for ticket in tickets), 1)


if __name__ == "__main__":
    unittest.main()
