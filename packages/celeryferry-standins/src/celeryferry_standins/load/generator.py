"""Sends searches in open loop at a given rate for a limited time."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import msgspec

from celeryferry_core.models.callers import SearchAnswer
from celeryferry_standins.load.answer_checks import find_faults
from celeryferry_standins.load.caller import Caller, Reply

MS_PER_S = 1000.0
MAX_CALLS = 200_000


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What the load generator sends.

    :param application: application to search.
    :param seed_addresses: addresses of the entry hosts to contact first.
    :param rate_per_s: mean calls per second, Poisson distributed.
    :param duration_s: time in seconds for which calls are sent.
    :param seed: seed of send times and queries.
    :param deadline_ms: deadline of each call in milliseconds.
    :param failure_domain: the caller's failure domain.
    :param caller_count: number of callers, each with its own cache of entry hosts.
    :param shards: every shard as ``service/shard``, to check the answers; empty for
        no check.
    :param hits_per_shard: hits in each answer of an upstream.
    """

    application: str
    seed_addresses: tuple[str, ...]
    rate_per_s: float
    duration_s: float
    seed: int = 1
    deadline_ms: int = 1000
    failure_domain: str = ""
    caller_count: int = 4
    shards: frozenset[str] = frozenset()
    hits_per_shard: int = 3


class CallRecord(msgspec.Struct, frozen=True):
    """One call and its outcome.

    :param at_s: intended send time in seconds since the start of the load.
    :param latency_ms: time from the intended send time to the answer.
    :param error: type of the error, empty after an answer.
    :param ran: whether the request ran according to the error, empty after an answer.
    :param covered: shards covered.
    :param asked: shards covered or missing.
    :param failovers: entry hosts that failed before.
    :param faults: differences between the answer and the expected one.
    """

    at_s: float
    latency_ms: float
    error: str
    ran: str
    covered: int
    asked: int
    failovers: int
    faults: tuple[str, ...]

    @property
    def coverage(self) -> float:
        """Ratio of the shards covered to those asked, 0.0 to 1.0."""
        return self.covered / self.asked if self.asked else 0.0


class LoadGenerator:
    """Runs one load plan.

    :param plan: what to send.
    :ivar records: calls that have ended.
    """

    def __init__(self, plan: LoadPlan):
        self.plan = plan
        self.records: list[CallRecord] = []
        self._random = random.Random(plan.seed)
        self._stopped = asyncio.Event()

    def stop(self) -> None:
        """Stop sending calls; ``run`` returns once those in progress have ended."""
        self._stopped.set()

    async def run(self) -> list[CallRecord]:
        """Send every call and wait for every answer.

        :returns: records of all calls in the order of their intended send times.
        """
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            callers = self._make_callers(session)
            started = time.monotonic()
            async with asyncio.TaskGroup() as group:
                number = 0
                async for intended_at in self._send_times(started):
                    caller = callers[number % len(callers)]
                    call = self._send_call(caller, number, intended_at, started)
                    group.create_task(call)
                    number += 1
        self.records.sort(key=lambda record: record.at_s)
        return self.records

    def _make_callers(self, session: aiohttp.ClientSession) -> list[Caller]:
        plan = self.plan
        return [
            Caller(
                session,
                plan.application,
                plan.seed_addresses,
                plan.failure_domain,
                random.Random(self._random.random()),
            )
            for _ in range(plan.caller_count)
        ]

    async def _send_times(self, started: float) -> AsyncIterator[float]:
        intended_at = started
        for _ in range(MAX_CALLS):
            intended_at += self._random.expovariate(self.plan.rate_per_s)
            if intended_at > started + self.plan.duration_s:
                return
            delay_s = max(0.0, intended_at - time.monotonic())
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._stopped.wait(), delay_s)
                return
            yield intended_at

    async def _send_call(
        self, caller: Caller, number: int, intended_at: float, started: float
    ) -> None:
        query = {"text": f"mark {self.plan.seed}-{number}"}
        reply = await caller.search(query, self.plan.deadline_ms)
        latency_ms = (time.monotonic() - intended_at) * MS_PER_S
        self.records.append(
            self._make_record(reply, query, intended_at - started, latency_ms)
        )

    def _make_record(
        self, reply: Reply, query: dict, at_s: float, latency_ms: float
    ) -> CallRecord:
        answer = reply.content
        if not isinstance(answer, SearchAnswer):
            assert reply.error is not None
            error = (
                "no_entry_host" if reply.no_host_answered else reply.error.type.value
            )
            ran = reply.error.ran.value
            failovers = reply.failovers
            return CallRecord(at_s, latency_ms, error, ran, 0, 0, failovers, ())
        faults: list[str] = []
        if self.plan.shards:
            hits = self.plan.hits_per_shard
            faults = find_faults(answer, query, self.plan.shards, hits)
        covered = len(answer.covered)
        return CallRecord(
            at_s=at_s,
            latency_ms=latency_ms,
            error="",
            ran="",
            covered=covered,
            asked=covered + len(answer.not_covered),
            failovers=reply.failovers,
            faults=tuple(faults),
        )
