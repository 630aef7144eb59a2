"""Creates the components of a daemon, starts them and stops them."""

import asyncio
import random as random_module
import secrets
import signal
from datetime import timedelta
from enum import StrEnum
from typing import Any

from aiohttp import web
from aioprometheus import Registry

from celeryferry_core.decisions.fleet import StateChanged, StopTimedOut
from celeryferry_core.documents import parse_document
from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import DocumentsReply, DocumentsRequest
from celeryferry_core.models.settings import DaemonSettings
from celeryferry_core.models.status import DaemonStatus
from celeryferry_core.ports import DecisionLog, PeerClient
from celeryferry_daemon._internal.caller_middleware import CallerMiddleware
from celeryferry_daemon._internal.clock import SystemClock, to_ms
from celeryferry_daemon._internal.configuration.store import ParseDocument
from celeryferry_daemon._internal.control_plane import ControlPlane
from celeryferry_daemon._internal.entry_hosts import EntryHostsHandler
from celeryferry_daemon._internal.logs import LogbookDecisionLog
from celeryferry_daemon._internal.operator import OperatorHandler
from celeryferry_daemon._internal.peers.client import HttpPeerClient
from celeryferry_daemon._internal.peers.server import (
    MAX_CALLER_CONNECTIONS,
    MAX_PEER_CONNECTIONS,
    ControlRoutes,
    make_peer_app,
    start_listener,
)
from celeryferry_daemon._internal.peers.traffic import TrafficMetrics
from celeryferry_daemon._internal.roles import BuildRoles, DaemonContext, build_roles
from celeryferry_daemon._internal.status import read_status
from celeryferry_daemon._internal.streams import Streams
from celeryferry_daemon._internal.tasks import TaskSet

# Time within which all hosts know that this host is leaving: one probe interval within
# its own cell and two for the gossip between cells, plus a margin for lost probes.
LEAVING_SPREAD_TIME = timedelta(seconds=2)

# Longest wait for running requests during a planned stop. No request has a longer
# deadline.
MAX_REQUEST_TIME = timedelta(seconds=60)
HANDLER_STOP_TIMEOUT = timedelta(seconds=5)
POLL_INTERVAL = timedelta(milliseconds=50)


