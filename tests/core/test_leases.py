"""Tests of granting and holding leases."""

import unittest
from datetime import timedelta
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from celeryferry_core.leases import (
    LEASE_DURATION,
    PROBE_INTERVAL,
    LeaseHolder,
    LeaseReply,
    LeaseRequest,
    LeaseSender,
    LeaseWitness,
)

KEY = "survey-desk/0/agadir-a"
START = timedelta(seconds=100)
STEP = PROBE_INTERVAL / 2


class Cell:
    """A cell of hosts that exchange probes over a simulated lossy, delaying network."""

    def __init__(self, size, startup_wait=LEASE_DURATION):
        self.now = START
        self.startup_wait = startup_wait
        self.ids = [f"host-{number}" for number in range(size)]
        self.started = dict.fromkeys(self.ids, 0)
        self.jitters = dict.fromkeys(self.ids, STEP)
        self.requests = []
        self.replies = []
        for host_id in self.ids:
            self.restart(host_id)
        self.now += LEASE_DURATION

    def restart(self, host_id):
        self.started[host_id] += 1
        if not hasattr(self, "witnesses"):
            self.witnesses, self.holders = {}, {}
        self.witnesses[host_id] = LeaseWitness(self.now, self.startup_wait)
        holder = LeaseHolder(host_id, lambda: self.jitters[host_id])
        holder.replace_witnesses(self.ids, self.now)
        self.holders[host_id] = holder

    def probe(self, host_id, wants=True):
        holder = self.holders[host_id]
        keys = [KEY] if wants else []
        holder.hand_over(keys, lambda key: 0, self.now)
        request = holder.build_request(keys, self.now)
        for witness in self.ids:
            message = (host_id, self.started[host_id], witness, self.now, request)
            if witness == host_id:
                self.deliver_request(message)
                self.deliver_reply(self.replies.pop())
            else:
                self.requests.append(message)

    def deliver_request(self, message):
        host_id, incarnation, witness, sent_at, request = message
        sender = LeaseSender(host_id, str(incarnation))
        reply = self.witnesses[witness].handle_request(sender, request, self.now)
        self.replies.append(
            (host_id, incarnation, witness, request.sequence, sent_at, reply)
        )

    def deliver_reply(self, message):
        host_id, incarnation, witness, sequence, sent_at, reply = message
        if incarnation == self.started[host_id]:
            holder = self.holders[host_id]
            holder.record_reply(witness, sequence, sent_at, reply, self.now)

    def exchange(self, host_id, reachable):
        """Probe the witnesses in a bit mask at once; the other probes are lost."""
        waiting = self.requests, self.replies
        self.requests, self.replies = [], []
        self.probe(host_id)
        self.requests = [
            m for m in self.requests if reachable >> self.ids.index(m[2]) & 1
        ]
        self.deliver_all()
        self.requests, self.replies = waiting

    def deliver_all(self):
        for message in self.requests:
            self.deliver_request(message)
        for message in self.replies:
            self.deliver_reply(message)
        self.requests, self.replies = [], []

    def list_holders(self):
        return [
            host_id
            for host_id in self.ids
            if self.holders[host_id].expires_at(KEY, self.now) is not None
        ]


HYPOTHESIS_SETTINGS = {
    "max_examples": 400,
    "deadline": None,
    "derandomize": True,
    # Generating the examples can be slow on a busy machine.
    "suppress_health_check": [HealthCheck.too_slow],
}
HOST_NUMBERS = st.integers(0, 3)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("probe"), HOST_NUMBERS, st.booleans()),
        st.tuples(st.just("exchange"), HOST_NUMBERS, st.integers(0, 31)),
        st.tuples(st.just("exchange"), HOST_NUMBERS, st.integers(0, 31)),
        st.tuples(st.just("request"), st.integers(0, 30), st.booleans()),
        st.tuples(st.just("reply"), st.integers(0, 30), st.booleans()),
        st.tuples(st.just("deliver"), st.just(0), st.just(True)),
        st.tuples(st.just("wait"), st.integers(1, 9), st.just(True)),
        st.tuples(st.just("restart"), HOST_NUMBERS, st.just(True)),
        st.tuples(st.just("drop"), HOST_NUMBERS, st.just(True)),
    ),
    min_size=5,
    max_size=60,
)


def run_history(cell, steps):
    """Apply the steps and return the largest number of holders at one time."""
    max_holders = 0
    for action, number, flag in steps:
        host_id = cell.ids[number % len(cell.ids)]
        match action:
            case "probe":
                cell.probe(host_id, flag)
            case "exchange":
                cell.exchange(host_id, flag)
            case "request" if cell.requests:
                message = cell.requests.pop(number % len(cell.requests))
                if flag:
                    cell.deliver_request(message)
            case "reply" if cell.replies:
                message = cell.replies.pop(number % len(cell.replies))
                if flag:
                    cell.deliver_reply(message)
            case "deliver":
                cell.deliver_all()
            case "wait":
                cell.now += STEP * number
            case "restart":
                cell.restart(host_id)
            case "drop":
                cell.holders[host_id].drop_all_grants()
        max_holders = max(max_holders, len(cell.list_holders()))
    return max_holders


