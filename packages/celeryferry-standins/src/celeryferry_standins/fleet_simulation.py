"""Simulated fleet: the decisions of many hosts over links, on a simulated clock."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from celeryferry_core.forwarding.fleet import FleetMember
from celeryferry_core.forwarding.fleet_actions import (
    Action,
    AskSeeds,
    CloseLink,
    OpenLink,
    SendUpdate,
)
from celeryferry_core.forwarding.hosts import (
    HostInfo,
    HostsUpdate,
    HostTable,
    LinkRole,
    RelaysUpdate,
)

TICK_INTERVAL = timedelta(milliseconds=500)
SETTLE_TIME = timedelta(milliseconds=20)
CONNECT_TIMEOUT = timedelta(seconds=1)
TICK_BYTES = 40
_ENCODER = msgspec.json.Encoder()


def make_info(name: str, domain: str, **changes) -> HostInfo:
    """Return the statement of a host that serves callers, with changed fields."""
    fields = {
        "host_id": name,
        "failure_domain": domain,
        "callers_address": f"{name}:80",
        "peers_address": f"{name}:81",
        "started_ms": 1_000,
        "is_ready": True,
    }
    return HostInfo(**(fields | changes))


@dataclass(slots=True)
class SimulatedLink:
    """Link between two hosts; each end has its own number for it."""

    ends: tuple["SimulatedHost", "SimulatedHost"]
    numbers: tuple[int, int]
    is_open: bool = True
    arrivals: list[timedelta] = field(default_factory=lambda: [timedelta(0)] * 2)


class SimulatedHost:
    """One host: its decisions, and its links by number.

    :ivar is_running: False after a kill or a loss of power.
    :ivar paused_until: end of the latest pause of the process.
    :ivar losses: ids of hosts that were once live in its table and then were not.
    """

    def __init__(self, fleet: "SimulatedFleet", info: HostInfo) -> None:
        self.fleet = fleet
        self.info = info
        self.is_running = False
        self.paused_until = timedelta(0)
        self.links: dict[int, tuple[SimulatedLink, int]] = {}
        self.losses: list[str] = []
        self.member: FleetMember | None = None
        self._settles_at: timedelta | None = None
        self._incarnation = 0
        self._tick_count = 0

    def start(self) -> None:
        """Start the process anew."""
        fleet = self.fleet
        self._incarnation += 1
        self.info = msgspec.structs.replace(
            self.info, started_ms=1_000 + fleet.now // timedelta(milliseconds=1)
        )
        self.is_running = True
        self._settles_at = None
        self.member = FleetMember(
            HostTable(self.info), fleet.seeds, fleet.random, fleet.now
        )
        phase = TICK_INTERVAL * fleet.random.random()
        self._call_later(timedelta(0), self._settle)
        self._call_later(phase, self._tick)

    def kill(self) -> None:
        """End the process; its connections are reset."""
        self.is_running = False
        for number in list(self.links):
            self.fleet.end_link(self, number)

    def power_off(self) -> None:
        """Stop without a sign: connections stay open until the others give up."""
        self.is_running = False
        self.links.clear()

    def pause(self, duration: timedelta) -> None:
        """Suspend the process; messages and timers wait."""
        self.paused_until = self.fleet.now + duration

    def leave(self) -> None:
        """Report that the host is stopping."""
        own = self.member.table.own
        changed = msgspec.structs.replace(
            own, is_leaving=True, sequence=own.sequence + 1
        )
        self.execute(self.member.replace_own(changed))
        self._settle()

    @property
    def live_ids(self) -> set[str]:
        """Ids of the hosts that it considers live."""
        return set(self.member.table.live)

    def run_when_awake(self, incarnation: int, call: Callable[[], None]) -> None:
        """Run an event of this process, or delay it to the end of its pause."""
        if not self.is_running or incarnation != self._incarnation:
            return
        if self.fleet.now < self.paused_until:
            delay = self.paused_until - self.fleet.now
            self.fleet.schedule(delay, lambda: self.run_when_awake(incarnation, call))
            return
        call()

    def schedule_settling(self) -> None:
        """Check links and publish soon, once for several events."""
        if self._settles_at is None:
            self._settles_at = self.fleet.now + SETTLE_TIME
            self._call_later(SETTLE_TIME, self._settle)

    def deliver(self, delay: timedelta, call: Callable[[], None]) -> None:
        """Run a call at this host after a delay."""
        self._call_later(delay, call)

    def execute(self, actions: Iterable[Action]) -> None:
        """Carry out actions."""
        for action in actions:
            match action:
                case OpenLink(host, role):
                    self.fleet.connect(self, host, role)
                case CloseLink(link_id):
                    self.fleet.end_link(self, link_id)
                case SendUpdate(link_ids, update):
                    size = len(_ENCODER.encode(update))
                    for link_id in link_ids:
                        self.fleet.send(self, link_id, update, size)
                case AskSeeds(addresses, wants_all):
                    for address in addresses:
                        self.fleet.ask_seed(self, address, wants_all)

    def _call_later(self, delay: timedelta, call: Callable[[], None]) -> None:
        incarnation = self._incarnation
        self.fleet.schedule(delay, lambda: self.run_when_awake(incarnation, call))

    def _settle(self) -> None:
        self._settles_at = None
        now = self.fleet.now
        before = set(self.member.table.live)
        self.execute(self.member.check(now))
        self.execute(self.member.publish(now))
        self.losses += before - set(self.member.table.live)

    def _tick(self) -> None:
        self._settle()
        self._tick_count += 1
        roles = tuple(LinkRole)
        if self._tick_count % 2:
            roles = (LinkRole.FROM_MEMBER,)
        for link_id in self.member.list_links(*roles):
            self.fleet.send(self, link_id, None, TICK_BYTES)
        self._call_later(TICK_INTERVAL, self._tick)


class SimulatedFleet:
    """Hosts, links with a delay, and a clock.

    :param domains: number of hosts by failure domain.
    :param large_count: hosts of each domain that have four times the processor time.
    :ivar is_cut: returns whether two hosts can't reach each other.
    :ivar remote_bytes: bytes of messages sent between domains.
    """

    def __init__(
        self, domains: dict[str, int], seed: int = 1, large_count: int = 2
    ) -> None:
        self.random = random.Random(seed)
        self.now = timedelta(0)
        self.is_cut: Callable[[SimulatedHost, SimulatedHost], bool] = lambda a, b: False
        self.remote_bytes = 0
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self.hosts: dict[str, SimulatedHost] = {}
        for domain, count in domains.items():
            for number in range(count):
                self.add(domain, number, 2.0 if number < large_count else 0.5)
        self.seeds = tuple(f"{domain}-0:81" for domain in list(domains)[:3])

    def add(self, domain: str, number: int, share: float = 0.5) -> SimulatedHost:
        """Add a host that is not started."""
        info = make_info(f"{domain}-{number}", domain, processor_share=share)
        host = self.hosts[info.host_id] = SimulatedHost(self, info)
        return host

    def start_all(self, spread: timedelta = timedelta(milliseconds=300)) -> None:
        """Start all hosts at random times within a span."""
        for host in self.hosts.values():
            self.schedule(spread * self.random.random(), host.start)

    def schedule(self, delay: timedelta, call: Callable[[], None]) -> None:
        """Run a call after a delay."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), call))

    def run_for(self, duration: timedelta) -> None:
        """Run events until a time has passed."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: timedelta) -> timedelta:
        """Run until a condition holds, checked every 50 ms.

        :returns: time that it took, the limit if it does not hold by then.
        """
        start = self.now
        while self.now - start < limit and not condition():
            self.run_for(timedelta(milliseconds=50))
        return self.now - start

    def list_running(self) -> list[SimulatedHost]:
        """Return the running hosts."""
        return [host for host in self.hosts.values() if host.is_running]

    def do_all_know(self, expected: set[str]) -> bool:
        """Return whether every running host considers exactly these hosts live."""
        return all(host.live_ids == expected for host in self.list_running())

    def list_relays(self, domain: str) -> list[SimulatedHost]:
        """Return the relays of a domain."""
        return [
            host
            for host in self.list_running()
            if host.info.failure_domain == domain and host.member.is_relay
        ]

    def connect(self, source: SimulatedHost, info: HostInfo, role: LinkRole) -> None:
        """Open a link, or report the failure."""
        target = self.hosts[info.host_id]
        delay = self._draw_delay()

        def fail():
            source.member.handle_open_failed(info.host_id, self.now)
            source.schedule_settling()

        def accept():
            link = SimulatedLink((source, target), self._draw_numbers())
            own_role = role
            if role is LinkRole.TO_RELAY:
                own_role = LinkRole.FROM_MEMBER
            target.links[link.numbers[1]] = (link, 1)
            # Nothing arrives at the connecting host before the connection itself.
            link.arrivals[1] = self.now + delay
            source.deliver(delay, lambda: finish(link))
            opened = target.member.handle_opened(
                link.numbers[1], own_role, source.member.table.own, False, self.now
            )
            target.execute(opened)
            target.schedule_settling()

        def finish(link: SimulatedLink):
            source.links[link.numbers[0]] = (link, 0)
            if not link.is_open or not target.is_running:
                self.end_link(source, link.numbers[0])
                fail()
                return
            opened = source.member.handle_opened(
                link.numbers[0], role, target.member.table.own, True, self.now
            )
            source.execute(opened)
            source.schedule_settling()

        is_reachable = target.is_running and not self.is_cut(source, target)
        if is_reachable and target.paused_until <= self.now:
            target.deliver(delay, accept)
        else:
            source.deliver(CONNECT_TIMEOUT, fail)

    def end_link(self, host: SimulatedHost, number: int) -> None:
        """Close a link at one end; the other end sees it if it can be reached."""
        entry = host.links.pop(number, None)
        if entry is None:
            return
        link, end = entry
        link.is_open = False
        other, other_number = link.ends[1 - end], link.numbers[1 - end]

        def close():
            other.links.pop(other_number, None)
            other.member.handle_closed(other_number, self.now)
            other.schedule_settling()

        if other_number in other.links and not self.is_cut(host, other):
            other.deliver(self._draw_delay(), close)

    def send(self, host: SimulatedHost, number: int, update, size: int) -> None:
        """Send a message on a link; messages arrive in order.

        :param update: the report, None for a tick.
        """
        entry = host.links.get(number)
        if entry is None:
            return
        link, end = entry
        other, other_number = link.ends[1 - end], link.numbers[1 - end]
        if host.info.failure_domain != other.info.failure_domain:
            self.remote_bytes += size
        arrival = max(self.now + self._draw_delay(), link.arrivals[end])
        link.arrivals[end] = arrival

        def receive():
            if other_number not in other.links:
                return
            if self.is_cut(host, other):
                # Held up until the network works again or the link is given up.
                other.deliver(timedelta(milliseconds=200), receive)
                return
            other.member.table.record_heard(other_number, self.now)
            match update:
                case HostsUpdate():
                    other.member.table.apply(other_number, update, self.now)
                    other.schedule_settling()
                case RelaysUpdate(hosts):
                    other.member.announce(hosts, self.now)
                    other.schedule_settling()

        other.deliver(arrival - self.now, receive)

    def ask_seed(self, host: SimulatedHost, address: str, wants_all: bool) -> None:
        """Ask a seed for relays; nothing happens if it can't be reached."""
        seed = self.hosts.get(address.removesuffix(":81"))
        if seed is None or not seed.is_running or self.is_cut(host, seed):
            return
        own = host.member.table.own

        def receive():
            seed.member.announce((own,), self.now)
            seed.schedule_settling()
            relays = seed.member.list_known_relays(
                own.failure_domain, wants_all, self.now
            )
            if own.failure_domain != seed.info.failure_domain:
                self.remote_bytes += len(_ENCODER.encode((own, relays)))
            host.deliver(self._draw_delay(), lambda: answer(relays))

        def answer(relays: list[HostInfo]):
            host.member.announce(relays, self.now)
            host.schedule_settling()

        seed.deliver(self._draw_delay(), receive)

    def _draw_delay(self) -> timedelta:
        return timedelta(milliseconds=self.random.uniform(0.5, 10.0))

    def _draw_numbers(self) -> tuple[int, int]:
        return next(self._numbers), next(self._numbers)
