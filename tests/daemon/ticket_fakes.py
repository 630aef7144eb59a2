"""Entry hosts with a ticket handler that share fake owners."""

import asyncio
import random
import unittest

import aiohttp
import aioprometheus
import msgspec
from aiohttp import web
from result import Err, Ok

from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import RunOnceForward, RunReply, RunRequest
from celeryferry_core.models.outcomes import (
    NotRun,
    RunAnswered,
)
from celeryferry_core.models.settings import LimitSettings
from celeryferry_core.models.topology import Host
from celeryferry_core.models.views import Membership
from celeryferry_daemon._internal.streams import Streams
from celeryferry_daemon._internal.tickets import TicketHandler
from tests.daemon.fakes import FakeGate, ListLog, SystemClock, listen
from tests.daemon.owner_fakes import APPLICATION, make_view

DOMAINS = ("agadir-a", "taroudant-b", "tiznit-c")
HOSTS = tuple(
    Host(f"{domain}-1", domain, "127.0.0.1:1", f"127.0.0.1:{number}")
    for number, domain in enumerate(DOMAINS, 2)
)
ADDRESSES = tuple(
    (f"127.0.0.1:{9001 + number}", domain) for number, domain in enumerate(DOMAINS)
)
RUN_ANSWERED = RunAnswered(msgspec.Raw(b'{"paid":true}'))


class FakePeerClient:
    """Peer client with one fake owner per failure domain.

    :ivar handlers: handlers of the entry hosts by host id, for forwarded requests.
    :ivar outcomes: outcome by failure domain of the owner, ``RUN_ANSWERED`` by
        default; a ``PeerFailureKind`` makes the call fail.
    :ivar executions: tickets in the order in which owners ran them.
    :ivar asked_domains: failure domains of the owners that were called, in order.
    :ivar gate: cleared to hold back the replies of owners.
    """

    def __init__(self):
        self.handlers = {}
        self.outcomes = {}
        self.executions = []
        self.asked_domains = []
        self.forwards = 0
        self.gate = asyncio.Event()
        self.gate.set()

    async def run(self, host, request, timeout):
        request = msgspec.json.decode(msgspec.json.encode(request), type=RunRequest)
        self.asked_domains.append(host.failure_domain)
        outcome = self.outcomes.get(host.failure_domain, RUN_ANSWERED)
        if isinstance(outcome, PeerFailureKind):
            return Err(PeerFailure(outcome, host.host_id, ""))
        if not isinstance(outcome, NotRun):
            self.executions.append(request.ticket)
        await self.gate.wait()
        return Ok(RunReply(request.ticket, outcome))

    async def forward_run_once(self, host, request, timeout):
        self.forwards += 1
        content = msgspec.json.encode(request)
        request = msgspec.json.decode(content, type=RunOnceForward)
        handler = self.handlers.get(host.host_id)
        if handler is None:
            return Err(PeerFailure(PeerFailureKind.NOT_SENT, host.host_id, "gone"))
        return Ok(await handler.run_forwarded(request))


class EntryHost:
    """Entry host with a ticket handler on its caller listener."""

    def __init__(self, host, peers, limits, incarnation, **switches):
        self.log = ListLog()
        self.gate = FakeGate()
        self.streams = Streams()
        self.streams.configuration.on_next(make_view(ADDRESSES))
        hosts = {other.host_id: other for other in HOSTS}
        self.streams.membership.on_next(Membership(hosts, frozenset(hosts)))
        self.handler = TicketHandler(
            host,
            incarnation,
            limits,
            self.streams,
            peers,
            self.gate,
            SystemClock(),
            random.Random(1),
            self.log,
            aioprometheus.Registry(),
            Mechanisms(**switches),
        )

    async def start(self):
        app = web.Application()
        app.add_routes(self.handler.caller_routes())
        app.add_routes(self.handler.peer_routes())
        self.runner, self.address = await listen(app)
        self.session = aiohttp.ClientSession()
        await self.handler.start()

    async def stop(self):
        await self.session.close()
        await self.handler.stop()
        await self.runner.cleanup()

    async def post(self, path, **message):
        url = f"http://{self.address}{path}"
        async with self.session.post(url, json=message) as response:
            return response.status, await response.json()

    async def issue(self):
        _, answer = await self.post("/v1/tickets", application=APPLICATION)
        return answer["ticket"]

    async def run(self, ticket, deadline_ms=5000):
        return await self.post(
            "/v1/run-once", ticket=ticket, request={"pay": 1}, deadline_ms=deadline_ms
        )


class TicketTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts entry hosts that share fake owners."""

    def setUp(self):
        self.peers = FakePeerClient()

    async def start_entry(self, number=0, limits=None, incarnation="abc", **switches):
        entry = EntryHost(
            HOSTS[number],
            self.peers,
            limits or LimitSettings(),
            incarnation,
            **switches,
        )
        await entry.start()
        self.addAsyncCleanup(entry.stop)
        self.peers.handlers[HOSTS[number].host_id] = entry.handler
        return entry

    def assert_error(self, answered, status, kind, ran):
        self.assertEqual(answered[0], status, answered)
        error = answered[1]["error"]
        self.assertEqual((error["type"], error["ran"]), (kind, ran))
