"""Stand-in for the platform's store: items with revisions, range reads and watches."""

import asyncio
import base64
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web

from celeryferry_core.addresses import split_address

OK = 200
NOT_FOUND = 404
HISTORY_GONE = 410
UNAVAILABLE = 503
ERA_HEADER = "Store-Era"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at one moment.

    :param items: all items.
    :param revision: revision of the latest change.
    :param era: era of the store.
    """

    items: tuple[dict[str, Any], ...]
    revision: int
    era: int


class PlatformStore:
    """Store that holds its items in memory; tests write to it directly.

    :ivar revision: revision of the latest change.
    :ivar era: how often the store has come back from a copy, from 1 on.
    :ivar sends_era: whether answers name the era.
    :ivar is_down: whether every call is answered 503.
    :ivar is_silent: whether calls get no answer, those that are waiting, too.
    :ivar stale_copy: what reads that may be stale return, None for the current items.
    :ivar call_count: calls so far, also those without an answer.
    :ivar address: ``ip:port`` once started.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.era = 1
        self.sends_era = True
        self.is_down = False
        self.is_silent = False
        self.stale_copy: StoreCopy | None = None
        self.call_count = 0
        self.address = ""
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._oldest_revision = self.revision
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._sites: list[web.TCPSite] = []

    async def start(self) -> None:
        """Listen on a loopback address."""
        app = web.Application(middlewares=[self._handle_call])
        app.on_response_prepare.append(self._name_era)
        app.router.add_get("/kv-range", self._answer_range)
        app.router.add_get("/kv-watch", self._answer_watch)
        # Calls without an answer end when the client closes its connection.
        self._runner = web.AppRunner(
            app, shutdown_timeout=0.1, handler_cancellation=True
        )
        await self._runner.setup()
        await self.open_address()

    async def open_address(self) -> None:
        """Serve at a new loopback address, too, which is the address from now on."""
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self._sites.append(site)
        ip, port = self._runner.addresses[-1][:2]
        self.address = f"{ip}:{port}"

    async def close_former_addresses(self) -> None:
        """Refuse connections at all addresses but the latest, and end the open ones."""
        while len(self._sites) > 1:
            await self._sites.pop(0).stop()
        _, port = split_address(self.address)
        for connection in self._runner.server.connections:
            transport = connection.transport
            if transport is None:
                continue
            if transport.get_extra_info("sockname")[1] != port:
                transport.abort()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, key: str, value: Any) -> None:
        """Write an item.

        :param value: value to encode as JSON.
        """
        text = base64.b64encode(msgspec.json.encode(value)).decode()
        self.revision += 1
        item = {"key": key, "value": text, "revision": self.revision}
        self._items[key] = item
        await self._publish(item)

    async def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._items.pop(key, None)
        await self._publish({"key": key, "revision": self.revision, "deleted": True})

    async def go_down(self) -> None:
        """Answer every call with 503 from now on, waiting watches too."""
        self.is_down = True
        await self._wake_watches()

    def drop_history(self) -> None:
        """Discard the recorded changes, so that watches of older revisions fail."""
        self._events.clear()
        self._oldest_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return what the store holds now."""
        return StoreCopy(tuple(self._items.values()), self.revision, self.era)

    async def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy in the next era; later changes are lost.

        Connections with waiting watches are closed.
        """
        self._items = {item["key"]: item for item in copy.items}
        self.revision = copy.revision
        self.drop_history()
        self.era += 1
        self.is_down = self.is_silent = False
        await self._wake_watches()

    def keep_stale(self, copy: StoreCopy | None = None) -> None:
        """Let reads that may be stale return the items and the era of a copy.

        :param copy: the copy, None for the items as they are now.
        """
        self.stale_copy = copy or self.copy()

    async def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        await self._wake_watches()

    async def _wake_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    @web.middleware
    async def _handle_call(self, request: web.Request, handler) -> web.StreamResponse:
        self.call_count += 1
        if self.is_silent:
            await _hang()
        response = await handler(request)
        if self.is_silent:
            await _hang()
        return response

    async def _name_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.sends_era:
            response.headers.setdefault(ERA_HEADER, str(self.era))

    async def _answer_range(self, request: web.Request) -> web.Response:
        if self.is_down:
            return web.Response(status=UNAVAILABLE)
        prefix = request.query.get("path_prefix", "")
        copy = self.copy()
        if self.stale_copy is not None and "serializable" in request.query:
            copy = self.stale_copy
        items = [item for item in copy.items if item["key"].startswith(prefix)]
        items.sort(key=lambda item: item["key"])
        response = web.json_response(
            {"items": items, "truncated": False, "as_of": copy.revision}
        )
        if self.sends_era:
            response.headers[ERA_HEADER] = str(copy.era)
        return response

    async def _answer_watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        prefix = request.query.get("path_prefix", "")
        era = self.era
        try:
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                while not self._can_answer(prefix, after, era):
                    async with self._changed:
                        await self._changed.wait()
        except TimeoutError:
            pass
        if self.era != era:
            request.transport.abort()
        if self.is_down:
            return web.Response(status=UNAVAILABLE)
        if not self._has_history(after):
            return web.Response(status=HISTORY_GONE)
        events = self._list_events(prefix, after)
        return web.json_response({"events": events, "as_of": self.revision})

    def _can_answer(self, prefix: str, after: int, era: int) -> bool:
        return (
            self.is_down
            or self.era != era
            or not self._has_history(after)
            or bool(self._list_events(prefix, after))
        )

    def _has_history(self, after: int) -> bool:
        return self._oldest_revision <= after <= self.revision

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]


async def _hang() -> None:
    """Wait until the call is cancelled, which the end of its connection does."""
    await asyncio.Event().wait()
