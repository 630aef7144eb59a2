"""Tests of when the front fetches observations from owners."""

import asyncio
from itertools import pairwise
from time import monotonic

from tests.core.sessions import HOSTS
from tests.daemon.fakes import wait_for
from tests.daemon.front_fakes import WAIT_SECONDS, FrontCase


class TestRefreshes(FrontCase):
    """Guards against refreshes that are missing, late or superfluous.

    Answers contain observations, so that only the replicas that they leave out have to
    be fetched, and only for applications that are queried.
    """

    async def test_first_queries_share_one_refresh(self):
        await asyncio.gather(*(self.search() for _ in range(2)))
        self.assertLessEqual(self.peers.fetch_count, 2 * len(HOSTS))

    async def test_only_replicas_that_answers_did_not_show_are_asked_for(self):
        shown = {f"{domain}:90{n}" for domain in "abc" for n in (1, 2)} - {"b:902"}
        self.peers.attached_addresses = sorted(shown)
        end = monotonic() + 2.5
        while monotonic() < end:
            await self.search()
            await asyncio.sleep(0.05)
        self.assertEqual(self.peers.asked_at.keys(), {"b:902"})
        times = self.peers.asked_at["b:902"]
        gaps = [late - early for early, late in pairwise(times)]
        self.assertLess(max(gaps), 0.8)
        self.assertGreater(min(gaps), 0.3)

    async def test_application_without_queries_is_not_asked_for(self):
        await wait_for(lambda: self.front.explain("app").snapshot == 41, WAIT_SECONDS)
        fetches = self.peers.fetch_count
        await asyncio.sleep(1.2)
        self.assertEqual(self.peers.fetch_count, fetches)

    async def test_observations_are_fetched_before_the_first_query(self):
        await wait_for(lambda: self.peers.fetch_count >= len(HOSTS), WAIT_SECONDS)
        self.assertEqual(self.front.explain("app").snapshot, 41)
