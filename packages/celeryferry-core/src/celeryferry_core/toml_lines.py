"""Line numbers of fields in TOML source; ``tomllib`` does not report them."""

import re
from collections import defaultdict

_HEADER = re.compile(r"^\s*(\[\[?)\s*([A-Za-z0-9_.-]+)\s*\]")
_KEY = re.compile(r"^\s*([A-Za-z0-9_-]+)\s*=")
_QUOTED = re.compile(r"\"(?:\\.|[^\"\\])*\"|'[^']*'")
_LAST_SEGMENT = re.compile(r"(\[\d+\]|\.[^.\[]+|^[^.\[]+)$")
# No table in the schemas is nested deeper. Longer dotted names would take quadratic
# time.
_MAX_DEPTH = 4
_MULTILINE_QUOTES = ('"""', "'''")


class LineIndex:
    """Finds the line number of a field path.

    Table headers, bare keys and inline tables in arrays are recognized. For any other
    form, the line of the nearest recognized parent is returned. Source with multi-line
    strings gets no line numbers, because their content may look like fields.
    """

    __slots__ = ("_array_lengths", "_lines", "_table")

    def __init__(self, text: str) -> None:
        self._lines: dict[str, int] = {}
        self._array_lengths: dict[str, int] = defaultdict(int)
        self._table = ""
        if not any(quotes in text for quotes in _MULTILINE_QUOTES):
            self._scan(text)

    def find(self, field_path: str) -> int | None:
        """Return the line of a field or of its nearest recognized parent.

        :param field_path: path such as ``shards[2].name``.
        :returns: line number, counted from 1, or None if it is not known.
        """
        while field_path:
            if field_path in self._lines:
                return self._lines[field_path]
            parent_path = _LAST_SEGMENT.sub("", field_path)
            if parent_path == field_path:
                return None
            field_path = parent_path
        return None

    def _scan(self, text: str) -> None:
        key_path = ""
        for line_number, line in enumerate(text.split("\n"), start=1):
            header = _HEADER.match(line)
            key = _KEY.match(line)
            if header is not None:
                self._enter_table(header[2], header[1] == "[[", line_number)
                key_path = ""
                continue
            if key is not None:
                key_path = self._qualify_key(key[1])
                self._lines.setdefault(key_path, line_number)
            if key_path:
                self._count_inline_tables(key_path, line, line_number)

    def _enter_table(self, name: str, is_array: bool, line_number: int) -> None:
        path = ""
        segments = name.split(".", _MAX_DEPTH)[:_MAX_DEPTH]
        for position, segment in enumerate(segments):
            path = f"{path}.{segment}" if path else segment
            is_last = position == len(segments) - 1
            if is_last and is_array:
                self._array_lengths[path] += 1
            if path in self._array_lengths:
                path = f"{path}[{self._array_lengths[path] - 1}]"
        self._table = path
        self._lines.setdefault(path, line_number)

    def _count_inline_tables(self, key_path: str, line: str, line_number: int) -> None:
        unquoted = _QUOTED.sub("", line).split("#", 1)[0]
        for _ in range(unquoted.count("{")):
            index = self._array_lengths[key_path]
            self._array_lengths[key_path] += 1
            self._lines.setdefault(f"{key_path}[{index}]", line_number)

    def _qualify_key(self, key: str) -> str:
        return f"{self._table}.{key}" if self._table else key
