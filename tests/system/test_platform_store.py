"""Tests of the stand-in for the platform's store that comes back from a copy."""

import asyncio
import unittest

import aiohttp

from celeryferry_standins.platform.store import ERA_HEADER, PlatformStore

SHORT_TIMEOUT = aiohttp.ClientTimeout(total=0.3)


class TestReturningStore(unittest.IsolatedAsyncioTestCase):
    """Guards against a stand-in that is milder than the platform's store."""

    async def asyncSetUp(self):
        self.store = PlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def call(self, path: str, **params):
        """Call the store; returns the status, the era and the message."""
        url = f"http://{self.store.address}{path}"
        async with self.session.get(
            url, params=params, timeout=SHORT_TIMEOUT
        ) as response:
            message = await response.json() if response.status == 200 else None
            return response.status, response.headers.get(ERA_HEADER), message

    async def watch(self, after: int, wait_ms: int = 50):
        """Watch all keys after a revision."""
        return await self.call("/kv-watch", after=str(after), wait_ms=str(wait_ms))

    async def test_changes_after_the_copy_are_lost(self):
        """Guards against items, removals or revisions that outlive the return."""
        await self.store.put("kept", 1)
        copy = self.store.copy()
        await self.store.put("lost", 1)
        await self.store.delete("kept")
        before = await self.call("/kv-range")
        await self.store.restore(copy)
        after = await self.call("/kv-range")
        self.assertEqual([item["key"] for item in before[2]["items"]], ["lost"])
        self.assertEqual([item["key"] for item in after[2]["items"]], ["kept"])
        self.assertEqual(after[2]["as_of"], copy.revision)
        self.assertEqual((before[1], after[1]), ("1", "2"))
        await self.store.put("new", 1)
        self.assertEqual(self.store.revision, copy.revision + 1)

    async def test_watch_outside_the_history_gets_410(self):
        """Guards against a watch that waits at a revision of the former era."""
        await self.store.put("a", 1)
        copy = self.store.copy()
        await self.store.put("b", 1)
        await self.store.restore(copy)
        answers = [
            await self.watch(copy.revision + each, wait_ms=10_000) for each in (-1, 1)
        ]
        self.assertEqual([answer[:2] for answer in answers], [(410, "2"), (410, "2")])
        status, _, message = await self.watch(copy.revision)
        self.assertEqual((status, message["events"]), (200, []))

    async def test_waiting_watch_ends(self):
        """Guards against a watch that gets changes of two eras."""
        copy = self.store.copy()
        await self.store.put("lost", 1)
        waiting = asyncio.create_task(self.watch(self.store.revision, wait_ms=10_000))
        await asyncio.sleep(0.05)
        await self.store.restore(copy)
        # The client repeats a call whose connection was closed.
        self.assertEqual((await waiting)[:2], (410, "2"))
        self.assertEqual(self.store.call_count, 2)

    async def test_errors_name_the_era(self):
        """Guards against answers without the header."""
        self.assertEqual((await self.call("/none"))[:2], (404, "1"))
        await self.store.go_down()
        self.assertEqual((await self.call("/kv-range"))[:2], (503, "1"))
        self.store.sends_era = False
        self.assertEqual((await self.call("/kv-range"))[:2], (503, None))

    async def test_silent_store_answers_nothing(self):
        """Guards against an answer to a call that was waiting or comes later."""
        waiting = asyncio.create_task(self.watch(self.store.revision))
        await asyncio.sleep(0.02)
        self.store.is_silent = True
        with self.assertRaises(TimeoutError):
            await self.call("/kv-range")
        with self.assertRaises(TimeoutError):
            await waiting
        await self.store.restore(self.store.copy())
        self.assertEqual((await self.call("/kv-range"))[:2], (200, "2"))
        self.assertEqual(self.store.call_count, 3)

    async def test_stale_reads_stay_in_the_former_era(self):
        """Guards against a stale replica that knows the return at once."""
        await self.store.put("former", 1)
        self.store.keep_stale()
        await self.store.restore(self.store.copy())
        await self.store.delete("former")
        _, era, message = await self.call("/kv-range", serializable="1")
        self.assertEqual((era, len(message["items"])), ("1", 1))
        _, era, message = await self.call("/kv-range")
        self.assertEqual((era, len(message["items"])), ("2", 0))
