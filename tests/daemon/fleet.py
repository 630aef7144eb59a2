"""Fleet of daemons in one process, with a fake configuration service and host list."""

import asyncio
import contextlib
import time
from datetime import timedelta

from aiohttp import web

from celeryferry_core.documents import render_document
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.settings import DaemonSettings, LimitSettings
from celeryferry_core.models.topology import (
    Host,
    Preference,
    Replica,
    ServiceDocument,
    Shard,
    UpstreamLimits,
)
from celeryferry_daemon._internal.app import Daemon
from celeryferry_daemon._internal.peers.server import start_listener
from celeryferry_daemon._internal.roles import build_no_roles
from celeryferry_standins.ports import reserve_port

TOKEN = "a-token-of-this-test"
DOMAINS = ("agadir-a", "taroudant-b", "tiznit-c")


def make_text(version, name="survey-desk-01", out=()):
    """Return the text of a document whose only shard has a replica in every domain.

    :param out: failure domains that the document takes out of service.
    """
    replicas = tuple(
        Replica(f"127.0.0.1:{port}", domain) for port, domain in enumerate(DOMAINS, 1)
    )
    document = ServiceDocument(
        version=version,
        application=name.rsplit("-", 1)[0],
        service=name,
        team="survey",
        preference=Preference.COVERAGE,
        repeatable=True,
        deadline_ms=1000,
        answer_within_ms=250,
        failure_domains_out=tuple(out),
        upstreams=UpstreamLimits(4, 80),
        shards=(Shard(name, replicas),),
    )
    return render_document(document)


class RecordingLog:
    def __init__(self):
        self.decisions = []

    def record(self, decision):
        self.decisions.append(decision)

    def list_names(self):
        return [type(decision).__name__ for decision in self.decisions]


class FakeServices:
    """Fake configuration service and host list on one port.

    :ivar hosts: entries of the host list.
    :ivar is_down: whether the configuration service answers with an error.
    :ivar paths: paths of the requests to the configuration service.
    """

    def __init__(self):
        self.documents = {}
        self.revision = 0
        self.hosts = []
        self.is_down = False
        self.reads = 0
        self.paths = []
        self._changed = asyncio.Condition()

    async def start(self):
        app = web.Application(middlewares=[self._count])
        app.add_routes(
            [
                web.get("/v1/documents", self._list),
                web.get("/v1/documents/{name}", self._read),
                web.get("/v1/watch", self._watch),
                web.get("/v1/hosts", self._hosts),
            ]
        )
        self._runner = await start_listener(app, "127.0.0.1:0")
        self.address = "{}:{}".format(*self._runner.addresses[0])

    async def stop(self):
        await self._runner.cleanup()

    async def put(self, name, text, revision=None):
        async with self._changed:
            self.revision = revision or self.revision + 1
            self.documents[name] = (self.revision, text)
            self._changed.notify_all()

    @web.middleware
    async def _count(self, request, handler):
        if request.path != "/v1/hosts":
            self.reads += 1
            self.paths.append(request.path)
            if self.is_down:
                raise web.HTTPServiceUnavailable
        return await handler(request)

    def _changes(self, after):
        return {n: r for n, (r, _) in self.documents.items() if r > after}

    async def _list(self, request):
        return web.json_response(
            {"revision": self.revision, "documents": self._changes(-1)}
        )

    async def _read(self, request):
        name = request.match_info["name"]
        revision, text = self.documents[name]
        return web.json_response({"name": name, "revision": revision, "text": text})

    async def _watch(self, request):
        after = int(request.query["after"])
        timeout = int(request.query["timeout_ms"]) / 1000
        async with self._changed:
            try:
                async with asyncio.timeout(timeout):
                    await self._changed.wait_for(lambda: self._changes(after))
            except TimeoutError:
                pass
        body = {"revision": self.revision, "changed": self._changes(after)}
        return web.json_response(body)

    async def _hosts(self, request):
        return web.json_response({"hosts": self.hosts, "leaving_upstreams": []})


class Fleet:
    """Daemons with the fake services that they read; stops all of them at its end."""

    def __init__(self):
        self.services = FakeServices()
        self.daemons = {}
        self.logs = {}
        self._reserved = contextlib.ExitStack()

    def reserve_address(self):
        """Return an address that nobody else gets before the end of the fleet."""
        reserved = self._reserved.enter_context(reserve_port())
        return f"127.0.0.1:{reserved.getsockname()[1]}"

    async def __aenter__(self):
        await self.services.start()
        return self

    async def __aexit__(self, *_):
        for daemon in self.daemons.values():
            if not daemon.stopped.is_set():
                await daemon._stop()
        await self.services.stop()
        self._reserved.close()

    def list_host(self, number, domain):
        host = Host(
            f"{domain}-{number}",
            domain,
            self.reserve_address(),
            self.reserve_address(),
        )
        self.services.hosts.append(
            {
                "host_id": host.host_id,
                "failure_domain": domain,
                "callers_address": host.callers_address,
                "peers_address": host.peers_address,
                "state": "live",
            }
        )
        return host

    def make_daemon(self, host, mechanisms=Mechanisms(), **options):  # noqa: B008
        log = self.logs[host.host_id] = RecordingLog()
        settings = DaemonSettings(
            host=host,
            fleet_token=TOKEN,
            configuration_service=options.pop("service", self.services.address),
            host_list=self.services.address,
            limits=LimitSettings(entry_hosts_valid_ms=300),
        )
        daemon = Daemon(
            settings,
            mechanisms,
            log=log,
            make_roles=build_no_roles,
            **options,
        )
        self.daemons[host.host_id] = daemon
        return daemon

    async def start(self, per_domain, domains=DOMAINS):
        hosts = [self.list_host(n, d) for d in domains for n in range(per_domain)]
        daemons = [self.make_daemon(host) for host in hosts]
        await asyncio.gather(*(daemon.start() for daemon in daemons))
        return daemons


async def wait_until(condition, seconds=8.0):
    """Poll a condition until it holds.

    :param condition: called until it returns a true value.
    :param seconds: time after which the wait fails.
    :returns: time waited.
    :raises AssertionError: if the condition does not hold in time.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise AssertionError("the condition stayed false")
        await asyncio.sleep(0.02)
    return timedelta(seconds=time.monotonic() - started)


async def wait_until_ready(daemons):
    """Wait until all daemons have their first complete configuration."""
    await wait_until(lambda: all(daemon.ready.is_set() for daemon in daemons))
