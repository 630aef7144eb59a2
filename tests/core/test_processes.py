"""Tests of what a host knows of the processes of upstreams. The time is passed in."""

import unittest
from datetime import timedelta
from unittest import mock

import hypothesis
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from celeryferry_core.forwarding.processes import (
    SILENCE_TIME,
    DoubtCause,
    Known,
    ProcessObservations,
    Unknown,
)

NOW = timedelta(seconds=100)
STEP = timedelta(milliseconds=50)
UNNOTICED_TIME = timedelta(seconds=4)


class Connection:
    """An open connection with the times that the decisions look at."""

    def __init__(self, opened_at: timedelta, heard_at: timedelta | None = None) -> None:
        self.opened_at = opened_at
        self.heard_at = opened_at if heard_at is None else heard_at
        self.sent_at: timedelta | None = None


class TestProcessObservations(unittest.TestCase):
    """Guards against taking a new process for the one that an entry calls warm.

    It has taken the place of a process that fell silent or whose connections were lost
    while the source of entries said nothing.
    """

    def setUp(self):
        self.processes = ProcessObservations()

    def identify(self, *connections, after=timedelta(0), is_read=True, is_askable=True):
        """Return whether the process is known some time after ``NOW``."""
        return self.processes.identify(
            "s0-a", connections, is_read, is_askable, NOW + after
        )

    def lose(self, heard_at: timedelta) -> None:
        """Lose a connection that was last heard at some time."""
        self.processes.record_doubt("s0-a", heard_at, DoubtCause.LOST, NOW)

    def test_upstream_without_an_event_is_known(self):
        """Guards against a question for each new connection in calm."""
        self.assertEqual(self.identify(), Known())
        self.assertEqual(self.identify(Connection(NOW - STEP)), Known())

    def test_lost_connection_leaves_the_process_unknown(self):
        """Guards against the full load after a reset, until the upstream was asked."""
        self.lose(NOW - STEP)
        self.assertEqual(self.identify(), Unknown(NOW - STEP, DoubtCause.LOST))
        self.processes.record_asked("s0-a", NOW + STEP)
        self.assertEqual(self.identify(after=2 * STEP), Known())

    def test_answer_on_an_older_connection_ends_the_doubt(self):
        """Guards against a question for each answer that is lost."""
        self.lose(NOW - STEP)
        older = Connection(NOW - 2 * STEP)
        self.assertIsInstance(self.identify(older), Unknown)
        older.heard_at = NOW + STEP
        self.assertEqual(self.identify(older, after=STEP), Known())

    def test_answer_on_a_younger_connection_tells_nothing(self):
        """Guards against a new process that vouches for itself."""
        self.lose(NOW - 2 * STEP)
        younger = Connection(NOW - STEP, heard_at=NOW + STEP)
        self.assertIsInstance(self.identify(younger, after=STEP), Unknown)

    def test_later_loss_keeps_the_earlier_doubt(self):
        """Guards against a connection to the new process as a witness of the old."""
        self.lose(NOW - 4 * STEP)
        self.lose(NOW - STEP)
        between = Connection(NOW - 2 * STEP, heard_at=NOW + STEP)
        self.assertIsInstance(self.identify(between, after=STEP), Unknown)

    def test_silent_connection_leaves_the_process_unknown(self):
        """Guards against new connections to a machine that was replaced behind one.

        Requests that wait for an answer don't notice that their process is gone.
        """
        silent = Connection(NOW - SILENCE_TIME)
        silent.sent_at = NOW
        almost = SILENCE_TIME - STEP
        self.assertEqual(self.identify(silent, after=almost), Known())
        identity = self.identify(silent, after=SILENCE_TIME)
        self.assertEqual(identity, Unknown(silent.heard_at, DoubtCause.SILENT))
        silent.heard_at = NOW + SILENCE_TIME + STEP
        self.assertEqual(self.identify(silent, after=SILENCE_TIME + STEP), Known())

    def test_silence_beside_answers_is_no_doubt(self):
        """Guards against questions to an upstream that has one long request."""
        silent, other = Connection(NOW), Connection(NOW)
        silent.sent_at, other.heard_at = NOW, NOW + STEP
        self.assertEqual(self.identify(silent, other, after=SILENCE_TIME), Known())

    def test_question_settles_a_silence_from_before_it(self):
        """Guards against one question after the other while a request is slow."""
        silent = Connection(NOW)
        silent.sent_at = NOW
        self.assertIsInstance(self.identify(silent, after=SILENCE_TIME), Unknown)
        self.processes.record_asked("s0-a", NOW + SILENCE_TIME)
        self.assertEqual(self.identify(silent, after=2 * SILENCE_TIME), Known())

    def test_without_the_source_only_recent_contact_counts(self):
        """Guards against an upstream that restarts unseen during an outage."""
        connection = Connection(NOW)
        recent, late = SILENCE_TIME - STEP, SILENCE_TIME
        self.assertEqual(
            self.identify(connection, after=recent, is_read=False), Known()
        )
        identity = self.identify(connection, after=late, is_read=False)
        self.assertEqual(identity, Unknown(NOW, DoubtCause.NO_WITNESS))

    def test_host_that_has_just_started_knows_no_process_without_the_source(self):
        """Guards against trusting the entries that a peer has sent in an outage."""
        self.assertIsInstance(self.identify(is_read=False), Unknown)

    def test_unnoticed_part_of_an_outage_counts(self):
        """Guards against connections from the time before an outage is noticed."""
        opened = {
            "old": [Connection(NOW - UNNOTICED_TIME)],
            "young": [Connection(NOW - STEP)],
            "asked": [Connection(NOW - STEP)],
        }
        self.processes.record_asked("asked", NOW - STEP)
        self.processes.record_source_lost(opened, UNNOTICED_TIME, NOW)
        for connections in opened.values():
            connections[0].heard_at = NOW
        known = {
            instance_id: isinstance(
                self.processes.identify(
                    instance_id, opened[instance_id], False, True, NOW
                ),
                Known,
            )
            for instance_id in opened
        }
        self.assertEqual(known, {"old": True, "young": False, "asked": True})

    def test_upstream_that_takes_no_question_is_doubted_once_in_an_outage(self):
        """Guards against an upstream that stays cold for as long as the outage."""
        self.processes.record_source_lost({}, UNNOTICED_TIME, NOW)
        late = 4 * SILENCE_TIME
        answer = self.identify(is_read=False, is_askable=False)
        self.assertIsInstance(answer, Unknown)
        self.processes.record_asked("s0-a", NOW)
        answer = self.identify(after=late, is_read=False, is_askable=False)
        self.assertEqual(answer, Known())

    def test_memory_is_bounded_by_the_listed_upstreams(self):
        """Guards against memory that grows with upstreams that are gone."""
        self.lose(NOW)
        self.processes.record_asked("s0-b", NOW)
        self.processes.keep_only(lambda instance_id: False)
        self.assertEqual(self.identify(), Known())
        self.assertFalse(self.processes._asked_at)


