"""One failure domain of hosts on simulated time that follow a restorable source."""

import asyncio
from collections.abc import Iterable, Sequence
from datetime import timedelta
from enum import StrEnum

import msgspec

from celeryferry_core.forwarding.models import Upstream
from celeryferry_daemon._internal.forwarding.link_messages import Tick
from celeryferry_daemon._internal.forwarding.peers import SETTLE_TIME
from tests.daemon.restorable_source import (
    CONFIGURATION_KEY,
    DOMAIN_PREFIX,
    UPSTREAM_PREFIX,
    RestorableSource,
    State,
    WatchEnd,
    decode_item,
)
from tests.daemon.restore_hosts import LINK_LATENCY, RANKS, RELAYS, FleetLink, Host
from tests.daemon.simulated_loop import SimulatedClock, SimulatedLoop

LINKS = tuple((host, relay) for host in RANKS for relay in RELAYS if host != relay)
CHECK_INTERVAL = timedelta(milliseconds=50)
# Longest time after which contents flow again on links that were cut or late.
UNDISTURBED_TIME = timedelta(seconds=6)
# Time from the return of the source until all of it is in force: a watch that hangs, a
# retry and a listing, the last deletion of the source, and the holding time.
CONVERGENCE_TIME = timedelta(seconds=14)


class FleetChange(StrEnum):
    """What operators and upstreams change."""

    PUBLISH = "publish"
    SWITCH_DOMAIN = "switch_domain"
    START = "start"
    START_COLD = "start_cold"
    BECOME_COLD = "become_cold"
    DRAIN = "drain"
    END = "end"


