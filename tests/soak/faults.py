"""Faults of the soak: signals, restarts, outages and what upstreams do and say."""

import asyncio
import random
import time
from collections.abc import Callable
from datetime import timedelta

from celeryferry_standins.platform.fleet import STOP_TIME, PlatformFleet, PlatformHost
from celeryferry_standins.platform.upstream import PlatformUpstream
from celeryferry_standins.processes import wait_until

MAX_GAP_S = 1.2
RESTART_GAP_S = 0.3
# How long after an unplanned fault of a host a lost request is still excused by it.
EXCUSE_TIME_S = 4.0
UPSTREAM_DOWN_S = 0.8
SLOW_WORK_TIME = timedelta(milliseconds=900)
START_TIMEOUT = timedelta(seconds=30)
# Time for which an upstream serves on after it has said that it leaves.
LEAVING_TIME_S = 2.0


def count_starts(host: PlatformHost) -> int:
    """Return how many processes of a host have logged their start."""
    return host.process.read_log().count('"event":"started"')


class Faults:
    """Applies faults in series, which overlap, until it is cancelled.

    :param make_configuration: returns the configuration of a version.
    :ivar unplanned: times of the kills and pauses of each host.
    :ivar log: one line for each fault, for a failed run.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        random_source: random.Random,
        make_configuration: Callable[[int], dict],
    ) -> None:
        self._fleet = fleet
        self._random = random_source
        self._make_configuration = make_configuration
        self._version = 1
        self._busy_hosts: set[str] = set()
        self._busy_upstreams: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._started = time.monotonic()
        self.unplanned: dict[str, list[float]] = {h.name: [] for h in fleet.hosts}
        self.log: list[str] = []

    async def run(self, duration: timedelta) -> None:
        """Start faults for some time, and wait until all of them have ended."""
        faults = (
            *(self.stop_as_planned, self.kill, self.pause, self.reload),
            *(self.lose_store, self.crash_upstream, self.leave, self.ask_for_pause),
            *(self.drain, self.slow_down, self.change_configuration),
        )
        while time.monotonic() - self._started < duration.total_seconds():
            fault = self._random.choice(faults)
            task = asyncio.create_task(fault())
            self._tasks.add(task)
            await asyncio.sleep(self._random.uniform(0.1, MAX_GAP_S))
        await asyncio.gather(*self._tasks)

    def has_excuse(self, host: PlatformHost, sent_at: float, ended_at: float) -> bool:
        """Return whether an unplanned fault of a host excuses a lost request."""
        return any(
            sent_at - EXCUSE_TIME_S <= at <= ended_at
            for at in self.unplanned[host.name]
        )

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self._started:7.3f} s  {text}")

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
            host.process.terminate()
            await host.process.wait(2 * STOP_TIME)
            await self._start(host)

        await self._with_host("stop", act)

    async def kill(self) -> None:
        """Kill a host and start it again."""

        async def act(host: PlatformHost) -> None:
            self.unplanned[host.name].append(time.monotonic())
            host.process.kill()
            await self._start(host)

        await self._with_host("kill", act)

    async def pause(self) -> None:
        """Pause a host for up to two seconds."""

        async def act(host: PlatformHost) -> None:
            self.unplanned[host.name].append(time.monotonic())
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

    async def _start(self, host: PlatformHost) -> None:
        await asyncio.sleep(RESTART_GAP_S)
        before = count_starts(host)
        host.start(self._fleet.folder, self._fleet.settings)

        async def has_started() -> bool:
            return count_starts(host) > before

        # SIGHUP ends a process that is not yet able to handle signals.
        await wait_until(has_started, START_TIMEOUT, f"start of {host.name}")

    async def lose_store(self) -> None:
        """Let the store turn all calls away for some time."""
        self._note("store down")
        await self._fleet.store.go_down()
        await asyncio.sleep(self._random.uniform(0.5, 3))
        self._fleet.store.is_down = False

    async def change_configuration(self) -> None:
        """Publish the next version of the configuration."""
        self._version += 1
        self._note(f"version {self._version}")
        configuration = self._make_configuration(self._version)
        await self._fleet.store.put("op/config", configuration)

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
        await self._fleet.register(upstream)

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
            await self._fleet.register(upstream, "draining")
            await asyncio.sleep(LEAVING_TIME_S)
            await self._restart_upstream(upstream)

        await self._with_upstream("drain", act)

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
