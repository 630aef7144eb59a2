"""Tests of what the owner reports about its upstreams."""

import asyncio
import unittest

from tests.daemon.owner_fakes import OwnerTestCase

HELD_SECONDS = 0.6


class TestObservations(OwnerTestCase):
    """Guards against fronts that keep sending to an upstream that has turned slow.

    The latencies of finished work do not show it yet, and a front that cancels the rest
    of its batch never receives the final line with the observations.
    """

    async def search_slowly(self):
        """Return the lines of a batch whose upstream answers after the flush time."""
        harness, upstream = await self.start_owner()
        upstream.gate.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(HELD_SECONDS, upstream.gate.set)
        return await harness.search(flush_ms=300)

    async def test_first_line_reports_the_upstream_that_still_works(self):
        first = (await self.search_slowly())[0]
        self.assertFalse(first.final)
        self.assertEqual(first.entries, ())
        (observation,) = first.observations
        self.assertEqual(observation.address, self.upstream.address)
        self.assertEqual(observation.in_flight, 1)

    async def test_latency_includes_the_age_of_unfinished_work(self):
        first = (await self.search_slowly())[0]
        self.assertGreater(first.observations[0].latency_ms, 50)


if __name__ == "__main__":
    unittest.main()
