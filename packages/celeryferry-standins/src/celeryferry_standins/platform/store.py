"""Stand-in for the platform's store: items with revisions, range reads and watches."""

import asyncio
import base64
from typing import Any

import msgspec
from aiohttp import web

OK = 200
NOT_FOUND = 404
HISTORY_GONE = 410
UNAVAILABLE = 503


class PlatformStore:
    """Store that holds its items in memory; tests write to it directly.

    :ivar revision: revision of the latest change.
    :ivar is_down: whether every call is answered 503.
    :ivar stale_items: what reads that may be stale return, None for the current items.
    :ivar address: ``ip:port`` once started.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.is_down = False
        self.stale_items: tuple[list[dict[str, Any]], int] | None = None
        self.address = ""
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._oldest_revision = self.revision
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a loopback address."""
        app = web.Application()
        app.router.add_get("/kv-range", self._answer_range)
        app.router.add_get("/kv-watch", self._answer_watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        ip, port = self._runner.addresses[0][:2]
        self.address = f"{ip}:{port}"

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
        async with self._changed:
            self._changed.notify_all()

    def drop_history(self) -> None:
        """Discard the recorded changes, so that watches of older revisions fail."""
        self._events.clear()
        self._oldest_revision = self.revision

    async def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _answer_range(self, request: web.Request) -> web.Response:
        if self.is_down:
            return web.Response(status=UNAVAILABLE)
        prefix = request.query.get("path_prefix", "")
        items, revision = list(self._items.values()), self.revision
        if self.stale_items is not None and "serializable" in request.query:
            items, revision = self.stale_items
        items = [item for item in items if item["key"].startswith(prefix)]
        items.sort(key=lambda item: item["key"])
        return web.json_response(
            {"items": items, "truncated": False, "as_of": revision}
        )

    def keep_stale(self) -> None:
        """Let reads that may be stale return the items as they are now."""
        self.stale_items = (list(self._items.values()), self.revision)

    async def _answer_watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        prefix = request.query.get("path_prefix", "")
        try:
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                while not self.is_down and not self._list_events(prefix, after):
                    async with self._changed:
                        await self._changed.wait()
        except TimeoutError:
            pass
        if self.is_down:
            return web.Response(status=UNAVAILABLE)
        if after < self._oldest_revision:
            return web.Response(status=HISTORY_GONE)
        events = self._list_events(prefix, after)
        return web.json_response({"events": events, "as_of": self.revision})

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
