"""Tests of the stand-ins' own promises, which the system tests build on."""

import asyncio
import time
import unittest
from datetime import timedelta

import aiohttp

from celeryferry_standins.configuration_service import ConfigurationService
from celeryferry_standins.host_list import HostList
from celeryferry_standins.processes import wait_until
from celeryferry_standins.serving import ANY_PORT_ADDRESS
from celeryferry_standins.upstream.behaviour import Behaviour, UpstreamSpec
from celeryferry_standins.upstream.hits import list_hit_ids
from celeryferry_standins.upstream.server import UpstreamServer

WITHIN = timedelta(seconds=3)
FAR_MS = 10_000.0


class TestUpstream(unittest.IsolatedAsyncioTestCase):
    """Guards against stand-ins that let faults of the product pass unseen."""

    async def start(self, **fields) -> None:
        behaviour = Behaviour(connect_cost_ms=0.0, jitter_ms=0.0, **fields)
        self.server = UpstreamServer(UpstreamSpec("one", ANY_PORT_ADDRESS, behaviour))
        self.counters = self.server.engine.counters
        self.url = f"http://{await self.server.open()}"
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.server.close)
        self.addAsyncCleanup(self.session.close)

    async def search(self, request_id="a", after_ms=FAR_MS, version="41"):
        headers = {
            "X-Request-Id": request_id,
            "X-Index-Version": version,
            "X-Deadline-Unix-Ms": str(int(time.time() * 1000 + after_ms)),
        }
        body = {"shard": "s", "query": {"q": 1}}
        post = self.session.post(self.url + "/search", json=body, headers=headers)
        async with post as response:
            return response.status, response.headers, await response.json()

    async def read(self, path):
        async with self.session.get(self.url + path) as response:
            return await response.json()

    async def wait_for_active(self, count):
        async def is_busy():
            return self.counters.active == count

        await wait_until(is_busy, WITHIN, f"{count} requests running")

    async def test_answer_names_request_shard_and_version(self):
        await self.start()
        status, headers, body = await self.search("id-1")
        self.assertEqual((status, body["request_id"]), (200, "id-1"))
        self.assertEqual((body["shard"], body["index_version"]), ("s", 41))
        found = {hit["id"] for hit in body["hits"]}
        self.assertEqual(found, list_hit_ids("s", 41, {"q": 1}, 3))
        self.assertEqual(headers["X-Upstream-State"], "ready")
        self.assertEqual(headers["X-Index-Versions"], "41")

    async def test_falls_over_when_cold_and_overloaded(self):
        await self.start(cold=True, cold_bears=1, service_ms=300.0)
        calls = (self.search(str(number)) for number in range(3))
        results = await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual(self.counters.falls, 1)
        self.assertEqual(self.counters.max_after_cold, 2)
        self.assertTrue(any(isinstance(one, aiohttp.ClientError) for one in results))
        status, _, body = await self.search("later")
        self.assertEqual((status, body["refused"]), (503, "cold"))

    async def test_work_before_the_cold_signal_does_not_count(self):
        await self.start(service_ms=300.0, signal_grace_ms=0.0)
        before = [asyncio.create_task(self.search(str(n))) for n in range(3)]

        await self.wait_for_active(3)
        self.server.engine.apply({"cold": True})
        states = [headers["X-Upstream-State"] for _, headers, _ in await _all(before)]
        self.assertEqual(states, ["cold"] * 3)
        self.assertEqual((self.counters.max_after_cold, self.counters.falls), (0, 0))
        await self.search("after")
        self.assertEqual(self.counters.max_after_cold, 1)

    async def test_warms_up_after_successes(self):
        await self.start(cold=True, service_ms=1.0, warm_after_requests=2)
        states = [(await self.search(str(n)))[1]["X-Upstream-State"] for n in range(3)]
        self.assertEqual(states, ["cold", "ready", "ready"])

    async def test_refuses_work_past_its_deadline_without_running_it(self):
        await self.start(slots=1, service_ms=300.0)
        first = asyncio.create_task(self.search("first"))
        await self.wait_for_active(1)
        status, _, body = await self.search("late", after_ms=30.0)
        self.assertEqual((status, body["refused"]), (503, "deadline"))
        self.assertEqual((await first)[0], 200)
        self.assertEqual(self.counters.searches, {"first": 1})
        self.assertEqual(self.counters.deadline_refusals, 1)

    async def test_closed_connection_cancels_and_frees_the_slot(self):
        await self.start(slots=1, service_ms=5000.0)
        call = asyncio.create_task(self.search("gone"))

        async def is_cancelled():
            return self.counters.cancelled == 1 and self.counters.active == 0

        await self.wait_for_active(1)
        call.cancel()
        await wait_until(is_cancelled, WITHIN, "request cancelled")
        self.server.engine.apply({"service_ms": 1.0})
        self.assertEqual((await self.search("next"))[0], 200)

    async def test_sheds_over_its_queue_and_never_exceeds_its_slots(self):
        await self.start(slots=2, queue_bound=1, service_ms=200.0)
        results = await asyncio.gather(*(self.search(str(n)) for n in range(5)))
        refused = [body.get("refused") for _, _, body in results]
        self.assertEqual((refused.count("shedding"), refused.count(None)), (2, 3))
        self.assertEqual(self.counters.max_active, 2)

    async def test_closes_connections_over_its_limit(self):
        await self.start(connections=1, service_ms=300.0)
        calls = [self.search("a"), self.search("b")]
        results = await asyncio.gather(*calls, return_exceptions=True)
        failed = [one for one in results if isinstance(one, aiohttp.ClientError)]
        self.assertEqual(len(failed), 1)
        self.assertEqual(self.counters.connections_refused, 1)
        self.assertEqual(self.counters.max_connections, 1)

    async def test_refuses_a_version_it_does_not_hold(self):
        await self.start()
        self.server.engine.apply({"add_version": 42, "remove_version": 41})
        status, _, body = await self.search()
        self.assertEqual((status, body["refused"]), (409, "version_gone"))
        self.assertEqual(body["index_versions"], [42])
        self.assertEqual(self.counters.executed, 0)

    async def test_counts_what_starts_after_the_drain(self):
        await self.start(service_ms=1.0)
        await self.search("before")
        self.server.engine.apply({"draining": True})
        _, headers, _ = await self.search("after")
        self.assertEqual(headers["X-Upstream-State"], "draining")
        self.assertEqual(self.counters.started_after_drain, 1)
        drained_ms = self.counters.drained_at_unix_ms
        self.assertGreaterEqual(self.counters.last_start_unix_ms, drained_ms)
        self.server.engine.apply({"drain_refuses": True})
        status, _, body = await self.search("refused")
        self.assertEqual((status, body["refused"]), (503, "draining"))
        self.assertNotIn("refused", self.counters.searches)

    async def test_health_and_load_lag_and_mislead(self):
        await self.start(health_lag_ms=60_000.0)
        self.server.engine.apply({"draining": True})
        self.assertEqual((await self.read("/health"))["state"], "ready")
        self.server.engine.apply({"health_lag_ms": 0.0})
        self.assertEqual((await self.read("/health"))["state"], "draining")
        self.server.engine.apply({"health_says": "ready", "load_says": 0.75})
        self.assertEqual((await self.read("/health"))["state"], "ready")
        self.assertEqual((await self.read("/load"))["active"], 3)
        _, headers, _ = await self.search()
        self.assertEqual(headers["X-Load"], "0.750")

    async def test_hidden_cold_start_says_ready_and_still_falls_over(self):
        hidden = {"cold": True, "cold_hidden": True, "cold_factor": 3.0}
        await self.start(service_ms=30.0, **hidden)
        _, headers, _ = await self.search()
        self.assertEqual(headers["X-Upstream-State"], "ready")
        calls = (self.search(str(number)) for number in range(2))
        await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual(self.counters.falls, 1)

    async def test_faulty_answers_on_demand(self):
        await self.start(service_ms=1.0)
        wrong = {"other_request": "request_id", "other_shard": "shard"}
        wrong["other_version"] = "index_version"
        _, _, right = await self.search()
        for fault, field in wrong.items():
            change = {"misbehaviour": fault, "misbehaviour_count": 1}
            self.server.engine.apply(change)
            _, _, body = await self.search()
            self.assertNotEqual(body[field], right[field])
        for fault in ("truncated", "close_after_reading", "close_after_executing"):
            change = {"misbehaviour": fault, "misbehaviour_count": 1}
            self.server.engine.apply(change)
            with self.assertRaises(aiohttp.ClientError):
                await self.search(fault)
        self.assertNotIn("close_after_reading", self.counters.searches)
        self.assertEqual(self.counters.searches["close_after_executing"], 1)


