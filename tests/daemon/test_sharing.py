"""Tests of how hosts share the contents of a source."""

import random
import unittest
from datetime import timedelta
from functools import partial

from celeryferry_core.forwarding.hosts import LinkRole
from celeryferry_core.forwarding.positions import START, Position
from celeryferry_core.forwarding.reading import (
    ISOLATION_TIME,
    MAX_BEHIND_TIME,
    READER_RETENTION,
    Availability,
    ReadingReason,
)
from celeryferry_daemon._internal.clock import SystemClock
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.link_messages import SourceStatus
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import SourceChanges
from celeryferry_daemon._internal.forwarding.sharing import (
    REQUEST_TIMEOUT,
    SharedSource,
)
from celeryferry_daemon._internal.forwarding.state import HostState
from tests.daemon.test_forwarding_sources import (
    RecordingLog,
    ScriptedSource,
    make_entry,
    make_removal,
    make_settings,
)

NOW = timedelta(seconds=100)
RANK_OF_A_MEMBER = 10


def make_status(
    revision: int, reads_it=True, is_available=True, heard=0, is_known=True
):
    """Return the status of a peer."""
    heard = max(heard, revision)
    return SourceStatus(
        revision, heard, reads_it, is_available, is_availability_known=is_known
    )


def _append(changes: list, *change):
    changes.append(change)


class SharingTestCase(unittest.IsolatedAsyncioTestCase):
    """Makes hosts that share a source without links."""

    def make_host(self) -> SharedSource:
        log, clock, source = RecordingLog(), SystemClock(), ScriptedSource()
        random_source = random.Random(1)
        pool = UpstreamPool(clock)
        state = HostState(make_settings(), random_source, pool, log, clock.monotonic())
        follower = SourceFollower(source, state, clock, random_source, log)
        return SharedSource(follower, NOW)

    def fill(self, shared: SharedSource, revision: int, *items):
        """Give a host its contents."""
        changes = SourceChanges(items, revision)
        shared.follower.apply_peer_changes(START, changes, True)

    async def asyncSetUp(self):
        self.shared = self.make_host()

    def update(self, now: timedelta = NOW, is_relay=False, rank=RANK_OF_A_MEMBER):
        """Decide anew; returns whether the host reads the source."""
        self.shared.update(is_relay, rank, now)
        return self.shared.follower.is_reading


class TestReaders(SharingTestCase):
    """Guards against calls of every host, and against hosts that nobody informs."""

    async def test_member_with_a_relay_makes_no_call(self):
        self.shared.record_status(1, LinkRole.TO_RELAY, make_status(0), NOW)
        self.assertFalse(self.update())
        self.assertFalse(self.update(NOW + timedelta(seconds=60)))

    async def test_member_whose_relays_are_gone_reads(self):
        self.shared.record_status(1, LinkRole.TO_RELAY, make_status(0), NOW)
        self.update()
        self.shared.drop_link(1)
        self.assertFalse(self.update())
        late = NOW + ISOLATION_TIME + timedelta(milliseconds=500)
        self.assertTrue(self.update(late))
        self.shared.record_status(2, LinkRole.TO_RELAY, make_status(0), late)
        self.assertFalse(self.update(late), "it stops once it has a relay again")

    async def test_member_behind_its_relays_reads(self):
        """Guards against relays whose watches hang without a sign."""
        self.fill(self.shared, 5, make_entry("s0-a", 3))
        status = make_status(5, heard=9)
        self.shared.record_status(1, LinkRole.TO_RELAY, status, NOW)
        self.assertFalse(self.update())
        self.assertTrue(self.update(NOW + MAX_BEHIND_TIME))

    async def test_only_own_calls_are_passed_on_as_proof(self):
        """Guards against two relays that confirm to each other that they can read."""
        status = make_status(0, reads_it=False, is_available=True)
        self.shared.record_status(1, LinkRole.TO_RELAY, status, NOW)
        self.update()
        self.assertFalse(self.shared.make_status().is_available)
        reading = make_status(0, reads_it=True)
        self.shared.record_status(2, LinkRole.FROM_MEMBER, reading, NOW)
        self.assertTrue(self.shared.make_status().is_available)

    async def test_source_is_lost_only_if_no_peer_reads_it(self):
        lost = make_status(0, reads_it=False, is_available=False)
        self.shared.record_status(1, LinkRole.TO_RELAY, lost, NOW)
        self.update()
        self.assertTrue(self.shared.follower.is_unavailable)
        self.shared.record_status(2, LinkRole.TO_RELAY, make_status(0), NOW)
        self.update()
        self.assertFalse(self.shared.follower.is_unavailable)


