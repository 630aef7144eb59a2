"""Tests of hosts whose store comes back from a copy that is some seconds old.

Each class plays one course of events, and its tests judge what callers and upstreams
saw of it.
"""

import asyncio
import tempfile
import time
import unittest
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import aiohttp

from celeryferry_standins.platform.fleet import PlatformFleet, PlatformHost
from celeryferry_standins.platform.upstream import HEALTH_PATH, PlatformUpstream
from celeryferry_standins.processes import wait_until

SERVICES = ("old", "new", "kept")
HOSTS_PER_ZONE = 2
EVACUATED_ZONE = "zc"
PROBE_INTERVAL_S = 0.15
PROBE_DEADLINE_MS = 1000
START_TIMEOUT = timedelta(seconds=20)
# Time in which a fleet that has started chooses who reads the store.
SETTLE_S = 1.5
# The platform's times: a new configuration and a drain are in force after these, and a
# host counts as in touch once the store has been stable for the contact time.
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
CONTACT_S = 4.0
# Probes that are sent after the bound.
JUDGED_S = 1.5
AWAY_S = 1.0
# The platform names "about two seconds".
REWRITTEN_S = 1.5
# Upstreams that have started after the copy was made. Their entries change with each
# heartbeat while they are cold, and are written once after the return.
STARTING_COUNT = 12
HEARTBEAT_COUNT = 3
# The platform allows 2,000 reads a second to all hosts of a deployment, thus 3.3 to
# each of 600 hosts (design, 11.6) and 20 to the six of these tests. Calm readers need
# less: one watch in 2.4 s each (0.6 of the contact time).
MAX_CALLS_PER_S = 20


def make_configuration(version: int, **services: str) -> dict:
    """Return a configuration with one route to each of some services.

    :param services: service by the first part of the path.
    """
    routes = [
        {
            "name": name,
            "host": "a.example",
            "path_prefix": f"/{name}/",
            "type": "idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "backend": service,
            "attempts": 2,
        }
        for name, service in services.items()
    ]
    backends = [
        {
            "name": name,
            "max_conns": 80,
            "warmup_s": 3.0,
            "warmup_per_s": 4.0,
            "health_check": HEALTH_PATH,
        }
        for name in (*SERVICES, "next")
    ]
    return {"version": version, "routes": routes, "backends": backends}


FIRST_CONFIGURATION = make_configuration(1, moved="old", kept="kept")
SECOND_CONFIGURATION = make_configuration(2, moved="new", kept="kept", added="new")


@dataclass(frozen=True, slots=True)
class Probe:
    """One request and its answer.

    :param sent_at: monotonic time, in seconds.
    :param status: status of the answer, 0 without one.
    :param server: id of the upstream that ran it, empty if none is named.
    """

    host: str
    path: str
    sent_at: float
    status: int
    server: str

    @property
    def service(self) -> str:
        """Service that ran it."""
        return self.server.split("-")[1] if self.server else ""


