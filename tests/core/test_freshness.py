"""Tests of configuration freshness and of the view of other hosts."""

import unittest
from datetime import timedelta

from celeryferry_core.freshness import MAX_FRESH_AGE, Freshness
from celeryferry_core.membership import LIVENESS_TIMEOUT, MembershipTable
from celeryferry_core.models.messages import CellSummary
from celeryferry_core.models.topology import Host

NOW = timedelta(seconds=50)
SECOND = timedelta(seconds=1)


def make_table():
    hosts = {
        f"{domain}-{number}": Host(f"{domain}-{number}", domain, "c", "p")
        for domain in ("agadir-a", "tiznit-c")
        for number in range(3)
    }
    table = MembershipTable(hosts["agadir-a-0"])
    table.has_configuration = True
    table.replace_host_list(hosts, frozenset())
    return table


class TestFreshness(unittest.TestCase):
    """Guards against new work on a configuration that was replaced elsewhere.

    A host that is partitioned from the configuration service and from most other hosts,
    or that resumes after a pause, misses the newer configuration.
    """

    def test_confirmation_ages_and_ends(self):
        freshness = Freshness()
        self.assertFalse(freshness.is_fresh(NOW))
        freshness.confirm(NOW, SECOND)
        self.assertEqual(freshness.confirmation_age(NOW + SECOND), 2 * SECOND)
        self.assertTrue(freshness.is_fresh(NOW + SECOND))
        self.assertFalse(freshness.is_fresh(NOW + 2 * SECOND))

    def test_older_gossip_does_not_lower_the_age(self):
        freshness = Freshness()
        freshness.confirm(NOW)
        freshness.confirm(NOW, 2 * SECOND)
        self.assertEqual(freshness.confirmation_age(NOW), timedelta(0))

    def test_majority_lasts_until_its_oldest_member_is_too_old(self):
        freshness = Freshness()
        reached = [(NOW, 1), (NOW - SECOND, 2), (NOW - 9 * SECOND, 9)]
        freshness.update_majority(reached, 5)
        self.assertTrue(freshness.is_fresh(NOW))
        self.assertFalse(freshness.is_fresh(NOW - SECOND + MAX_FRESH_AGE))

    def test_half_of_the_hosts_is_no_majority(self):
        freshness = Freshness()
        freshness.update_majority([(NOW, 3)], 6)
        self.assertFalse(freshness.is_fresh(NOW))

    def test_answers_to_requests_from_before_a_pause_do_not_count(self):
        freshness = Freshness()
        freshness.reset(NOW)
        freshness.confirm(NOW - SECOND)
        freshness.update_majority([(NOW - SECOND, 6)], 6)
        self.assertFalse(freshness.is_fresh(NOW))


class TestMembershipTable(unittest.TestCase):
    """Guards against ownership and routing decisions on wrong liveness.

    Wrong liveness comes from old probe answers, from old gossip about other cells, and
    from a minority of a cell that is partitioned from the rest.
    """

    def test_own_cell_is_live_by_probes_and_others_by_the_list(self):
        table = make_table()
        table.record_answer("agadir-a-1", NOW, False, True, True)
        others = {f"tiznit-c-{number}" for number in range(3)}
        expected = others | {"agadir-a-0", "agadir-a-1"}
        self.assertEqual(table.build_view(NOW).live, expected)
        later = table.build_view(NOW + LIVENESS_TIMEOUT).live
        self.assertEqual(later, others | {"agadir-a-0"})

    def test_starting_host_is_not_live_and_leaving_host_is_named(self):
        table = make_table()
        table.record_answer(
            "agadir-a-1", NOW, False, has_configuration=False, has_all_documents=True
        )
        table.record_answer(
            "agadir-a-2",
            NOW,
            is_leaving=True,
            has_configuration=True,
            has_all_documents=True,
        )
        view = table.build_view(NOW)
        self.assertNotIn("agadir-a-1", view.live)
        self.assertEqual(view.leaving, {"agadir-a-2"})

    def test_host_with_a_change_that_is_missing_here_does_not_count_as_reached(self):
        table = make_table()
        for number, covered in ((1, True), (2, False)):
            table.record_answer(f"agadir-a-{number}", NOW, False, True, covered)
        self.assertEqual(table.list_reached_counts(), [(NOW, 1)])

    def test_gossip_names_leaving_hosts_of_other_cells_until_it_is_old(self):
        table = make_table()
        summary = CellSummary("tiznit-c/0", 3, 500, ("tiznit-c-1",), ("tiznit-c-2",))
        table.record_summary(summary, NOW)
        view = table.build_view(NOW)
        self.assertEqual(view.leaving, {"tiznit-c-1"})
        self.assertNotIn("tiznit-c-2", view.live)
        self.assertEqual(table.list_summaries(NOW + SECOND)[1].age_ms, 1500)
        self.assertIn("tiznit-c-2", table.build_view(NOW + MAX_FRESH_AGE).live)

    def test_minority_of_a_cell_cannot_declare_the_rest_unavailable(self):
        table = make_table()
        unavailable = ("tiznit-c-1", "tiznit-c-2")
        table.record_summary(CellSummary("tiznit-c/0", 1, 0, (), unavailable), NOW)
        self.assertIn("tiznit-c-2", table.build_view(NOW).live)
