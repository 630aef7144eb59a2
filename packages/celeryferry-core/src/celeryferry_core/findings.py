"""Errors found in a TOML file, with their line numbers."""

import difflib
import re
import tomllib
from collections.abc import Iterable
from typing import Any

from result import Err, Ok, Result

from celeryferry_core.exceptions import FieldError
from celeryferry_core.toml_lines import LineIndex

MAX_FORMATTED_CHARACTERS = 60
# Bounds the time spent on a large file of unknown fields, because difflib compares
# each unknown name with every known one.
MAX_SUGGESTIONS = 20
MAX_COMPARED_CHARACTERS = 63
# tomllib parses a dotted key in time proportional to the square of its length. A 1 MB
# document with one such key on a single line would block the daemon for minutes.
MAX_LINE_CHARACTERS = 4_096

_SYNTAX_LINE = re.compile(r"\(at line (\d+), column \d+\)")


def format_value(value: Any) -> str:
    """Format a value from a TOML file on one line, shortened if it is long."""
    match value:
        case dict():
            return "a table"
        case list():
            return f"an array of {len(value)} values"
        case bool():
            return "true" if value else "false"
    try:
        shown = ascii(value)
    except ValueError:
        return "a number that is too long to show"
    if len(shown) <= MAX_FORMATTED_CHARACTERS:
        return shown
    return shown[:MAX_FORMATTED_CHARACTERS] + "..."


def parse_toml(text: str) -> Result[dict[str, Any], FieldError]:
    """Parse TOML source.

    :returns: the top-level table, or the syntax error with its line number. A line of
        more than ``MAX_LINE_CHARACTERS`` and too deep nesting are errors as well.
    """
    for number, line in enumerate(text.split("\n"), start=1):
        if len(line) > MAX_LINE_CHARACTERS:
            found = f"a line of {len(line)} characters"
            allowed = f"at most {MAX_LINE_CHARACTERS} characters in a line"
            return Err(FieldError("", found, allowed, number))
    try:
        return Ok(tomllib.loads(text))
    except ValueError as error:
        # tomllib also raises a plain ValueError, for example for very long numbers.
        message = str(error)
    except RecursionError:
        message = "values nested too deeply"
    line_match = _SYNTAX_LINE.search(message)
    line = int(line_match[1]) if line_match else None
    detail = format_value(_SYNTAX_LINE.sub("", message).strip()).strip("'\"")
    return Err(FieldError("", f"invalid TOML: {detail}", "TOML 1.0", line))


class Findings:
    """Collects the errors in one file.

    :ivar errors: errors in the order in which they were found.
    """

    __slots__ = ("_lines", "_remaining_suggestions", "errors")

    def __init__(self, text: str) -> None:
        self.errors: list[FieldError] = []
        self._lines = LineIndex(text)
        self._remaining_suggestions = MAX_SUGGESTIONS

    def add(self, field_path: str, found: str, allowed: str) -> None:
        """Record one error together with its line number."""
        line = self._lines.find(field_path)
        self.errors.append(FieldError(field_path, found, allowed, line))

    def add_unknown_field(
        self, field_path: str, name: str, known: Iterable[str]
    ) -> None:
        """Record an unknown field and suggest a similar known name.

        At most ``MAX_SUGGESTIONS`` suggestions are made for one file.

        :param known: names of the fields that the schema allows in the table.
        """
        names = sorted(known)
        matches: list[str] = []
        if self._remaining_suggestions > 0:
            self._remaining_suggestions -= 1
            matches = difflib.get_close_matches(
                name[:MAX_COMPARED_CHARACTERS], names, n=1
            )
        hint = f" (did you mean {matches[0]}?)" if matches else ""
        self.add(field_path, f"unknown field{hint}", ", ".join(names))

    def sort_errors(self) -> tuple[FieldError, ...]:
        """Return the errors by line number; those without a line come first."""
        return tuple(sorted(self.errors, key=lambda error: error.line or 0))
