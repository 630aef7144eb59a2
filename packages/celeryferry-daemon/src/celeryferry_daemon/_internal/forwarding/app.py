"""The forwarding daemon: creates and stops its components, listeners and tasks."""

import asyncio
import os
import random as random_module
import signal
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import aioprometheus
from aiohttp import web
from multidict import CIMultiDict
from result import Err, Ok, Result

from celeryferry_core.addresses import split_address
from celeryferry_core.forwarding.hosts import HostInfo
from celeryferry_daemon._internal.clock import SystemClock
from celeryferry_daemon._internal.forwarding.callers import CallersHandler
from celeryferry_daemon._internal.forwarding.draining import DrainSchedule
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.health_inquiry import HealthInquiry
from celeryferry_daemon._internal.forwarding.library_messages import (
    log_library_messages,
)
from celeryferry_daemon._internal.forwarding.listener import (
    CallersServer,
    start_callers_listener,
)
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.messages import CallerResponse
from celeryferry_daemon._internal.forwarding.metrics import (
    RequestMetrics,
    SourceMetrics,
    UpstreamMetrics,
)
from celeryferry_daemon._internal.forwarding.peers import PeerNetwork
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import Source, WireFormat
from celeryferry_daemon._internal.forwarding.settings import (
    ForwardingSettings,
    InvalidSettingsError,
    keep_fixed_settings,
)
from celeryferry_daemon._internal.forwarding.state import HostState
from celeryferry_daemon._internal.tasks import TaskSet

# Time for which callers may keep the addresses of entry hosts. Independently of this, a
# failed host stays in the responses until its silence is detected: ``SILENCE_LIMITS``
# of ``celeryferry_core.forwarding.hosts``.
ENTRY_HOSTS_VALIDITY = timedelta(seconds=2)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
HOUSEKEEPING_INTERVAL = timedelta(milliseconds=250)
SETTINGS_RELOAD_INTERVAL = timedelta(seconds=2)
SIGNAL_CAUSE = "signal"
LISTEN_BACKLOG = 512
# Handlers for entry hosts and readiness do not wait, so they end much sooner.
HANDLER_TIMEOUT = timedelta(milliseconds=100)
# Limit on the request bodies of the listener for peers, which are questions to seeds.
# It does not apply to messages on links.
MAX_PEER_BODY_BYTES = 65_536

LoadSettings = Callable[[], Result[ForwardingSettings, InvalidSettingsError]]


