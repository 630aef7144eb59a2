import math
import unittest
from importlib import import_module

import msgspec
from bench.__main__ import OPTIONAL_SCENARIOS, SCENARIOS
from bench.capacity import compute_host_load, measure_slopes
from bench.faults import FaultSelection
from bench.pictures import PICTURES_DIRECTORY, TAIL_RESULT, list_pictures
from bench.results import Table, divide, fit_slope, format_value
from bench.tail import find_recovery_s

from celeryferry_standins.load.picture import prepare_lines
from celeryferry_standins.load.report import SeriesPoint, find_percentile


class TestScenarios(unittest.TestCase):
    """Guards against a scenario that can no longer be imported."""

    def test_every_scenario_has_a_measure_function(self):
        for name in (*SCENARIOS, *OPTIONAL_SCENARIOS):
            self.assertTrue(callable(import_module(f"bench.{name}").measure))


class TestArithmetic(unittest.TestCase):
    """Guards against wrong figures in a report."""

    def test_percentile_is_the_nearest_rank(self):
        values = [float(value) for value in range(100, 0, -1)]
        self.assertEqual(find_percentile(values, 0.5), 50.0)
        self.assertEqual(find_percentile(values, 0.99), 99.0)
        self.assertEqual(find_percentile(values, 0.999), 100.0)

    def test_ratio_and_slope(self):
        self.assertEqual(divide(3.0, 2.0), 1.5)
        self.assertEqual(divide(1.0, 0.0), float("inf"))
        self.assertAlmostEqual(fit_slope([(1, 3.0), (2, 5.0), (4, 9.0)]), 2.0)

    def test_table_rejects_a_row_of_wrong_length(self):
        table = Table("t", ("a", "b"))
        with self.assertRaises(ValueError):
            table.add(1)
        table.add("x", 1.234)
        self.assertIn("1.23", table.to_text())
        self.assertEqual(format_value(None), "-")

    def test_recovery_starts_after_the_last_bad_second(self):
        series = [
            SeriesPoint(at, 60, 10.0, 20.0, 1.0, 0.9 if at == 6 else 1.0, 0)
            for at in range(10)
        ]
        self.assertEqual(find_recovery_s(series), 3.0)


class TestFaultPicks(unittest.TestCase):
    """Guards against a run that cannot be repeated with its seed."""

    def test_picks_follow_from_the_seed(self):
        names = [f"s{shard}/d{domain}/0" for shard in range(10) for domain in range(3)]
        first, second = FaultSelection(names, 7), FaultSelection(reversed(names), 7)
        self.assertEqual(vars(first), vars(second))
        self.assertEqual(len(first.stragglers), 2)
        self.assertEqual(len({name.split("/")[0] for name in first.lost}), 10)
        self.assertEqual(len(set(first.cold)), 10)


class TestPictures(unittest.TestCase):
    """Guards against pictures that are missing or show what was not measured."""

    def test_step_without_answers_leaves_a_gap(self):
        series = [
            SeriesPoint(0.0, 60, 10.0, 20.0, 1.0, 0.5, 1),
            SeriesPoint(1.0, 60, 0.0, 0.0, 0.0, 0.0, 60),
            SeriesPoint(3.0, 60, 30.0, 40.0, 0.9, 0.8, 0),
        ]
        lines = prepare_lines(series)
        self.assertEqual(lines.at_s, [0.0, 1.0, 2.0, 3.0, 4.0])
        self.assertEqual(lines.p99_ms[3:], [40.0, 40.0])
        for values in (lines.p50_ms, lines.p99_ms, lines.worst_percent):
            self.assertEqual(
                [*map(math.isnan, values)], [False, True, True, False, False]
            )
        self.assertEqual(lines.worst_percent[0], 50.0)
        self.assertEqual(lines.errors_at_s, [0.5, 1.5])
        self.assertEqual(prepare_lines([]).p50_ms, [])

    def test_recorded_result_has_a_picture_of_each_deployment_and_event(self):
        content = msgspec.json.decode(TAIL_RESULT.read_bytes())
        pictures = list(list_pictures(content))
        self.assertEqual(len(pictures), 2 * len(content["details"]))
        for picture in pictures:
            self.assertEqual(list(picture.systems), ["baseline", "celeryferry"])
            self.assertTrue(all(picture.systems.values()))
            self.assertTrue((PICTURES_DIRECTORY / picture.name).is_file())


class TestCapacity(unittest.TestCase):
    """Guards against a script that needs columns which the stored results lack."""

    def test_stored_results_are_enough(self):
        figures = [row[0] for row in compute_host_load(measure_slopes()).rows]
        self.assertIn("membership: host list B/s", figures)