class RestoreCase(unittest.TestCase):
    """Plays a course of events once for all tests of a class.

    :cvar probes: all requests.
    :cvar in_force_at: time from which what was written is in force on all hosts.
    :cvar acked_at: time at which the store acknowledged the last version.
    :cvar returned_at: time of the store's return.
    """

    probes: list[Probe]
    in_force_at = 0.0
    acked_at = 0.0
    returned_at = 0.0

    @classmethod
    def setUpClass(cls):
        """Play the course of events with a fleet of its own."""
        cls.probes = []
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(cls.run_fleet(Path(folder)))

    @classmethod
    async def run_fleet(cls, folder: Path) -> None:
        """Start a fleet, and play while every host gets requests."""
        cls.fleet = PlatformFleet(folder, SERVICES, hosts_per_zone=HOSTS_PER_ZONE)
        cls.store = cls.fleet.store
        async with aiohttp.ClientSession() as cls.session:
            try:
                await cls.fleet.start(FIRST_CONFIGURATION)
                await wait_until(cls.do_all_serve, START_TIMEOUT, "all hosts serve")
                async with asyncio.TaskGroup() as group:
                    tasks = [
                        group.create_task(cls.probe_host(host))
                        for host in cls.fleet.hosts
                    ]
                    await asyncio.sleep(SETTLE_S)
                    await cls.play()
                    for task in tasks:
                        task.cancel()
            finally:
                await cls.fleet.stop()

    @classmethod
    async def play(cls) -> None:
        """Play the course of events."""
        raise NotImplementedError

    @classmethod
    async def probe_host(cls, host: PlatformHost) -> None:
        """Send requests on all routes to one host until cancelled."""
        while True:
            await asyncio.gather(
                *(cls.probe(host, path) for path in ("/moved/", "/added/", "/kept/"))
            )
            await asyncio.sleep(PROBE_INTERVAL_S)

    @classmethod
    async def probe(cls, host: PlatformHost, path: str) -> Probe:
        """Send one request."""
        sent_at = time.monotonic()
        headers = {
            "Host": "a.example",
            "X-Request-Id": f"{host.name}{path}{sent_at:.6f}",
            "X-Deadline-Ms": str(PROBE_DEADLINE_MS),
        }
        url = f"http://{host.addresses['http']}{path}"
        timeout = aiohttp.ClientTimeout(total=2 * PROBE_DEADLINE_MS / 1000)
        status, server = 0, ""
        try:
            async with cls.session.get(url, headers=headers, timeout=timeout) as answer:
                await answer.read()
                status = answer.status
                server = answer.headers.get("X-Server-Stamp", "").partition(".")[0]
        except (aiohttp.ClientError, TimeoutError):
            pass
        probe = Probe(host.name, path, sent_at, status, server)
        cls.probes.append(probe)
        return probe

    @classmethod
    async def do_all_serve(cls) -> bool:
        """Return whether all hosts serve the first configuration."""
        probes = [
            await cls.probe(host, path)
            for host in cls.fleet.hosts
            for path in ("/moved/", "/kept/")
        ]
        return all(probe.status == 200 for probe in probes)

    @classmethod
    async def lose_changes_since(cls, copy) -> None:
        """Let the store be away for a moment and come back from a copy."""
        cls.store.is_silent = True
        await asyncio.sleep(AWAY_S)
        await cls.store.restore(copy)
        cls.returned_at = time.monotonic()

    @classmethod
    async def write_starting(cls, number: int, heartbeat: int) -> None:
        """Write the entry of an upstream that has started after the copy was made."""
        entry = PlatformUpstream(f"i-next-{number}", "next", "za").make_entry()
        # No route leads to it, so it need not run.
        entry |= {"address": "127.0.0.1:9", "capacity": 4 + heartbeat}
        await cls.store.put(f"servers/i-next-{number}", entry)

    @classmethod
    async def publish_and_remove(cls, removed: PlatformUpstream) -> None:
        """Remove the entry of an upstream, and publish the second configuration."""
        await cls.store.delete(f"servers/{removed.instance_id}")
        await cls.store.put("op/config", SECOND_CONFIGURATION)
        cls.acked_at = time.monotonic()

    @classmethod
    def get_upstream(cls, instance_id: str) -> PlatformUpstream:
        """Return an upstream by its id."""
        return next(r for r in cls.fleet.upstreams if r.instance_id == instance_id)

    def list_probes(self, path: str, after: float) -> list[Probe]:
        """Return the requests on a route that were sent after a time, by all hosts."""
        probes = [p for p in self.probes if p.path == path and p.sent_at > after]
        hosts = {probe.host for probe in probes}
        self.assertEqual(len(hosts), len(self.fleet.hosts), "each host got requests")
        return probes

    def check_second_version(self, after: float) -> None:
        """Check that all hosts run the moved route by the second version.

        :param after: requests that were sent later than that are judged.
        """
        probes = self.list_probes("/moved/", after)
        late = [probe.host for probe in probes if probe.service == "old"]
        self.assertEqual(len(late), 0, f"of {len(probes)}, on {sorted(set(late))}")
        served = {probe.host for probe in probes if probe.service == "new"}
        self.assertEqual(len(served), len(self.fleet.hosts), "each host serves")

    def check_added_route(self, after: float) -> None:
        """Check that no host denies the added route."""
        probes = self.list_probes("/added/", after)
        denied = [probe.host for probe in probes if probe.status == 404]
        self.assertEqual(len(denied), 0, f"of {len(probes)}, on {sorted(set(denied))}")

    def check_no_arrivals(self, upstreams: list[PlatformUpstream], after: float):
        """Check that some upstreams, which had requests before, got none any more."""
        times = [at for upstream in upstreams for _, at in upstream.arrivals]
        self.assertGreater(len(times), 0, "they were used before")
        late = [round(at - after, 3) for at in times if at > after]
        self.assertEqual(len(late), 0, f"{late[:1]} to {late[-1:]} s after the bound")


