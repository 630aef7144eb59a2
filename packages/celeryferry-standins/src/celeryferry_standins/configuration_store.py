"""Documents and read counts of the stand-in configuration service."""

import time
from collections import deque

import msgspec

MAX_DOCUMENT_BYTES = 1_000_000
RATE_WINDOW_S = 1.0


class StoredDocument(msgspec.Struct, frozen=True):
    """A document as the service stores it.

    :param name: name of the document.
    :param revision: revision of its latest write.
    :param text: TOML source.
    """

    name: str
    revision: int
    text: str


class ServiceCounts(msgspec.Struct):
    """Counts of the service.

    :param reads: calls of any kind; a waiting watch counts as one.
    :param watches: watch calls.
    :param document_reads: reads of one document.
    :param watches_waiting: watches that wait now.
    :param reads_per_second: reads in the last second.
    :param max_reads_per_second: most reads in any window of one second.
    """

    reads: int = 0
    watches: int = 0
    document_reads: int = 0
    watches_waiting: int = 0
    reads_per_second: int = 0
    max_reads_per_second: int = 0


class DocumentStore:
    """Documents of the service at every revision, so that an old one can be served."""

    def __init__(self):
        self.revision = 0
        self.stale_at: int | None = None
        self._states: list[dict[str, StoredDocument]] = [{}]

    @property
    def served_revision(self) -> int:
        """Revision that readers see."""
        return self.revision if self.stale_at is None else self.stale_at

    @property
    def documents(self) -> dict[str, StoredDocument]:
        """Documents that readers see, by name."""
        return self._states[self.served_revision]

    def put(self, name: str, text: str) -> None:
        """Write a document.

        :param text: TOML source, at most 1 MB.
        :raises ValueError: the text is too large.
        """
        if len(text.encode()) > MAX_DOCUMENT_BYTES:
            raise ValueError(
                f"{name}: document exceeds the limit of {MAX_DOCUMENT_BYTES} bytes"
            )
        self.revision += 1
        document = StoredDocument(name, self.revision, text)
        self._states.append({**self._states[-1], name: document})

    def remove(self, name: str) -> None:
        """Remove a document."""
        self.revision += 1
        latest = self._states[-1]
        self._states.append({key: latest[key] for key in latest if key != name})

    def list_changed(self, after: int) -> dict[str, int]:
        """List the documents written after a revision.

        :returns: revisions by name.
        """
        return {
            name: document.revision
            for name, document in self.documents.items()
            if document.revision > after
        }


class ReadCounter:
    """Counts reads and their rate."""

    def __init__(self):
        self.counts = ServiceCounts()
        self._recent_reads: deque[float] = deque()

    def count(self) -> None:
        """Count one read."""
        self._recent_reads.append(time.monotonic())
        self._discard_old_reads()
        self.counts.reads += 1
        peak = max(self.counts.max_reads_per_second, len(self._recent_reads))
        self.counts.max_reads_per_second = peak

    def _discard_old_reads(self) -> None:
        window_start = time.monotonic() - RATE_WINDOW_S
        while self._recent_reads and self._recent_reads[0] < window_start:
            self._recent_reads.popleft()

    def read(self) -> ServiceCounts:
        """Return the counts with the rate of the last second."""
        self._discard_old_reads()
        self.counts.reads_per_second = len(self._recent_reads)
        return self.counts
