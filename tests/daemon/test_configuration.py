"""Tests of the distribution and the freshness of documents."""

import unittest

from celeryferry_core.documents import parse_document
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import DocumentText
from celeryferry_daemon._internal.configuration.store import ConfigurationStore
from celeryferry_daemon._internal.streams import Streams
from tests.daemon.fleet import (
    Fleet,
    RecordingLog,
    make_text,
    wait_until,
    wait_until_ready,
)

NAME = "survey-desk-01"


def get_version(daemon, name=NAME):
    active = daemon.streams.configuration.value.documents.get(name)
    return active and active.version.version


class TestConfigurationStore(unittest.IsolatedAsyncioTestCase):
    """Guards against changes that are undone and against invalid documents.

    An older version that arrives later, a second text with the same version or a text
    that cannot be parsed would replace a valid document.
    """

    def make_store(self, mechanisms=Mechanisms()):  # noqa: B008
        self.log = RecordingLog()
        return ConfigurationStore(Streams(), parse_document, self.log, mechanisms)

    async def offer(self, store, revision, text, name=NAME):
        return await store.offer((DocumentText(name, revision, text),), "test")

    async def test_older_version_is_rejected(self):
        for mechanisms, expected in (
            (Mechanisms(), 3),
            (Mechanisms(version_order=False), 2),
        ):
            store = self.make_store(mechanisms)
            await self.offer(store, 5, make_text(3))
            await self.offer(store, 6, make_text(2))
            self.assertEqual(store.active[NAME].version.version, expected)

    async def test_second_write_of_a_version_is_rejected_with_advice(self):
        store = self.make_store()
        await self.offer(store, 5, make_text(3))
        await self.offer(store, 9, make_text(3, out=["agadir-a"]))
        self.assertEqual(store.active[NAME].version.revision, 5)
        self.assertIn("raise version", store.rejected[NAME].reason)

    async def test_invalid_document_leaves_the_last_valid_one_in_force(self):
        store = self.make_store()
        await self.offer(store, 1, make_text(1))
        await self.offer(store, 2, "{")
        self.assertEqual(store.active[NAME].version.version, 1)
        self.assertIn("1", store.rejected[NAME].reason)
        await self.offer(store, 3, make_text(2))
        self.assertEqual(store.rejected, {})

    async def test_name_must_match_the_service(self):
        store = self.make_store()
        await self.offer(store, 1, make_text(1), name="other-01")
        self.assertEqual(store.active, {})

    async def test_large_document_does_not_stop_the_event_loop(self):
        store = self.make_store()
        text = make_text(1) + "# padding\n" * 10_000
        self.assertEqual(await self.offer(store, 1, text), 1)


class TestDistribution(unittest.IsolatedAsyncioTestCase):
    """Guards against hosts that keep an old configuration or return to one.

    A change is missed when the watchers of a failure domain stop. A host that starts
    while the configuration service has lost revisions would activate old documents if
    it did not ask its peers first.
    """

    async def test_change_reaches_all_hosts_while_a_watcher_is_stopped(self):
        async with Fleet() as fleet:
            await fleet.services.put(NAME, make_text(1))
            daemons = await fleet.start(3, ("agadir-a", "tiznit-c"))
            await wait_until(lambda: {get_version(d) for d in daemons} == {1})
            await wait_until(
                lambda: (
                    sum(d.control.configuration_manager.watching for d in daemons) == 4
                )
            )
            watchers = [d for d in daemons if d.control.configuration_manager.watching]
            for watcher in watchers[:2]:
                await watcher._stop()
            await fleet.services.put(NAME, make_text(2))
            rest = [d for d in daemons if d not in watchers[:2]]
            await wait_until(lambda: {get_version(d) for d in rest} == {2}, 5.0)

    async def test_starting_host_does_not_trust_a_stale_service(self):
        for mechanisms, expected in (
            (Mechanisms(), {2}),
            (Mechanisms(startup_peers=False), {1}),
        ):
            async with Fleet() as fleet:
                await fleet.services.put(NAME, make_text(2), revision=7)
                daemons = await fleet.start(2, ("agadir-a", "tiznit-c"))
                await wait_until_ready(daemons)
                await fleet.services.put(NAME, make_text(1), revision=3)
                late = fleet.make_daemon(fleet.list_host(9, "agadir-a"), mechanisms)
                seen = []
                late.streams.configuration.subscribe(
                    lambda view, seen=seen: seen.append(view.documents.get(NAME))
                )
                await late.start()
                await wait_until(late.ready.is_set)
                versions = {active.version.version for active in seen if active}
                self.assertTrue(expected <= versions, versions)
                self.assertEqual(min(versions), min(expected))

    async def test_host_starts_from_peers_while_the_service_is_down(self):
        async with Fleet() as fleet:
            await fleet.services.put(NAME, make_text(1))
            daemons = await fleet.start(4, ("agadir-a",))
            await wait_until_ready(daemons)
            fleet.services.is_down = True
            late = fleet.make_daemon(fleet.list_host(9, "agadir-a"))
            await late.start()
            await wait_until(late.ready.is_set)
            self.assertEqual(get_version(late), 1)
            self.assertTrue(fleet.logs["agadir-a-9"].list_names())

    async def test_documents_pulled_from_peers_are_not_read_again(self):
        names = [f"survey-desk-{number:02}" for number in range(1, 6)]
        async with Fleet() as fleet:
            for name in names:
                await fleet.services.put(name, make_text(1, name))
            daemons = await fleet.start(4, ("agadir-a",))
            await wait_until_ready(daemons)
            late = fleet.make_daemon(fleet.list_host(9, "agadir-a"))
            fleet.services.is_down = True
            await late.start()
            await wait_until(late.ready.is_set)
            fleet.services.is_down = False
            paths = fleet.services.paths
            paths.clear()
            self.assertTrue(await late.control.configuration_manager.read_service())
            self.assertEqual([path for path in paths if path.count("/") > 2], [])

    async def test_start_without_reachable_peers_is_logged(self):
        async with Fleet() as fleet:
            await fleet.services.put(NAME, make_text(1))
            fleet.list_host(1, "agadir-a")
            daemon = fleet.make_daemon(fleet.list_host(0, "agadir-a"))
            await daemon.start()
            await wait_until(daemon.ready.is_set)
            self.assertIn("StartupWithoutPeers", fleet.logs["agadir-a-0"].list_names())


