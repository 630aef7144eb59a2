"""Test harness that runs the owner role with fakes for everything around it."""

import time
import unittest

import aiohttp
import aioprometheus
import msgspec
from aiohttp import web

from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import (
    PartialAnswer,
    RunReply,
    RunRequest,
    Subquery,
    SubqueryBatch,
)
from celeryferry_core.models.topology import (
    Host,
    Preference,
    Replica,
    ServiceDocument,
    Shard,
    UpstreamLimits,
)
from celeryferry_core.models.views import (
    ActiveDocument,
    ConfigurationView,
    DocumentVersion,
    HeldKeys,
    Membership,
)
from celeryferry_daemon._internal.owner import Owner
from celeryferry_daemon._internal.streams import Streams
from tests.daemon.fake_upstreams import SNAPSHOT, FakeUpstream
from tests.daemon.fakes import FakeGate, FakeLeases, ListLog, SystemClock, listen

APPLICATION = "survey-desk"
SERVICE = "survey-desk-01"
DOMAIN = "agadir-a"
KEY = f"{APPLICATION}/0/{DOMAIN}"
HOST = Host("host-1", DOMAIN, "127.0.0.1:1", "127.0.0.1:2")


def make_view(addresses, domains_out=(), version=1, slots=4, connections=80):
    """Return a configuration of one document with one shard.

    :param addresses: address and failure domain of each replica.
    """
    replicas = tuple(Replica(address, domain) for address, domain in addresses)
    document = ServiceDocument(
        version=version,
        application=APPLICATION,
        service=SERVICE,
        team="survey",
        preference=Preference.COVERAGE,
        repeatable=False,
        deadline_ms=1000,
        answer_within_ms=250,
        failure_domains_out=tuple(domains_out),
        upstreams=UpstreamLimits(slots=slots, connections=connections, cold_limit=1),
        shards=(Shard("shard-1", replicas),),
    )
    active = ActiveDocument(document, DocumentVersion(version, version), "")
    return ConfigurationView({SERVICE: active}, str(version))


class OwnerHarness:
    """Runs an owner on a peer listener, with fakes for everything around it.

    :param switches: fields of :class:`Mechanisms`, each False to switch one off.
    """

    def __init__(self, host=HOST, **switches):
        self.host = host
        self.streams = Streams()
        self.leases = FakeLeases()
        self.gate = FakeGate()
        self.log = ListLog()
        self.registry = aioprometheus.Registry()
        self.owner = Owner(
            host,
            self.streams,
            self.leases,
            self.gate,
            SystemClock(),
            self.log,
            self.registry,
            Mechanisms(**switches),
            incarnation="0123456789abcdef",
        )
        self.upstreams = []
        self.runner = self.address = self.session = None

    async def start(self, *addresses, **document):
        """Start the owner, with one replica per address and the key held."""
        self.addresses = [(address, DOMAIN) for address in addresses]
        self.streams.configuration.on_next(make_view(self.addresses, **document))
        self.streams.held_keys.on_next(HeldKeys(frozenset({KEY})))
        app = web.Application()
        app.add_routes(self.owner.peer_routes())
        self.runner, self.address = await listen(app)
        self.session = aiohttp.ClientSession()
        await self.owner.start()
        return self

    async def stop(self):
        await self.session.close()
        await self.owner.stop()
        await self.runner.cleanup()

    def set_leaving(self, *addresses):
        membership = Membership(leaving_upstreams=frozenset(addresses))
        self.streams.membership.on_next(membership)

    def make_batch(self, count=1, timeout=5.0, flush_ms=1000, upstream=None):
        upstream = upstream or self.addresses[0][0]
        return SubqueryBatch(
            query_id="query-1",
            application=APPLICATION,
            snapshot=SNAPSHOT,
            deadline_unix_ms=int((time.time() + timeout) * 1000),
            first_flush_ms=flush_ms,
            query=msgspec.Raw(b'{"text":"mark"}'),
            subqueries=(Subquery(SERVICE, "shard-1", upstream),) * count,
        )

    def post(self, path, message):
        content = msgspec.json.encode(message)
        return self.session.post(f"http://{self.address}{path}", data=content)

    async def search(self, **batch):
        """Send a batch and return the decoded lines of its answer."""
        message = self.make_batch(**batch)
        async with self.post("/peer/v1/subqueries", message) as response:
            lines = (await response.read()).splitlines()
        return [msgspec.json.decode(line, type=PartialAnswer) for line in lines]

    async def search_single(self, **batch):
        """Send a batch of one subquery and return its outcome."""
        lines = await self.search(**batch)
        return lines[-1].entries[0].outcome

    async def warm_up(self, upstream, limit):
        """Send searches until the limit has grown, then reset the upstream's counts."""
        while self.observe().limit < limit:
            await self.search()
        upstream.peak_active = 0
        upstream.executions.clear()

    def observe(self):
        return self.owner.observe(APPLICATION).observations[0]

    def make_run(self, ticket="ticket-1", upstream=None, timeout=5.0):
        return RunRequest(
            ticket=ticket,
            application=APPLICATION,
            service=SERVICE,
            shard="shard-1",
            upstream=upstream or self.addresses[0][0],
            deadline_unix_ms=int((time.time() + timeout) * 1000),
            request=msgspec.Raw(b'{"pay":1}'),
        )

    async def run(self, **request):
        """Send a run request and return its outcome."""
        message = self.make_run(**request)
        async with self.post("/peer/v1/run", message) as response:
            return msgspec.json.decode(await response.read(), type=RunReply).outcome


class OwnerTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a fake upstream and an owner."""

    async def start_owner(self, start=True, document=None, state="ready", **switches):
        self.upstream = await FakeUpstream().start()
        self.upstream.state = state
        self.addAsyncCleanup(self.upstream.stop)
        self.harness = OwnerHarness(**switches)
        await self.harness.start(self.upstream.address, **(document or {}))
        self.addAsyncCleanup(self.harness.stop)
        self.addCleanup(self.upstream.gate.set)
        return self.harness, self.upstream
