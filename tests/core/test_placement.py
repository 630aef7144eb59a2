"""Tests of ownership keys and rendezvous hashing."""

import unittest

from hypothesis import given, seed
from hypothesis import strategies as st

from celeryferry_core.models.topology import Shard
from celeryferry_core.placement import format_key, rank_owners, select_group
from celeryferry_core.rendezvous import rank_hosts


class TestRankHosts(unittest.TestCase):
    """Guards against keys that move to another owner without need.

    Removing a host must move only the keys that it owned.
    """

    def test_removing_a_host_keeps_the_order_of_the_others(self):
        hosts = [f"host-{number}" for number in range(18)]
        ranked = rank_hosts("survey-desk/0/agadir-a", hosts)
        rest = [host for host in hosts if host != ranked[0]]
        self.assertEqual(rank_hosts("survey-desk/0/agadir-a", rest), ranked[1:])


HOSTS = st.sets(st.integers(1, 40), min_size=2, max_size=24).map(
    lambda numbers: [f"agadir-a-{number}" for number in numbers]
)
GROUP_KEYS = [format_key("survey-desk", str(group), "agadir-a") for group in range(2)]


class TestRankOwners(unittest.TestCase):
    """Guards against one host that owns all upstreams of a query.

    It would send all subqueries one after another. This happens if the preferred owners
    of the default groups are ranked independently.
    """

    @seed(20264)
    @given(HOSTS)
    def test_default_groups_go_to_different_hosts(self, hosts):
        owners = {rank_owners(key, hosts)[0] for key in GROUP_KEYS}
        self.assertEqual(len(owners), 2)

    @seed(20265)
    @given(HOSTS, st.integers(0, 1))
    def test_a_lost_host_moves_its_own_groups_only(self, hosts, group):
        first, second = (rank_owners(key, hosts) for key in GROUP_KEYS)
        lost = (first, second)[group][0]
        kept = (second, first)[group]
        remaining = [host for host in kept if host != lost]
        self.assertEqual(remaining[0], kept[0])
        self.assertEqual(sorted(kept), sorted(hosts))

    def test_a_single_host_owns_all_groups(self):
        self.assertEqual({rank_owners(key, ["a"]) for key in GROUP_KEYS}, {("a",)})

    def test_named_groups_rank_by_their_own_hash(self):
        hosts = ["a", "b", "c"]
        key = format_key("survey-desk", "records", "agadir-a")
        self.assertEqual(rank_owners(key, hosts), rank_hosts(key, hosts))


class TestGroupOf(unittest.TestCase):
    """Guards against two owners of one upstream while documents differ.

    Hosts receive a new document at different times. If the group depended on anything
    but the service, they would compute different keys for the same upstream.
    """

    def test_shards_of_a_service_share_a_group(self):
        old = select_group("survey-desk-01", Shard("before", ()))
        new = select_group("survey-desk-01", Shard("after", (), first_snapshot=42))
        self.assertEqual(old, new)

    def test_the_group_in_the_document_takes_precedence(self):
        self.assertEqual(select_group("survey-desk-01", Shard("s", (), group="a")), "a")

    def test_ten_services_form_two_groups(self):
        names = [f"survey-desk-{number:02}" for number in range(1, 11)]
        groups = [select_group(name, Shard(name, ())) for name in names]
        self.assertEqual(len(set(groups)), 2)