class ForwardingDaemon:
    """One daemon process with all its tasks.

    :param sources: publish the upstreams and the configuration of the operators.
    :param wire: encodes and decodes the messages of callers and upstreams.
    :param load_settings: reads the settings again, called regularly and on SIGHUP.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        sources: list[Source],
        wire: WireFormat,
        load_settings: LoadSettings,
    ) -> None:
        self.settings = settings
        self.metrics_registry = aioprometheus.Registry()
        self._wire = wire
        self._load_settings = load_settings
        self._clock = SystemClock()
        self._random = random_module.Random(os.urandom(16))
        self._log = LogWriter(self._clock)
        self._pool = UpstreamPool(self._clock)
        self._state = HostState(
            settings, self._random, self._pool, self._log, self._clock.monotonic()
        )
        self._pool.questions.inquiry = HealthInquiry(
            self._state,
            wire,
            self._clock,
            self._log,
            UpstreamMetrics(self.metrics_registry),
        )
        self._followers = {
            source.name: SourceFollower(
                source, self._state, self._clock, self._random, self._log
            )
            for source in sources
        }
        self._source_metrics = SourceMetrics(self.metrics_registry)
        own = HostInfo(
            host_id=settings.host_id,
            failure_domain=settings.failure_domain,
            callers_address=settings.callers_address,
            peers_address=settings.peers_address,
            started_ms=int(time.time() * 1000),
            processor_share=settings.processor_share,
        )
        self._peers = PeerNetwork(
            own,
            settings.seed_addresses,
            self._followers,
            self._state,
            self._clock,
            self._random,
            self._log,
            lambda: self.is_ready,
        )
        self._callers = CallersHandler(
            self._state,
            self._pool,
            wire,
            self._clock,
            self._random,
            self._log,
            RequestMetrics(self.metrics_registry),
        )
        self._callers_server = CallersServer(
            self._callers,
            self._state.caller_bounds,
            self._clock,
            settings.max_descriptors,
        )
        self._tasks = TaskSet()
        self._servers: list[asyncio.Server] = []
        self._runners: list[web.AppRunner | web.ServerRunner] = []
        # Listeners whose requests are answered at once.
        self._short_runners: list[web.AppRunner] = []
        self._stop_requested = asyncio.Event()
        # Fields of the latest line about settings that can't be used.
        self._rejection: dict[str, Any] = {}

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish running requests and stop."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, SIGNAL_CAUSE)
        self._log.make_non_blocking()
        with log_library_messages(self._log):
            await self._serve()

    async def _serve(self) -> None:
        await self._listen()
        self._log.write("started", settings=self.settings, process_id=os.getpid())
        for follower in self._followers.values():
            self._tasks.spawn_restarting(follower.run, follower.source.name)
        self._tasks.spawn_restarting(self._peers.run, "peers")
        self._tasks.spawn_restarting(self._run_housekeeping, "housekeeping")
        self._tasks.spawn_restarting(self._watch_settings, "settings")
        await self._stop_requested.wait()
        await self._drain()

    @property
    def is_ready(self) -> bool:
        """Whether configuration and all contents are known and no stop is requested."""
        has_state = self._state.configuration is not None
        has_state &= all(follower.has_contents for follower in self._followers.values())
        return has_state and not self._stop_requested.is_set()

    async def _listen(self) -> None:
        settings = self.settings
        readiness = web.Application()
        readiness.add_routes(
            [web.get(self._wire.READINESS_PATH, self._handle_readiness)]
        )
        entry_hosts = web.Application()
        entry_hosts.add_routes(
            [web.get(self._wire.ENTRY_HOSTS_PATH, self._handle_entry_hosts)]
        )
        peers = web.Application(client_max_size=MAX_PEER_BODY_BYTES)
        peers.add_routes(self._peers.make_routes())
        peers.add_routes([web.get("/metrics", self._handle_metrics)])
        await self._start_runner(
            web.AppRunner(peers, access_log=None, auto_decompress=False),
            settings.peers_address,
        )
        callers_runner = await start_callers_listener(
            self._callers_server, settings.callers_address
        )
        self._runners.append(callers_runner)
        for app, address in (
            (entry_hosts, settings.entry_hosts_address),
            (readiness, settings.readiness_address),
        ):
            runner = web.AppRunner(
                app, access_log=None, shutdown_timeout=HANDLER_TIMEOUT.total_seconds()
            )
            await self._start_runner(runner, address)
            self._short_runners.append(runner)

    async def _start_runner(
        self, runner: web.AppRunner | web.ServerRunner, address: str
    ) -> None:
        await runner.setup()
        ip, port = split_address(address)
        site = web.TCPSite(runner, ip, port, backlog=LISTEN_BACKLOG)
        await site.start()
        self._runners.append(runner)

    async def _handle_readiness(self, _request: web.Request) -> web.Response:
        status = web.HTTPOk if self.is_ready else web.HTTPServiceUnavailable
        return web.Response(status=status.status_code)

    async def _handle_entry_hosts(self, request: web.Request) -> web.Response:
        domain = self._wire.read_caller_domain(request.query)
        chosen = self._peers.entry_sets.choose(domain)
        addresses = [host.callers_address for host in chosen]
        if not addresses:
            return web.Response(status=web.HTTPServiceUnavailable.status_code)
        validity = min(ENTRY_HOSTS_VALIDITY, self.settings.max_entry_hosts_validity)
        return _make_response(self._wire.make_entry_hosts_response(addresses, validity))

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        now = self._clock.monotonic()
        for follower in self._followers.values():
            self._source_metrics.update(follower, now)
        accepts = request.headers.getall("Accept", [])
        content, headers = aioprometheus.render(self.metrics_registry, accepts)
        return web.Response(body=content, headers=headers)

    async def _run_housekeeping(self) -> None:
        while True:
            self._state.drop_missing_upstreams(self._clock.monotonic())
            self._state.check_absent_upstreams()
            self._pool.close_expired()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL.total_seconds())

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_RELOAD_INTERVAL.total_seconds())
            self._reload("poll")

    def _reload(self, cause: str) -> None:
        rejection: dict[str, Any] = {}
        match self._load_settings():
            case Ok(read):
                settings, names = keep_fixed_settings(self.settings, read)
                if names:
                    rejection = {"reason": "needs a restart", "names": names}
                if settings != self.settings:
                    self._replace_settings(settings)
                    self._log.write("settings_reloaded", cause=cause, settings=settings)
            case Err(error):
                rejection = {"reason": str(error)}
        # The file is read every two seconds, and may stay as it is.
        if rejection and (cause == SIGNAL_CAUSE or rejection != self._rejection):
            self._log.write("settings_rejected", cause=cause, **rejection)
        self._rejection = rejection

    def _replace_settings(self, settings: ForwardingSettings) -> None:
        """Put settings in force wherever a copy of one is held (design, 10.13)."""
        self.settings = settings
        self._peers.replace_settings(settings)
        self._state.replace_settings(settings)
        self._callers_server.replace_max_descriptors(settings.max_descriptors)
        for follower in self._followers.values():
            follower.replace_settings(settings)

    async def _drain(self) -> None:
        now = self._clock.monotonic()
        schedule = DrainSchedule(now, self.settings.stop_time)
        self._log.write("stopping", running_count=self._callers.running_count)
        self._callers.begin_drain(schedule)
        self._callers_server.begin_drain()
        self._peers.announce_leaving()
        await asyncio.sleep((schedule.listeners_close_at - now).total_seconds())
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
        await self._wait_until(schedule.may_end_reading)
        self._callers_server.end_reading()
        await asyncio.gather(*(runner.cleanup() for runner in self._short_runners))
        await self._wait_until(schedule.may_exit)
        self._log.write("stopped", running_count=self._callers.running_count)
        self._log.flush()
        await self._tasks.stop()
        self._pool.close()

    async def _wait_until(self, condition: Callable[[int, timedelta], bool]) -> None:
        """Wait for a condition on the number of unanswered requests and the time.

        No request is read between its last evaluation and the return.
        """
        while True:
            unanswered_count = self._callers_server.count_unanswered()
            if condition(unanswered_count, self._clock.monotonic()):
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL.total_seconds())


def _make_response(caller_response: CallerResponse) -> web.Response:
    return web.Response(
        status=caller_response.status,
        headers=CIMultiDict(caller_response.headers),
        body=caller_response.body,
    )
