"""Tests of tickets and of the tables that store them."""

import unittest
from datetime import timedelta

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    rule,
)
from result import Err, Ok

from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    RunAnswered,
    UnknownReason,
)
from celeryferry_core.tickets import (
    Finished,
    Join,
    SentTickets,
    Start,
    TicketParts,
    TicketTable,
    parse_ticket,
)

VALIDITY = timedelta(seconds=60)
CAPACITY = 3
OUTCOMES = (
    RunAnswered(msgspec.Raw(b"1")),
    NotRun(NotRunReason.COLD),
    OutcomeUnknown(UnknownReason.TIMEOUT),
)


class TestTicketText(unittest.TestCase):
    """Guards against other text that is parsed as a ticket of some process."""

    def test_a_ticket_round_trips(self):
        parts = TicketParts("agadir-a.host.1", "a1b2c3", "A" * 22)
        self.assertEqual(parse_ticket(parts.to_text()), Ok(parts))

    def test_other_text_is_refused(self):
        valid = TicketParts("host-1", "a1b2", "A" * 22).to_text()
        for text in ("", ".", "host-1.a1b2", valid + "\n", valid + "A", " " + valid):
            self.assertIsInstance(parse_ticket(text), Err, text)
        self.assertIsInstance(parse_ticket("h" * 300 + valid), Err)


class TicketMachine(RuleBasedStateMachine):
    """Compares the ticket table with a model that records every execution."""

    tickets = Bundle("tickets")
    executions = Bundle("executions")

    @initialize()
    def open_table(self):
        self.now = timedelta(0)
        self.table = TicketTable(CAPACITY, VALIDITY)
        self.count = 0
        self.execution_counts = {}
        self.outcomes = {}
        self.running = set()
        self.expiry = {}

    @rule(target=tickets)
    def issue(self):
        self.count += 1
        text = f"ticket-{self.count}"
        issued = self.table.issue(text, "application", "service", self.now)
        if isinstance(issued, Ok):
            self.expiry[text] = self.now + VALIDITY
            self.execution_counts[text] = 0
        return text

    @rule(target=executions, text=tickets)
    def begin(self, text):
        step = self.table.begin(text, self.now)
        if text not in self.expiry:
            assert step == Finished(OutcomeUnknown(UnknownReason.TICKET_EXPIRED))
            return None
        match step:
            case Start(ticket):
                assert text not in self.running and text not in self.outcomes
                assert self.now < self.expiry[text]
                self.running.add(text)
                return ticket
            case Join():
                assert text in self.running
            case Finished(NotRun()):
                assert (
                    self.execution_counts[text] == 0 and self.now >= self.expiry[text]
                )
            case Finished(outcome):
                is_expired = self.now >= self.expiry[text]
                assert is_expired or outcome == self.outcomes[text]
        return None

    @rule(ticket=consumes(executions), outcome=st.sampled_from(OUTCOMES))
    def finish(self, ticket, outcome):
        if ticket is None:
            return
        self.table.finish(ticket, outcome)
        self.running.discard(ticket.text)
        if not isinstance(outcome, NotRun):
            self.execution_counts[ticket.text] += 1
            self.outcomes[ticket.text] = outcome

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.now += timedelta(seconds=seconds)
        self.table.expire(self.now)

    @invariant()
    def no_ticket_is_executed_twice(self):
        assert all(count <= 1 for count in self.execution_counts.values())
        assert len(self.table) <= CAPACITY


class TestTicketTable(TicketMachine.TestCase):
    """Guards against a second execution, a lost outcome and an unbounded table.

    A request that is repeated while its ticket is running, after it was answered or
    after it expired must not be executed again.
    """

    settings = settings(derandomize=True, max_examples=100, deadline=None)


class TestRerunPrevention(unittest.TestCase):
    """Guards against a second execution of a ticket that was already sent.

    With ``prevents_rerun`` turned off the ticket starts twice.
    """

    def test_without_rerun_prevention_a_ticket_starts_twice(self):
        starts = {}
        for prevents_rerun in (True, False):
            table = TicketTable(CAPACITY, VALIDITY, prevents_rerun)
            table.issue("t", "application", "service", timedelta(0))
            first = table.begin("t", timedelta(0))
            table.finish(first.ticket, OUTCOMES[0])
            starts[prevents_rerun] = isinstance(table.begin("t", timedelta(0)), Start)
        self.assertEqual(starts, {True: False, False: True})


class TestSentTickets(unittest.TestCase):
    """Guards against an owner that drops a sent ticket before it expires.

    If a full set dropped its oldest ticket, the owner could send that ticket again.
    """

    def test_is_full_until_the_oldest_ticket_has_expired(self):
        sent_tickets = SentTickets(1, VALIDITY)
        sent_tickets.add("t", timedelta(0))
        self.assertTrue(sent_tickets.is_full(VALIDITY - timedelta(seconds=1)))
        self.assertIn("t", sent_tickets)
        self.assertFalse(sent_tickets.is_full(VALIDITY))
        self.assertNotIn("t", sent_tickets)
