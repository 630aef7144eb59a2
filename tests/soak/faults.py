"""Faults of the soak: signals, restarts, outages and what upstreams do and say."""

import asyncio
import random
import time
from collections.abc import Callable
from datetime import timedelta

from celeryferry_standins.platform.fleet import STOP_TIME, PlatformFleet, PlatformHost
from celeryferry_standins.platform.store import StoreCopy
from celeryferry_standins.platform.upstream import PlatformUpstream
from celeryferry_standins.processes import wait_until
from tests.soak.callers import LARGE_COOKIE_BYTES
from tests.soak.history import DRAIN_S, STORE, Drain, History, Span, Version

MAX_GAP_S = 1.2
RESTART_GAP_S = 0.3
# How long after an unplanned fault of a host a lost request is still excused by it.
EXCUSE_TIME_S = 4.0
UPSTREAM_DOWN_S = 0.8
SLOW_WORK_TIME = timedelta(milliseconds=900)
START_TIMEOUT = timedelta(seconds=30)
# Time for which an upstream serves on after it has said that it leaves.
LEAVING_TIME_S = 2.0
# Time for which a drained or removed upstream serves on after the drain time.
MAX_STAY_S = 2.5
COPY_INTERVAL_S = 0.5
# Age of the copy from which a store comes back.
MIN_COPY_AGE_S = 1.0
MAX_COPY_AGE_S = 4.0
MAX_AWAY_S = 1.5
# After the return, what was lost is written again within this time.
MIN_REWRITE_S = 0.5
MAX_REWRITE_S = 1.5
MAX_STALE_S = 3.0
# Hosts read their settings every 2 s, and are paused for up to 2 s.
MOVE_OVERLAP_S = 6.0
MAX_CUT_OFF_S = 1.0
# Upstreams of a service without requests. They start together from time to time, and
# each heartbeat changes their entries while they are cold.
BEAT_INTERVAL_S = 0.15
BEATING_SERVICE = "beating"
BEATING_COUNT = 12
BEATS_PER_START = 30
BEATING_GAP_S = 6.0


def count_starts(host: PlatformHost) -> int:
    """Return how many processes of a host have logged their start."""
    return host.process.read_log().count('"event":"started"')