class TestFreshnessGate(unittest.IsolatedAsyncioTestCase):
    """Guards against new work on a configuration that may be out of date.

    A host that reaches neither the configuration service nor a majority of the hosts
    cannot know of changes, and a service that lost revisions cannot confirm them.
    """

    async def test_minority_without_service_starts_no_work(self):
        for mechanisms, expected in (
            (Mechanisms(), False),
            (Mechanisms(freshness_gate=False), True),
        ):
            async with Fleet() as fleet:
                await fleet.services.put(NAME, make_text(1))
                fleet.list_host(1, "agadir-a")
                fleet.list_host(2, "agadir-a")
                daemon = fleet.make_daemon(fleet.list_host(0, "agadir-a"), mechanisms)
                await daemon.start()
                await wait_until(daemon.control.gate.may_act)
                fleet.services.is_down = True
                if expected:
                    age = lambda d=daemon: d.read_status().service_age_ms or 0  # noqa: E731
                    await wait_until(lambda age=age: age() > 3500, 5.0)
                    self.assertTrue(daemon.control.gate.may_act())
                    continue
                await wait_until(lambda d=daemon: not d.control.gate.may_act(), 5.0)

    async def test_stale_service_does_not_confirm_the_configuration(self):
        async with Fleet() as fleet:
            await fleet.services.put(NAME, make_text(2), revision=7)
            fleet.list_host(1, "agadir-a")
            fleet.list_host(2, "agadir-a")
            daemon = fleet.make_daemon(fleet.list_host(0, "agadir-a"))
            await daemon.start()
            await wait_until(daemon.control.gate.may_act)
            await fleet.services.put(NAME, make_text(1), revision=3)
            await wait_until(lambda: not daemon.control.gate.may_act(), 6.0)
            self.assertEqual(get_version(daemon), 2)

    async def test_majority_without_service_continues(self):
        async with Fleet() as fleet:
            await fleet.services.put(NAME, make_text(1))
            daemons = await fleet.start(2, ("agadir-a", "tiznit-c"))
            await wait_until_ready(daemons)
            fleet.services.is_down = True
            ages = lambda: [  # noqa: E731
                d.read_status().service_age_ms or 0 for d in daemons
            ]
            await wait_until(lambda: min(ages()) > 3500, 9.0)
            self.assertTrue(all(d.control.gate.may_act() for d in daemons))


class TestGossip(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that acts on old documents because a peer is fresh.

    A peer with newer documents reports a recent confirmation. It must not count for a
    host that has not yet pulled these documents.
    """

    async def test_age_of_a_peer_with_other_documents_is_ignored(self):
        async with Fleet() as fleet:
            await fleet.services.put(NAME, make_text(1))
            daemons = await fleet.start(1, ("agadir-a",))
            await wait_until(daemons[0].ready.is_set)
            host = fleet.list_host(1, "agadir-a")
            late = fleet.make_daemon(host, service=fleet.reserve_address())
            await late.start()
            await wait_until(late.ready.is_set)
            await wait_until(
                lambda: late.control.freshness.confirmation_age(late.now())
            )
            late.control.prober.on_digest = lambda host, digest: False
            confirmed = late.control.freshness._confirmed_at
            await wait_until(
                lambda: late.control.freshness.confirmation_age(late.now()).seconds >= 1
            )
            self.assertEqual(late.control.freshness._confirmed_at, confirmed)
