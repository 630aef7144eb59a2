"""Tests of following a source, of its contents from peers, and of the log."""

import asyncio
import json
import os
import random
import unittest
from datetime import timedelta

from result import Err, Ok

from celeryferry_core.forwarding.models import ForwardingConfiguration
from celeryferry_core.forwarding.positions import START, Position
from celeryferry_core.forwarding.reading import Availability, ReadingReason
from celeryferry_daemon._internal.clock import SystemClock
from celeryferry_daemon._internal.forwarding.follower import (
    MIN_RETRY_DELAY,
    SourceFollower,
)
from celeryferry_daemon._internal.forwarding.log_lines import (
    MAX_QUEUED_LINES,
    LogWriter,
)
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import (
    ConfigurationPublished,
    HistoryGoneError,
    SourceChanges,
    SourceItem,
    SourceUnavailableError,
    UpstreamListed,
    UpstreamUnlisted,
)
from celeryferry_daemon._internal.forwarding.settings import ForwardingSettings
from celeryferry_daemon._internal.forwarding.state import HostState
from tests.core.forwarding_harness import make_single_rule, make_upstream


def make_settings(**changes) -> ForwardingSettings:
    """Return settings of a host without listeners, with some fields changed."""
    fields = {
        "host_id": "host-1",
        "failure_domain": "a",
        "callers_address": "127.0.0.1:0",
        "readiness_address": "127.0.0.1:0",
        "peers_address": "127.0.0.1:0",
        "entry_hosts_address": "127.0.0.1:0",
        "seed_addresses": (),
        "store_address": "127.0.0.1:0",
        "extra_ratio": 0.2,
        "extra_burst": 100.0,
        "extra_window": timedelta(seconds=10),
        "cold_excess": 1.5,
        "cold_tolerance": 5.0,
        "contact_time": timedelta(seconds=4),
        "stop_time": timedelta(seconds=6),
        "max_entry_hosts_validity": timedelta(seconds=5),
        "max_descriptors": 1000,
    }
    return ForwardingSettings(**(fields | changes))


class RecordingLog(LogWriter):
    """Log that keeps its lines in a list."""

    def __init__(self):
        super().__init__(SystemClock())
        self.lines: list[tuple[str, dict]] = []

    def write(self, event, **fields):
        """Append a line to the list."""
        self.lines.append((event, fields))

    def count(self, event: str) -> int:
        """Return the number of lines of an event."""
        return sum(name == event for name, _ in self.lines)


class ScriptedSource:
    """Returns one result per call, then blocks.

    :param results: results in the order of the calls.
    :ivar calls: revision that each call asked for, None for a read of all items.
    :ivar is_done: set when a call finds no result left.
    """

    def __init__(self, *results):
        self.name = "upstreams"
        self.results = list(results)
        self.calls: list[int | None] = []
        self.stale_reads: list[bool] = []
        self.waits: list[bool] = []
        self.is_done = asyncio.Event()

    async def _next(self, after):
        self.calls.append(after)
        if not self.results:
            self.is_done.set()
            await asyncio.Event().wait()
        return self.results.pop(0)

    async def read_all(self, may_be_stale):
        """Return the next result."""
        self.stale_reads.append(may_be_stale)
        return await self._next(None)

    async def watch(self, after_revision, may_wait):
        """Return the next result."""
        self.waits.append(may_wait)
        return await self._next(after_revision)

    def decode(self, item):
        """Return the change of an item whose key is ``service-domain``."""
        if item.value is None:
            return UpstreamUnlisted(item.key, item.key)
        service, domain = item.key.split("-")
        return UpstreamListed(item.key, make_upstream(service, domain))


def make_entry(key: str, revision: int) -> SourceItem:
    """Return an item that adds or changes an entry."""
    return SourceItem(key, revision, b"value")


def make_removal(key: str, revision: int) -> SourceItem:
    """Return an item that removes an entry."""
    return SourceItem(key, revision, None)


