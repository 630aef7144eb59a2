"""Callers of the soak, which keep their connections as long as they work."""

import asyncio
import random
import time
from dataclasses import dataclass

from celeryferry_core.addresses import split_address
from celeryferry_standins.platform.fleet import PlatformHost

DEADLINE_MS = 1500
MAX_GAP_S = 0.15
# A caller uses a connection for many requests, and then opens another one elsewhere.
MAX_REQUESTS_PER_CONNECTION = 40
ORDER_PATH = "/order/1"
LOOKUP_PATH = "/lookup/1"
# Versions of the configuration move the one route and add and remove the other.
MOVED_PATH = "/moved/1"
ADDED_PATH = "/added/1"
PATHS = (ORDER_PATH, LOOKUP_PATH, MOVED_PATH, ADDED_PATH)
PATH_WEIGHTS = (4, 2, 2, 2)
# Some heads are between the two limits that versions of the configuration set.
LARGE_COOKIE_BYTES = 2500
LARGE_HEAD_FRACTION = 0.2


@dataclass(slots=True)
class Exchange:
    """One request and what its caller saw.

    Times are monotonic, in seconds.

    :ivar status: status of the complete answer, None without one.
    :ivar has_large_head: whether only some versions allow its head.
    :ivar is_given_up: whether the caller closed the connection at its deadline.
    """

    request_id: str
    host: PlatformHost
    path: str
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    body: bytes = b""
    answered_id: str = ""
    is_given_up: bool = False
    has_large_head: bool = False

    @property
    def is_order(self) -> bool:
        """Whether it may run once at most."""
        return self.path == ORDER_PATH


class Caller:
    """Sends requests one after the other until it is cancelled.

    :param name: part of its request ids.
    :ivar exchanges: all requests that were sent.
    """

    def __init__(
        self, name: str, hosts: list[PlatformHost], random_source: random.Random
    ) -> None:
        self._name = name
        self._hosts = hosts
        self._random = random_source
        self.exchanges: list[Exchange] = []

    async def run(self) -> None:
        """Use one host after the other."""
        while True:
            host = self._random.choice(self._hosts)
            try:
                address = split_address(host.addresses["http"])
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(MAX_GAP_S)
                continue
            try:
                for _ in range(MAX_REQUESTS_PER_CONNECTION):
                    if not await self._exchange(host, reader, writer):
                        break
                    await asyncio.sleep(self._random.uniform(0, MAX_GAP_S))
            finally:
                writer.transport.abort()

    async def _exchange(
        self,
        host: PlatformHost,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request; returns whether the connection can be used again."""
        request_id = f"{host.name}/{self._name}-{len(self.exchanges)}"
        (path,) = self._random.choices(PATHS, PATH_WEIGHTS)
        exchange = Exchange(request_id, host, path, time.monotonic())
        exchange.has_large_head = self._random.random() < LARGE_HEAD_FRACTION
        cookie = "c" * (LARGE_COOKIE_BYTES if exchange.has_large_head else 1)
        method = "POST" if exchange.is_order else "GET"
        self.exchanges.append(exchange)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Cookie: {cookie}\r\nContent-Length: 0\r\n\r\n"
        )
        is_open = False
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                writer.write(head.encode())
                is_open = await _read_response(reader, exchange)
        except TimeoutError:
            exchange.is_given_up = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        exchange.ended_at = time.monotonic()
        return is_open


async def _read_response(reader: asyncio.StreamReader, exchange: Exchange) -> bool:
    """Read a response; returns whether the connection stays open."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    exchange.status, exchange.body = int(lines[0].split()[1]), body
    exchange.answered_id = headers.get("x-server-stamp", "").partition(".")[2]
    return headers.get("connection", "").lower() != "close"
