"""Proofs: the overload of one service does not affect the others."""

import asyncio
import time
import unittest
from collections import Counter
from statistics import median

from celeryferry_core.models.callers import Ran
from celeryferry_core.models.topology import UpstreamLimits
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.load.generator import LoadGenerator, LoadPlan
from celeryferry_standins.plans import FleetPlan
from celeryferry_standins.upstream.behaviour import Behaviour
from tests.system.fleet_case import FleetCase
from tests.system.support_cold import DOMAINS
from tests.system.support_once import post, read_rss_bytes, read_statement

HURT = "overloaded"
SPARED = "spared"
SEED = 7
SERVICE_MS = 200.0
SLOTS = 2
# Three replicas of two slots each.
CAPACITY_PER_S = len(DOMAINS) * SLOTS * 1000 / SERVICE_MS
SPARED_RATE_PER_S = 25.0
SPARED_LIMITS = UpstreamLimits(4, 80, 1, 6.0)
PHASE_S = 4.0
# A limit grows from the cold limit of 1 to the 4 slots with 8, 16 and 24 answers.
GROWN_EXECUTIONS = 8 * (1 + 2 + 3)
MAX_WARM_PHASES = 6
DEADLINE_MS = 1000
P99_FACTOR = 1.5
MAX_GROWTH_BYTES = 64 * 1024 * 1024
# A call that is not refused in time ends at its deadline with an unknown outcome.
MAX_UNKNOWN_SHARE = 0.05
# Later than this part of the deadline a caller has no time left for another attempt.
LATE_SHARE = 0.8
LIMITS = UpstreamLimits(SLOTS, 80, 1, 6.0)


def make_plan(**changes):
    services = (
        ServicePlan(SPARED, SPARED, upstreams=SPARED_LIMITS),
        ServicePlan(HURT, HURT, upstreams=LIMITS),
    )
    behaviour = Behaviour(service_ms=SERVICE_MS, jitter_ms=4.0)
    # A stand-in that hosts upstreams of both services would couple them itself.
    alone = frozenset(f"{HURT}/{domain}/0" for domain in DOMAINS)
    return FleetPlan(DOMAINS, services, behaviour=behaviour, alone=alone, **changes)


def find_p99(records):
    """Return the p99 of the answered calls in milliseconds."""
    values = sorted(one.latency_ms for one in records)
    return values[min(len(values) - 1, int(len(values) * 0.99))]


def select(hurt, ran):
    """Return the calls of an overload that state the same about their run."""
    return [one for one in hurt if one[1].ran is ran]


def count_expected(hurt):
    """Return the number of refusals that an overload must exceed."""
    return len(hurt) // 3


def count_uncertain(hurt):
    """Return the largest number of calls that may end with an unknown outcome."""
    return int(len(hurt) * MAX_UNKNOWN_SHARE)


def describe(hurt):
    """Describe how the calls of an overload ended."""
    counts = Counter(str(statement.ran) for _, statement in hurt)
    refused = [elapsed_ms for elapsed_ms, _ in select(hurt, Ran.NO)]
    unknown = [elapsed_ms for elapsed_ms, _ in select(hurt, Ran.UNKNOWN)]
    times = f"last refusal after {max(refused, default=0):.0f} ms"
    return f"{dict(counts)}, {times}, unknown after {median(unknown or [0]):.0f} ms"


