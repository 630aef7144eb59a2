"""Baseline for measurements: every host connects to every upstream directly.

It serves the callers' interface with simple decisions: round robin over the replicas, a
fixed share of each upstream's connections for each host, no hedging, no retries, no
adaptive limit and no owners. All queries use one index version.
"""

import asyncio
import itertools
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import fire
import msgspec
from aiohttp import web

from celeryferry_core.documents import parse_document
from celeryferry_core.models.callers import (
    CoveredShard,
    EntryHost,
    EntryHostsAnswer,
    ErrorAnswer,
    ErrorBody,
    ErrorType,
    Hit,
    MissingShard,
    Ran,
    SearchAnswer,
    SearchRequest,
)
from celeryferry_core.models.outcomes import CoverageReason
from celeryferry_core.models.topology import Host, ServiceDocument, Shard
from celeryferry_core.settings import load_settings

ENTRY_HOSTS_VALID_MS = 5_000
HTTP_OK = 200
# Index version that the stand-in upstreams hold by default.
NEWEST_SNAPSHOT = 41


class UpstreamAnswer(msgspec.Struct, frozen=True):
    """Answer of an upstream to a search.

    :param shard: shard that was searched.
    :param index_version: index version of the hits.
    """

    request_id: str
    shard: str
    index_version: int
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class ShardResult:
    """Result of one shard of a query.

    :param hits: hits, None if the upstream gave no valid answer before the deadline.
    """

    service: str
    shard: str
    hits: tuple[Hit, ...] | None


class DirectHost:
    """One host of the baseline fleet.

    :param documents: service documents of all applications.
    :param hosts: all hosts of the fleet, which share the connections of an upstream.
    :param snapshot: index version that all queries use.
    """

    def __init__(
        self,
        documents: tuple[ServiceDocument, ...],
        hosts: tuple[Host, ...],
        snapshot: int,
    ) -> None:
        self._documents = documents
        self._hosts = hosts
        self._snapshot = snapshot
        self._replica_counters: dict[str, itertools.count] = {}
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._query_numbers = itertools.count()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the callers' interface.

        :returns: routes for entry hosts and searches.
        """
        return [
            web.get("/v1/entry-hosts", self._list_entry_hosts),
            web.post("/v1/search", self._search),
        ]

    async def close(self) -> None:
        """Close the connections to the upstreams."""
        for session in self._sessions.values():
            await session.close()

    async def _list_entry_hosts(self, request: web.Request) -> web.Response:
        hosts = tuple(
            EntryHost(host.callers_address, host.failure_domain) for host in self._hosts
        )
        return _respond(EntryHostsAnswer(hosts, ENTRY_HOSTS_VALID_MS))

    async def _search(self, request: web.Request) -> web.Response:
        started = time.monotonic()
        search = msgspec.json.decode(await request.read(), type=SearchRequest)
        services = [
            document
            for document in self._documents
            if document.application == search.application
        ]
        deadline_ms = search.deadline_ms or min(
            service.deadline_ms for service in services
        )
        query_id = f"direct-{next(self._query_numbers)}"
        deadline_unix_ms = int(time.time() * 1000) + deadline_ms
        body = bytes(search.query)
        results = await asyncio.gather(
            *(
                self._query_shard(document, shard, query_id, body, deadline_unix_ms)
                for document in services
                for shard in document.shards
            )
        )
        return _respond(self._merge(search, query_id, results, started))

    async def _query_shard(
        self,
        document: ServiceDocument,
        shard: Shard,
        query_id: str,
        query: bytes,
        deadline_unix_ms: int,
    ) -> ShardResult:
        request_number = next(
            self._replica_counters.setdefault(shard.name, itertools.count())
        )
        replica = shard.replicas[request_number % len(shard.replicas)]
        body = b'{"shard":%s,"query":%s}' % (msgspec.json.encode(shard.name), query)
        headers = {
            "X-Request-Id": f"{query_id}/{shard.name}",
            "X-Index-Version": str(self._snapshot),
            "X-Deadline-Unix-Ms": str(deadline_unix_ms),
        }
        hits = None
        try:
            async with asyncio.timeout(deadline_unix_ms / 1000 - time.time()):
                session = self._get_session(document, replica.address)
                url = f"http://{replica.address}/search"
                async with session.post(url, data=body, headers=headers) as response:
                    if response.status == HTTP_OK:
                        answer = msgspec.json.decode(
                            await response.read(), type=UpstreamAnswer
                        )
                        hits = answer.hits
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError):
            hits = None
        return ShardResult(document.service, shard.name, hits)

    def _get_session(
        self, document: ServiceDocument, address: str
    ) -> aiohttp.ClientSession:
        session = self._sessions.get(address)
        if session is None:
            connection_limit = max(
                1, document.upstreams.connections // len(self._hosts)
            )
            session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=connection_limit)
            )
            self._sessions[address] = session
        return session

    def _merge(
        self,
        search: SearchRequest,
        query_id: str,
        results: list[ShardResult],
        started: float,
    ) -> SearchAnswer:
        answered = [result for result in results if result.hits is not None]
        missing = [result for result in results if result.hits is None]
        hits = [hit for result in answered for hit in result.hits or ()]
        hits.sort(key=lambda hit: (-hit.score, hit.id))
        return SearchAnswer(
            query_id=query_id,
            application=search.application,
            snapshot=self._snapshot,
            hits=tuple(hits[: search.limit]),
            covered=tuple(CoveredShard(r.service, r.shard) for r in answered),
            not_covered=tuple(
                MissingShard(r.service, r.shard, CoverageReason.TIMEOUT)
                for r in missing
            ),
            complete=not missing,
            elapsed_ms=(time.monotonic() - started) * 1000,
        )


def _respond(answer: msgspec.Struct) -> web.Response:
    body = msgspec.json.encode(answer)
    return web.Response(body=body, content_type="application/json")


@web.middleware
async def _report_errors(request: web.Request, handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except msgspec.MsgspecError as error:
        body = ErrorBody(ErrorType.BAD_REQUEST, str(error), Ran.NO)
        return web.Response(status=400, body=msgspec.json.encode(ErrorAnswer(body)))


async def _read_documents(address: str) -> tuple[ServiceDocument, ...]:
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}/v1/documents") as response:
            names = (await response.json())["documents"]
        documents = []
        for name in sorted(names):
            async with session.get(f"http://{address}/v1/documents/{name}") as response:
                text = (await response.json())["text"]
            documents.append(parse_document(text).unwrap())
    return tuple(documents)


async def _read_hosts(address: str) -> tuple[Host, ...]:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/v1/hosts") as response,
    ):
        entries = (await response.json())["hosts"]
    return tuple(msgspec.convert(entry, Host) for entry in entries)


async def _serve(settings_path: Path, snapshot: int) -> None:
    settings = load_settings(settings_path).unwrap()
    documents = await _read_documents(settings.configuration_service)
    hosts = await _read_hosts(settings.host_list)
    baseline_host = DirectHost(documents, hosts, snapshot)
    app = web.Application(middlewares=[_report_errors])
    app.add_routes(baseline_host.routes())
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    address, port = settings.host.callers_address.rsplit(":", 1)
    await web.TCPSite(runner, address, int(port)).start()
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await runner.cleanup()
    await baseline_host.close()


def serve(settings: str, snapshot: int = NEWEST_SNAPSHOT) -> None:
    """Run one baseline host until SIGTERM.

    :param settings: path of a daemon settings file.
    :param snapshot: index version that all queries use.
    """
    asyncio.run(_serve(Path(settings), snapshot))


if __name__ == "__main__":
    fire.Fire(serve)
