"""Tests of the committed sample files."""

import runpy
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from celeryferry_core.documents import parse_document
from celeryferry_core.settings import load_settings

SAMPLES = Path(__file__).parents[2] / "samples"


class TestSamples(unittest.TestCase):
    """Guards against samples that are invalid or differ from what is generated.

    Both happen if the generator or the schema is changed and the samples are not
    generated again.
    """

    def setUp(self):
        generator = runpy.run_path(str(SAMPLES / "generate.py"), run_name="samples")
        self.files = generator["generate_files"]()

    def test_committed_files_equal_the_generated_ones(self):
        committed = {
            path.relative_to(SAMPLES).as_posix(): path.read_text()
            for path in SAMPLES.rglob("*.toml")
        }
        self.assertEqual(committed, self.files)

    def test_every_document_parses_and_addresses_are_unique(self):
        services, addresses = Counter(), []
        for name, text in self.files.items():
            folder, _, _ = name.rpartition("/")
            if folder:
                document = parse_document(text).unwrap()
                services[folder] += 1
                addresses += [
                    replica.address for replica in document.shards[0].replicas
                ]
                domains = {
                    replica.failure_domain for replica in document.shards[0].replicas
                }
                self.assertEqual(len(domains), 3)
        self.assertEqual(services, {"alami": 27, "bluemahoe": 27})
        self.assertEqual(len(addresses), len(set(addresses)))

    def test_settings_load(self):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "token").write_text("0123456789abcdef")
            path = Path(folder) / "celeryferryd.toml"
            path.write_text(self.files["celeryferryd.toml"])
            self.assertTrue(load_settings(path).is_ok())
