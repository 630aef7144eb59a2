"""Proofs: hostile input leaves the daemon serving with bounded memory."""

import asyncio
import random
import time
import unittest

import aiohttp
import msgspec

from celeryferry_core.models.callers import Ran
from celeryferry_daemon._internal.peers.server import MAX_CALLER_CONNECTIONS
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.fleet_control import FLEET_TOKEN
from celeryferry_standins.processes import wait_until
from tests.system.support_once import (
    APPLICATION,
    LIMITS,
    WITHIN,
    OnceCase,
    make_once_plan,
    read_rss_bytes,
)

SEARCHED = "survey"
SEARCHES = ServicePlan(SEARCHED, SEARCHED, upstreams=LIMITS)
SEED = 11
MESSAGES = 600
FUZZ_BOUND_S = 8.0
MAX_GROWTH_BYTES = 96 * 1024 * 1024
CALLER_PATHS = ("/v1/search", "/v1/tickets", "/v1/run-once", "/v1/entry-hosts")
PEER_PATHS = tuple(
    f"/peer/v1/{name}"
    for name in ("probe", "documents", "subqueries", "observations", "run", "run-once")
)
HUGE = 2**62
REFUSED = (400, 413)
PROBE = {
    "host_id": "a-2",
    "incarnation": "x",
    "leaving": False,
    "wanted": [],
    "released": [],
    "config_digest": "",
    "service_age_ms": None,
    "cells": [],
    "sequence": 0,
}
CELL = {"cell": "a/0", "live_count": 1, "age_ms": 0}
ABSURD_PROBES = (
    {"host_id": "x" * 1000},
    {"incarnation": "x" * 1000},
    {"wanted": ["k" * 1000]},
    {"wanted": [f"k{number}" for number in range(10_000)]},
    {"released": [f"k{number}" for number in range(10_000)]},
    {"config_digest": "d" * 1000},
    {"service_age_ms": -1},
    {"service_age_ms": HUGE},
    {"sequence": -1},
    {"sequence": HUGE},
    {"cells": [CELL | {"live_count": -1}]},
    {"cells": [CELL | {"live_count": HUGE}]},
    {"cells": [CELL | {"age_ms": -1}]},
    {"cells": [CELL | {"age_ms": HUGE}]},
    {"cells": [CELL | {"leaving": ["h" * 1000]}]},
    {"cells": [CELL] * 10_000},
)
LATE_UNIX_MS = int((time.time() + 3600) * 1000)
FORGED = "a-1.0123456789abcdef." + "A" * 22
RUN = {
    "ticket": FORGED,
    "application": APPLICATION,
    "service": APPLICATION,
    "shard": APPLICATION,
    "upstream": "127.0.0.1:1",
    "deadline_unix_ms": LATE_UNIX_MS,
    "request": 1,
}
BATCH = {
    "query_id": "q",
    "application": SEARCHED,
    "snapshot": 41,
    "deadline_unix_ms": LATE_UNIX_MS,
    "first_flush_ms": 10,
    "query": 1,
    "subqueries": [],
}
FORWARD = {"ticket": FORGED, "request": 1, "deadline_unix_ms": LATE_UNIX_MS}
NEAR_UNIX_MS = {"deadline_unix_ms": 1}
ABSURD_MESSAGES = (
    ("run", RUN),
    ("subqueries", BATCH),
    ("run-once", FORWARD),
    ("run", RUN | {"deadline_unix_ms": HUGE}),
    ("run", RUN | NEAR_UNIX_MS | {"ticket": "t" * 1000}),
    ("subqueries", BATCH | {"deadline_unix_ms": HUGE}),
    ("subqueries", BATCH | NEAR_UNIX_MS | {"first_flush_ms": -1}),
    ("subqueries", BATCH | NEAR_UNIX_MS | {"first_flush_ms": HUGE}),
    ("subqueries", BATCH | NEAR_UNIX_MS | {"query_id": "q" * 1000}),
    ("run-once", FORWARD | NEAR_UNIX_MS | {"ticket": "t" * 1000}),
)
AUTHORIZED = {"Authorization": f"Bearer {FLEET_TOKEN}"}


def make_value(source, depth=0):
    """Make a random JSON value."""
    kinds = [None, True, HUGE, -1, 1.5, "x" * source.choice((0, 9, 5000)), FORGED]
    if depth < 3:
        kinds.append([make_value(source, depth + 1) for _ in range(3)])
        kinds.append({source.choice("abc"): make_value(source, depth + 1)})
    return source.choice(kinds)