class Faults:
    """Applies faults in series, which overlap, until it is cancelled.

    :param make_configuration: returns the configuration of a version.
    :param restores_store: whether the store also comes back from copies.
    :ivar history: what was done, for the judge.
    :ivar started_at: monotonic time of the start, in seconds.
    :ivar unplanned: times of the kills and pauses of each host.
    :ivar log: one line for each fault, for a failed run.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        random_source: random.Random,
        make_configuration: Callable[[int], dict],
        restores_store: bool = False,
    ) -> None:
        self._fleet = fleet
        self._random = random_source
        self._make_configuration = make_configuration
        self._restores_store = restores_store
        self._version = 1
        self._publishing = asyncio.Lock()
        self._is_store_busy = False
        self._is_store_moving = False
        self._copies: list[tuple[float, StoreCopy]] = []
        # What was written last, None for a removal, with the time of the write.
        self._writes: dict[str, tuple[float, object]] = {}
        self._busy_hosts: set[str] = set()
        self._busy_upstreams: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self.started_at = time.monotonic()
        self.unplanned: dict[str, list[float]] = {h.name: [] for h in fleet.hosts}
        self.log: list[str] = []
        self.history = History()
        self._record_version(make_configuration(1), self.started_at)

    async def run(self, duration: timedelta) -> None:
        """Start faults for some time, and wait until all of them have ended."""
        faults = (
            *(self.stop_as_planned, self.kill, self.pause, self.reload),
            *(self.lose_store, self.crash_upstream, self.leave, self.ask_for_pause),
            *(self.drain, self.remove, self.slow_down, self.move_store),
            # The rules on configurations need several versions in a run.
            *(2 * (self.change_configuration,)),
            *(2 * (self.restore_store,) if self._restores_store else ()),
        )
        background = [
            asyncio.create_task(task()) for task in (self._keep_copies, self._beat)
        ]
        while time.monotonic() - self.started_at < duration.total_seconds():
            fault = self._random.choice(faults)
            task = asyncio.create_task(fault())
            self._tasks.add(task)
            await asyncio.sleep(self._random.uniform(0.1, MAX_GAP_S))
        await asyncio.gather(*self._tasks)
        for task in background:
            task.cancel()

    def has_excuse(self, host: PlatformHost, sent_at: float, ended_at: float) -> bool:
        """Return whether an unplanned fault of a host excuses a lost request."""
        return any(
            sent_at - EXCUSE_TIME_S <= at <= ended_at
            for at in self.unplanned[host.name]
        )

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self.started_at:7.3f} s  {text}")

    def _take_host(self) -> PlatformHost | None:
        free = [h for h in self._fleet.hosts if h.name not in self._busy_hosts]
        # One host always serves, so that callers have somewhere to go.
        return self._random.choice(free) if len(free) > 1 else None

    async def _with_host(self, name: str, act) -> None:
        host = self._take_host()
        if host is None:
            return
        self._busy_hosts.add(host.name)
        self._note(f"{name} {host.name}")
        try:
            await act(host)
        finally:
            self._busy_hosts.discard(host.name)

    async def stop_as_planned(self) -> None:
        """Send SIGTERM to a host, and start it again after its end."""

        async def act(host: PlatformHost) -> None:
            with self.history.disrupt(host.name):
                host.process.terminate()
                await host.process.wait(2 * STOP_TIME)
                before = await self._start(host)
            await self._wait_for_start(host, before)

        await self._with_host("stop", act)

    async def kill(self) -> None:
        """Kill a host and start it again."""

        async def act(host: PlatformHost) -> None:
            self.unplanned[host.name].append(time.monotonic())
            with self.history.disrupt(host.name):
                host.process.kill()
                before = await self._start(host)
            await self._wait_for_start(host, before)

        await self._with_host("kill", act)

    async def pause(self) -> None:
        """Pause a host for up to two seconds."""

        async def act(host: PlatformHost) -> None:
            self.unplanned[host.name].append(time.monotonic())
            with self.history.disrupt(host.name):
                host.process.pause()
                await asyncio.sleep(self._random.uniform(0.2, 2))
                self.unplanned[host.name].append(time.monotonic())
                host.process.resume()

        await self._with_host("pause", act)

    async def reload(self) -> None:
        """Send SIGHUP to a host."""

        async def act(host: PlatformHost) -> None:
            host.process.reload()

        await self._with_host("reload", act)

    async def _start(self, host: PlatformHost) -> int:
        """Start a host; returns how often it had logged its start before."""
        await asyncio.sleep(RESTART_GAP_S)
        before = count_starts(host)
        self.history.starts.setdefault(host.name, []).append(time.monotonic())
        host.start(self._fleet.folder, self._fleet.settings)
        return before

    async def _wait_for_start(self, host: PlatformHost, before: int) -> None:
        async def has_started() -> bool:
            return count_starts(host) > before

        # SIGHUP ends a process that is not yet able to handle signals.
        await wait_until(has_started, START_TIMEOUT, f"start of {host.name}")

    async def _write(self, key: str, value: object) -> float:
        """Write an item as soon as the store takes it, None to remove it.

        :returns: time of the acknowledgement.
        """
        store = self._fleet.store

        async def takes_writes() -> bool:
            return not (store.is_down or store.is_silent)

        await wait_until(takes_writes, START_TIMEOUT, "return of the store")
        if value is None:
            await store.delete(key)
        else:
            await store.put(key, value)
        written_at = time.monotonic()
        self._writes[key] = (written_at, value)
        return written_at

    async def _register(self, upstream: PlatformUpstream, lifecycle="ready") -> float:
        """Write the entry of an upstream; returns the time of the acknowledgement."""
        entry = upstream.make_entry(lifecycle)
        return await self._write(f"servers/{upstream.instance_id}", entry)

    async def _keep_copies(self) -> None:
        while True:
            self._copies.append((time.monotonic(), self._fleet.store.copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _beat(self) -> None:
        while True:
            for beat in range(BEATS_PER_START):
                instance_id = f"i-{BEATING_SERVICE}-{beat % BEATING_COUNT}"
                upstream = PlatformUpstream(instance_id, BEATING_SERVICE, "za")
                upstream.address = "127.0.0.1:9"
                upstream.cold_time = timedelta(seconds=BEATS_PER_START - beat)
                await self._register(upstream)
                await asyncio.sleep(BEAT_INTERVAL_S)
            await asyncio.sleep(BEATING_GAP_S)

    async def lose_store(self) -> None:
        """Let the store turn all calls away for some time."""
        if self._is_store_busy:
            return
        self._is_store_busy = True
        self._note("store down")
        with self.history.disrupt(STORE):
            await self._fleet.store.go_down()
            await asyncio.sleep(self._random.uniform(0.5, 3))
            self._fleet.store.is_down = False
        self._is_store_busy = False

    async def move_store(self) -> None:
        """Let the store serve at another address, and close the former one later.

        The settings of all hosts name it, some with a signal and some without, and some
        files are cut off for a moment.
        """
        if self._is_store_moving:
            return
        self._is_store_moving = True
        await self._fleet.store.open_address()
        self._note("store moves")
        await asyncio.gather(*map(self._change_settings, self._fleet.hosts))
        await asyncio.sleep(MOVE_OVERLAP_S)
        await self._fleet.store.close_former_addresses()
        self._note("former address of the store closed")
        self._is_store_moving = False

    async def _change_settings(self, host: PlatformHost) -> None:
        folder, settings = self._fleet.folder, self._fleet.settings
        # A process that starts must find the whole file.
        if host.name not in self._busy_hosts and self._random.random() < 0.5:
            host.write_settings(folder, settings, is_cut_off=True)
            await asyncio.sleep(self._random.uniform(0, MAX_CUT_OFF_S))
        host.write_settings(folder, settings)
        if host.name not in self._busy_hosts and self._random.random() < 0.5:
            host.process.reload()

    async def restore_store(self) -> None:
        """Let the store be away, and come back from a copy some seconds old.

        What was lost is written again some time after its return.
        """
        store = self._fleet.store
        now = time.monotonic()
        recent = [
            pair
            for pair in self._copies
            if MIN_COPY_AGE_S <= now - pair[0] <= MAX_COPY_AGE_S
        ]
        if self._is_store_busy or not recent:
            return
        self._is_store_busy = True
        copied_at, copy = self._random.choice(recent)
        is_silent, is_stale = (self._random.random() < 0.5 for _ in range(2))
        with self.history.disrupt(STORE):
            if is_silent:
                store.is_silent = True
            else:
                await store.go_down()
            await asyncio.sleep(self._random.uniform(0.2, MAX_AWAY_S))
            if is_stale:
                store.keep_stale()
            former_revision = store.revision
            await store.restore(copy)
        returned_at = time.monotonic()
        self._copies.clear()
        self._copies.append((returned_at, store.copy()))
        self._note(
            f"store back in era {store.era}, revision {former_revision} to "
            f"{store.revision}, silent {is_silent}, stale {is_stale}"
        )
        await asyncio.sleep(self._random.uniform(MIN_REWRITE_S, MAX_REWRITE_S))
        for key in list(self._writes):
            written_at, value = self._writes[key]
            # The copy and a write of the same moment can't be told apart.
            if copied_at <= written_at < returned_at:
                await self._write(key, value)
        self._note(f"lost writes written again, revision {store.revision}")
        if is_stale:
            await asyncio.sleep(self._random.uniform(0, MAX_STALE_S))
            store.stale_copy = None
        self._is_store_busy = False

    async def change_configuration(self) -> None:
        """Publish the next version of the configuration."""
        async with self._publishing:
            self._version += 1
            configuration = self._make_configuration(self._version)
            published_at = time.monotonic()
            acked_at = await self._write("op/config", configuration)
            self._note(f"version {self._version}")
            self._record_version(configuration, published_at, acked_at)

    def _record_version(
        self, configuration: dict, published_at: float, acked_at: float | None = None
    ) -> None:
        services = {
            route["path_prefix"]: frozenset(route.get("gather") or [route["backend"]])
            for route in configuration["routes"]
        }
        number = configuration["version"]
        version = Version(
            number,
            services,
            published_at,
            acked_at or published_at,
            configuration["limits"]["max_header_bytes"] > LARGE_COOKIE_BYTES,
        )
        self.history.versions.append(version)

    async def _with_upstream(self, name: str, act) -> None:
        busy = {
            each.service
            for each in self._fleet.upstreams
            if each.instance_id in self._busy_upstreams
        }
        # One upstream of a service at a time, so that the others can serve.
        free = [each for each in self._fleet.upstreams if each.service not in busy]
        if not free:
            return
        upstream = self._random.choice(free)
        self._busy_upstreams.add(upstream.instance_id)
        self._note(f"{name} {upstream.instance_id}")
        try:
            await act(upstream)
        finally:
            self._busy_upstreams.discard(upstream.instance_id)

    async def _restart_upstream(self, upstream: PlatformUpstream) -> None:
        await upstream.stop()
        await asyncio.sleep(UPSTREAM_DOWN_S)
        upstream.is_leaving = False
        upstream.started_ms += 1
        await upstream.start()
        await self._register(upstream)

    async def crash_upstream(self) -> None:
        """Stop an upstream without notice and start it again under its id."""
        await self._with_upstream("crash", self._restart_upstream)

    async def leave(self) -> None:
        """Let an upstream say that it leaves, while its entry says ready."""

        async def act(upstream: PlatformUpstream) -> None:
            upstream.is_leaving = True
            await asyncio.sleep(LEAVING_TIME_S)
            await self._restart_upstream(upstream)

        await self._with_upstream("leave", act)

    async def drain(self) -> None:
        """Let an upstream drain by its entry, and start it again."""

        async def act(upstream: PlatformUpstream) -> None:
            await self._end_drained(
                upstream, await self._register(upstream, "draining")
            )

        await self._with_upstream("drain", act)

    async def remove(self) -> None:
        """Let an upstream leave by the removal of its entry, and start it again."""

        async def act(upstream: PlatformUpstream) -> None:
            acked_at = await self._write(f"servers/{upstream.instance_id}", None)
            await self._end_drained(upstream, acked_at)

        await self._with_upstream("remove", act)

    async def _end_drained(self, upstream: PlatformUpstream, acked_at: float) -> None:
        drain = Drain(upstream, Span(acked_at))
        self.history.drains.append(drain)
        await asyncio.sleep(DRAIN_S + self._random.uniform(0.5, MAX_STAY_S))
        drain.span.ended_at = time.monotonic()
        await self._restart_upstream(upstream)

    async def slow_down(self) -> None:
        """Let all upstreams take much longer for some time."""
        self._note("all upstreams slow")
        usual = self._fleet.upstreams[0].work_time
        if usual == SLOW_WORK_TIME:
            return
        for upstream in self._fleet.upstreams:
            upstream.work_time = SLOW_WORK_TIME
        await asyncio.sleep(self._random.uniform(1, 3))
        for upstream in self._fleet.upstreams:
            upstream.work_time = usual

    async def ask_for_pause(self) -> None:
        """Let an upstream turn requests away and ask for a pause."""

        async def act(upstream: PlatformUpstream) -> None:
            upstream.pause = timedelta(seconds=1)
            await asyncio.sleep(1)
            upstream.pause = None

        await self._with_upstream("pause of", act)