class TestStoreRestores(RestoreCase):
    """Guards against changes that are lost after the store's return.

    The store is stable for the contact time before the operators publish a version, so
    all hosts are in touch. Its revision is lower than the hosts have seen before. One
    host starts after the return, while reads that may be stale are of the former era.
    """

    @classmethod
    async def play(cls):
        """Lose the entries of upstreams that have started; publish a version."""
        copy = cls.store.copy()
        for heartbeat in range(HEARTBEAT_COUNT):
            for number in range(STARTING_COUNT):
                await cls.write_starting(number, heartbeat)
            await asyncio.sleep(0.4)
        cls.store.keep_stale()
        cls.started = cls.fleet.hosts[-1]
        cls.started.process.kill()
        await cls.lose_changes_since(copy)
        cls.started.start(cls.fleet.folder, cls.fleet.settings)
        calls = cls.store.call_count
        for number in range(STARTING_COUNT):
            await asyncio.sleep(REWRITTEN_S / STARTING_COUNT)
            await cls.write_starting(number, HEARTBEAT_COUNT)
        await asyncio.sleep(CONTACT_S - (time.monotonic() - cls.returned_at))
        cls.removed = cls.get_upstream("i-kept-za")
        await cls.publish_and_remove(cls.removed)
        cls.calls_after_return = cls.store.call_count - calls
        await asyncio.sleep(CONFIG_APPLY_S + JUDGED_S)
        cls.calls_after_version = cls.store.call_count - calls - cls.calls_after_return

    def test_moved_route_is_run_by_the_new_service(self):
        """Guards against a new version that hosts drop, as its revision is lower."""
        self.check_second_version(self.acked_at + CONFIG_APPLY_S)

    def test_added_route_is_known(self):
        """Guards against 404 for a route that was added after the return."""
        self.check_added_route(self.acked_at + CONFIG_APPLY_S)

    def test_started_host_leaves_the_former_era(self):
        """Guards against a host that keeps what a stale read has told it."""
        after = self.acked_at + CONFIG_APPLY_S
        answers = {
            (probe.path, probe.status, probe.service)
            for probe in self.list_probes("/moved/", after)
            + self.list_probes("/added/", after)
            if probe.host == self.started.name
        }
        self.assertEqual(answers, {("/moved/", 200, "new"), ("/added/", 200, "new")})

    def test_removed_upstream_gets_no_request(self):
        """Guards against a removal that hosts drop, as its revision is lower."""
        self.check_no_arrivals([self.removed], self.acked_at + DRAIN_S)

    def test_store_is_not_called_in_a_loop(self):
        """Guards against hosts that read all and get 410 for their watch in turn."""
        rates = (
            self.calls_after_return / CONTACT_S,
            self.calls_after_version / (CONFIG_APPLY_S + JUDGED_S),
        )
        self.assertLessEqual(max(rates), MAX_CALLS_PER_S, "calls a second of all hosts")


