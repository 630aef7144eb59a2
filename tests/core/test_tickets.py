"""Tests of the ticket table."""

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
    """Guards against text that is taken for a ticket of another process."""

    def test_a_ticket_survives_the_round_trip(self):
        name = TicketParts("agadir-a.host.1", "a1b2c3", "A" * 22)
        self.assertEqual(parse_ticket(name.to_text()), Ok(name))

    def test_other_text_is_refused(self):
        good = TicketParts("host-1", "a1b2", "A" * 22).to_text()
        for text in ("", ".", "host-1.a1b2", good + "\n", good + "A", " " + good):
            self.assertIsInstance(parse_ticket(text), Err, text)
        self.assertIsInstance(parse_ticket("h" * 300 + good), Err)


class TicketMachine(RuleBasedStateMachine):
    """Compares the table with a model that records every execution."""

    tickets = Bundle("tickets")
    executions = Bundle("executions")

    @initialize()
    def open_table(self):
        self.now = timedelta(0)
        self.table = TicketTable(CAPACITY, VALIDITY)
        self.count = 0
        self.sent = {}
        self.settled = {}
        self.running = set()
        self.expiry = {}

    @rule(target=tickets)
    def issue(self):
        self.count += 1
        text = f"ticket-{self.count}"
        issued = self.table.issue(text, "application", "service", self.now)
        if isinstance(issued, Ok):
            self.expiry[text] = self.now + VALIDITY
            self.sent[text] = 0
        return text

    @rule(target=executions, text=tickets)
    def begin(self, text):
        step = self.table.begin(text, self.now)
        if text not in self.expiry:
            assert step == Finished(OutcomeUnknown(UnknownReason.TICKET_EXPIRED))
            return None
        match step:
            case Start(ticket):
                assert text not in self.running and text not in self.settled
                assert self.now < self.expiry[text]
                self.running.add(text)
                return ticket
            case Join():
                assert text in self.running
            case Finished(NotRun()):
                assert self.sent[text] == 0 and self.now >= self.expiry[text]
            case Finished(outcome):
                is_expired = self.now >= self.expiry[text]
                assert is_expired or outcome == self.settled[text]
        return None

    @rule(ticket=consumes(executions), outcome=st.sampled_from(OUTCOMES))
    def finish(self, ticket, outcome):
        if ticket is None:
            return
        self.table.finish(ticket, outcome)
        self.running.discard(ticket.text)
        if not isinstance(outcome, NotRun):
            self.sent[ticket.text] += 1
            self.settled[ticket.text] = outcome

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.now += timedelta(seconds=seconds)
        self.table.expire(self.now)

    @invariant()
    def executions_stay_below_two(self):
        assert all(count <= 1 for count in self.sent.values())
        assert len(self.table) <= CAPACITY


class TestTicketTable(TicketMachine.TestCase):
    """Guards against a second execution, a lost outcome and an unbounded table."""

    settings = settings(derandomize=True, max_examples=100, deadline=None)


class TestTicketMemory(unittest.TestCase):
    """Guards against a table that forgets that a ticket was sent."""

    def test_without_memory_a_ticket_starts_twice(self):
        starts = {}
        for remembers in (True, False):
            table = TicketTable(CAPACITY, VALIDITY, remembers)
            table.issue("t", "application", "service", timedelta(0))
            first = table.begin("t", timedelta(0))
            table.finish(first.ticket, OUTCOMES[0])
            starts[remembers] = isinstance(table.begin("t", timedelta(0)), Start)
        self.assertEqual(starts, {True: False, False: True})


class TestRunMemory(unittest.TestCase):
    """Guards against an owner that forgets a ticket too early."""

    def test_is_full_until_the_oldest_ticket_has_expired(self):
        memory = SentTickets(1, VALIDITY)
        memory.add("t", timedelta(0))
        self.assertTrue(memory.is_full(VALIDITY - timedelta(seconds=1)))
        self.assertIn("t", memory)
        self.assertFalse(memory.is_full(VALIDITY))
        self.assertNotIn("t", memory)