class TestFollower(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong upstreams while the source fails and returns.

    When a source is unavailable, entries of running upstreams expire and changes are
    missed. The host must keep the upstreams, get changes from a peer, and then read the
    source again without returning to an older state.
    """

    async def follow(self, *results, is_reader=True):
        """Follow a source with these results until they are used up.

        :param is_reader: whether this host follows the source by its own calls. If not,
            it is watched for some retry delays.
        """
        self.log = RecordingLog()
        clock = SystemClock()
        random_source = random.Random(1)
        self.state = HostState(
            make_settings(),
            random_source,
            UpstreamPool(clock),
            self.log,
            clock.monotonic(),
        )
        self.source = ScriptedSource(*results)
        self.follower = SourceFollower(
            self.source, self.state, clock, random_source, self.log
        )
        self.follower.set_reading(ReadingReason.RELAY if is_reader else None)
        task = asyncio.create_task(self.follower.run())
        if is_reader:
            await self.source.is_done.wait()
        else:
            await asyncio.sleep(3 * MIN_RETRY_DELAY.total_seconds())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def list_ids(self) -> set[str]:
        """Return the ids of the listed upstreams of service s0."""
        return set(self.state.registry.list_service("s0"))

    async def test_changes_follow_the_listing(self):
        """Guards against missing or repeating changes after the first read."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            Ok(SourceChanges((make_entry("s0-b", 6), make_removal("s0-a", 7)), 7)),
        )
        self.assertEqual(self.source.calls, [None, 5, 7])
        self.assertEqual(self.list_ids(), {"s0-b"})

    async def test_all_items_are_read_again_after_history_is_gone(self):
        """Guards against keeping entries whose removal is no longer in the history."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3), make_entry("s0-b", 4)), 5)),
            Err(HistoryGoneError("gone")),
            Ok(SourceChanges((make_entry("s0-b", 4),), 9)),
        )
        self.assertEqual(self.source.calls, [None, 5, None, 9])
        self.assertEqual(self.list_ids(), {"s0-b"})

    async def test_only_the_first_read_may_be_stale(self):
        """Guards against reading again and again contents that are older than the
        history, from which no watch can continue."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            Err(HistoryGoneError("gone")),
            Ok(SourceChanges((make_entry("s0-a", 3),), 9)),
        )
        self.assertEqual(self.source.stale_reads, [True, False])

    async def test_host_that_is_no_reader_calls_once_at_its_start(self):
        """Guards against calls of every host while the source is down.

        Pattern: all hosts are killed and start again before the source is back.
        """
        for first in (
            Err(SourceUnavailableError("down")),
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
        ):
            await self.follow(first, is_reader=False)
            self.assertEqual(self.source.calls, [None])
            self.assertFalse(self.follower.is_unavailable)

    async def test_contents_that_are_ignored_are_logged_once(self):
        """Guards against dropping what the source says without a trace in the log."""
        older = Ok(SourceChanges((make_entry("s0-b", 4),), 4))
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            *(Err(HistoryGoneError("gone")), older) * 2,
        )
        self.assertEqual(self.log.count("source_contents_ignored"), 1)
        self.assertEqual(self.follower.ignored_count, 2)

    async def test_outage_is_logged_once_and_keeps_the_upstreams(self):
        """Guards against dropping upstreams in an outage, and one log line per call."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            Err(SourceUnavailableError("busy")),
            Err(SourceUnavailableError("busy")),
            Ok(SourceChanges((make_removal("s0-a", 6),), 6)),
        )
        self.assertEqual(self.log.count("source_lost"), 1)
        self.assertEqual(self.log.count("source_back"), 1)
        self.assertEqual(
            self.list_ids(), {"s0-a"}, "the entry may have expired during the outage"
        )

    async def test_reader_waits_only_if_the_source_is_known_to_answer(self):
        """Guards against taking the source for lost while the first watch waits.

        Pattern: the relays of a domain are killed, and another host starts to read. Its
        watch may wait for seconds before it says anything.
        """
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            Err(SourceUnavailableError("busy")),
            Ok(SourceChanges((), 5)),
        )
        self.assertEqual(self.source.waits, [True, False, True])
        self.follower.set_reading(None)
        self.follower.set_reading(ReadingReason.RELAY)
        self.source.results = [Ok(SourceChanges((), 5))]
        self.source.is_done.clear()
        task = asyncio.create_task(self.follower.run())
        await self.source.is_done.wait()
        task.cancel()
        self.assertEqual(self.source.waits[3:], [False, True])

    async def test_contents_of_a_peer_are_applied_only_if_newer(self):
        """Guards against returning to an older state."""
        await self.follow(Ok(SourceChanges((make_entry("s0-a", 3),), 5)))
        self.receive(0, 4, make_entry("s0-b", 4))
        self.assertEqual(self.list_ids(), {"s0-a"})
        self.receive(0, 8, make_entry("s0-b", 8))
        self.assertEqual(self.list_ids(), {"s0-b"})

    async def test_changes_of_a_peer_follow_the_own_revision(self):
        """Guards against missing changes between two that a peer has sent."""
        await self.follow(Ok(SourceChanges((make_entry("s0-a", 3),), 5)))
        self.assertFalse(self.receive(6, 8, make_entry("s0-b", 8)))
        self.assertEqual(self.list_ids(), {"s0-a"})
        self.assertTrue(
            self.receive(4, 8, make_removal("s0-a", 6), make_entry("s0-b", 8))
        )
        self.assertEqual(self.list_ids(), {"s0-b"})

    async def test_change_that_arrives_twice_counts_once(self):
        """Guards against an upstream that returns by a change that is known already.

        A peer sends changes while a call of this host is waiting for the same ones.
        """
        await self.follow(Ok(SourceChanges((make_entry("s0-a", 3),), 5)))
        self.receive(5, 9, make_entry("s0-b", 6), make_removal("s0-b", 9))
        self.source.results = [Ok(SourceChanges((make_entry("s0-b", 6),), 9))]
        self.source.is_done.clear()
        task = asyncio.create_task(self.follower.run())
        await self.source.is_done.wait()
        task.cancel()
        self.assertEqual(self.list_ids(), {"s0-a"})

    async def test_listing_that_a_peer_overtakes_still_removes(self):
        """Guards against an entry that stays, because contents of a peer arrived while
        all items were read."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3), make_entry("s0-b", 4)), 5)),
            Err(HistoryGoneError("gone")),
        )
        self.source.is_done.clear()
        listing = Ok(SourceChanges((make_entry("s0-b", 4),), 12))

        async def read_all(may_be_stale):
            self.receive(0, 8, make_entry("s0-a", 3), make_entry("s0-b", 4))
            self.source.is_done.set()
            return listing

        self.source.read_all = read_all
        task = asyncio.create_task(self.follower.run())
        await self.source.is_done.wait()
        await asyncio.sleep(0)
        task.cancel()
        self.assertEqual(self.list_ids(), {"s0-b"})

    async def test_repeated_change_does_not_replace_a_newer_item(self):
        """Guards against an upstream that returns to a state from before its listing.

        The pages of a listing are of different ages; the watch starts at the oldest.
        """
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 9), make_entry("s0-b", 3)), 4)),
            Ok(SourceChanges((make_removal("s0-a", 6), make_removal("s0-b", 8)), 9)),
        )
        self.assertEqual(self.source.calls, [None, 4, 9])
        self.assertEqual(self.list_ids(), {"s0-a"})

    async def test_listing_does_not_remove_what_is_newer_than_it(self):
        """Guards against dropping an upstream that an older page does not list yet."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 9), make_entry("s0-b", 3)), 4)),
            Err(HistoryGoneError("gone")),
            Ok(SourceChanges((make_entry("s0-b", 3),), 5)),
        )
        self.assertEqual(self.list_ids(), {"s0-a", "s0-b"})

    async def test_changes_of_a_new_listing_are_exact(self):
        """Guards against a peer that keeps an entry which came and went in between.

        The history was lost, so this host knows of neither the entry nor its removal.
        """
        pushed = []
        await self.follow(Ok(SourceChanges((make_entry("s0-a", 3),), 5)))
        self.follower.on_changed = lambda after, changes, is_exact: pushed.append(
            (
                after.revision,
                changes.revision,
                [item.key for item in changes.items],
                is_exact,
            )
        )
        self.receive(0, 12, make_entry("s0-a", 3), make_entry("s0-c", 11))
        self.assertEqual(pushed, [(5, 12, ["s0-c"], True)])
        after, changes = self.follower.list_changes(Position(0, 8))
        self.assertEqual(after, START, "removals before the new listing are unknown")
        self.assertEqual({item.key for item in changes.items}, {"s0-a", "s0-c"})

    async def test_contents_are_unconfirmed_while_the_source_is_unavailable(self):
        """Guards against telling peers that an expired entry was deleted."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            Err(SourceUnavailableError("busy")),
        )
        self.assertFalse(self.follower.is_confirmed)

    async def test_unconfirmed_contents_remove_nothing(self):
        """Guards against dropping an upstream whose entry only expired."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            Err(SourceUnavailableError("busy")),
        )
        self.receive(0, 8, make_entry("s0-b", 8), is_confirmed=False)
        self.assertEqual(self.list_ids(), {"s0-a", "s0-b"})

    async def test_peer_gets_the_changes_since_its_revision(self):
        """Guards against a peer that keeps an entry whose removal it has missed."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3), make_entry("s0-b", 4)), 5)),
            Ok(SourceChanges((make_removal("s0-a", 7), make_entry("s0-c", 8)), 8)),
        )
        after, changes = self.follower.list_changes(Position(0, 6))
        self.assertEqual((after, changes.revision), (Position(0, 6), 8))
        self.assertEqual([item.key for item in changes.items], ["s0-a", "s0-c"])
        after, changes = self.follower.list_changes(Position(0, 4))
        self.assertEqual(after, START, "removals before the first listing are unknown")
        self.assertEqual({item.key for item in changes.items}, {"s0-b", "s0-c"})

    async def test_peers_that_read_the_source_keep_it_available(self):
        """Guards against an outage that concerns this host only, and against missing
        the one that concerns all."""
        await self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            Err(SourceUnavailableError("busy")),
        )
        self.assertTrue(self.follower.is_unavailable)
        self.follower.set_peer_availability(Availability.AVAILABLE)
        self.assertFalse(self.follower.is_unavailable)
        self.follower.set_peer_availability(Availability.LOST)
        self.assertTrue(self.follower.is_unavailable)
        self.follower.set_reading(None)
        self.follower.set_peer_availability(Availability.UNKNOWN)
        self.assertTrue(self.follower.is_unavailable, "nothing says that it is back")

    def receive(self, after, revision, *items, is_confirmed=True) -> bool:
        """Apply what a peer has sent."""
        return self.follower.apply_peer_changes(
            Position(0, after), SourceChanges(items, revision), is_confirmed
        )


