"""Tests of the order of document versions."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryferry_core.models.messages import DocumentStamp
from celeryferry_core.models.views import ActiveDocument, DocumentVersion
from celeryferry_core.versions import compute_digest, select_newer, supersedes

VERSIONS = st.builds(DocumentVersion, st.integers(1, 4), st.integers(1, 4))


def make_active(version, revision, text="text"):
    return ActiveDocument(None, DocumentVersion(version, revision), text)


class TestSupersedes(unittest.TestCase):
    """Guards against hosts that end with different documents or an older version.

    Hosts receive the same documents in different orders, and two concurrent writes can
    have the same version.
    """

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(offers=st.lists(VERSIONS, min_size=1), order=st.randoms())
    def test_order_of_arrival_does_not_matter_and_version_never_falls(
        self, offers, order
    ):
        results = set()
        for _ in range(3):
            active = offers[0]
            for offered in offers:
                if supersedes(offered, active):
                    self.assertGreaterEqual(offered.version, active.version)
                    active = offered
            results.add(active)
            order.shuffle(offers)
        self.assertEqual(len(results), 1)

    def test_first_of_two_writes_of_one_version_stays(self):
        first, second = DocumentVersion(3, 5), DocumentVersion(3, 9)
        self.assertFalse(supersedes(second, first))
        self.assertTrue(supersedes(first, second))


class TestPull(unittest.TestCase):
    """Guards against pulls that miss a newer document or send old ones.

    Two hosts with different documents but equal digests would never exchange them.
    """

    def test_only_newer_and_missing_documents_are_sent(self):
        documents = {"a": make_active(2, 7), "b": make_active(1, 1)}
        known = [DocumentStamp("a", 1, 9), DocumentStamp("b", 1, 1)]
        selected = select_newer(documents, known, 1000)
        self.assertEqual([document.name for document in selected], ["a"])

    def test_large_sets_are_sent_in_steps(self):
        documents = {name: make_active(1, 1, "x" * 90) for name in "abc"}
        self.assertEqual(len(select_newer(documents, [], 100)), 1)

    def test_digest_depends_on_versions_and_is_never_empty(self):
        digests = {compute_digest({"a": make_active(1, n)}) for n in range(3)}
        digests.add(compute_digest({}))
        self.assertEqual(len(digests), 4)
        self.assertNotIn("", digests)