class TestRevisionsGivenOutAgain(RestoreCase):
    """Guards against changes that are missed as their revisions were known before.

    The calls that were waiting when the store went away hang, so the hosts call it only
    after its revision has passed the one that they know. A watch from there succeeds,
    but lacks the first changes since the return.
    """

    @classmethod
    async def play(cls):
        """Publish a version right after the return, and write many entries."""
        copy = cls.store.copy()
        for number in range(STARTING_COUNT):
            await cls.write_starting(number, 0)
        await asyncio.sleep(1)
        await cls.lose_changes_since(copy)
        cls.removed = cls.get_upstream("i-kept-za")
        await cls.publish_and_remove(cls.removed)
        for heartbeat in range(HEARTBEAT_COUNT):
            for number in range(STARTING_COUNT):
                await cls.write_starting(number, 1 + heartbeat)
        await asyncio.sleep(CONTACT_S + JUDGED_S)

    def test_moved_route_is_run_by_the_new_service(self):
        """Guards against a version that no host learns of, though all watch on."""
        self.check_second_version(self.returned_at + CONTACT_S)

    def test_added_route_is_known(self):
        """Guards against 404 for a route whose version no host has learned of."""
        self.check_added_route(self.returned_at + CONTACT_S)

    def test_removed_upstream_gets_no_request(self):
        """Guards against a removal that no host learns of."""
        self.check_no_arrivals([self.removed], self.returned_at + CONTACT_S)


class TestLostWrites(RestoreCase):
    """Guards against a return that undoes what was acknowledged and in force.

    The copy is older than a version, an evacuation and a drain. All are written again
    some time after the return, in another order.
    """

    @classmethod
    async def play(cls):
        """Lose a version, an evacuation and a drain; write them again later."""
        evacuation = f"op/evacuate/{EVACUATED_ZONE}"
        cls.draining = cls.get_upstream("i-kept-zb")
        copy = cls.store.copy()
        await cls.store.put("op/config", SECOND_CONFIGURATION)
        await cls.store.put(evacuation, {})
        await cls.fleet.register(cls.draining, "draining")
        await wait_until(cls.is_in_force, START_TIMEOUT, "all changes are in force")
        cls.in_force_at = time.monotonic()
        await cls.lose_changes_since(copy)
        await asyncio.sleep(REWRITTEN_S)
        await cls.fleet.register(cls.draining, "draining")
        await cls.store.put(evacuation, {})
        await cls.store.put("op/config", SECOND_CONFIGURATION)
        await asyncio.sleep(CONTACT_S - REWRITTEN_S)
        cls.taken_back_at = time.monotonic()
        await cls.store.delete(evacuation)
        await asyncio.sleep(CONFIG_APPLY_S)

    @classmethod
    async def is_in_force(cls) -> bool:
        """Return whether the requests of the last half second show all changes."""
        after = time.monotonic() - 0.5
        recent = [probe for probe in cls.probes if probe.sent_at > after]
        return not any(
            probe.service == "old"
            or probe.status == 404
            or probe.server.endswith(EVACUATED_ZONE)
            or probe.server == cls.draining.instance_id
            for probe in recent
        )

    @classmethod
    def list_evacuated(cls) -> list[PlatformUpstream]:
        """Return the upstreams of the evacuated zone."""
        return [r for r in cls.fleet.upstreams if r.zone == EVACUATED_ZONE]

    def test_no_host_runs_by_the_older_version(self):
        """Guards against a configuration that goes back with the store."""
        self.check_second_version(self.in_force_at)
        self.check_added_route(self.in_force_at)

    def test_evacuated_zone_gets_no_request(self):
        """Guards against an evacuation that is undone without its removal."""
        times = [at for r in self.list_evacuated() for _, at in r.arrivals]
        self.assertLess(min(times), self.in_force_at, "it was used before")
        late = [
            round(at - self.returned_at, 3)
            for at in sorted(times)
            if self.in_force_at < at < self.taken_back_at
        ]
        seen = f"{late[:1]} to {late[-1:]} s after the return"
        self.assertEqual(len(late), 0, seen)

    def test_evacuation_is_taken_back(self):
        """Guards against a removal that is ignored after the return."""
        after = self.taken_back_at + CONFIG_APPLY_S / 2
        times = [at for r in self.list_evacuated() for _, at in r.arrivals]
        self.assertTrue(any(at > after for at in times))

    def test_draining_upstream_gets_no_request(self):
        """Guards against the entry of the copy, which says that it is ready."""
        self.check_no_arrivals([self.draining], self.in_force_at)