class TestConfigurationOrder(unittest.TestCase):
    """Guards against an older configuration replacing a newer one."""

    def test_older_configuration_is_not_applied(self):
        """Guards against applying version 5 when it arrives after version 7."""
        clock = SystemClock()
        state = HostState(
            make_settings(),
            random.Random(1),
            UpstreamPool(clock),
            RecordingLog(),
            clock.monotonic(),
        )
        for version in (7, 5):
            rules = (make_single_rule(name=f"rule-{version}"),)
            published = ConfigurationPublished(
                "configuration", ForwardingConfiguration(version, rules)
            )
            state.apply(published, clock.monotonic())
        self.assertEqual(state.configuration.version, 7)
        self.assertEqual(state.rules.find("a.example", "/order/").name, "rule-7")


class TestLogWriter(unittest.TestCase):
    """Guards against a log that blocks requests or uses unlimited memory.

    Both happen when the process that reads the log stops reading, and the pipe is full.
    """

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.log = LogWriter(SystemClock(), self.writer)
        self.log.make_non_blocking()

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer)

    def test_full_pipe_blocks_nothing(self):
        """Guards against a request that waits for the reader of the log."""
        text = "x" * 4_000
        for _ in range(MAX_QUEUED_LINES):
            self.log.write("event", text=text)
            self.log.flush()
        self.assertGreater(len(os.read(self.reader, 1_000_000)), 0)

    def test_lines_that_do_not_fit_are_counted(self):
        """Guards against memory use that grows while the log is not read."""

        async def fill():
            for _ in range(MAX_QUEUED_LINES + 10):
                self.log.write("event")

        asyncio.run(fill())
        self.assertEqual(self.log.dropped_count, 10)

    def test_request_lines_are_limited_and_failures_preferred(self):
        """Guards against a surge of requests that fills the log and hides failures."""
        for _ in range(1_000):
            self.log.write_request("request", False)
        answered = 1_000 - self.log.suppressed_count
        self.assertLess(answered, 150)
        before = self.log.suppressed_count
        self.log.write_request("request", True)
        self.assertEqual(self.log.suppressed_count, before)

    def test_suppressed_lines_are_reported(self):
        """Guards against a gap in the log that is not visible in it."""
        for _ in range(1_000):
            self.log.write_request("request", False)
        self.log.write("event")
        self.log.flush()
        line = json.loads(os.read(self.reader, 1_000_000).splitlines()[-1])
        self.assertGreater(line["lines_left_out"], 0)
