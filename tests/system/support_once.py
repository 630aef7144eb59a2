"""Fleets, callers and observations shared by the proofs of run-once requests."""

import asyncio
import itertools
import os
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from celeryferry_core.models.callers import Ran
from celeryferry_core.models.topology import UpstreamLimits
from celeryferry_standins.documents import ServicePlan
from celeryferry_standins.plans import FleetPlan
from celeryferry_standins.processes import wait_until
from celeryferry_standins.upstream.behaviour import Behaviour
from tests.system.fleet_case import FleetCase
from tests.system.support_cold import DOMAINS, count, rank_owners

APPLICATION = "plaques"
LIMITS = UpstreamLimits(4, 80, 1, 6.0)
WITHIN = timedelta(seconds=9)
DEADLINE_MS = 1500
# Longer than the deadline and the margins that the hosts add to it.
CALL_TIMEOUT_S = 3.0
QUICK_MS = 4.0
# Long enough to bring about a failure while a request runs.
SLOW_MS = 400.0
PROTOCOL_FAULTS = (aiohttp.ClientError, TimeoutError, OSError)


def make_once_plan(
    domains: tuple[str, ...] = DOMAINS,
    others: tuple[ServicePlan, ...] = (),
    **changes: Any,
) -> FleetPlan:
    """Plan a fleet with a service whose requests run at most once, and others."""
    service = ServicePlan(APPLICATION, APPLICATION, upstreams=LIMITS, repeatable=False)
    changes.setdefault("behaviour", Behaviour(service_ms=QUICK_MS, jitter_ms=0.0))
    return FleetPlan(domains, (service, *others), **changes)


@dataclass(frozen=True, slots=True)
class Statement:
    """What a caller was told about one attempt.

    :param key: ticket, or query id of a search.
    :param ran: what the answer says; None if there was no answer.
    :param kind: type of the error, empty after an answer.
    :param retry_after_ms: as in the error.
    :param content: decoded answer.
    """

    key: str
    ran: Ran | None
    kind: str = ""
    retry_after_ms: int = 0
    content: Any = None


async def post(session: aiohttp.ClientSession, address: str, path: str, body: Any):
    """Send one request as a caller; None if no answer came."""
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    url = f"http://{address}{path}"
    try:
        async with session.post(url, data=data, timeout=timeout) as response:
            return msgspec.json.decode(await response.read())
    except PROTOCOL_FAULTS:
        return None


def read_statement(key: str, content: Any) -> Statement:
    """Read what an answer states."""
    if content is None:
        return Statement(key, None)
    error = content.get("error")
    if error is None:
        return Statement(key, Ran.YES, content=content)
    key = error.get("query_id") or key
    ran, retry_after_ms = Ran(error["ran"]), error["retry_after_ms"]
    return Statement(key, ran, error["type"], retry_after_ms, content)


class OnceCase(FleetCase):
    """Tests of run-once requests that share one running fleet."""

    @classmethod
    async def prepare(cls) -> None:
        """Wait until every daemon runs requests."""
        await cls.wait_for_runs()

    @classmethod
    async def wait_for_runs(cls):
        """Wait until a ticket of every running daemon is answered."""
        await asyncio.gather(*(cls.wait_for_run(one) for one in cls.list_running()))

    @classmethod
    async def wait_for_run(cls, host_id: str):
        """Wait until a ticket of one daemon is answered."""

        async def is_answered() -> bool:
            ticket = await cls.take_ticket(host_id)
            if ticket is None:
                return False
            return (await cls.run_once(host_id, ticket)).ran is Ran.YES

        await wait_until(is_answered, WITHIN, f"{host_id} runs requests")

    @classmethod
    async def wait_for_run_on(cls, host_id: str, upstream: str):
        """Wait until a ticket of one daemon is run by the upstream of its domain."""

        async def has_run() -> bool:
            before = await count(cls.fleet, upstream)
            await cls.wait_for_run(host_id)
            return (await count(cls.fleet, upstream)).executed > before.executed

        await wait_until(has_run, WITHIN, f"{upstream} runs requests of {host_id}")

    @classmethod
    def list_running(cls) -> list[str]:
        """List the hosts whose daemon runs."""
        daemons = cls.fleet.daemons.items()
        return [name for name, one in daemons if one.process and one.process.running]

    @classmethod
    async def take_ticket(cls, host_id: str) -> str | None:
        """Take a ticket from one entry host; None if it gave none."""
        address = cls.fleet.daemons[host_id].host.callers_address
        body = {"application": APPLICATION}
        answer = await post(cls.fleet.session, address, "/v1/tickets", body)
        return None if answer is None else answer.get("ticket")

    @classmethod
    async def run_once(
        cls, host_id: str, ticket: str, deadline_ms: int = DEADLINE_MS
    ) -> Statement:
        """Run a ticket through one entry host."""
        address = cls.fleet.daemons[host_id].host.callers_address
        body = {"ticket": ticket, "request": {"n": 1}, "deadline_ms": deadline_ms}
        content = await post(cls.fleet.session, address, "/v1/run-once", body)
        return read_statement(ticket, content)

    @classmethod
    async def retry_everywhere(
        cls, tickets: Iterable[str], rounds: int = 1
    ) -> list[Statement]:
        """Run tickets through every entry host at once, some rounds after another."""
        found: list[Statement] = []
        pairs = list(itertools.product(cls.fleet.daemons, tickets))
        for _ in range(rounds):
            calls = (cls.run_once(host_id, ticket) for host_id, ticket in pairs)
            found += await asyncio.gather(*calls)
        return found

    @classmethod
    async def wait_for_start(cls, ticket: str):
        """Wait until an upstream has begun to run a ticket."""

        async def has_started() -> bool:
            return cls.fleet.count_runs()[ticket] > 0

        await wait_until(has_started, WITHIN, "start of the request")

    @classmethod
    async def set_upstreams(cls, **changes: Any):
        """Change the behaviour of every upstream."""
        names = list(cls.fleet.upstreams)
        calls = (cls.fleet.control_upstream(name, **changes) for name in names)
        await asyncio.gather(*calls)

    @classmethod
    def choose_roles(cls, domain: str) -> tuple[str, str]:
        """Return the owner of a domain's upstream and another host as the issuer."""
        owner, issuer, *_ = rank_owners(cls.fleet, APPLICATION, domain)
        return owner, issuer

    @classmethod
    async def begin_slow_run(cls, issuer: str) -> tuple[str, "asyncio.Task[Statement]"]:
        """Start a request that runs for ``SLOW_MS`` and wait until it runs."""
        await cls.set_upstreams(service_ms=SLOW_MS)
        ticket = await cls.take_ticket(issuer)
        assert ticket is not None
        task = asyncio.create_task(cls.run_once(issuer, ticket))
        await cls.wait_for_start(ticket)
        await cls.set_upstreams(service_ms=QUICK_MS)
        return ticket, task

    def assert_once(self, tickets: Iterable[str], statements: Iterable[Statement]):
        """Assert that each ticket ran at most once and that no answer denies it."""
        runs = self.fleet.count_runs()
        self.assertLessEqual(max(runs.values(), default=0), 1)
        for ticket in tickets:
            self.assertEqual(runs[ticket], 1)
        denied = [one for one in statements if one.ran is Ran.NO and runs[one.key]]
        self.assertEqual(denied, [])


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
