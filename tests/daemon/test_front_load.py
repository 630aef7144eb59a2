"""Tests of admission, cancellation and stop of the front."""

import asyncio

from celeryferry_core.decisions.front import QueryAbandoned
from tests.daemon.fakes import wait_for
from tests.daemon.front_fakes import WAIT_SECONDS, FrontCase


class TestLoad(FrontCase):
    """Guards against unbounded work, lost cancellations and interrupted queries.

    Owners that do not answer make queries accumulate in the front. A disconnected
    caller must cancel its batches, and a planned stop must wait for running queries.
    """

    async def test_queries_beyond_the_bound_are_refused_early(self):
        async with self.hold_answers():
            tasks = [asyncio.create_task(self.search()) for _ in range(8)]
            await wait_for(
                lambda: sum(task.done() for task in tasks) >= 4, WAIT_SECONDS
            )
            refused = [task.result() for task in tasks if task.done()]
            for status, body in refused:
                self.assertEqual((status, body["error"]["type"]), (503, "overloaded"))
                self.assertGreater(body["error"]["retry_after_ms"], 0)
        results = await asyncio.gather(*tasks)
        self.assertGreaterEqual([status for status, _ in results].count(200), 2)

    async def test_disconnected_caller_cancels_its_batches(self):
        async with self.hold_answers():
            task = asyncio.create_task(self.search())
            await wait_for(lambda: self.peers.open_streams > 0, WAIT_SECONDS)
            task.cancel()
            await wait_for(lambda: self.peers.open_streams == 0, WAIT_SECONDS)
            self.assertTrue(self.log.list_by_type(QueryAbandoned))
        await asyncio.wait_for(self.front.stop(), 2)

    async def test_stop_waits_for_running_queries(self):
        async with self.hold_answers():
            task = asyncio.create_task(self.search())
            await wait_for(lambda: self.peers.open_streams > 0, WAIT_SECONDS)
            stop = asyncio.create_task(self.front.stop())
            await asyncio.wait([stop], timeout=0.05)
            self.assertFalse(stop.done())
        status, _ = await task
        self.assertEqual(status, 200)
        await stop
