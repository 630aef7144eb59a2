"""Tests of the era that the store states, and of a follower whose source goes back."""

import asyncio
import random
import unittest
from datetime import timedelta

from aiohttp import web
from result import Err, Ok

from celeryferry_core.forwarding.positions import START, Position
from celeryferry_core.forwarding.reading import ReadingReason
from celeryferry_daemon._internal.forwarding.follower import (
    MAX_RETRY_DELAY,
    MIN_RETRY_DELAY,
    SourceFollower,
)
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import (
    HistoryGoneError,
    SourceChanges,
    SourceUnavailableError,
)
from celeryferry_daemon._internal.forwarding.state import HostState
from celeryferry_daemon.platform.store import (
    ERA_HEADER,
    MAX_ERA,
    MAX_LISTING_STARTS,
    StoreClient,
)
from tests.daemon.simulated_loop import SimulatedClock, SimulatedLoop
from tests.daemon.test_forwarding_sources import (
    RecordingLog,
    ScriptedSource,
    make_entry,
    make_settings,
)

CONTACT_TIME = timedelta(seconds=2)
# Values of the header that name no era.
INVALID_ERAS = ("two", "-1", "", str(MAX_ERA + 1), "1" * 400, "1.0", "1e3", "\u00b2")


class TestStoreEra(unittest.IsolatedAsyncioTestCase):
    """Guards against items of one era that count as those of another.

    Runs against a small stand-in for the store.
    """

    async def asyncSetUp(self):
        self.answers: list[web.Response] = []
        self.queries: list[dict[str, str]] = []
        app = web.Application()
        app.router.add_get("/{call}", self._answer)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        ip, port = self.runner.addresses[0][:2]
        self.client = StoreClient(f"{ip}:{port}", CONTACT_TIME)

    async def asyncTearDown(self):
        await self.client.close()
        await self.runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        self.queries.append(dict(request.query))
        return self.answers.pop(0)

    def add_answer(self, body: dict, *eras: str):
        """Let the stand-in answer a further call, with a header for each era."""
        response = web.json_response(body)
        for era in eras:
            response.headers.add(ERA_HEADER, era)
        self.answers.append(response)

    def add_page(self, key: str, as_of: int, is_truncated: bool, *eras: str):
        """Let the stand-in answer with a page of one item."""
        item = {"key": key, "value": "eA==", "revision": as_of}
        page = {"items": [item], "truncated": is_truncated, "as_of": as_of}
        self.add_answer(page, *eras)

    async def test_listing_that_spans_a_restore_begins_anew(self):
        """Guards against a listing of items that the store never held together."""
        self.add_page("servers/a", 90, True, "1")
        self.add_page("servers/b", 40, False, "2")
        self.add_page("servers/c", 41, True, "2")
        self.add_page("servers/d", 42, False, "2")
        changes = (await self.client.read_all("servers/", False)).unwrap()
        self.assertEqual(
            [item.key for item in changes.items], ["servers/c", "servers/d"]
        )
        self.assertEqual(changes.position, Position(2, 41))
        self.assertEqual(
            [query.get("after") for query in self.queries],
            [None, "servers/a", None, "servers/c"],
        )

    async def test_listing_in_which_the_header_disappears_begins_anew(self):
        """Guards against pages without an era that count as those of the first one."""
        self.add_page("servers/a", 90, True, "1")
        self.add_page("servers/b", 90, False)
        self.add_page("servers/c", 91, False, "1")
        changes = (await self.client.read_all("servers/", False)).unwrap()
        self.assertEqual([item.key for item in changes.items], ["servers/c"])
        self.assertEqual(changes.position, Position(1, 91))

    async def test_listing_with_too_many_restores_is_an_error(self):
        """Guards against reading forever, and against returning what was read."""
        for start in range(MAX_LISTING_STARTS + 1):
            self.add_page("servers/a", 90, True, str(2 * start))
            self.add_page("servers/b", 40, False, str(2 * start + 1))
        error = (await self.client.read_all("servers/", False)).unwrap_err()
        self.assertIsInstance(error, SourceUnavailableError)
        self.assertEqual(len(self.queries), 2 * MAX_LISTING_STARTS)

    async def test_store_without_the_header_is_in_era_0(self):
        """Guards against a store without the header that can't be read."""
        self.add_page("servers/a", 5, False)
        self.add_answer({"events": [], "as_of": 6})
        listing = (await self.client.read_all("", False)).unwrap()
        changes = (await self.client.watch("", 5)).unwrap()
        self.assertEqual(listing.position, Position(0, 5))
        self.assertEqual(changes.position, Position(0, 6))

    async def check_is_error(self, *eras: str):
        """Check that neither a listing nor a watch with these headers counts."""
        self.add_page("servers/a", 5, False, *eras)
        self.add_answer({"events": [], "as_of": 6}, *eras)
        for result in (
            await self.client.read_all("", False),
            await self.client.watch("", 5),
        ):
            self.assertIsInstance(result, Err, eras)
            self.assertIsInstance(result.unwrap_err(), SourceUnavailableError)

    async def test_era_that_cannot_be_read_is_an_error(self):
        """Guards against items of an unknown era that count as those of era 0."""
        for era in INVALID_ERAS:
            with self.subTest(era[:20]):
                await self.check_is_error(era)

    async def test_era_that_is_stated_twice_is_an_error(self):
        """Guards against a choice between two eras that the store states."""
        for eras in (("1", "2"), ("2", "1"), ("2", "2"), ("2", "two"), ("2", "")):
            with self.subTest(eras):
                await self.check_is_error(*eras)

    async def test_greatest_era_is_read(self):
        """Guards against a limit that excludes the era which fields can still hold."""
        self.add_page("servers/a", 5, False, str(MAX_ERA))
        changes = (await self.client.read_all("", False)).unwrap()
        self.assertEqual(changes.era, MAX_ERA)

    async def test_watch_returns_its_era(self):
        """Guards against changes of a later era that are added to those of before."""
        self.add_answer({"events": [], "as_of": 6}, "7")
        changes = (await self.client.watch("", 5)).unwrap()
        self.assertEqual(changes.position, Position(7, 6))

    async def test_lost_history_needs_no_era(self):
        """Guards against an outage instead of a listing, if a 410 names no era."""
        for era in ("two", None):
            headers = {} if era is None else {ERA_HEADER: era}
            self.answers.append(web.Response(status=410, headers=headers))
            error = (await self.client.watch("", 5)).unwrap_err()
            self.assertIsInstance(error, HistoryGoneError)


