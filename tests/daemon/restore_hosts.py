"""Processes on simulated time that follow a restorable source, and their links."""

import asyncio
import random
from collections import deque
from datetime import timedelta

from celeryferry_core.forwarding.hosts import LinkRole
from celeryferry_core.forwarding.positions import Position
from celeryferry_daemon._internal.forwarding.app import HOUSEKEEPING_INTERVAL
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.link_messages import (
    ENCODER,
    LINK_DECODER,
    ContentsRequest,
    ContentsUpdate,
    LinkMessage,
    Tick,
)
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.peers import TICK_INTERVAL
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import SourceChanges
from celeryferry_daemon._internal.forwarding.sharing import SharedSource
from celeryferry_daemon._internal.forwarding.state import HostState
from tests.daemon.restorable_source import SourceAccess
from tests.daemon.restore_checker import HostChecker
from tests.daemon.simulated_loop import SimulatedClock
from tests.daemon.test_forwarding_sources import make_settings

# Rank among the candidates for relays, by host. The last one is behind those that try
# the source while the relays can't read it.
RANKS = {"relay-1": 0, "relay-2": 1, "member-1": 2, "member-2": 5}
RELAYS = ("relay-1", "relay-2")
PLAIN_MEMBER = "member-2"
# Stated rates: retries follow each other after 100 ms at the earliest, and a lost
# history costs two calls.
CALL_WINDOW = timedelta(seconds=1)
MAX_CALLS = 2 * (CALL_WINDOW // timedelta(milliseconds=100) + 1)
LINK_LATENCY = timedelta(milliseconds=2)


class _Log(LogWriter):
    """Log that notes when the source was restored, and keeps lines for failures."""

    def __init__(self, clock: SimulatedClock) -> None:
        super().__init__(clock)
        self._simulated = clock
        self.restored_at: timedelta | None = None
        self.lines: deque[tuple[timedelta, str, dict]] = deque(maxlen=400)

    def write(self, event, **fields):
        """Keep a line."""
        now = self._simulated.monotonic()
        self.lines.append((now, event, fields))
        if event == "source_restored":
            self.restored_at = now


class Host:
    """One process, without listeners and connections.

    :param fleet: fleet that the process belongs to.
    """

    def __init__(self, fleet, host_id: str) -> None:
        self.fleet = fleet
        self.host_id = host_id
        clock = fleet.clock
        self.log = _Log(clock)
        self.calls: deque[timedelta] = deque()
        self.listing_count = 0
        source_of_random = random.Random(host_id)
        pool = UpstreamPool(clock)
        settings = make_settings(host_id=host_id)
        now = clock.monotonic()
        self.state = HostState(settings, source_of_random, pool, self.log, now)
        access = SourceAccess(fleet.source, host_id, self._record_call)
        self.follower = SourceFollower(
            access, self.state, clock, source_of_random, self.log
        )
        self.shared = SharedSource(self.follower, now)
        self.follower.on_changed = self._push_changes
        self.is_relay = host_id in RELAYS
        self.checker = HostChecker(self)
        self._tasks = [
            fleet.loop.create_task(coroutine)
            for coroutine in (
                self.follower.run(),
                self._run_ticks(),
                self._run_housekeeping(),
            )
        ]
        for task in self._tasks:
            task.add_done_callback(self._record_end)

    def end(self) -> None:
        """Kill the process."""
        for task in self._tasks:
            task.cancel()
        self.fleet.source.cut_calls(self.host_id)

    def _record_end(self, task: asyncio.Task) -> None:
        if not task.cancelled():
            self.fleet.violations.append(f"{self.host_id}: {task.exception()!r}")

    def _record_call(self, is_listing: bool) -> None:
        now = self.fleet.clock.monotonic()
        self.calls.append(now)
        while self.calls[0] <= now - CALL_WINDOW:
            self.calls.popleft()
        if len(self.calls) > MAX_CALLS:
            self.fleet.violations.append(
                f"{self.host_id}: {len(self.calls)} calls within {CALL_WINDOW}"
            )
        self.listing_count += is_listing
        is_plain = self.host_id == PLAIN_MEMBER
        if (
            is_listing
            and is_plain
            and self.listing_count > 1
            and self.fleet.is_undisturbed()
        ):
            self.fleet.violations.append(f"{self.host_id} has listed the source")

    def settle(self) -> None:
        """Decide anew whether this host reads."""
        now = self.fleet.clock.monotonic()
        self.shared.update(self.is_relay, RANKS[self.host_id], now)

    async def _run_ticks(self) -> None:
        number = 0
        while True:
            self.settle()
            self.fleet.send_tick(self, number % 2 == 0)
            number += 1
            await asyncio.sleep(TICK_INTERVAL.total_seconds())

    async def _run_housekeeping(self) -> None:
        while True:
            self.state.drop_missing_upstreams(self.fleet.clock.monotonic())
            self.checker.check()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL.total_seconds())

    def _push_changes(
        self, previous: Position, changes: SourceChanges, is_exact: bool
    ) -> None:
        if previous.is_start:
            self.fleet.schedule_settling(self)
        update = self.shared.make_update(previous, changes, is_exact)
        for link in self.fleet.links:
            if link.relay == self.host_id:
                link.send(self.host_id, update)

    def handle(self, link: "FleetLink", content: bytes) -> None:
        """Handle a message as ``PeerNetwork`` does."""
        now = self.fleet.clock.monotonic()
        role = link.get_role(self.host_id)
        request = None
        match LINK_DECODER.decode(content).unwrap():
            case Tick(sources):
                status = sources[self.follower.source.name]
                request = self.shared.record_status(link.link_id, role, status, now)
            case ContentsUpdate() as update:
                request = self.shared.apply(update)
            case ContentsRequest() as question:
                link.send(self.host_id, self.shared.answer(question))
        if request is not None:
            link.send(self.host_id, request)


