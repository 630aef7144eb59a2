"""Periodic health polls of one upstream."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import aiohttp
from yarl import URL

from celeryferry_core.environment import Clock
from celeryferry_core.models.outcomes import UpstreamState
from celeryferry_core.placement import hash_name
from celeryferry_daemon._internal.owner.client import AnswerTooLargeError, read_bounded
from celeryferry_daemon._internal.owner.replies import Health, read_health

HEALTH_INTERVAL = timedelta(milliseconds=500)
HEALTH_TIMEOUT = timedelta(milliseconds=450)
HEALTH_CONNECT_SECONDS = 0.4
# The first poll is sent early because fronts need the index versions. It is spread over
# this time so that the workers of a new owner do not all poll at once.
FIRST_POLL_SPREAD = timedelta(milliseconds=50)
_POLL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, AnswerTooLargeError)


class HealthClient:
    """Polls over a connection of its own, which also detects restarts of the upstream.

    A restart closes the connection between two polls without the ``Connection: close``
    header that announces a planned close. This detects restarts that take less than
    the time between two polls and happen while no work is in flight.

    :param address: ``ip:port`` of the upstream.
    """

    __slots__ = ("_is_kept_alive", "_opened_count", "_session", "_url")

    def __init__(self, address: str) -> None:
        self._url = URL(f"http://{address}/health")
        self._opened_count = 0
        self._is_kept_alive = False
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._count_connection)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=HEALTH_TIMEOUT.total_seconds(),
                sock_connect=HEALTH_CONNECT_SECONDS,
            ),
            trace_configs=[trace],
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close the connection."""
        await self._session.close()

    async def read(self) -> Health | None:
        """Send one poll.

        :returns: the answer; state unreachable if no connection could be opened; None
            if the poll failed in any other way or its answer is malformed, which says
            nothing about the upstream.
        """
        opened, was_kept_alive = self._opened_count, self._is_kept_alive
        self._is_kept_alive = False
        try:
            async with self._session.get(self._url, allow_redirects=False) as response:
                content = await read_bounded(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Health(UpstreamState.UNREACHABLE, ())
        except _POLL_ERRORS:
            return None
        announced = response.headers.get("Connection", "").lower()
        self._is_kept_alive = announced != "close"
        is_restarted = was_kept_alive and self._opened_count > opened
        return read_health(content, is_restarted)

    async def _count_connection(self, *_: object) -> None:
        self._opened_count += 1


async def poll_health(
    address: str,
    client: HealthClient,
    clock: Clock,
    on_health: Callable[[Health | None, timedelta], None],
) -> None:
    """Poll every ``HEALTH_INTERVAL`` until cancelled.

    :param address: address of the upstream; its hash sets the time of the first poll.
    :param client: health client of the upstream.
    :param on_health: receives each answer, or None for a failed poll, and the
        monotonic time at which the poll was sent.
    """
    loop = asyncio.get_running_loop()
    interval = HEALTH_INTERVAL.total_seconds()
    phase = hash_name(address) % 100 / 100
    next_poll = loop.time() + phase * FIRST_POLL_SPREAD.total_seconds()
    while True:
        await asyncio.sleep(max(0.0, next_poll - loop.time()))
        next_poll = max(next_poll, loop.time()) + interval
        polled_at = clock.monotonic()
        health = await client.read()
        on_health(health, polled_at)