class _TimedSource(ScriptedSource):
    """Scripted source that notes when it was called.

    :ivar called_at: simulated time of each call in seconds.
    """

    def __init__(self, loop: SimulatedLoop, *results) -> None:
        super().__init__(*results)
        self._loop = loop
        self.called_at: list[float] = []

    async def _next(self, after):
        self.called_at.append(self._loop.time())
        return await super()._next(after)


class TestFollowerEras(unittest.TestCase):
    """Guards against contents of another era in force, on simulated time."""

    def setUp(self):
        self.loop = SimulatedLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(asyncio.set_event_loop, None)
        self.addCleanup(self.loop.close)
        self.clock = SimulatedClock(self.loop)
        self.log = RecordingLog()
        self.tasks: list[asyncio.Task] = []
        self.addCleanup(self.end_tasks)

    def end_tasks(self):
        """End the followers."""
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*self.tasks, return_exceptions=True)
        )

    def follow(self, *results):
        """Follow a source with these results until they are used up."""
        self.source = _TimedSource(self.loop, *results)
        generator = random.Random(1)
        pool = UpstreamPool(self.clock)
        now = self.clock.monotonic()
        self.state = HostState(make_settings(), generator, pool, self.log, now)
        self.follower = SourceFollower(
            self.source, self.state, self.clock, generator, self.log
        )
        self.follower.set_reading(ReadingReason.RELAY)
        self.tasks.append(self.loop.create_task(self.follower.run()))
        self.loop.run_until_complete(self.source.is_done.wait())

    def list_ids(self) -> set[str]:
        """Return the ids of the listed upstreams of service s0."""
        return set(self.state.registry.list_service("s0"))

    def count_listed(self, instance_id: str) -> int:
        """Return how often an upstream was listed anew or changed."""
        return sum(
            event == "upstream_listed" and fields["upstream"].instance_id == instance_id
            for event, fields in self.log.lines
        )

    def check_source_went_back(self, own: int, answered: int, first_stale: int):
        """Check that an older answer counts as a source that can't be read.

        :param own: revision of the contents.
        :param answered: revision of the answers.
        :param first_stale: number of the first call that got such an answer.
        """
        self.assertTrue(self.follower.is_unavailable)
        self.assertIs(self.follower.reads_it, False)
        self.assertEqual(self.list_ids(), {"s0-a"})
        self.assertEqual(self.follower.position, Position(0, own))
        self.assertEqual(self.log.count("source_lost"), 1)
        ignored = [
            fields
            for event, fields in self.log.lines
            if event == "source_contents_ignored"
        ]
        self.assertEqual(len(ignored), 1)
        expected = {
            "era": 0,
            "revision": answered,
            "own_era": 0,
            "own_revision": own,
        }
        self.assertEqual(ignored[0] | expected, ignored[0])
        times = self.source.called_at[first_stale:]
        pauses = [
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        ]
        self.assertGreaterEqual(len(pauses), 5)
        self.assertGreaterEqual(min(pauses), MIN_RETRY_DELAY.total_seconds())
        self.assertLessEqual(max(pauses), MAX_RETRY_DELAY.total_seconds())

    def test_listings_that_go_back_without_an_era_count_as_an_outage(self):
        """Guards against an older state in force, if a store states no era.

        Its watch answers that the history is gone, and its listing is older than the
        contents.
        """
        older = Ok(SourceChanges((make_entry("s0-b", 3),), 3))
        self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            Err(HistoryGoneError("gone")),
            *(older,) * 6,
        )
        self.assertEqual(self.source.calls, [None, 5] + [None] * 7)
        self.check_source_went_back(own=5, answered=3, first_stale=2)
        self.assertEqual(self.follower.ignored_count, 6)

    def test_watches_that_go_back_without_an_era_count_as_an_outage(self):
        """Guards against an older state in force, if a store states no era.

        Its watch takes a revision that it does not have.
        """
        older = Ok(SourceChanges((make_entry("s0-b", 3),), 3))
        self.follow(Ok(SourceChanges((make_entry("s0-a", 3),), 5)), *(older,) * 6)
        self.assertEqual(self.source.calls, [None] + [5] * 7)
        self.check_source_went_back(own=5, answered=3, first_stale=1)

    def test_source_that_has_caught_up_is_followed_again(self):
        """Guards against a host that stays at its contents for good."""
        self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5)),
            Err(HistoryGoneError("gone")),
            Ok(SourceChanges((make_entry("s0-a", 3),), 4)),
            Ok(SourceChanges((make_entry("s0-a", 3), make_entry("s0-b", 6)), 6)),
        )
        self.assertFalse(self.follower.is_unavailable)
        self.assertEqual(self.list_ids(), {"s0-a", "s0-b"})
        self.assertEqual(self.source.calls, [None, 5, None, None, 6])

    def test_contents_of_a_peer_in_an_earlier_era_are_ignored(self):
        """Guards against a peer that brings back what was before a restore.

        The revisions of the earlier era are the higher ones.
        """
        self.follow(Ok(SourceChanges((make_entry("s0-a", 3),), 5, 2)))
        for after in (START, Position(1, 5), Position(1, 8)):
            earlier = SourceChanges((make_entry("s0-b", 9),), 9, 1)
            self.assertTrue(self.follower.apply_peer_changes(after, earlier, True))
            self.assertEqual(self.list_ids(), {"s0-a"})
            self.assertEqual(self.follower.position, Position(2, 5))
        self.assertEqual(self.follower.ignored_count, 1, "whole contents only")

    def test_watch_of_a_later_era_is_followed_by_a_listing(self):
        """Guards against missing what the later era holds below the asked revision.

        The answer holds the changes after revision 5 only.
        """
        self.follow(
            Ok(SourceChanges((make_entry("s0-a", 3),), 5, 1)),
            Ok(SourceChanges((make_entry("s0-b", 6),), 7, 2)),
            Ok(
                SourceChanges(
                    (
                        make_entry("s0-a", 3),
                        make_entry("s0-c", 4),
                        make_entry("s0-d", 8),
                    ),
                    8,
                    2,
                )
            ),
        )
        self.assertEqual(self.source.calls, [None, 5, None, 8])
        self.assertEqual(self.source.stale_reads, [True, False])
        self.assertEqual(self.count_listed("s0-b"), 0)
        self.assertEqual(self.list_ids(), {"s0-a", "s0-c", "s0-d"})
        self.assertEqual(self.follower.position, Position(2, 8))
        self.assertEqual(self.log.count("source_restored"), 1)

    def test_stale_first_read_is_followed_by_a_listing_of_the_later_era(self):
        """Guards against a host that starts after a restore and stays before it.

        Its first read is of the earlier era and has a higher revision than the store.
        The store that has caught up answers the watch, and one that has not answers
        that it has no such history.
        """
        first = Ok(SourceChanges((make_entry("s0-a", 3), make_entry("s0-b", 9)), 9, 1))
        for watched in (
            Ok(SourceChanges((), 11, 2)),
            Err(HistoryGoneError("gone")),
        ):
            listing = SourceChanges((make_entry("s0-a", 3), make_entry("s0-c", 6)), 6)
            listing = SourceChanges(listing.items, 6, 2)
            self.follow(first, watched, Ok(listing))
            self.assertEqual(self.source.calls, [None, 9, None, 6])
            self.assertEqual(self.source.stale_reads, [True, False])
            self.assertEqual(self.follower.position, Position(2, 6))
            self.assertIn("s0-c", self.list_ids())
            self.assertEqual(self.follower.restore_count, 1)
            self.assertFalse(self.follower.is_unavailable)


if __name__ == "__main__":
    unittest.main()
