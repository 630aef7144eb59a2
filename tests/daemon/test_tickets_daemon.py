"""Tests of the ticket handler with fake owners."""

import asyncio
import time

from celeryferry_core.decisions.tickets import TicketForwarded, TicketJoined
from celeryferry_core.exceptions import PeerFailureKind
from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
)
from celeryferry_core.models.settings import LimitSettings
from celeryferry_core.models.views import Membership
from tests.daemon.fakes import wait_for
from tests.daemon.owner_fakes import APPLICATION, SERVICE, make_view
from tests.daemon.ticket_fakes import ADDRESSES, DOMAINS, HOSTS, TicketTestCase


class TestRunOnce(TicketTestCase):
    """Guards against a second execution, and wrong statements on whether one ran.

    Callers retry, call concurrently, or disconnect; owners refuse, fail or time out.
    The next replica may be tried only if the previous one certainly ran nothing.
    """

    async def test_a_retry_gets_the_same_answer_without_a_second_execution(self):
        entry = await self.start_entry()
        ticket = await entry.issue()
        first = await entry.run(ticket)
        expected = {"ticket": ticket, "result": {"paid": True}, "ran": "yes"}
        self.assertEqual(first, (200, expected))
        self.assertEqual(await entry.run(ticket), first)
        self.assertEqual(self.peers.executions, [ticket])
        self.assertEqual(self.peers.asked_domains, ["agadir-a"])

    async def test_without_memory_a_retry_runs_again(self):
        entry = await self.start_entry(ticket_memory=False)
        ticket = await entry.issue()
        await entry.run(ticket)
        await entry.run(ticket)
        self.assertEqual(self.peers.executions, [ticket, ticket])

    async def test_concurrent_calls_share_one_execution(self):
        entry = await self.start_entry()
        ticket = await entry.issue()
        self.peers.gate.clear()
        calls = [asyncio.create_task(entry.run(ticket)) for _ in range(2)]
        await wait_for(lambda: entry.log.list_by_type(TicketJoined))
        self.peers.gate.set()
        first, second = await asyncio.gather(*calls)
        self.assertEqual(first, second)
        self.assertEqual(self.peers.executions, [ticket])

    async def test_the_next_replica_is_tried_only_after_not_run(self):
        entry = await self.start_entry()
        self.peers.outcomes["agadir-a"] = NotRun(NotRunReason.COLD)
        self.peers.outcomes["taroudant-b"] = PeerFailureKind.NOT_SENT
        status, _ = await entry.run(await entry.issue())
        self.assertEqual(status, 200)
        self.assertEqual(self.peers.asked_domains[0], "agadir-a")
        self.assertEqual(self.peers.asked_domains[-1], "tiznit-c")

    async def test_an_unknown_outcome_ends_the_attempts(self):
        for unknown in (
            OutcomeUnknown(UnknownReason.TIMEOUT),
            PeerFailureKind.CONNECTION_LOST,
            PeerFailureKind.TIMEOUT,
            PeerFailureKind.BAD_ANSWER,
        ):
            entry = await self.start_entry()
            self.peers.asked_domains.clear()
            self.peers.outcomes["agadir-a"] = unknown
            ticket = await entry.issue()
            for _ in range(2):
                answered = await entry.run(ticket)
                self.assert_error(answered, 502, "outcome_unknown", "unknown")
            self.assertEqual(self.peers.asked_domains, ["agadir-a"])

    async def test_not_run_makes_the_ticket_usable_again(self):
        entry = await self.start_entry()
        for domain in DOMAINS:
            self.peers.outcomes[domain] = NotRun(NotRunReason.COLD, retry_after_ms=7)
        ticket = await entry.issue()
        self.assert_error(await entry.run(ticket), 503, "not_run", "no")
        self.peers.outcomes.clear()
        self.assertEqual((await entry.run(ticket))[0], 200)

    async def test_a_caller_that_disconnects_does_not_end_the_run(self):
        entry = await self.start_entry()
        ticket = await entry.issue()
        self.peers.gate.clear()
        call = asyncio.create_task(entry.run(ticket))
        await wait_for(lambda: self.peers.executions)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.peers.gate.set()
        self.assertEqual((await entry.run(ticket))[0], 200)
        self.assertEqual(self.peers.executions, [ticket])

    async def test_domains_out_and_leaving_upstreams_are_not_asked(self):
        for domain_out, asked_domains in ((True, {"tiznit-c"}), (False, {"agadir-a"})):
            entry = await self.start_entry(domain_out=domain_out)
            view = make_view(ADDRESSES, domains_out=["agadir-a"], version=2)
            entry.streams.configuration.on_next(view)
            membership = entry.streams.membership.value
            leaving = frozenset({ADDRESSES[1][0]})
            entry.streams.membership.on_next(
                Membership(membership.hosts, membership.live, frozenset(), leaving)
            )
            self.peers.asked_domains.clear()
            await entry.run(await entry.issue())
            self.assertEqual(set(self.peers.asked_domains), asked_domains)

    async def test_stale_configuration_runs_nothing_but_recalls_results(self):
        entry = await self.start_entry()
        finished, fresh = await entry.issue(), await entry.issue()
        await entry.run(finished)
        entry.gate.is_open = False
        self.assert_error(await entry.run(fresh), 503, "stale_configuration", "no")
        self.assertEqual((await entry.run(finished))[0], 200)
        self.assertEqual(self.peers.executions, [finished])


