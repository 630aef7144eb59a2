"""Tests of the choice of the entry hosts that are named to a caller."""

import random
import unittest

from celeryferry_core.entry_hosts import choose_entry_hosts
from celeryferry_core.freshness import MAX_FRESH_AGE
from celeryferry_core.models.messages import CellSummary
from tests.core.test_freshness import NOW, make_table


class TestEntryHosts(unittest.TestCase):
    """Guards against callers that are sent to hosts that have stopped.

    All hosts of a cell stop, so its summaries cease, and after ``FRESH_TIME`` the cell
    counts as silent. Its hosts must not be named while there are others.
    """

    def choose_hosts(self, table, now):
        """Return the ids of the entry hosts for a caller in tiznit-c."""
        view = table.build_view(now)
        chosen = choose_entry_hosts(view, (), "tiznit-c", random.Random(1))
        return {host.host_id for host in chosen}

    def make_silent_cell_table(self):
        table = make_table()
        table.record_summary(CellSummary("tiznit-c/0", 3, 0), NOW)
        return table

    def test_hosts_of_a_cell_that_was_heard_of_are_named(self):
        named = self.choose_hosts(self.make_silent_cell_table(), NOW)
        self.assertEqual(named, {"agadir-a-0", *(f"tiznit-c-{n}" for n in range(3))})

    def test_hosts_of_a_cell_that_fell_silent_are_not_named(self):
        named = self.choose_hosts(self.make_silent_cell_table(), NOW + MAX_FRESH_AGE)
        self.assertEqual(named, {"agadir-a-0"})

    def test_hosts_of_a_cell_that_is_heard_of_again_are_named(self):
        table = self.make_silent_cell_table()
        table.record_summary(CellSummary("tiznit-c/0", 3, 0), NOW + MAX_FRESH_AGE)
        self.assertIn("tiznit-c-1", self.choose_hosts(table, NOW + MAX_FRESH_AGE))

    def test_silent_hosts_are_named_if_there_are_no_others(self):
        table = self.make_silent_cell_table()
        table.is_leaving = True
        named = self.choose_hosts(table, NOW + MAX_FRESH_AGE)
        self.assertEqual(named, {f"tiznit-c-{number}" for number in range(3)})


if __name__ == "__main__":
    unittest.main()