class TestExclusiveLeases(unittest.TestCase):
    """Guards against two owners of one key, and so of one upstream, at one time.

    This happens if a witness grants a key twice: after a restart, in which it lost its
    grants, or after a delayed release that arrives after a later grant.
    """

    @settings(**HYPOTHESIS_SETTINGS)
    @given(size=st.integers(2, 4), steps=STEPS)
    def test_no_history_leads_to_two_holders(self, size, steps):
        self.assertLessEqual(run_history(Cell(size), steps), 1)

    def test_restarted_witness_without_startup_wait_leads_to_two_holders(self):
        steps = [("probe", 0, True), ("request", 0, True), ("request", 0, False)]
        steps += [("deliver", 0, True), ("restart", 1, True)]
        steps += [("probe", 2, True), ("deliver", 0, True)]
        self.assertEqual(run_history(Cell(3, timedelta(0)), steps), 2)
        self.assertEqual(run_history(Cell(3), steps), 1)

    def test_delayed_release_does_not_undo_a_later_grant(self):
        steps = [("probe", 0, True), ("deliver", 0, True)]
        # The release is delayed: the later probe reaches host 1 before it.
        steps += [("probe", 0, False), ("probe", 0, True)]
        steps += [("request", 2, True), ("request", 2, False), ("reply", 0, True)]
        steps += [("request", 0, True), ("request", 0, True)]
        steps += [("probe", 2, True), ("deliver", 0, True)]
        with mock.patch.object(LeaseWitness, "_is_delayed", return_value=False):
            self.assertEqual(run_history(Cell(3), steps), 2)
        self.assertEqual(run_history(Cell(3), steps), 1)

    def test_new_incarnation_does_not_inherit_grants(self):
        witness = LeaseWitness(START - LEASE_DURATION)
        request = LeaseRequest(1, (KEY,))
        witness.handle_request(LeaseSender("a", "old"), request, START)
        reply = witness.handle_request(LeaseSender("a", "new"), request, START)
        self.assertEqual(reply.granted, ())


class TestHolder(unittest.TestCase):
    """Guards against work after the end of a lease, and against livelock.

    Work would outlast a lease that is counted from the answer instead of the send time,
    or that rests on grants from before a pause or from replaced witnesses. A livelock
    occurs if two hosts split the votes of the witnesses again and again.
    """

    def make_held_cell(self, size=3):
        cell = Cell(size)
        cell.probe("host-0")
        cell.deliver_all()
        return cell

    def test_lease_counts_from_the_send_time(self):
        cell = Cell(3)
        sent_at = cell.now
        cell.probe("host-0")
        cell.now += PROBE_INTERVAL
        cell.deliver_all()
        end = cell.holders["host-0"].expires_at(KEY, cell.now)
        self.assertEqual(end, sent_at + LEASE_DURATION)

    def test_handover_waits_for_running_work_and_starts_no_more(self):
        cell = self.make_held_cell()
        holder = cell.holders["host-0"]
        self.assertEqual(holder.hand_over([], lambda key: 1, cell.now), ())
        self.assertIsNone(holder.expires_at(KEY, cell.now))
        self.assertNotIn(KEY, holder.build_request([KEY], cell.now).wanted)
        cell.now += LEASE_DURATION
        self.assertEqual(holder.hand_over([], lambda key: 1, cell.now), (KEY,))

    def test_split_vote_is_resolved(self):
        cell = Cell(4)
        cell.jitters.update({"host-1": 4 * STEP})
        for host_id, witness in (("host-0", "host-2"), ("host-1", "host-3")):
            cell.probe(host_id)
            own_requests = [
                m for m in cell.requests if m[0] == host_id and m[2] == witness
            ]
            cell.deliver_request(own_requests[0])
        cell.requests = []
        cell.deliver_all()
        rounds = 0
        while not cell.list_holders():
            rounds += 1
            self.assertLess(rounds, 20)
            cell.now += STEP
            cell.probe("host-0")
            cell.probe("host-1")
            cell.deliver_all()
        self.assertEqual(len(cell.list_holders()), 1)

    def test_replaced_witness_does_not_form_a_second_majority(self):
        cell = self.make_held_cell()
        other_holder = LeaseHolder("host-1", lambda: STEP)
        other_holder.replace_witnesses(cell.ids, cell.now)
        other_holder.replace_witnesses(["host-0", "host-1", "host-9"], cell.now)
        request = other_holder.build_request([KEY], cell.now)
        for witness in ("host-1", "host-9"):
            reply = LeaseReply((KEY,))
            other_holder.record_reply(
                witness, request.sequence, cell.now, reply, cell.now
            )
        self.assertIsNone(other_holder.expires_at(KEY, cell.now))

    def test_grants_of_probes_before_a_pause_do_not_count(self):
        cell = Cell(3)
        cell.probe("host-0")
        cell.holders["host-0"].drop_all_grants()
        cell.deliver_all()
        self.assertEqual(cell.list_holders(), [])
