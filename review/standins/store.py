"""Stand-in of the platform's store: range reads and watches."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from standins.http import encode_message, read_message

# Largest number of items on a page.
PAGE_ITEMS = 500


class Store:
    """Holds items and serves them. It answers nothing while ``is_silent`` is set.

    :ivar is_silent: whether all answers are lost.
    :ivar stale_page_age_s: age of what a serializable read after the first page
        returns. A store with several replicas may serve each read by another one.
    """

    def __init__(self) -> None:
        self.address = ""
        self.is_silent = False
        self.stale_page_age_s = 0.0
        self._revision = 1
        self._events: list[tuple[int, str, bytes | None, float]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    async def put(self, key: str, value: dict) -> None:
        """Write one item."""
        await self._change(key, json.dumps(value).encode())

    async def delete(self, key: str) -> None:
        """Remove one item."""
        await self._change(key, None)

    async def _change(self, key: str, value: bytes | None) -> None:
        self._revision += 1
        self._events.append((self._revision, key, value, time.monotonic()))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                url = urlsplit(request.start[1])
                query = {
                    name: values[0] for name, values in parse_qs(url.query).items()
                }
                if url.path == "/kv-watch":
                    content = await self._watch(query)
                else:
                    content = self._read_range(query)
                if self.is_silent:
                    # The answer is lost, and the connection returns nothing further.
                    await asyncio.sleep(3600)
                body = json.dumps(content).encode()
                writer.write(encode_message("HTTP/1.1 200 OK", [], body))
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()

    def _read_range(self, query: dict[str, str]) -> dict:
        after = query.get("after", "")
        is_stale = "serializable" in query and after
        until_s = time.monotonic() - (self.stale_page_age_s if is_stale else 0.0)
        revision, items = self._find_items(until_s)
        described = [
            _describe(key, *items[key])
            for key in sorted(items)
            if key.startswith(query.get("path_prefix", "")) and key > after
        ]
        page = described[:PAGE_ITEMS]
        is_truncated = len(described) > PAGE_ITEMS
        return {"items": page, "truncated": is_truncated, "as_of": revision}

    def _find_items(self, until_s: float) -> tuple[int, dict[str, tuple[int, bytes]]]:
        """Return the revision and the items at a time."""
        items: dict[str, tuple[int, bytes]] = {}
        revision = 1
        for revision_, key, value, at_s in self._events:
            if at_s > until_s:
                break
            revision = revision_
            if value is None:
                items.pop(key, None)
            else:
                items[key] = (revision, value)
        return revision, items

    async def _watch(self, query: dict[str, str]) -> dict:
        after = int(query["after"])
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                await self._changed.wait_for(lambda: self._revision > after)
        except TimeoutError:
            pass
        events = [_describe(k, r, v) for r, k, v, _ in self._events if r > after]
        return {"events": events, "as_of": self._revision}


def _describe(key: str, revision: int, value: bytes | None) -> dict:
    if value is None:
        return {"key": key, "revision": revision, "deleted": True}
    text = base64.b64encode(value).decode()
    fields = {"key": key, "value": text, "revision": revision}
    return fields | {"created": revision, "lease": 0}
