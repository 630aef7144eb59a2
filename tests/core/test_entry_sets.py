"""Tests of the entry sets: which hosts callers are sent to, for which load."""

import unittest
from datetime import timedelta

from celeryferry_core.forwarding.entry_sets import (
    MAX_ENTRY_HOSTS,
    MIN_ENTRY_HOSTS,
    SETTLING_TIME,
    SHARING_HOLD_TIME,
    SHRINK_DELAY,
    TARGET_UTILISATION,
    EntrySets,
    find_served_domains,
)
from celeryferry_core.forwarding.hosts import HostInfo
from celeryferry_core.forwarding.load import ATTEMPT_TIME, LoadMeter
from celeryferry_core.forwarding.registry import UpstreamRegistry
from celeryferry_standins.fleet_simulation import make_info
from tests.core.forwarding_harness import make_upstream

NOW = timedelta(seconds=100)
SETTLED = NOW + SETTLING_TIME
LARGE = 2.15
SMALL = 0.516


def make_fleet(
    domains: str, large: int = 0, small: int = 0, **changes
) -> dict[str, HostInfo]:
    """Return hosts of several domains by id."""
    hosts = [
        make_info(
            f"{domain}-{number}",
            domain,
            processor_share=LARGE if number < large else SMALL,
            **changes,
        )
        for domain in domains
        for number in range(large + small)
    ]
    return {host.host_id: host for host in hosts}


def choose(live: dict[str, HostInfo], domain: str, served="abc") -> set[str]:
    """Return the ids of the entry set that a settled fleet chooses."""
    sets = EntrySets()
    sets.update(live, frozenset(served), NOW)
    sets.update(live, frozenset(served), SETTLED)
    return {host.host_id for host in sets.choose(domain)}


class TestChoice(unittest.TestCase):
    """Guards against callers that are sent to hosts that serve them badly.

    If callers are spread over hundreds of hosts, each one's connections are cold and
    its observations are old. If they are concentrated on too few, the loss of these
    leaves callers without an address.
    """

    def test_large_fleet_names_few_hosts_and_the_large_ones_first(self):
        chosen = choose(make_fleet("abc", large=3, small=36), "a")
        self.assertEqual(len(chosen), MIN_ENTRY_HOSTS)
        self.assertLessEqual({"a-0", "a-1", "a-2"}, chosen)
        self.assertTrue(all(int(name[2:]) < 3 for name in chosen))

    def test_hosts_with_the_same_table_choose_the_same_set(self):
        fleet = make_fleet("abc", large=3, small=36)
        reordered = dict(reversed(fleet.items()))
        for domain in "abcd":
            self.assertEqual(choose(fleet, domain), choose(reordered, domain))

    def test_equal_hosts_of_the_own_domain_and_one_of_another(self):
        chosen = choose(make_fleet("abc", small=7), "b")
        self.assertEqual(len(chosen), MIN_ENTRY_HOSTS)
        local = {name for name in chosen if name.startswith("b")}
        self.assertEqual(len(local), MIN_ENTRY_HOSTS - 1)

    def test_small_domain_is_filled_up_with_others(self):
        fleet = make_fleet("a", small=1) | make_fleet("b", small=3)
        self.assertEqual(choose(fleet, "a"), set(fleet))

    def test_hosts_that_do_not_serve_are_left_out(self):
        fleet = make_fleet("abc", small=3)
        fleet["a-0"] = make_info("a-0", "a", is_ready=False, processor_share=SMALL)
        fleet["a-1"] = make_info("a-1", "a", is_leaving=True, processor_share=SMALL)
        self.assertFalse({"a-0", "a-1"} & choose(fleet, "a"))

    def test_few_members_change_when_a_host_is_lost(self):
        fleet = make_fleet("abc", small=40)
        before = choose(fleet, "a")
        lost = sorted(before)[0]
        remaining = {name: host for name, host in fleet.items() if name != lost}
        self.assertEqual(len(choose(remaining, "a") & before), MIN_ENTRY_HOSTS - 1)

    def test_unknown_domain_gets_an_answer(self):
        chosen = choose(make_fleet("abc", large=3, small=3), "elsewhere")
        self.assertEqual(len(chosen), MIN_ENTRY_HOSTS)

    def test_no_host_serves(self):
        self.assertEqual(choose(make_fleet("a", small=3, is_ready=False), "a"), set())


