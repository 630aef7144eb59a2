"""Tests of the decision whether a host reads a source itself."""

import unittest
from datetime import timedelta

from celeryferry_core.forwarding.reading import (
    EXTRA_READER_COUNT,
    ISOLATION_TIME,
    MAX_BEHIND_TIME,
    ReadingInputs,
    RelayReport,
    find_reading_reason,
)
from celeryferry_core.forwarding.relays import RELAY_COUNT

# Time in which a configuration must be in force, with the smallest bound in use.
APPLY_TIME = timedelta(seconds=3)
# Time that the read and the transfer of its result take at most.
READ_TIME = timedelta(seconds=1)


def decide(**changes) -> bool:
    """Return the decision for a member, with changed inputs."""
    inputs = {
        "is_relay": False,
        "rank": 20,
        "report": RelayReport.AVAILABLE,
        "report_age": timedelta(seconds=60),
    }
    return find_reading_reason(ReadingInputs(**(inputs | changes))) is not None


class TestShouldRead(unittest.TestCase):
    """Guards against calls of every host, and against hosts that nobody informs."""

    def test_relays_read_and_members_do_not(self):
        self.assertTrue(decide(is_relay=True, rank=0))
        self.assertTrue(decide(is_relay=True, rank=1))
        self.assertFalse(decide())

    def test_member_without_relays_reads_in_time(self):
        """Guards against a configuration that is late because the readers are gone."""
        for rank in range(200):
            limit = APPLY_TIME - READ_TIME
            self.assertTrue(
                decide(rank=rank, report=RelayReport.NO_RELAY, report_age=limit)
            )
            self.assertFalse(
                decide(
                    rank=rank,
                    report=RelayReport.NO_RELAY,
                    report_age=ISOLATION_TIME - timedelta(milliseconds=1),
                )
            )

    def test_few_members_try_while_the_relays_fail(self):
        """Guards against calls of every host while the source is down."""
        for age_s in range(250):
            readers = [
                rank
                for rank in range(2, 200)
                if decide(
                    rank=rank,
                    report=RelayReport.UNAVAILABLE,
                    report_age=timedelta(seconds=age_s),
                    host_count=200,
                )
            ]
            self.assertEqual(readers[:2], [2, 3])
            self.assertLessEqual(len(readers), 3)
        self.assertEqual(RELAY_COUNT + EXTRA_READER_COUNT, 4)

    def test_others_try_in_turn_while_the_candidates_fail(self):
        """Guards against a domain without a reader, though some of its hosts could.

        Pattern: the source turns the relays and the next candidates away for long.
        """
        host_count = 9
        had_turns = set()
        for age_ms in range(0, 10_000, 250):
            readers = {
                rank
                for rank in range(RELAY_COUNT, host_count)
                if decide(
                    rank=rank,
                    report=RelayReport.UNAVAILABLE,
                    report_age=timedelta(milliseconds=age_ms),
                    host_count=host_count,
                )
            }
            self.assertLessEqual(len(readers), EXTRA_READER_COUNT + 1)
            had_turns |= readers
        self.assertEqual(had_turns, set(range(RELAY_COUNT, host_count)))

    def test_host_that_reads_goes_on_until_a_relay_reads(self):
        """Guards against relays that lose the only host that reads for them."""
        for report in RelayReport:
            is_needed = report is not RelayReport.AVAILABLE
            age = timedelta(0)
            reads = decide(report=report, report_age=age, reads_it=True)
            self.assertEqual(reads, is_needed, report)

    def test_hosts_behind_a_lost_source_wait_for_their_turn(self):
        """Guards against calls of every host while the source is down.

        Pattern: a domain has told of a change before it and the source were lost.
        """
        readers = [
            rank
            for rank in range(RELAY_COUNT, 40)
            if decide(
                rank=rank,
                report=RelayReport.UNAVAILABLE,
                behind_for=MAX_BEHIND_TIME,
                host_count=40,
            )
        ]
        self.assertLessEqual(len(readers), EXTRA_READER_COUNT + 1)

    def test_member_that_is_behind_reads(self):
        """Guards against relays that are available but have missed a change."""
        self.assertTrue(decide(behind_for=MAX_BEHIND_TIME))
        self.assertLess(MAX_BEHIND_TIME, APPLY_TIME - READ_TIME)