class TestLossOfTheSource(SharingTestCase):
    """Guards against a loss that was concluded from what was not heard yet.

    After a loss, removed upstreams are kept for a grace period, so requests reach them
    for too long. A host may conclude one only from a call that has failed.
    """

    CANDIDATE_RANK = 2

    def count_losses(self) -> int:
        """Return how often the host has logged a loss."""
        return self.shared.follower._log.count("source_lost")

    def start_candidate(self, relay_status: SourceStatus):
        """Let the host read, as its relay can't; its calls succeed."""
        lost = make_status(0, reads_it=False, is_available=False)
        self.shared.record_status(1, LinkRole.TO_RELAY, lost, NOW)
        self.assertTrue(self.update(rank=self.CANDIDATE_RANK))
        self.shared.follower._record_recovery()
        self.assertFalse(self.shared.follower.is_unavailable)
        self.losses_before = self.count_losses()
        self.shared.record_status(1, LinkRole.TO_RELAY, relay_status, NOW)

    async def test_reader_that_hands_over_to_its_relay_loses_nothing(self):
        """Guards against a loss at the end of an outage that has ended for all."""
        self.start_candidate(make_status(0))
        self.assertFalse(self.update(rank=self.CANDIDATE_RANK))
        self.assertEqual(self.count_losses(), self.losses_before)
        self.assertFalse(self.shared.follower.is_unavailable)

    async def test_reader_does_not_rely_on_a_relay_that_relies_on_it(self):
        """Guards against hosts that stop and start reading in turn.

        The relay can't read the source and counts it as available only because this
        host reads it.
        """
        self.start_candidate(make_status(0, reads_it=False, is_available=True))
        self.assertTrue(self.update(rank=self.CANDIDATE_RANK))
        self.assertFalse(self.shared.follower.is_unavailable)

    async def test_relays_without_a_result_are_no_loss(self):
        """Guards against a loss after a change of relays.

        The next candidates have just become the relays, and their first calls are under
        way.
        """
        status = make_status(5, reads_it=False, is_available=False, is_known=False)
        self.shared.record_status(1, LinkRole.TO_RELAY, status, NOW)
        self.shared.record_status(2, LinkRole.TO_RELAY, status, NOW)
        self.update()
        self.assertEqual(self.count_losses(), 0)
        self.shared.record_status(1, LinkRole.TO_RELAY, make_status(5), NOW)
        self.update()
        self.assertFalse(self.shared.follower.is_unavailable)

    async def test_new_relay_does_not_conclude_a_loss_from_its_members(self):
        """Guards against members that do not read, and count as ones that can't."""
        member = self.make_host().make_status()
        self.shared.record_status(1, LinkRole.FROM_MEMBER, member, NOW)
        self.shared.record_status(2, LinkRole.TO_RELAY, member, NOW)
        self.update(is_relay=True, rank=0)
        self.assertEqual(self.count_losses(), 0)
        self.assertFalse(self.shared.make_status().is_availability_known)

    async def test_member_with_another_relay_that_reads_is_no_loss(self):
        """Guards against a loss that a new relay concludes from a peer that says the
        contrary, but does not vouch for it by its own calls."""
        member = make_status(0, reads_it=False, is_available=True)
        self.shared.record_status(1, LinkRole.FROM_MEMBER, member, NOW)
        self.update(is_relay=True, rank=0)
        self.assertEqual(self.count_losses(), 0)

    async def test_relays_that_say_nothing_for_long_are_replaced(self):
        """Guards against waiting for good for relays that never have a result."""
        status = make_status(0, reads_it=False, is_available=False, is_known=False)
        self.shared.record_status(1, LinkRole.TO_RELAY, status, NOW)
        self.assertFalse(self.update(rank=self.CANDIDATE_RANK))
        late = NOW + ISOLATION_TIME
        self.assertTrue(self.update(late, rank=self.CANDIDATE_RANK))
        self.assertFalse(self.update(late, rank=RANK_OF_A_MEMBER))

    async def test_member_of_another_domain_reads_for_this_one(self):
        """Guards against a loss in a domain whose contents come from another one.

        The relays of both domains are refused; a member of the other one reads.
        """
        other_relay = self.make_host()
        other_relay.record_status(1, LinkRole.FROM_MEMBER, make_status(0), NOW)
        role = LinkRole.BETWEEN_DOMAINS
        self.shared.record_status(1, role, other_relay.make_status(), NOW)
        self.shared.follower.set_reading(ReadingReason.RELAY)
        self.shared.follower._record_failure("refused")
        self.update(is_relay=True, rank=0)
        self.assertFalse(self.shared.follower.is_unavailable)
        self.assertTrue(self.shared.make_status().is_available)

    async def test_domains_do_not_vouch_for_each_other(self):
        """Guards against two domains that confirm an outage away to each other."""
        other_relay = self.make_host()
        own_status = make_status(0, reads_it=False, is_available=True)
        other_relay.record_status(1, LinkRole.BETWEEN_DOMAINS, own_status, NOW)
        self.assertFalse(other_relay.make_status().is_available)
        reading = make_status(0)
        other_relay.record_status(1, LinkRole.BETWEEN_DOMAINS, reading, NOW)
        status = other_relay.make_status()
        self.assertTrue(status.is_available)
        self.assertFalse(status.is_read_in_domain)

    async def test_one_failed_call_ends_no_reading(self):
        """Guards against a domain whose only reader waits for its next turn.

        The relays can't read the source and still count it as available by this host.
        """
        host_count = 12
        lost = make_status(0, reads_it=False, is_available=False)
        self.shared.record_status(1, LinkRole.TO_RELAY, lost, NOW)
        for seconds in range(10):
            now = NOW + timedelta(seconds=seconds)
            self.shared.update(False, RANK_OF_A_MEMBER, now, host_count)
            if self.shared.follower.is_reading:
                break
        self.shared.follower._record_recovery()
        by_this_host = make_status(0, reads_it=False, is_available=True)
        self.shared.record_status(1, LinkRole.TO_RELAY, by_this_host, now)
        self.shared.update(False, RANK_OF_A_MEMBER, now, host_count)
        self.shared.follower._record_failure("refused")
        later = now + timedelta(milliseconds=500)
        self.shared.update(False, RANK_OF_A_MEMBER, later, host_count)
        self.assertTrue(self.shared.follower.is_reading)
        much_later = now + READER_RETENTION
        self.shared.update(False, RANK_OF_A_MEMBER, much_later, host_count)
        self.assertFalse(self.shared.follower.is_reading)

    async def test_relay_that_fails_is_believed(self):
        """Guards against an outage that no member concludes."""
        lost = make_status(5, reads_it=False, is_available=False)
        for link_id in (1, 2):
            self.shared.record_status(link_id, LinkRole.TO_RELAY, lost, NOW)
        self.update()
        self.assertTrue(self.shared.follower.is_unavailable)