class TestDomainsWithoutUpstreams(unittest.TestCase):
    """Guards against answers whose parts all cross domains.

    Pattern: a domain has callers and hosts, but the upstreams of its requests are in
    other domains. Parts of 40 shards take many times the bytes of a merged answer.
    """

    def test_callers_are_sent_to_the_domains_with_upstreams(self):
        chosen = choose(make_fleet("abcde", large=3, small=30), "d")
        self.assertEqual(len(chosen), MIN_ENTRY_HOSTS)
        self.assertTrue(all(name[0] in "abc" for name in chosen))

    def test_own_domain_serves_if_the_others_are_gone(self):
        fleet = make_fleet("d", large=1, small=9)
        self.assertEqual(len(choose(fleet, "d")), MIN_ENTRY_HOSTS)

    def test_served_domains(self):
        registry = UpstreamRegistry()
        services = frozenset(f"s{number}" for number in range(10))
        for service in services:
            for domain in "ab":
                registry.put(make_upstream(service, domain), NOW)
        registry.put(make_upstream("orders", "c"), NOW)
        every = services | {"orders"}
        self.assertEqual(find_served_domains(every, registry), {"a", "b"})
        registry.domains_out = frozenset("b")
        self.assertEqual(find_served_domains(every, registry), {"a"})
        self.assertEqual(find_served_domains(frozenset(), registry), frozenset())


class TestLoad(unittest.TestCase):
    """Guards against sets that are full in a burst, or that never shrink again."""

    def setUp(self):
        self.sets = EntrySets()
        self.now = NOW

    def put(self, load: float, after: timedelta = timedelta(0)) -> int:
        """Return the size of the set with a load in every domain."""
        self.now += after
        fleet = make_fleet("abc", large=0, small=40)
        for domain in "abc":
            fleet[f"{domain}-0"] = make_info(
                f"{domain}-0", domain, load=load, processor_share=SMALL
            )
        self.sets.update(fleet, frozenset("abc"), self.now)
        return len(self.sets.choose("a"))

    def test_set_grows_with_the_load_at_once(self):
        self.assertEqual(self.put(0.1), MIN_ENTRY_HOSTS)
        size = self.put(2.0)
        self.assertGreater(size, MIN_ENTRY_HOSTS)
        chosen = {host.host_id for d in "abc" for host in self.sets.choose(d)}
        self.assertLessEqual(3 * 2.0 / len(chosen), TARGET_UTILISATION * SMALL)

    def test_burst_does_not_overload_the_set_that_it_meets(self):
        """Pattern: 1.7 times the load before the set can grow."""
        self.put(0.5)
        chosen = {host.host_id for d in "abc" for host in self.sets.choose(d)}
        utilisation = 1.7 * 3 * 0.5 / len(chosen) / SMALL
        self.assertLess(utilisation, 2 * TARGET_UTILISATION)

    def test_set_shrinks_only_some_time_after_the_load(self):
        grown = self.put(2.0)
        almost = SHRINK_DELAY - timedelta(seconds=1)
        self.assertEqual(self.put(0.0, almost), grown)
        self.assertEqual(self.put(0.0, timedelta(seconds=2)), MIN_ENTRY_HOSTS)

    def test_answer_is_bounded(self):
        self.assertEqual(self.put(1000.0), MAX_ENTRY_HOSTS)

    def test_load_follows_the_attempts(self):
        meter = LoadMeter(NOW)
        per_second = 1000
        for second in range(1, 9):
            now = NOW + timedelta(seconds=second)
            load = meter.update(second * per_second, now)
        expected = per_second * ATTEMPT_TIME / timedelta(seconds=1)
        self.assertAlmostEqual(load, expected, delta=0.25 * expected)
        for second in range(9, 20):
            load = meter.update(8 * per_second, NOW + timedelta(seconds=second))
        self.assertEqual(load, 0.0)