class Fleet:
    """Two relays and two members, what operators and upstreams want, and the source.

    :ivar violations: what must not happen and did.
    """

    def __init__(self) -> None:
        self.loop = SimulatedLoop()
        asyncio.set_event_loop(self.loop)
        self.loop.set_exception_handler(self._record_exception)
        self.clock = SimulatedClock(self.loop)
        self.source = RestorableSource(self.clock)
        self.violations: list[str] = []
        self.version = 0
        self.domains_out: set[str] = set()
        self.upstreams: dict[str, Upstream] = {}
        self._rewrites: list[asyncio.TimerHandle] = []
        self._disturbed_at = self.clock.monotonic()
        self.links = [
            FleetLink(self, number, *ends) for number, ends in enumerate(LINKS)
        ]
        self.publish()
        self.hosts = {host_id: Host(self, host_id) for host_id in RANKS}
        for link in self.links:
            link.open()
        self.loop.call_soon(self._run_checks)

    def close(self) -> None:
        """End all processes."""
        for host in self.hosts.values():
            host.end()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        asyncio.set_event_loop(None)

    def _record_exception(self, _loop, context) -> None:
        self.violations.append(repr(context.get("exception", context)))

    def _run_checks(self) -> None:
        for host in self.hosts.values():
            host.checker.check()
        self.loop.call_later(CHECK_INTERVAL.total_seconds(), self._run_checks)

    def pass_time(self, duration: timedelta) -> None:
        """Let everything happen that is due within a duration."""
        self.loop.run_until_complete(asyncio.sleep(duration.total_seconds()))
        for host in self.hosts.values():
            host.checker.check()

    # What operators and upstreams want, and how the source learns it.

    def publish(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        self._write(CONFIGURATION_KEY)

    def evacuate(self, domain: str) -> None:
        """Take a domain out of service."""
        if domain not in self.domains_out:
            self.domains_out.add(domain)
            self._write(DOMAIN_PREFIX + domain)

    def take_back(self, domain: str) -> None:
        """Put a domain back into service."""
        if domain in self.domains_out:
            self.domains_out.discard(domain)
            self._write(DOMAIN_PREFIX + domain)

    def change(self, change: "FleetChange", name: str) -> None:
        """Let operators or an upstream change something.

        :param name: id of the upstream, or the domain.
        """
        match change:
            case FleetChange.PUBLISH:
                self.publish()
            case FleetChange.SWITCH_DOMAIN if name in self.domains_out:
                self.take_back(name)
            case FleetChange.SWITCH_DOMAIN:
                self.evacuate(name)
            case FleetChange.START:
                self.start_upstream(name)
            case FleetChange.START_COLD:
                self.start_upstream(name, timedelta(seconds=3))
            case FleetChange.BECOME_COLD:
                self.become_cold(name)
            case FleetChange.DRAIN:
                self.drain(name)
            case FleetChange.END:
                self.end_upstream(name)

    def start_upstream(
        self, instance_id: str, cold_for: timedelta = timedelta(0)
    ) -> None:
        """Start an upstream, also one that has ended before under this id."""
        known = self.upstreams.get(instance_id)
        if known is None:
            now_ms = self.clock.monotonic() // timedelta(milliseconds=1)
            self._state_upstream(
                Upstream(
                    instance_id,
                    "s0",
                    "127.0.0.1:9000",
                    "a",
                    4,
                    cold_for=cold_for,
                    started_ms=now_ms,
                    sequence=1,
                )
            )

    def drain(self, instance_id: str) -> None:
        """Let an upstream report that it drains."""
        if instance_id in self.upstreams:
            self._state_upstream(
                msgspec.structs.replace(
                    self.upstreams[instance_id],
                    is_draining=True,
                    cold_for=timedelta(0),
                )
            )

    def become_cold(self, instance_id: str) -> None:
        """Let an upstream become cold again."""
        known = self.upstreams.get(instance_id)
        if known is not None and not known.is_draining:
            self._state_upstream(
                msgspec.structs.replace(
                    known, cold_for=known.cold_for + timedelta(seconds=1)
                )
            )

    def end_upstream(self, instance_id: str) -> None:
        """Remove an upstream."""
        if self.upstreams.pop(instance_id, None) is not None:
            self._write(UPSTREAM_PREFIX + instance_id)

    def _state_upstream(self, upstream: Upstream) -> None:
        self.upstreams[upstream.instance_id] = upstream
        self._write(UPSTREAM_PREFIX + upstream.instance_id)

    def _is_written(self, key: str) -> bool:
        """Return whether the source holds what is wanted, up to heartbeats."""
        item = self.source.state.items.get(key)
        kind, _, name = key.partition("/")
        if kind + "/" == DOMAIN_PREFIX:
            return (item is not None) == (name in self.domains_out)
        if kind + "/" == UPSTREAM_PREFIX:
            wanted = self.upstreams.get(name)
            if item is None or wanted is None:
                return item is None and wanted is None
            written = decode_item(item).upstream
            return written == msgspec.structs.replace(wanted, sequence=written.sequence)
        return item is not None and int(item.value) == self.version

    def _write(self, key: str) -> None:
        """Write what is wanted, unless the source is away or holds it."""
        if self.source.is_away or self._is_written(key):
            return
        kind, _, name = key.partition("/")
        value: bytes | None = None
        if kind + "/" == DOMAIN_PREFIX:
            value = b"{}" if name in self.domains_out else None
        elif kind + "/" == UPSTREAM_PREFIX:
            if name in self.upstreams:
                upstream = self.upstreams[name]
                # Each write of a process has a higher number than all before.
                upstream = msgspec.structs.replace(
                    upstream, sequence=upstream.sequence + 1
                )
                self.upstreams[name] = upstream
                value = msgspec.json.encode(upstream)
        else:
            value = str(self.version).encode()
        self.source.write(key, value)

    def leave_source(self, watch_end: WatchEnd) -> None:
        """Let the source go away."""
        for timer in self._rewrites:
            timer.cancel()
        self._rewrites.clear()
        self.source.leave(watch_end)

    def return_source(
        self,
        copy: State | None,
        has_history: bool,
        expired_ids: Iterable[str],
        delays: Sequence[timedelta],
    ) -> None:
        """Let the source come back.

        :param copy: what it comes back from, None if it has lost nothing.
        :param has_history: whether the copy can answer watches from before it.
        :param expired_ids: upstreams whose entries expired meanwhile.
        :param delays: times after which the items that are lost are written again.
        """
        if copy is not None:
            self.source.restore(copy, has_history)
        self.source.come_back()
        for instance_id in expired_ids:
            key = UPSTREAM_PREFIX + instance_id
            if key in self.source.state.items:
                self.source.write(key, None)
        keys = {
            CONFIGURATION_KEY,
            *(DOMAIN_PREFIX + domain for domain in self.domains_out),
            *(UPSTREAM_PREFIX + instance_id for instance_id in self.upstreams),
            *self.source.state.items,
        }
        for number, key in enumerate(sorted(keys)):
            if not self._is_written(key):
                delay = delays[number % len(delays)]
                timer = self.loop.call_later(delay.total_seconds(), self._write, key)
                self._rewrites.append(timer)

    # Faults of hosts and links.

    def restart(self, host_id: str) -> None:
        """Kill a process and start it again."""
        self.disturb()
        links = [link for link in self.links if host_id in (link.host, link.relay)]
        was_open = [link for link in links if link.is_open]
        for link in links:
            link.cut()
        self.hosts[host_id].end()
        self.hosts[host_id] = Host(self, host_id)
        for link in was_open:
            self.loop.call_later(0.2, link.open)

    def disturb(self) -> None:
        """Note that contents may be late from now on."""
        self._disturbed_at = self.clock.monotonic()

    def is_undisturbed(self) -> bool:
        """Return whether the links have worked for some time."""
        if not all(link.is_open and link.delay == LINK_LATENCY for link in self.links):
            return False
        return self.clock.monotonic() - self._disturbed_at >= UNDISTURBED_TIME

    def schedule_settling(self, host: Host) -> None:
        """Let a host decide anew whether it reads."""
        self.loop.call_later(SETTLE_TIME.total_seconds(), host.settle)

    def make_tick(self, host: Host) -> Tick:
        """Return the tick of a host."""
        return Tick({host.follower.source.name: host.shared.make_status()})

    def send_tick(self, host: Host, sends_to_all: bool) -> None:
        """Send a tick to the members, or to all peers."""
        tick = self.make_tick(host)
        for link in self.links:
            if link.relay == host.host_id or (
                sends_to_all and link.host == host.host_id
            ):
                link.send(host.host_id, tick)

    def converge(self) -> None:
        """End all faults, let the stated times pass and compare the hosts."""
        for link in self.links:
            link.delay = LINK_LATENCY
            link.open()
        source = self.source
        source.refused.clear()
        source.has_no_history = False
        source.listing_delay = timedelta(0)
        if source.is_away:
            self.return_source(None, True, (), (timedelta(seconds=2),))
        self.pass_time(CONVERGENCE_TIME)
        state = source.state
        changes = [decode_item(item) for item in state.items.values()]
        upstreams = {
            change.upstream.instance_id: change.upstream
            for change in changes
            if hasattr(change, "upstream")
        }
        for host_id, host in self.hosts.items():
            registry = host.state.registry
            found = {each.instance_id: each for each in registry.list_all()}
            expected = (
                (state.position, host.follower.position, "position"),
                (upstreams, found, "upstreams"),
                (self.domains_out, set(registry.domains_out), "domains out"),
                (self.version, host.state.configuration.version, "configuration"),
                (0, host.state.held_count, "held changes"),
                (0, host.follower.failed_item_count, "failed items"),
            )
            for wanted, actual, name in expected:
                if wanted != actual:
                    self.violations.append(f"{host_id}: {name} {actual}, not {wanted}")