class UnseenRestarts(RuleBasedStateMachine):
    """An upstream that is replaced during an outage of the source, and one host.

    The host opens a connection only if it takes the process for known, or to ask. A new
    process needs at least ``SILENCE_TIME`` to start.
    """

    def __init__(self):
        super().__init__()
        self.processes = ProcessObservations()
        self.now = NOW
        self.generation = self.known_generation = 0
        self.generations: dict[Connection, int] = {}
        self.processes.record_asked("s0-a", self.now)

    @property
    def connections(self):
        """Open connections."""
        return list(self.generations)

    def identify(self):
        """Return whether the process is known now."""
        return self.processes.identify("s0-a", self.connections, False, True, self.now)

    @rule(steps=strategies.integers(1, 30))
    def wait(self, steps):
        """Let time pass."""
        self.now += steps * STEP

    @rule()
    def restart(self):
        """Replace the process. Its connections are not told."""
        self.now += SILENCE_TIME
        self.generation += 1

    @rule(is_used=strategies.booleans())
    def open(self, is_used):
        """Open a connection, after a question if the process is unknown."""
        connection = Connection(self.now)
        if isinstance(self.identify(), Unknown):
            self.processes.record_asked("s0-a", self.now)
            self.known_generation = self.generation
            self.generations.clear()
        self.generations[connection] = self.generation
        if is_used:
            connection.sent_at = self.now

    @precondition(lambda self: self.generations)
    @rule(data=strategies.data())
    def use(self, data):
        """Send on an idle connection, or receive the answer of a busy one.

        A connection to a process that is gone is lost when it is sent on, and silent
        if it waits for an answer.
        """
        connection = data.draw(strategies.sampled_from(self.connections))
        is_alive = self.generations[connection] == self.generation
        if connection.sent_at is None:
            if is_alive:
                connection.sent_at = self.now
            else:
                self.lose(connection)
        elif is_alive:
            connection.sent_at, connection.heard_at = None, self.now

    def lose(self, connection):
        """Lose a connection."""
        del self.generations[connection]
        self.processes.record_doubt(
            "s0-a", connection.heard_at, DoubtCause.LOST, self.now
        )

    @precondition(lambda self: self.generations)
    @rule(data=strategies.data())
    def close(self, data):
        """Close a connection in order."""
        connection = data.draw(strategies.sampled_from(self.connections))
        if connection.sent_at is None:
            del self.generations[connection]

    @invariant()
    def known_process_is_the_one_that_was_asked(self):
        """The host never takes a new process for the known one."""
        if isinstance(self.identify(), Known):
            assert self.known_generation == self.generation


class TestUnseenRestarts(unittest.TestCase):
    """Guards against any order of restarts, losses and silences that is missed."""

    SETTINGS = hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=150,
        stateful_step_count=20,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )

    def run_machine(self) -> None:
        """Search for an order that breaks the invariant."""
        hypothesis.stateful.run_state_machine_as_test(
            UnseenRestarts, settings=self.SETTINGS
        )

    def test_no_order_is_missed(self):
        """Guards against the full load for a process that nobody has asked."""
        self.run_machine()

    def test_each_rule_is_needed(self):
        """Guards against a search that finds nothing."""
        mutations = {
            "contact however old counts": mock.patch.object(
                ProcessObservations, "_find_witness", lambda *_: Known()
            ),
            "a restart takes longer than it does": mock.patch(
                "celeryferry_core.forwarding.processes.SILENCE_TIME", 4 * SILENCE_TIME
            ),
        }
        for name, mutation in mutations.items():
            with self.subTest(name), mutation, self.assertRaises(AssertionError):
                self.run_machine()
