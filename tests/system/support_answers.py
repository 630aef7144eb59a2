"""Fleets, running queries and checks shared by the proofs about answers."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

import aiohttp
import msgspec

from celeryferry_core.models.callers import SearchAnswer
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.answer_checks import find_faults
from celeryferry_standins.plans import FleetPlan
from celeryferry_standins.processes import wait_until
from celeryferry_standins.upstream.behaviour import Behaviour
from tests.system.fleet_case import FleetCase

APPLICATION = "desk"
DOMAINS = ("a", "b", "c")
SERVICES = tuple(f"desk-{number}" for number in range(1, 7))
HITS = 3
WITHIN = timedelta(seconds=5)
DEADLINE_MS = 1000
SENDERS = 4
CALL_TIMEOUT_S = 3.0
# Queries are ended by the test; this bounds them.
MAX_QUERIES = 20_000


def make_plan(names: tuple[str, ...] = SERVICES, **changes) -> FleetPlan:
    """Plan a fleet with one application of several services of one shard."""
    services = tuple(
        ServicePlan(name, APPLICATION, deadline_ms=DEADLINE_MS) for name in names
    )
    behaviour = Behaviour(service_ms=3.0, index_versions=[41], hits=HITS)
    return FleetPlan(DOMAINS, services, behaviour=behaviour, **changes)


def make_small_plan(**changes) -> FleetPlan:
    """Plan a fleet of one daemon in each failure domain."""
    return make_plan(SERVICES[:2], daemons_per_domain=1, **changes)


def name_upstream(service: str, domain: str) -> str:
    """Return the name of the replica of a service in a failure domain."""
    return f"{service}/{domain}/0"


UPSTREAMS = tuple(
    name_upstream(service, domain) for service in SERVICES for domain in DOMAINS
)


class AnswersCase(FleetCase):
    """Tests of answers to searches on one running fleet."""

    async def change_upstreams(self, names: Iterable[str], **changes) -> None:
        """Change the behaviour of upstreams, one after another."""
        for name in names:
            await self.fleet.control_upstream(name, **changes)

    def assert_true_answers(self, queries, shards_of=None):
        """Assert that every answer is what its upstreams really answered."""
        self.assertTrue(queries.answers)
        self.assertEqual(queries.list_faults(shards_of), [])

    def assert_all_complete(self, queries):
        """Assert that every query got a true answer with full coverage."""
        self.assert_true_answers(queries)
        self.assertEqual(queries.errors, [])
        self.assertEqual(queries.incomplete, [])


@dataclass(slots=True)
class Outcome:
    """A query and what came of it.

    :param query: the query, different for each call.
    :param address: entry host that was asked.
    :param answer: its answer, None after an error.
    :param error: status and text of an error, or the failure of the connection.
    """

    query: dict
    address: str
    answer: SearchAnswer | None = None
    error: str = ""


@dataclass(slots=True)
class Queries:
    """Queries with their outcomes.

    :ivar outcomes: calls that have ended.
    """

    fleet: Fleet
    label: str
    outcomes: list[Outcome] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    async def ask(self, session: aiohttp.ClientSession, **changes) -> Outcome:
        """Send the next query to the next entry host that runs."""
        number = next(self._numbers)
        hosts = [
            one.host.callers_address
            for one in self.fleet.daemons.values()
            if one.process is not None and one.process.running
        ]
        query = {"text": f"{self.label}-{number}"}
        outcome = Outcome(query, hosts[number % len(hosts)])
        body = {"application": APPLICATION, "query": query, **changes}
        url = f"http://{outcome.address}/v1/search"
        try:
            async with session.post(url, json=body) as response:
                content = await response.read()
                if response.status == 200:
                    outcome.answer = msgspec.json.decode(content, type=SearchAnswer)
                else:
                    outcome.error = f"{response.status} {content.decode()}"
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome.error = repr(error)
        self.outcomes.append(outcome)
        return outcome

    @property
    def answers(self) -> list[SearchAnswer]:
        """Answers of all calls that had one."""
        return [one.answer for one in self.outcomes if one.answer is not None]

    @property
    def snapshots(self) -> list[int]:
        """Index versions of the answers in order."""
        return [one.snapshot for one in self.answers]

    @property
    def errors(self) -> list[str]:
        """Errors of all calls that had no answer."""
        return [one.error for one in self.outcomes if one.answer is None]

    @property
    def incomplete(self) -> list[SearchAnswer]:
        """Answers below full coverage."""
        return [one for one in self.answers if not one.complete]

    def list_covering(self, service: str) -> list[SearchAnswer]:
        """Return the answers that state a service as covered."""
        return [
            answer
            for answer in self.answers
            if service in {one.service for one in answer.covered}
        ]

    def list_faults(
        self, shards_of: Callable[[int], frozenset[str]] | None = None
    ) -> list[str]:
        """Compare every answer with its query, its snapshot and its coverage.

        :param shards_of: shards of an index version; those of the documents if None.
        """
        shards = self.fleet.list_shards(APPLICATION)
        faults: list[str] = []
        for one in self.outcomes:
            if one.answer is None:
                continue
            if shards_of is not None:
                shards = shards_of(one.answer.snapshot)
            faults += find_faults(one.answer, one.query, shards, HITS)
        return faults

    async def wait_for(self, count: int, snapshot: int | None = None) -> None:
        """Wait for more answers, of one index version if it is given."""
        before = len(self.outcomes)

        async def has_enough() -> bool:
            recent = self.outcomes[before:]
            wanted = [
                one
                for one in recent
                if one.answer is not None and snapshot in (None, one.answer.snapshot)
            ]
            return len(wanted) >= count

        what = f"{count} answers of version {snapshot}"
        await wait_until(has_enough, WITHIN, what)


async def ask_many(fleet: Fleet, label: str, count: int, **changes) -> Queries:
    """Send a number of queries, ``SENDERS`` at a time."""
    queries = Queries(fleet, label)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        limit = asyncio.Semaphore(SENDERS)

        async def ask() -> None:
            async with limit:
                await queries.ask(session, **changes)

        await asyncio.gather(*(ask() for _ in range(count)))
    return queries


@contextlib.asynccontextmanager
async def running_queries(
    fleet: Fleet, label: str, **changes
) -> AsyncIterator[Queries]:
    """Send queries one after another with ``SENDERS`` senders during the block."""
    queries = Queries(fleet, label)
    stopped = False
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:

        async def send() -> None:
            while not stopped and len(queries.outcomes) < MAX_QUERIES:
                await queries.ask(session, **changes)

        tasks = [asyncio.create_task(send()) for _ in range(SENDERS)]
        try:
            yield queries
        finally:
            stopped = True
            await asyncio.gather(*tasks)