class TestForwarding(TicketTestCase):
    """Guards against running a ticket at a process that did not issue it.

    A caller retries at another entry host. Only the process that issued the ticket
    knows whether it has run; that process may have restarted or be gone.
    """

    async def test_a_retry_elsewhere_is_forwarded_to_the_issuer(self):
        issuer, other = await self.start_entry(0), await self.start_entry(1)
        ticket = await issuer.issue()
        first = await issuer.run(ticket)
        self.assertEqual(await other.run(ticket), first)
        self.assertEqual(self.peers.executions, [ticket])
        self.assertEqual(len(other.log.list_by_type(TicketForwarded)), 1)

    async def test_without_the_origin_rule_it_runs_twice(self):
        issuer = await self.start_entry(0)
        other = await self.start_entry(1, ticket_origin=False)
        ticket = await issuer.issue()
        await issuer.run(ticket)
        await other.run(ticket)
        self.assertEqual(self.peers.executions, [ticket, ticket])

    async def test_a_restarted_issuer_leaves_the_outcome_unknown(self):
        issuer, other = await self.start_entry(0), await self.start_entry(1)
        ticket = await issuer.issue()
        restarted = await self.start_entry(0, incarnation="def")
        for entry in (other, restarted):
            answered = await entry.run(ticket)
            self.assert_error(answered, 502, "outcome_unknown", "unknown")
        self.assertEqual((self.peers.executions, self.peers.forwards), ([], 1))

    async def test_a_lost_issuer_leaves_the_outcome_unknown(self):
        issuer, other = await self.start_entry(0), await self.start_entry(1)
        ticket = await issuer.issue()
        del self.peers.handlers[HOSTS[0].host_id]
        answered = await other.run(ticket)
        self.assert_error(answered, 502, "outcome_unknown", "unknown")
        other.streams.membership.on_next(Membership())
        answered = await other.run(ticket)
        self.assert_error(answered, 502, "outcome_unknown", "unknown")

    async def test_the_peer_route_does_not_forward_again(self):
        issuer, other = await self.start_entry(0), await self.start_entry(1)
        ticket = await issuer.issue()
        status, answer = await other.post(
            "/peer/v1/run-once",
            ticket=ticket,
            request=None,
            deadline_unix_ms=int(time.time() * 1000) + 1000,
        )
        self.assertEqual((status, answer["outcome"]["reason"]), (200, "issuer_gone"))
        self.assertEqual((self.peers.executions, self.peers.forwards), ([], 0))


class TestTicketLife(TicketTestCase):
    """Guards against running expired tickets, and against an unbounded ticket table.

    An expired ticket may be gone from the table, and with it the record of its run. A
    ticket must also not outlive a host that is leaving.
    """

    async def test_an_expired_ticket_never_runs(self):
        entry = await self.start_entry(limits=LimitSettings(ticket_valid_ms=50))
        unused, used = await entry.issue(), await entry.issue()
        await entry.run(used)
        end = time.monotonic() + 0.06
        await wait_for(lambda: time.monotonic() > end)
        self.assert_error(await entry.run(unused), 410, "ticket_expired", "no")
        self.assert_error(await entry.run(used), 410, "ticket_expired", "unknown")
        self.assertEqual(self.peers.executions, [used])

    async def test_tickets_of_a_leaving_host_are_announced_with_its_remaining_time(
        self,
    ):
        entry = await self.start_entry()
        membership = entry.streams.membership.value
        leaving = frozenset({HOSTS[0].host_id})
        entry.streams.membership.on_next(
            Membership(membership.hosts, membership.live, leaving)
        )
        _, answer = await entry.post("/v1/tickets", application=APPLICATION)
        self.assertEqual(answer["expires_in_ms"], LimitSettings().entry_hosts_valid_ms)

    async def test_new_tickets_are_refused_when_the_table_is_full(self):
        entry = await self.start_entry(limits=LimitSettings(tickets=2))
        await entry.issue()
        await entry.issue()
        answered = await entry.post("/v1/tickets", application=APPLICATION)
        self.assert_error(answered, 503, "overloaded", "no")
        self.assertGreater(answered[1]["error"]["retry_after_ms"], 0)

    async def test_requests_with_errors_are_told_what_to_do(self):
        entry = await self.start_entry()
        ticket = await entry.issue()
        for answered, status, kind in (
            (await entry.run("x"), 404, "ticket_unknown"),
            (await entry.run(ticket, 0), 400, "bad_request"),
            (await entry.run(ticket, 60_001), 400, "bad_request"),
            (await entry.post("/v1/tickets", app="x"), 400, "bad_request"),
            (
                await entry.post("/v1/tickets", application="x"),
                404,
                "unknown_application",
            ),
            (
                await entry.post("/v1/tickets", application=APPLICATION, service="x"),
                404,
                "not_found",
            ),
        ):
            self.assert_error(answered, status, kind, "no")
        answered = await entry.post(
            "/v1/tickets", application=APPLICATION, service=SERVICE
        )
        self.assertEqual(answered[0], 200)
