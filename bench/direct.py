"""Queries in closed loop to one entry host, and the same fan-out without it."""

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp
import msgspec

from celeryferry_core.models.callers import SearchAnswer
from celeryferry_standins.launcher import Fleet

MS_PER_S = 1000.0
DEADLINE_MS = 5000
HIT_LIMIT = 10
INDEX_VERSION = "41"


@dataclass(slots=True)
class ClosedLoop:
    """Outcome of queries in closed loop.

    :param latencies_ms: time of each complete answer.
    :param failures: answers that were errors or incomplete.
    :param seconds: time of the whole run.
    """

    latencies_ms: list[float] = field(default_factory=list)
    failures: int = 0
    seconds: float = 0.0


async def search_once(
    session: aiohttp.ClientSession, address: str, application: str, number: int
) -> bool:
    """Send one search to an entry host.

    :param session: client session.
    :param address: entry host.
    :param application: application to search.
    :param number: number of the query, part of its text.
    :returns: True if the answer covers every shard.
    """
    body = {
        "application": application,
        "query": {"text": f"mark {number}"},
        "deadline_ms": DEADLINE_MS,
        "limit": HIT_LIMIT,
    }
    url = f"http://{address}/v1/search"
    async with session.post(url, data=msgspec.json.encode(body)) as response:
        content = await response.read()
    if response.status != 200:
        return False
    return msgspec.json.decode(content, type=SearchAnswer).complete


async def call_upstreams(
    session: aiohttp.ClientSession, upstreams: dict[str, str], number: int
) -> bool:
    """Send one search to one replica of every shard, as a caller without the tier.

    :param session: client session.
    :param upstreams: address by shard.
    :param number: number of the query, part of its text.
    :returns: True if every upstream answered.
    """
    deadline = str(int(time.time() * MS_PER_S) + DEADLINE_MS)

    async def ask(shard: str, address: str) -> bool:
        body = {"shard": shard, "query": {"text": f"mark {number}"}}
        headers = {
            "X-Request-Id": f"direct-{number}/{shard}",
            "X-Index-Version": INDEX_VERSION,
            "X-Deadline-Unix-Ms": deadline,
        }
        data = msgspec.json.encode(body)
        url = f"http://{address}/search"
        async with session.post(url, data=data, headers=headers) as response:
            msgspec.json.decode(await response.read())
        return response.status == 200

    return all(await asyncio.gather(*(ask(*one) for one in upstreams.items())))


async def run_closed_loop(
    fleet: Fleet, send, duration_s: float, concurrency: int
) -> ClosedLoop:
    """Send queries one after the other in some concurrent loops.

    :param fleet: running fleet.
    :param send: coroutine function of a session and the number of the query.
    :param duration_s: time for which queries are sent.
    :param concurrency: number of loops.
    """
    outcome = ClosedLoop()
    numbers = iter(range(10_000_000))
    started = time.monotonic()

    async def loop(session: aiohttp.ClientSession) -> None:
        while time.monotonic() < started + duration_s:
            sent = time.monotonic()
            if await send(session, next(numbers)):
                outcome.latencies_ms.append((time.monotonic() - sent) * MS_PER_S)
            else:
                outcome.failures += 1

    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        asyncio.TaskGroup() as group,
    ):
        for _ in range(concurrency):
            group.create_task(loop(session))
    outcome.seconds = time.monotonic() - started
    return outcome
