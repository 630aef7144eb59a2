"""Tests of the fair admission of queries."""

import unittest

from celeryferry_core.admission import Admission


class TestAdmission(unittest.TestCase):
    """Guards against one application that uses all query slots of a host.

    An application sends more queries than the host admits before another one starts.
    """

    @staticmethod
    def _fill(admission, application, count, **options):
        refusals = [admission.admit(application, **options) for _ in range(count)]
        return refusals.count(None)

    def test_room_is_left_for_another_application(self):
        admission = Admission(100)
        self.assertLess(self._fill(admission, "loud", 300), 60)
        self.assertGreaterEqual(self._fill(admission, "quiet", 30), 30)

    def test_one_application_takes_all_without_fairness(self):
        admission = Admission(100)
        self.assertEqual(self._fill(admission, "loud", 300, is_fair=False), 100)
        self.assertEqual(self._fill(admission, "quiet", 30, is_fair=False), 0)

    def test_refusal_says_when_to_retry(self):
        admission = Admission(1)
        admission.admit("app")
        self.assertGreater(admission.admit("app").retry_after_ms, 0)
        admission.finish("app", 40.0)
        self.assertIsNone(admission.admit("app"))
        self.assertEqual(admission.total, 1)
