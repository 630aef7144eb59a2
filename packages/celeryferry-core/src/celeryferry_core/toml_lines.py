"""Line numbers of fields in TOML source, which ``tomllib`` does not report."""

import re
from collections import defaultdict

_HEADER = re.compile(r"^\s*(\[\[?)\s*([A-Za-z0-9_.-]+)\s*\]")
_KEY = re.compile(r"^\s*([A-Za-z0-9_-]+)\s*=")
_QUOTED = re.compile(r"\"(?:\\.|[^\"\\])*\"|'[^']*'")
_LAST_PART = re.compile(r"(\[\d+\]|\.[^.\[]+|^[^.\[]+)$")
# No known table is nested deeper; longer names would cost quadratic time.
_MAX_DEPTH = 4
_MULTILINE_QUOTES = ('"""', "'''")


class LineIndex:
    """Finds the line of a field path.

    It knows table headers, bare keys and inline tables in arrays. For any other form,
    the line of the nearest known parent is returned. Source with multi-line strings
    gets no line numbers, because their content may look like fields.
    """

    __slots__ = ("_array_lengths", "_lines", "_table")

    def __init__(self, text: str) -> None:
        self._lines: dict[str, int] = {}
        self._array_lengths: dict[str, int] = defaultdict(int)
        self._table = ""
        if not any(quotes in text for quotes in _MULTILINE_QUOTES):
            self._scan(text)

    def find(self, place: str) -> int | None:
        """Return the line of a field or of its nearest known parent.

        :param place: path of the field, such as ``shards[2].name``.
        :returns: number of the line, from 1, or None if none is known.
        """
        while place:
            if place in self._lines:
                return self._lines[place]
            shorter = _LAST_PART.sub("", place)
            if shorter == place:
                return None
            place = shorter
        return None

    def _scan(self, text: str) -> None:
        array = ""
        for number, line in enumerate(text.split("\n"), start=1):
            header = _HEADER.match(line)
            key = _KEY.match(line)
            if header is not None:
                self._enter_table(header[2], header[1] == "[[", number)
                array = ""
                continue
            if key is not None:
                array = self._join(key[1])
                self._lines.setdefault(array, number)
            if array:
                self._count_inline_tables(array, line, number)

    def _enter_table(self, name: str, is_array: bool, number: int) -> None:
        path = ""
        parts = name.split(".", _MAX_DEPTH)[:_MAX_DEPTH]
        for position, part in enumerate(parts):
            path = f"{path}.{part}" if path else part
            is_last = position == len(parts) - 1
            if is_last and is_array:
                self._array_lengths[path] += 1
            if path in self._array_lengths:
                path = f"{path}[{self._array_lengths[path] - 1}]"
        self._table = path
        self._lines.setdefault(path, number)

    def _count_inline_tables(self, array: str, line: str, number: int) -> None:
        bare = _QUOTED.sub("", line).split("#", 1)[0]
        for _ in range(bare.count("{")):
            index = self._array_lengths[array]
            self._array_lengths[array] += 1
            self._lines.setdefault(f"{array}[{index}]", number)

    def _join(self, key: str) -> str:
        return f"{self._table}.{key}" if self._table else key