def make_body(source):
    """Make the body of a hostile request."""
    fields = {"application": SEARCHED, "ticket": FORGED, "query": 1, "request": 2}
    fields |= {"deadline_ms": 50, **PROBE, **BATCH}
    names = source.sample(sorted(fields), source.randrange(1, 6))
    whole = {name: fields[name] for name in names}
    whole[source.choice([*fields, "unknown"])] = make_value(source)
    encoded = msgspec.json.encode(source.choice((whole, make_value(source))))
    return source.choice(
        (
            encoded,
            encoded[: len(encoded) // 2],
            b"[" * 50_000,
            b'{"application":"survey","query":' + b"[" * 30_000 + b"]" * 30_000 + b"}",
            b'{"a":' * 9_000 + b"1" + b"}" * 9_000,
            b"\xff\xfe" + encoded,
            b"9" * 20_000,
            b"x" * 300_000,
            b"",
        )
    )


class TestHostileInput(OnceCase):
    """Guards against input that stops a daemon, fills its memory or poisons it."""

    plan = make_once_plan(("a",), others=(SEARCHES,))

    def setUp(self):
        self.host = self.fleet.daemons["a-1"].host
        self.pid = self.fleet.daemons["a-1"].process.pid
        self.before = read_rss_bytes(self.pid)

    def tearDown(self):
        """Assert that the daemon serves, within its memory, as the same process."""
        self.run_async(self.fleet.wait_for_coverage(SEARCHED, WITHIN))
        self.run_async(self.wait_for_runs())
        self.assertTrue(self.fleet.daemons["a-1"].process.running)
        self.assertLess(read_rss_bytes(self.pid) - self.before, MAX_GROWTH_BYTES)

    async def send(self, address, path, body, headers=None):
        """Send one message; returns the status, None if the connection was closed."""
        url = f"http://{address}{path}"
        try:
            async with self.fleet.session.post(
                url, data=body, headers=headers
            ) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def send_peer(self, name, message):
        """Send one message as a daemon would."""
        body = msgspec.json.encode(message)
        path = f"/peer/v1/{name}"
        return await self.send(self.host.peers_address, path, body, AUTHORIZED)

    async def fuzz(self):
        """Send random messages to both listeners; returns the statuses."""
        source = random.Random(SEED)
        ends_at = time.monotonic() + FUZZ_BOUND_S
        found = []
        for number in range(MESSAGES):
            if time.monotonic() > ends_at:
                break
            body = make_body(source)
            headers = source.choice(
                (AUTHORIZED, AUTHORIZED, None, {"Authorization": "Bearer x"})
            )
            if number % 20 == 0:
                headers = {"X-Large": "x" * 100_000}
            callers = source.random() < 0.4
            address = self.host.callers_address if callers else self.host.peers_address
            path = source.choice(CALLER_PATHS if callers else PEER_PATHS)
            found.append((path, await self.send(address, path, body, headers)))
        return found

    def test_random_messages(self):
        found = self.run_async(self.fuzz())
        self.assertGreater(len(found), MESSAGES // 2)
        self.assertEqual([one for one in found if one[1] == 500], [])

    def test_absurd_probes_are_refused(self):
        async def scenario():
            calls = [
                (one, self.send_peer("probe", PROBE | one)) for one in ABSURD_PROBES
            ]
            return [(str(one)[:60], await call) for one, call in calls]

        wrong = [one for one in self.run_async(scenario()) if one[1] not in REFUSED]
        self.assertEqual(wrong, [])

    def test_absurd_work_is_refused(self):
        async def scenario():
            return [
                (name, str(message)[:60], await self.send_peer(name, message))
                for name, message in ABSURD_MESSAGES
            ]

        wrong = [one for one in self.run_async(scenario()) if one[2] not in REFUSED]
        self.assertEqual(wrong, [])

    def test_forged_tickets_run_nothing(self):
        async def scenario():
            ticket = await self.take_ticket("a-1")
            forged = [ticket[:-1] + ("A" if ticket[-1] != "A" else "B"), FORGED]
            return [
                await self.run_once(name, one)
                for one in forged
                for name in self.fleet.daemons
            ]

        statements = self.run_async(scenario())
        runs = self.fleet.count_runs()
        self.assertEqual(sum(runs[one.key] for one in statements), 0)
        self.assertNotIn(Ran.YES, {one.ran for one in statements})

    def test_half_open_connections_are_bounded(self):
        async def scenario():
            ip, port = self.host.callers_address.split(":")
            readers, writers = [], []
            for _ in range(MAX_CALLER_CONNECTIONS + 50):
                reader, writer = await asyncio.open_connection(ip, int(port))
                readers.append(reader)
                writer.write(b"POST /v1/search HTTP/1.1\r\nX-Slow: ")
                writers.append(writer)

            async def is_bounded():
                closed = sum(one.at_eof() or bool(one.exception()) for one in readers)
                return closed >= 50

            try:
                await wait_until(is_bounded, WITHIN, "excess connections closed")
            finally:
                for writer in writers:
                    writer.transport.abort()

        self.run_async(scenario())


if __name__ == "__main__":
    unittest.main()