class TestConfigurationService(unittest.IsolatedAsyncioTestCase):
    """Guards against tests that pass because a watch or an old state is not served."""

    async def asyncSetUp(self):
        self.service = ConfigurationService()
        self.addresses = await self.service.open()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.service.close)
        self.addAsyncCleanup(self.session.close)

    async def read(self, path):
        url = f"http://{self.addresses['address']}{path}"
        async with self.session.get(url) as response:
            return await response.json()

    async def control(self, **change):
        url = f"http://{self.addresses['control_address']}/control"
        async with self.session.post(url, json=change) as response:
            self.assertEqual(response.status, 200)
            return await response.json()

    async def test_watch_wakes_up_at_a_write_and_counts_as_one_read(self):
        path = "/v1/watch?after=0&timeout_ms=5000"
        watch = asyncio.create_task(self.read(path))

        async def is_waiting():
            return (await self.control())["counts"]["watches_waiting"] == 1

        await wait_until(is_waiting, WITHIN, "watch waiting")
        state = await self.control(put={"a": "version = 1"})
        expected = {"revision": 1, "changed": {"a": 1}}
        self.assertEqual(await asyncio.wait_for(watch, 2), expected)
        self.assertEqual(state["counts"]["reads"], 1)

    async def test_stale_service_answers_from_an_older_state(self):
        await self.control(put={"a": "one"})
        await self.control(put={"a": "two"})
        await self.control(stale_at=1)
        self.assertEqual((await self.read("/v1/documents/a"))["text"], "one")
        self.assertEqual((await self.read("/v1/documents"))["revision"], 1)
        await self.control(stale_at=-1)
        self.assertEqual((await self.read("/v1/documents/a"))["text"], "two")

    async def test_down_service_answers_nothing_until_it_is_back(self):
        await self.control(put={"a": "one"})
        for how in ("closes", "refuses"):
            await self.control(down=how)
            with self.assertRaises(aiohttp.ClientError):
                await self.read("/v1/documents")
            await self.control(down="no")
            self.assertEqual((await self.read("/v1/documents"))["revision"], 1)


class TestHostList(unittest.IsolatedAsyncioTestCase):
    """Guards against a list whose lag the tests ask for but do not get."""

    async def test_shows_the_older_state_until_the_lag_has_passed(self):
        host_list = HostList()
        addresses = await host_list.open()
        self.addAsyncCleanup(host_list.close)
        async with aiohttp.ClientSession() as session:

            async def control(**change):
                url = f"http://{addresses['control_address']}/control"
                async with session.post(url, json=change) as response:
                    self.assertEqual(response.status, 200)

            async def read():
                url = f"http://{addresses['address']}/v1/hosts"
                async with session.get(url) as response:
                    return (await response.json())["leaving_upstreams"]

            async def has_changed():
                return await read() == ["new"]

            await control(leaving_upstreams=["old"], lag_ms=300)
            started = time.monotonic()
            await control(leaving_upstreams=["new"])
            self.assertEqual(await read(), ["old"])
            await wait_until(has_changed, WITHIN, "new state seen")
            self.assertGreaterEqual(time.monotonic() - started, 0.25)


async def _all(tasks):
    return await asyncio.gather(*tasks)


if __name__ == "__main__":
    unittest.main()
