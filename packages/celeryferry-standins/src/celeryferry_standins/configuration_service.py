"""Stand-in for the configuration service: reads, watches and faults on demand."""

import asyncio

import msgspec
from aiohttp import web

from celeryferry_standins.configuration_store import (
    DocumentStore,
    ReadCounter,
    ServiceCounts,
)
from celeryferry_standins.serving import (
    ControlledService,
    json_response,
    serve_standin,
)

MS_PER_S = 1000.0
DEFAULT_WATCH_TIMEOUT_MS = 10_000.0


class ControlRequest(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Change of the service's documents or behaviour; absent fields change nothing.

    :param put: texts to write, by name; each write gets its own revision.
    :param remove: names to remove.
    :param down: ``no``, ``closes`` to close each connection without an answer, or
        ``refuses`` to stop listening.
    :param stale_at: revision whose state is served; -1 serves the latest one again.
    :param reset_counts: True to reset the counts, except the watches that wait now.
    """

    put: dict[str, str] = {}
    remove: list[str] = []
    down: str | None = None
    stale_at: int | None = None
    reset_counts: bool = False


class ServiceState(msgspec.Struct):
    """Answer to ``GET /control``.

    :param revision: latest revision.
    :param served_revision: revision that readers see.
    :param documents: revisions by name, as readers see them.
    :param counts: counted reads.
    """

    revision: int
    served_revision: int
    documents: dict[str, int]
    counts: ServiceCounts


class ConfigurationService(ControlledService):
    """The service with a listener for readers and one for control requests."""

    def __init__(self):
        super().__init__(self._handle, self._handle_control)
        self.store = DocumentStore()
        self._counter = ReadCounter()
        self._changed = asyncio.Event()
        self._down_mode = "no"

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._down_mode != "no":
            request.transport.abort()
            return web.Response(status=503)
        self._counter.count()
        if request.path == "/v1/watch":
            return await self._watch(request)
        if request.path == "/v1/documents":
            revisions = self.store.list_changed(after=0)
            body = {"revision": self.store.served_revision, "documents": revisions}
            return json_response(body)
        name = request.path.removeprefix("/v1/documents/")
        self._counter.counts.document_reads += 1
        document = self.store.documents.get(name)
        if document is None:
            return json_response({"error": f"no document {name!r}"}, 404)
        return json_response(document)

    async def _watch(self, request: web.BaseRequest) -> web.Response:
        after = int(request.query.get("after", "0"))
        timeout_ms = float(request.query.get("timeout_ms", DEFAULT_WATCH_TIMEOUT_MS))
        counts = self._counter.counts
        counts.watches += 1
        counts.watches_waiting += 1
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                while self.store.served_revision <= after:
                    await self._changed.wait()
        except TimeoutError:
            pass
        finally:
            counts.watches_waiting -= 1
        changed = self.store.list_changed(after)
        body = {"revision": self.store.served_revision, "changed": changed}
        return json_response(body)

    async def _handle_control(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/control":
            return json_response({"error": "not found"}, 404)
        if request.method == "POST":
            try:
                body = await request.read()
                await self._apply(msgspec.json.decode(body, type=ControlRequest))
            except ValueError as error:
                return json_response({"error": str(error)}, 400)
        return json_response(self._make_state())

    async def _apply(self, change: ControlRequest) -> None:
        for name, text in change.put.items():
            self.store.put(name, text)
        for name in change.remove:
            self.store.remove(name)
        if change.stale_at is not None:
            self._set_stale(change.stale_at)
        if change.reset_counts:
            waiting = self._counter.counts.watches_waiting
            self._counter = ReadCounter()
            self._counter.counts.watches_waiting = waiting
        if change.down is not None:
            await self._set_down_mode(change.down)
        self._changed.set()
        self._changed = asyncio.Event()

    def _set_stale(self, revision: int) -> None:
        if revision > self.store.revision:
            raise ValueError(
                f"revision {revision} does not exist; use the latest one or older"
            )
        self.store.stale_at = None if revision < 0 else revision

    async def _set_down_mode(self, mode: str) -> None:
        if mode not in ("no", "closes", "refuses"):
            raise ValueError(f"down is {mode!r}; use no, closes or refuses")
        previous_mode, self._down_mode = self._down_mode, mode
        if mode == "refuses" and previous_mode != "refuses":
            await self._listener.close()
        elif mode != "refuses" and previous_mode == "refuses":
            await self._listener.open(self._listener.address)
        if mode == "closes":
            await self._listener.drop_connections()

    def _make_state(self) -> ServiceState:
        return ServiceState(
            revision=self.store.revision,
            served_revision=self.store.served_revision,
            documents=self.store.list_changed(after=0),
            counts=self._counter.read(),
        )


if __name__ == "__main__":
    serve_standin(ConfigurationService, __doc__)