class OverloadCase(FleetCase):
    """One load on a service that is spared, with and without an overload.

    :cvar phase_s: duration of each load that is compared, in seconds.
    """

    phase_s = PHASE_S

    def load(self, application, rate_per_s, seed):
        """Send searches for one phase and return their records."""
        plan = LoadPlan(
            application=application,
            seed_addresses=self.fleet.entry_addresses,
            rate_per_s=rate_per_s,
            duration_s=self.phase_s,
            seed=seed,
            deadline_ms=DEADLINE_MS,
            caller_count=12,
        )
        return LoadGenerator(plan).run()

    async def overload(self):
        """Send three times what the upstreams bear; returns statements with times."""
        addresses = self.fleet.entry_addresses
        found = []

        async def call(number, address):
            body = {"application": HURT, "query": number, "deadline_ms": DEADLINE_MS}
            at = time.monotonic()
            content = await post(self.fleet.session, address, "/v1/search", body)
            elapsed_ms = (time.monotonic() - at) * 1000
            found.append((elapsed_ms, read_statement(str(number), content)))

        started = time.monotonic()
        interval_s = 1 / (3 * CAPACITY_PER_S)
        async with asyncio.TaskGroup() as group:
            for number in range(int(self.phase_s / interval_s)):
                delay_s = started + number * interval_s - time.monotonic()
                await asyncio.sleep(max(0.0, delay_s))
                group.create_task(call(number, addresses[number % len(addresses)]))
        return found

    def read_memory(self):
        """Return the resident memory of each daemon in bytes."""
        daemons = self.fleet.daemons.items()
        return {name: read_rss_bytes(one.process.pid) for name, one in daemons}

    async def warm(self):
        """Send searches until every limit has grown to all slots."""
        for number in range(MAX_WARM_PHASES):
            await self.load(SPARED, 2 * SPARED_RATE_PER_S, SEED + number)
            counters = await self.fleet.read_counters()
            spared = [one for name, one in counters.items() if SPARED in name]
            if min(one.executed for one in spared) >= GROWN_EXECUTIONS:
                return
        self.fail("the limits did not grow in time")

    async def compare(self):
        """Return the load without, the load with the overload, and the overload."""
        await self.warm()
        alone = await self.load(SPARED, SPARED_RATE_PER_S, SEED)
        self.memory_before = self.read_memory()
        with_it, hurt = await asyncio.gather(
            self.load(SPARED, SPARED_RATE_PER_S, SEED), self.overload()
        )
        return alone, with_it, hurt


class TestOverload(OverloadCase):
    """Guards against overloads that spread, and against refusals that come late."""

    plan = make_plan()
    # In 100 calls the p99 would be the slowest call, which decides by chance.
    phase_s = 2 * PHASE_S

    def test_other_service_and_memory_and_refusals(self):
        alone, with_it, hurt = self.run_async(self.compare())
        before, after = find_p99(alone), find_p99(with_it)
        memory = self.read_memory()
        grown = {name: memory[name] - self.memory_before[name] for name in memory}
        refused = select(hurt, Ran.NO)
        print(f"p99 {before:.1f} -> {after:.1f} ms, {max(grown.values())} B")
        print(describe(hurt))
        self.assertEqual([one.error for one in alone + with_it if one.error], [])
        self.assertGreater(len(refused), count_expected(hurt))
        self.assertEqual(select(hurt, None), [])
        latest = max(elapsed_ms for elapsed_ms, _ in refused)
        self.assertLess(latest, DEADLINE_MS)
        untold = [one for _, one in refused if not one.retry_after_ms]
        self.assertEqual(untold[:3], [])
        self.assertLessEqual(len(select(hurt, Ran.UNKNOWN)), count_uncertain(hurt))
        self.assertLess(max(grown.values()), MAX_GROWTH_BYTES)
        self.assertLessEqual(after, P99_FACTOR * before)


class UnrefusedCase(OverloadCase):
    """The overload on a fleet that does not refuse in time."""

    def find_unrefused(self):
        """Run the overload; returns its calls and those of unknown outcome."""
        hurt = self.run_async(self.compare())[2]
        print(describe(hurt))
        return hurt, select(hurt, Ran.UNKNOWN)

    def assert_ended_at_the_deadline(self, calls):
        """Assert that most calls lasted until their deadline."""
        self.assertGreater(median(ms for ms, _ in calls), LATE_SHARE * DEADLINE_MS)


class TestWithoutEarlyRefusal(UnrefusedCase):
    """Shows that work that cannot finish in time is then not told so in time."""

    plan = make_plan(without=("early_refusal",))

    def test_calls_end_at_the_deadline_with_an_unknown_outcome(self):
        hurt, unknown = self.find_unrefused()
        self.assertGreater(len(unknown), count_uncertain(hurt))
        self.assert_ended_at_the_deadline(unknown)


class TestWithoutRefusals(UnrefusedCase):
    """Shows that hardly a call is refused in time if the queue has no bound either."""

    plan = make_plan(without=("early_refusal", "queue_bound"))

    def test_most_calls_are_not_refused_in_time(self):
        hurt, unknown = self.find_unrefused()
        in_time_ms = LATE_SHARE * DEADLINE_MS
        refused = [ms for ms, _ in select(hurt, Ran.NO)]
        in_time = [ms for ms in refused if ms <= in_time_ms]
        self.assertLessEqual(len(in_time), count_expected(hurt))
        # Work that waits in a queue until its deadline is refused then, or its outcome
        # is not known to the front.
        late = len(unknown) + len(refused) - len(in_time)
        self.assertGreater(late, count_expected(hurt))
        self.assert_ended_at_the_deadline(unknown)


if __name__ == "__main__":
    unittest.main()