class DaemonState(StrEnum):
    """Lifecycle state of a daemon; the values appear in the status and the log."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Daemon:
    """One daemon with its listeners and background tasks.

    :param settings: validated settings; port 0 lets the kernel choose a port.
    :param mechanisms: switches that tests use to turn mechanisms off.
    :param peers: client for other daemons; None uses HTTP.
    :param clock: source of time; None uses the clocks of the machine.
    :param random: source of random numbers; None uses the operating system's.
    :param log: receives decisions; None writes them to Logbook.
    :param parse: parses and validates the text of a document; None uses
        ``parse_document``.
    :param make_roles: builds the roles.
    :ivar stopped: set when a planned stop has finished.
    :ivar ready: set when the first configuration is complete.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        mechanisms: Mechanisms = Mechanisms(),  # noqa: B008
        peers: PeerClient | None = None,
        clock: Clock | None = None,
        random: RandomSource | None = None,
        log: DecisionLog | None = None,
        parse: ParseDocument | None = None,
        make_roles: BuildRoles = build_roles,
    ) -> None:
        self.settings = settings
        self.incarnation = secrets.token_hex(8)
        self.state = DaemonState.STARTING
        self.streams = Streams()
        self.registry = Registry()
        self.callers_address = settings.host.callers_address
        self.peers_address = settings.host.peers_address
        self.stopped = asyncio.Event()
        self.ready = asyncio.Event()
        self._mechanisms = mechanisms
        self._clock = clock or SystemClock()
        self._random = random or random_module.SystemRandom()
        self._log = log or LogbookDecisionLog(settings.log_level)
        self._peers = peers or HttpPeerClient(settings.fleet_token)
        self._tasks = TaskSet()
        self._drain_task: asyncio.Task | None = None
        graceful = mechanisms.graceful_stop
        self._stop_timeout = MAX_REQUEST_TIME if graceful else timedelta(0)
        self._runners: list[web.AppRunner] = []
        context = DaemonContext(
            settings=settings,
            incarnation=self.incarnation,
            streams=self.streams,
            peers=self._peers,
            clock=self._clock,
            random=self._random,
            log=self._log,
            registry=self.registry,
            mechanisms=mechanisms,
        )
        self._traffic_metrics = TrafficMetrics(self.registry)
        self.control = ControlPlane(context, parse or parse_document)
        self.caller_middleware = CallerMiddleware()
        self._roles = make_roles(context, self.control.lease_manager, self.control.gate)
        if self._roles.owner is not None:
            self.control.lease_manager.count_in_flight = self._roles.owner.in_flight

    async def start(self) -> None:
        """Bind both listeners and start the background tasks.

        :raises OSError: if an address cannot be bound; everything that was started is
            stopped before the error is raised.
        """
        try:
            await self._start_clients_and_listeners()
        except OSError:
            await self._stop()
            raise
        self.control.start(self._tasks)
        self._tasks.spawn_restarting(self._run_configuration, "configuration")

    async def run(self) -> None:
        """Start the daemon and return when a planned stop has finished.

        SIGTERM and SIGINT start a planned stop.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.begin_drain)
        await self.start()
        await self.stopped.wait()

    def begin_drain(self) -> None:
        """Start a planned stop; further calls do nothing."""
        if self._drain_task is None:
            self._announce_leaving()
            self._drain_task = asyncio.create_task(self._drain(), name="drain")

    async def drain(self) -> None:
        """Run a planned stop, which lets running requests finish."""
        self.begin_drain()
        await self.stopped.wait()

    def read_status(self) -> DaemonStatus:
        """Return the current status."""
        return read_status(self)

    def now(self) -> timedelta:
        """Return the current monotonic time of the daemon's clock."""
        return self._clock.monotonic()

    async def _start_clients_and_listeners(self) -> None:
        await self.control.service.start()
        host = self.settings.host
        # Roles start before the listeners, so that no request reaches a role that has
        # not started.
        await self._roles.call_all("start")
        max_caller_connections = MAX_CALLER_CONNECTIONS
        peer_app = make_peer_app(self.settings.fleet_token, self._list_peer_routes())
        self.peers_address = await self._listen(peer_app, host.peers_address)
        self.callers_address = await self._listen(
            self._make_callers_app(), host.callers_address, max_caller_connections
        )

    async def _listen(
        self,
        app: web.Application,
        address: str,
        max_connections: int = MAX_PEER_CONNECTIONS,
    ) -> str:
        timeout = min(self._stop_timeout, HANDLER_STOP_TIMEOUT)
        runner = await start_listener(app, address, timeout, max_connections)
        self._runners.append(runner)
        ip, port = runner.addresses[0][:2]
        return f"{ip}:{port}"

    def _make_callers_app(self) -> web.Application:
        limits = self.settings.limits
        app = web.Application(
            client_max_size=limits.body_bytes,
            middlewares=[self.caller_middleware.make_middleware()],
        )
        entry_hosts = EntryHostsHandler(
            self.settings.host, limits, self.streams, self._random
        )
        app.add_routes(entry_hosts.caller_routes())
        app.add_routes(self._roles.list_routes("caller_routes"))
        return app

    def _list_peer_routes(self) -> list[web.RouteDef]:
        control = ControlRoutes(
            self.control.prober.answer_probe,
            self._answer_documents,
            self.registry,
            self._update_metrics,
        )
        operator = OperatorHandler(self.read_status, self.begin_drain, self._explain)
        routes = control.routes() + operator.peer_routes()
        return routes + self._roles.list_routes("peer_routes")

    def _update_metrics(self) -> None:
        self.control.metrics.update(self.read_status())
        if isinstance(self._peers, HttpPeerClient):
            self._traffic_metrics.update(self._peers.traffic)

    def _answer_documents(self, request: DocumentsRequest) -> DocumentsReply | None:
        return (
            self.control.store.answer_request(request) if self.ready.is_set() else None
        )

    def _explain(self, application: str) -> Any:
        services = self.streams.configuration.value.list_services(application)
        if not services or self._roles.front is None:
            return None
        return self._roles.front.explain(application)

    async def _run_configuration(self) -> None:
        control = self.control
        await control.start_up()
        self.ready.set()
        control.table.has_configuration = True
        control.gate.is_open = True
        self.caller_middleware.is_serving = True
        if self.state is DaemonState.STARTING:
            self._change_state(DaemonState.SERVING)
        control.prober.refresh()
        control.prober.request_round()
        await control.configuration_manager.run()

    async def _stop_roles(self) -> None:
        try:
            async with asyncio.timeout(self._stop_timeout.total_seconds()):
                await self._roles.call_all("stop")
        except TimeoutError:
            self._log.record(StopTimedOut(to_ms(self._stop_timeout)))

    def _change_state(self, state: DaemonState) -> None:
        self.state = state
        self._log.record(StateChanged(state.value))

    def _announce_leaving(self) -> None:
        self.control.table.is_leaving = True
        self.caller_middleware.is_leaving = True
        self._change_state(DaemonState.LEAVING)
        self.control.prober.refresh()
        self.control.prober.request_round()

    async def _drain(self) -> None:
        if self._mechanisms.graceful_stop and self.ready.is_set():
            validity = self.settings.limits.entry_hosts_validity
            await asyncio.sleep((validity + LEAVING_SPREAD_TIME).total_seconds())
            await self._wait_until_idle()
        await self._stop()

    async def _wait_until_idle(self) -> None:
        deadline = self._clock.monotonic() + MAX_REQUEST_TIME
        while self._clock.monotonic() < deadline:
            if (
                not self.caller_middleware.in_flight
                and not self.control.lease_manager.has_grants()
            ):
                return
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def _stop(self) -> None:
        # The peer listener is bound first and closed last, because the fronts of other
        # hosts still wait for answers to the work that the owner role is completing.
        for runner in reversed(self._runners[1:]):
            await runner.cleanup()
        await self._stop_roles()
        for runner in self._runners[:1]:
            await runner.cleanup()
        await self._tasks.stop()
        await self.control.stop()
        if hasattr(self._peers, "close"):
            await self._peers.close()
        self._change_state(DaemonState.STOPPED)
        self.stopped.set()
