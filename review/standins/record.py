"""Record of what a script sent, answered and ran."""

import time
from pathlib import Path


class Record:
    """Keeps lines with the time since the start, and writes them to a file."""

    __slots__ = ("_lines", "_started_s")

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def now_s(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_s

    def add(self, text: str) -> None:
        """Add one line."""
        self._lines.append(f"{self.now_s():9.3f} s  {text}")

    def save(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")
