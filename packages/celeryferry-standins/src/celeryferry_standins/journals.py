"""Journals that the upstreams of a fleet write, one line for each execution."""

from collections import Counter
from pathlib import Path


class Journals:
    """Journal files of a fleet, which keep the executions of upstreams that are killed.

    :param directory: directory of the fleet.
    :ivar run_file: tickets of the non-repeatable requests.
    :ivar search_file: request ids of the searches.
    """

    def __init__(self, directory: Path):
        self.run_file = directory / "runs.txt"
        self.search_file = directory / "searches.txt"

    def count_runs(self) -> Counter[str]:
        """Count the executions of non-repeatable requests.

        :returns: executions by ticket.
        """
        return _count_lines(self.run_file)

    def count_searches(self) -> Counter[str]:
        """Count the executions of searches.

        :returns: executions by query id.
        """
        counts: Counter[str] = Counter()
        for request_id, count in _count_lines(self.search_file).items():
            counts[request_id.rpartition(".")[0]] += count
        return counts


def _count_lines(journal: Path) -> Counter[str]:
    return Counter(journal.read_text().split()) if journal.exists() else Counter()
