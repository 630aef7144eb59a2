"""Tests of the sequence numbers of probes that a witness accepts."""

import unittest
from datetime import timedelta
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryferry_core.lease_messages import (
    LEASE_DURATION,
    MAX_SEQUENCE_LEAD,
    MIN_PROBE_ROUND_INTERVAL,
    PROBE_INTERVAL,
    LeaseRequest,
    LeaseSender,
)
from celeryferry_core.lease_witness import SEQUENCE_RETENTION, LeaseWitness
from celeryferry_core.models.bounds import MAX_SEQUENCE

KEY = "survey-desk/0/agadir-a"
SENDER = LeaseSender("host-0", "one")
START = timedelta(seconds=100)
SETTINGS = settings(max_examples=300, deadline=None, derandomize=True)
# An accepted forged number is at most MAX_SEQUENCE_LEAD plus the rounds of one interval
# ahead of a process that probes regularly. The process catches up by one number in each
# interval.
MAX_BLOCK_TIME = (
    MAX_SEQUENCE_LEAD + PROBE_INTERVAL / MIN_PROBE_ROUND_INTERVAL
) * PROBE_INTERVAL


def is_accepted(witness, sequence, now):
    reply = witness.handle_request(SENDER, LeaseRequest(sequence, (KEY,)), now)
    return bool(reply.granted)


def find_block(forged, offset):
    """Return how long a forged probe keeps a witness from accepting genuine ones."""
    witness = LeaseWitness(START - LEASE_DURATION)
    assert is_accepted(witness, 10, START)
    is_accepted(witness, forged, START + offset)
    for rounds in range(1, 100):
        now = START + rounds * PROBE_INTERVAL
        if is_accepted(witness, 10 + rounds, now):
            return now - START - offset
    return None


class TestSequences(unittest.TestCase):
    """Guards against forged probes that block the leases of another process.

    If a witness accepts a forged sequence number that is far ahead, it refuses the
    genuine probes of that process as delayed until their numbers have caught up.
    """

    @SETTINGS
    @given(
        forged=st.integers(0, MAX_SEQUENCE) | st.integers(0, 100),
        offset=st.floats(0, 0.99).map(lambda fraction: fraction * PROBE_INTERVAL),
    )
    def test_one_forged_probe_blocks_for_a_bounded_time(self, forged, offset):
        self.assertLess(MAX_BLOCK_TIME, SEQUENCE_RETENTION / 2)
        self.assertLessEqual(find_block(forged, offset), MAX_BLOCK_TIME)

    def test_one_forged_probe_blocks_for_long_without_the_bound(self):
        with mock.patch.object(LeaseWitness, "_is_too_far_ahead", return_value=False):
            block = find_block(MAX_SEQUENCE, timedelta(0))
        self.assertGreaterEqual(block, SEQUENCE_RETENTION)

    @SETTINGS
    @given(
        gap=st.sampled_from([MIN_PROBE_ROUND_INTERVAL, PROBE_INTERVAL]),
        probes=st.lists(
            st.tuples(
                st.integers(1, 8), st.floats(0, MAX_SEQUENCE_LEAD), st.booleans()
            ),
            max_size=40,
        ),
    )
    def test_only_late_probes_of_the_process_itself_are_refused(self, gap, probes):
        """Rounds are at least ``gap`` apart; probes are lost or delayed."""
        witness = LeaseWitness(START - LEASE_DURATION)
        sent_at, received = START, []
        for sequence, (pause, delay, is_lost) in enumerate(probes):
            sent_at += gap * pause
            if not is_lost:
                received.append((sent_at + gap * delay, sequence))
        latest = -1
        for now, sequence in sorted(received):
            accepted = is_accepted(witness, sequence, now)
            self.assertEqual(accepted, sequence >= latest)
            latest = max(latest, sequence)

    @SETTINGS
    @given(
        probes=st.lists(
            st.tuples(st.integers(0, 60), st.integers(0, 4)), min_size=2, max_size=60
        )
    )
    def test_no_probe_older_than_an_accepted_one_is_accepted(self, probes):
        """Guards against a refused number that replaces the latest accepted one."""
        witness = LeaseWitness(START - LEASE_DURATION)
        latest, now = -1, START
        for sequence, steps in probes:
            now += steps * MIN_PROBE_ROUND_INTERVAL
            if is_accepted(witness, sequence, now):
                self.assertGreaterEqual(sequence, latest)
                latest = sequence

    def test_restarted_witness_accepts_any_number_of_the_process(self):
        witness = LeaseWitness(START - LEASE_DURATION)
        self.assertTrue(is_accepted(witness, 10**6, START))


if __name__ == "__main__":
    unittest.main()
