"""Mistakes found in a TOML file, with the lines they are on."""

import difflib
import re
import tomllib
from collections.abc import Iterable
from typing import Any

from result import Err, Ok, Result

from celeryferry_core.exceptions import FieldError
from celeryferry_core.toml_lines import LineIndex

MAX_FORMATTED_CHARACTERS = 60
# Bounds the time spent on a large file of unknown fields; difflib compares each
# unknown name with every known one.
MAX_SUGGESTIONS = 20
MAX_COMPARED_CHARACTERS = 63
# The time that tomllib takes for a dotted key grows with the square of its length: a
# 1 MB document with one such key on a line would occupy the daemon for minutes.
MAX_LINE_CHARACTERS = 4_096

_SYNTAX_LINE = re.compile(r"\(at line (\d+), column \d+\)")


def format_value(value: Any) -> str:
    """Return a short form of a value on one line.

    :param value: value from a TOML file.
    :returns: the value as text, shortened if it is long.
    """
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

    :param text: the source.
    :returns: the top-level table, or the syntax error with its line.
    """
    for number, line in enumerate(text.split("\n"), start=1):
        if len(line) > MAX_LINE_CHARACTERS:
            found = f"a line of {len(line)} characters"
            allowed = f"at most {MAX_LINE_CHARACTERS} characters in a line"
            return Err(FieldError("", found, allowed, number))
    try:
        return Ok(tomllib.loads(text))
    except ValueError as error:
        # tomllib also raises a plain ValueError, e.g. for numbers of very many digits.
        message = str(error)
    except RecursionError:
        message = "values nested too deeply"
    found = _SYNTAX_LINE.search(message)
    line = int(found[1]) if found else None
    detail = format_value(_SYNTAX_LINE.sub("", message).strip()).strip("'\"")
    return Err(FieldError("", f"invalid TOML: {detail}", "TOML 1.0", line))


class Findings:
    """Collects the mistakes in one file.

    :ivar errors: mistakes in the order in which they were found.
    """

    __slots__ = ("_lines", "_suggestions_left", "errors")

    def __init__(self, text: str) -> None:
        self.errors: list[FieldError] = []
        self._lines = LineIndex(text)
        self._suggestions_left = MAX_SUGGESTIONS

    def add(self, place: str, found: str, allowed: str) -> None:
        """Record one mistake.

        :param place: path of the field.
        :param found: what was found.
        :param allowed: what is allowed.
        """
        line = self._lines.find(place)
        self.errors.append(FieldError(place, found, allowed, line))

    def add_unknown_field(self, place: str, name: str, known: Iterable[str]) -> None:
        """Record a field that does not exist.

        :param place: path of the field.
        :param name: name of the field.
        :param known: names that exist there.
        """
        names = sorted(known)
        close: list[str] = []
        if self._suggestions_left > 0:
            self._suggestions_left -= 1
            close = difflib.get_close_matches(
                name[:MAX_COMPARED_CHARACTERS], names, n=1
            )
        hint = f" (did you mean {close[0]}?)" if close else ""
        self.add(place, f"unknown field{hint}", ", ".join(names))

    def sort_errors(self) -> tuple[FieldError, ...]:
        """Return the mistakes in the order of their lines.

        :returns: mistakes; those without a line come first.
        """
        return tuple(sorted(self.errors, key=lambda error: error.line or 0))