class TestChanges(unittest.TestCase):
    """Guards against callers without a usable host when many are lost or join."""

    def test_half_of_the_hosts_lost(self):
        """Pattern: half of all hosts are killed together."""
        fleet = make_fleet("abc", large=3, small=30)
        sets = EntrySets()
        sets.update(fleet, frozenset("abc"), NOW)
        lost = {name for name in fleet if int(name[2:]) % 2 == 0}
        for domain in "abc":
            named = {host.host_id for host in sets.choose(domain)}
            self.assertTrue(named - lost)
        remaining = {n: host for n, host in fleet.items() if n not in lost}
        sets.update(remaining, frozenset("abc"), NOW)
        for domain in "abc":
            named = {host.host_id for host in sets.choose(domain)}
            self.assertEqual(len(named), MIN_ENTRY_HOSTS)
            self.assertFalse(named & lost)

    def test_domain_lost(self):
        fleet = make_fleet("abc", large=3, small=30)
        named = choose(fleet, "a")
        self.assertTrue({name for name in named if not name.startswith("a")})
        remaining = {n: host for n, host in fleet.items() if not n.startswith("a")}
        self.assertEqual(len(choose(remaining, "a")), MIN_ENTRY_HOSTS)

    def test_host_that_joins_waits_until_it_has_settled(self):
        """Pattern: a large host restarts, with cold connections and no observations."""
        fleet = make_fleet("abc", large=3, small=30)
        sets = EntrySets()
        served = frozenset("abc")
        sets.update(fleet, served, NOW)
        sets.update(fleet, served, SETTLED)
        restarted = make_info("a-0", "a", started_ms=9_000, processor_share=LARGE)
        changed = fleet | {"a-0": restarted}
        sets.update(changed, served, SETTLED)
        self.assertNotIn("a-0", {host.host_id for host in sets.choose("a")})
        sets.update(changed, served, SETTLED + SETTLING_TIME)
        self.assertIn("a-0", {host.host_id for host in sets.choose("a")})

    def test_fleet_that_starts_together_is_used_at_once(self):
        """Pattern: all hosts were without power and are back."""
        sets = EntrySets()
        sets.update(make_fleet("abc", large=3, small=30), frozenset("abc"), NOW)
        self.assertEqual(len(sets.choose("a")), MIN_ENTRY_HOSTS)

    def test_many_added_hosts_change_nothing_without_load(self):
        """Pattern: add_nodes, three quarters more hosts of the small size."""
        before = choose(make_fleet("abc", large=3, small=30), "b")
        self.assertEqual(choose(make_fleet("abc", large=3, small=55), "b"), before)

    def test_tables_that_differ_agree_mostly(self):
        """Guards against two sets without a common host, from tables that differ."""
        fleet = make_fleet("abc", small=40)
        partial = {n: host for i, (n, host) in enumerate(fleet.items()) if i % 5}
        common = choose(fleet, "c") & choose(partial, "c")
        self.assertGreaterEqual(len(common), MIN_ENTRY_HOSTS // 2)


class TestSharing(unittest.TestCase):
    """Guards against hosts that use the limits of the upstreams more than once."""

    def test_senders_are_the_named_and_the_loaded_hosts(self):
        fleet = make_fleet("abc", large=3, small=30)
        fleet["c-20"] = make_info("c-20", "c", load=0.1, processor_share=SMALL)
        sets = EntrySets()
        sets.update(fleet, frozenset("abc"), NOW)
        named = {host.host_id for d in "abc" for host in sets.choose(d)}
        self.assertEqual(sets.sender_ids, named | {"c-20"})
        self.assertEqual(sets.sharing_count, len(named) + 1)

    def test_cut_off_host_does_not_take_the_whole_limit(self):
        """Pattern: single hosts are cut off from the others but not from upstreams."""
        fleet = make_fleet("abc", large=3, small=30)
        sets = EntrySets()
        sets.update(fleet, frozenset("abc"), NOW)
        count = sets.sharing_count
        alone = {"a-0": fleet["a-0"]}
        sets.update(alone, frozenset("abc"), NOW + timedelta(seconds=5))
        self.assertEqual(sets.sharing_count, count)
        late = NOW + timedelta(seconds=6) + SHARING_HOLD_TIME
        sets.update(alone, frozenset("abc"), late)
        self.assertEqual(sets.sharing_count, 1)
