"""Fixture that runs a front behind a test server with a fake client for owners."""

import asyncio
import random
import unittest
from contextlib import asynccontextmanager
from time import monotonic

import aioprometheus
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from result import Err, Ok

from celeryferry_core.exceptions import PeerFailure
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import ObservationsReply, PartialAnswer
from celeryferry_core.models.settings import LimitSettings
from celeryferry_core.models.views import (
    ActiveDocument,
    ConfigurationView,
    DocumentVersion,
    Membership,
)
from celeryferry_daemon._internal.front import Front
from celeryferry_daemon._internal.streams import Streams
from tests.core.sessions import HOSTS, answer_entry, make_document, observe
from tests.daemon.fakes import FakeGate, ListLog, SystemClock

# Longest wait for a condition.
WAIT_SECONDS = 3.0


class FakePeers:
    """Fake client whose owners answer every subquery, delay it or fail.

    :ivar release: answers wait until this event is set.
    :ivar failure: kind of the failure that owners return, None for answers.
    :ivar error: exception that the client raises, None for none.
    :ivar open_streams: number of streams that are being read.
    :ivar started_count: number of streams that were started.
    :ivar fetch_count: number of requests for observations.
    :ivar asked_at: monotonic times of the requests for an address, by address.
    :ivar attached_addresses: upstreams whose observations the answers contain.
    """

    def __init__(self):
        self.release = asyncio.Event()
        self.release.set()
        self.failure = None
        self.error = None
        self.open_streams = 0
        self.started_count = 0
        self.fetch_count = 0
        self.asked_at = {}
        self.attached_addresses = ()

    async def fetch_observations(self, host, request, timeout):
        self.fetch_count += 1
        for address in request.addresses:
            self.asked_at.setdefault(address, []).append(monotonic())
        domain = host.failure_domain
        seen = tuple(observe(f"{domain}:90{n}", (41,)) for n in range(4))
        return Ok(ObservationsReply(host.host_id, (), seen))

    async def send_subqueries(self, host, batch, timeout):
        self.open_streams += 1
        self.started_count += 1
        try:
            if self.error is not None:
                raise self.error
            if self.failure is not None:
                yield Err(PeerFailure(self.failure, host.host_id, "test"))
                return
            await self.release.wait()
            entries = tuple(answer_entry(subquery) for subquery in batch.subqueries)
            seen = tuple(observe(address, (41,)) for address in self.attached_addresses)
            yield Ok(PartialAnswer(batch.query_id, True, entries, seen))
        finally:
            self.open_streams -= 1


def make_view(*documents):
    """Return a configuration view of documents."""
    return ConfigurationView(
        {
            document.service: ActiveDocument(document, DocumentVersion(1, 1), "")
            for document in documents
        }
    )


class FrontCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that run one front behind a test server."""

    limits = LimitSettings(waiting_requests=4, body_bytes=500)

    async def asyncSetUp(self):
        self.peers, self.gate, self.log = FakePeers(), FakeGate(), ListLog()
        self.streams = Streams()
        self.registry = aioprometheus.Registry()
        once = make_document(3, application="once", repeatable=False)
        view = make_view(make_document(1), make_document(2), once)
        self.streams.configuration.on_next(view)
        self.streams.membership.on_next(Membership(HOSTS, frozenset(HOSTS)))
        self.front = Front(
            HOSTS["a-1"],
            self.limits,
            self.streams,
            self.peers,
            self.gate,
            SystemClock(),
            random.Random(3),
            self.log,
            self.registry,
            Mechanisms(),
        )
        await self.front.start()
        app = web.Application()
        app.add_routes(self.front.caller_routes())
        self.client = TestClient(TestServer(app))
        await self.client.start_server()

    async def asyncTearDown(self):
        self.peers.release.set()
        await self.client.close()
        await self.front.stop()

    @asynccontextmanager
    async def hold_answers(self):
        """Delay every answer of the owners until the block ends."""
        self.peers.release.clear()
        try:
            yield
        finally:
            self.peers.release.set()

    async def search(self, **changes):
        body = {"application": "app", "query": "mark", **changes}
        async with self.client.post("/v1/search", json=body) as response:
            return response.status, await response.json()

    async def assert_error(self, status, kind, ran="no", **changes):
        seen, body = await self.search(**changes)
        error = body["error"]
        self.assertEqual((seen, error["type"], error["ran"]), (status, kind, ran))
        return error