class FleetLink:
    """Link from a host to a relay; messages arrive in order, or not at all.

    :ivar delay: time for which messages are on their way.
    """

    def __init__(self, fleet, link_id: int, host: str, relay: str) -> None:
        self.fleet = fleet
        self.link_id = link_id
        self.host = host
        self.relay = relay
        self.is_open = False
        self.delay = LINK_LATENCY
        self._generation = 0
        self._arrivals: dict[str, float] = {}

    def get_role(self, host_id: str) -> LinkRole:
        """Return what the link is for, as a host sees it."""
        return LinkRole.TO_RELAY if host_id == self.host else LinkRole.FROM_MEMBER

    def send(self, sender_id: str, message: LinkMessage) -> None:
        """Send a message to the other end."""
        if not self.is_open:
            return
        receiver = self.relay if sender_id == self.host else self.host
        loop = self.fleet.loop
        at = loop.time() + self.delay.total_seconds()
        at = max(at, self._arrivals.get(receiver, 0.0) + 1e-6)
        self._arrivals[receiver] = at
        content = ENCODER.encode(message)
        loop.call_at(at, self._deliver, self._generation, receiver, content)

    def _deliver(self, generation: int, receiver: str, content: bytes) -> None:
        if generation == self._generation:
            host = self.fleet.hosts[receiver]
            host.handle(self, content)
            host.checker.check()

    def cut(self) -> None:
        """End the link; what is on its way is lost."""
        if self.is_open:
            self.is_open = False
            self._generation += 1
            for host_id in (self.host, self.relay):
                host = self.fleet.hosts[host_id]
                host.shared.drop_link(self.link_id)
                self.fleet.schedule_settling(host)

    def open(self) -> None:
        """Open the link again."""
        if not self.is_open:
            self.is_open = True
            for host_id in (self.host, self.relay):
                host = self.fleet.hosts[host_id]
                self.send(host_id, self.fleet.make_tick(host))
                self.fleet.schedule_settling(host)