class TestContents(SharingTestCase):
    """Guards against hosts that miss a change, or that go back to an older state."""

    def list_ids(self, shared: SharedSource) -> set[str]:
        registry = shared.follower._state.registry
        return set(registry.list_service("s0"))

    def exchange(
        self,
        sender: SharedSource,
        after: Position,
        changes: SourceChanges,
        is_exact: bool = False,
    ):
        """Send an update; requests of the receiver are answered."""
        request = self.shared.apply(sender.make_update(after, changes, is_exact))
        while request is not None:
            request = self.shared.apply(sender.answer(request))

    async def test_missed_update_is_asked_for(self):
        sender = self.make_host()
        sent = []
        sender.follower.on_changed = lambda *change: sent.append(change)
        self.fill(sender, 5, make_entry("s0-a", 3))
        sender.follower.apply_peer_changes(
            Position(0, 5), SourceChanges((make_entry("s0-b", 6),), 6), True
        )
        sender.follower.apply_peer_changes(
            Position(0, 6), SourceChanges((make_removal("s0-a", 7),), 7), True
        )
        self.assertEqual([after.revision for after, *_ in sent], [0, 5, 6])
        self.exchange(sender, *sent[0])
        self.exchange(sender, *sent[2])
        self.assertEqual(self.list_ids(self.shared), {"s0-b"})
        self.exchange(sender, *sent[1])
        self.assertEqual(self.list_ids(self.shared), {"s0-b"})
        self.assertEqual(self.shared.follower.revision, 7)

    async def test_item_that_came_and_went_unseen_is_removed(self):
        """Guards against an upstream that a host keeps for good.

        The sender has lost the history and read all items again. The receiver knows of
        an item that was added and removed in between.
        """
        sender = self.make_host()
        sent = []
        self.fill(sender, 5, make_entry("s0-a", 3))
        sender.follower.on_changed = lambda *change: sent.append(change)
        self.fill(self.shared, 7, make_entry("s0-a", 3), make_entry("s0-b", 6))
        sender.follower.apply_peer_changes(
            START, SourceChanges((make_entry("s0-a", 3),), 9), True
        )
        self.exchange(sender, *sent[0])
        self.assertEqual(self.list_ids(self.shared), {"s0-a"})
        self.assertEqual(self.shared.follower.revision, 9)

    async def test_differences_apply_only_to_the_contents_they_were_made_for(self):
        """Guards against an item that two hosts keep in different states for good.

        Both have the same position, but the listing of one was ahead of it for an item
        on a later page.
        """
        for is_receiver_ahead in (True, False):
            for era in (0, 1):
                with self.subTest(is_receiver_ahead=is_receiver_ahead, era=era):
                    self.shared, sender = self.make_host(), self.make_host()
                    ahead, behind = (
                        (self.shared, sender)
                        if is_receiver_ahead
                        else (sender, self.shared)
                    )
                    self.fill(ahead, 5, make_entry("s0-a", 3), make_entry("s0-b", 7))
                    self.fill(behind, 5, make_entry("s0-a", 3))
                    sent = []
                    sender.follower.on_changed = partial(_append, sent)
                    item = make_entry("s0-b", 7)
                    items = (item,) if era == 0 or not is_receiver_ahead else ()
                    listing = SourceChanges(items, 9, era)
                    sender.follower.apply_peer_changes(START, listing, True)
                    self.exchange(sender, *sent[0])
                    self.assertEqual(
                        self.shared.follower.compute_digest(),
                        sender.follower.compute_digest(),
                    )

    async def test_whole_contents_of_an_older_revision_are_ignored(self):
        sender = self.make_host()
        self.fill(self.shared, 9, make_entry("s0-a", 9))
        self.fill(sender, 5, make_entry("s0-b", 3))
        self.exchange(sender, *sender.follower.list_changes(START))
        self.assertEqual(self.list_ids(self.shared), {"s0-a"})

    async def test_started_host_confirms_no_removal(self):
        """Guards against dropping all upstreams after an outage that a relay missed.

        All entries have expired in the outage. The relay has started at its end, and
        members know that the entries may return.
        """
        relay = self.make_host()
        self.fill(relay, 9)
        relay.follower.set_reading(ReadingReason.RELAY)
        relay.follower._record_recovery()
        self.fill(self.shared, 5, make_entry("s0-a", 3))
        self.shared.follower.set_peer_availability(Availability.LOST)
        self.shared.follower.set_peer_availability(Availability.AVAILABLE)
        self.exchange(relay, *relay.follower.list_changes(START))
        self.assertEqual(self.shared.follower.revision, 9)
        self.assertEqual(self.list_ids(self.shared), {"s0-a"})

    async def test_contents_are_asked_for_once_at_a_time(self):
        """Guards against asking again at every tick while an answer is on its way."""
        roles = (LinkRole.TO_RELAY, LinkRole.TO_RELAY)
        requests = [
            self.shared.record_status(link_id, role, make_status(5), NOW)
            for link_id, role in enumerate(roles)
        ]
        self.assertEqual([request is None for request in requests], [False, True])
        late = NOW + REQUEST_TIMEOUT
        request = self.shared.record_status(1, LinkRole.TO_RELAY, make_status(5), late)
        self.assertEqual(request.after, 0)

    async def test_reader_asks_other_domains_only_if_it_is_late(self):
        """Guards against contents that cross domains although each has its readers."""
        self.fill(self.shared, 5, make_entry("s0-a", 3))
        self.shared.follower.set_reading(ReadingReason.RELAY)
        self.shared.follower.reads_it = True
        ask = self.shared.record_status
        role = LinkRole.BETWEEN_DOMAINS
        self.assertIsNone(ask(1, role, make_status(6), NOW))
        self.assertIsNotNone(ask(1, role, make_status(6), NOW + MAX_BEHIND_TIME))

    async def test_reader_that_is_refused_asks_other_domains_at_once(self):
        """Guards against missing a drain while the source refuses this host's calls."""
        self.fill(self.shared, 5, make_entry("s0-a", 3))
        self.shared.follower.set_reading(ReadingReason.RELAY)
        self.shared.follower.reads_it = False
        request = self.shared.record_status(
            1, LinkRole.BETWEEN_DOMAINS, make_status(6), NOW
        )
        self.assertEqual(request.after, 5)
