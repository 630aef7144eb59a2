"""Typed access to the fields of a TOML table; every invalid field is recorded."""

import re
from collections.abc import Iterable
from typing import Any, Final

from celeryferry_core.addresses import MAX_PORT, is_address
from celeryferry_core.findings import Findings, format_value

MAX_NAME_CHARACTERS = 63

_NAME = re.compile(r"[a-z0-9](?:[a-z0-9_-]*[a-z0-9])?")
_REQUIRED: Final = object()
_NAME_RULE = (
    f"1 to {MAX_NAME_CHARACTERS} lower-case letters, digits, '-' and '_', "
    "with a letter or digit at both ends"
)
_ADDRESS_RULE = f"ip:port with a port from 1 to {MAX_PORT}, such as 127.0.0.1:9001"


class TableReader:
    """Reads and checks the fields of one table and records every error.

    The methods that read one value return None if the field is invalid, or missing
    without a default.

    :ivar table_path: path of the table, empty for the top level.
    """

    __slots__ = ("_findings", "_read_names", "_table", "table_path")

    def __init__(
        self, findings: Findings, table: dict[str, Any], table_path: str = ""
    ) -> None:
        self.table_path = table_path
        self._findings = findings
        self._table = table
        self._read_names: set[str] = set()

    def field_path(self, name: str) -> str:
        """Return the path of a field from the top level.

        Names that are not printable ASCII are escaped, and long ones are shortened.
        """
        shown = name if name.isascii() and name.isprintable() else ascii(name)
        if len(shown) > MAX_NAME_CHARACTERS:
            shown = shown[:MAX_NAME_CHARACTERS] + "..."
        return f"{self.table_path}.{shown}" if self.table_path else shown

    def reject(self, name: str, found: str, allowed: str) -> None:
        """Record an error in a field of this table."""
        self._findings.add(self.field_path(name), found, allowed)

    def read_integer(
        self, name: str, minimum: int, maximum: int, default: Any = _REQUIRED
    ) -> int | None:
        """Read an integer; true and false are not integers.

        :param minimum: smallest allowed value.
        :param maximum: largest allowed value.
        :param default: value of a missing field; without it the field is required.
        """
        value = self._get(name, default)
        rule = f"a whole number from {minimum} to {maximum}"
        is_whole = type(value) is int and minimum <= value <= maximum
        return self._accept(name, value, is_whole or value is default, rule)

    def read_float(
        self, name: str, minimum: float, maximum: float, default: float
    ) -> float | None:
        """Read an integer or a float and return it as a float.

        :param minimum: smallest allowed value.
        :param maximum: largest allowed value.
        :param default: value of a missing field.
        """
        value = self._get(name, default)
        rule = f"a number from {minimum:g} to {maximum:g}"
        is_number = type(value) in (int, float) and minimum <= value <= maximum
        accepted = self._accept(name, value, is_number, rule)
        return None if accepted is None else float(accepted)

    def read_bool(self, name: str) -> bool | None:
        """Read a required boolean."""
        value = self._get(name, _REQUIRED)
        return self._accept(name, value, type(value) is bool, "true or false")

    def read_name(self, name: str, default: Any = _REQUIRED) -> str | None:
        """Read a name of a service, shard, host or failure domain.

        :param default: value of a missing field; without it the field is required.
        """
        value = self._get(name, default)
        if value is default and default is not _REQUIRED:
            return default
        return self._accept(name, value, _is_name(value), _NAME_RULE)

    def read_string(self, name: str, rule: str) -> str | None:
        """Read a required string that is not empty.

        :param rule: what is allowed, for the error message.
        """
        value = self._get(name, _REQUIRED)
        is_text = isinstance(value, str) and value != ""
        return self._accept(name, value, is_text, rule)

    def read_choice(
        self, name: str, choices: Iterable[str], default: Any = _REQUIRED
    ) -> str | None:
        """Read one of several strings.

        :param choices: allowed strings.
        :param default: value of a missing field; without it the field is required.
        """
        value = self._get(name, default)
        allowed = tuple(choices)
        is_choice = isinstance(value, str) and value in allowed
        rule = " or ".join(f'"{choice}"' for choice in allowed)
        return self._accept(name, value, is_choice, rule)

    def read_address(self, name: str) -> str | None:
        """Read a required ``ip:port``."""
        value = self._get(name, _REQUIRED)
        is_valid = isinstance(value, str) and is_address(value)
        return self._accept(name, value, is_valid, _ADDRESS_RULE)

    def read_names(self, name: str) -> tuple[str, ...]:
        """Read an array of names; a missing field counts as empty.

        :returns: the valid names, without duplicates.
        """
        value = self._get(name, [])
        if not isinstance(value, list):
            self.reject(name, format_value(value), "an array of names")
            return ()
        names: dict[str, None] = {}
        for index, item in enumerate(value):
            if not _is_name(item):
                self.reject(f"{name}[{index}]", format_value(item), _NAME_RULE)
            elif item in names:
                self.reject(f"{name}[{index}]", format_value(item), "each name once")
            else:
                names[item] = None
        return tuple(names)

    def open_table(self, name: str) -> "TableReader":
        """Return a reader for a nested table; a missing one counts as empty."""
        value = self._get(name, {})
        if not isinstance(value, dict):
            self.reject(name, format_value(value), "a table")
            return _SilentReader(self._findings, {}, self.field_path(name))
        return TableReader(self._findings, value, self.field_path(name))

    def open_tables(
        self, name: str, max_count: int, min_count: int = 1
    ) -> tuple["TableReader", ...]:
        """Return readers for the tables of a required array.

        Elements that are not tables are recorded as errors and left out.

        :param max_count: largest allowed number of tables.
        :param min_count: smallest allowed number of tables.
        """
        value = self._get(name, _REQUIRED)
        rule = f"an array of {min_count} to {max_count} tables"
        is_valid = isinstance(value, list) and min_count <= len(value) <= max_count
        if self._accept(name, value, is_valid, rule) is None:
            return ()
        readers = []
        for index, item in enumerate(value):
            if isinstance(item, dict):
                item_path = self.field_path(f"{name}[{index}]")
                readers.append(TableReader(self._findings, item, item_path))
            else:
                self.reject(f"{name}[{index}]", format_value(item), "a table")
        return tuple(readers)

    def reject_unknown_fields(self) -> None:
        """Record an error for every field of the table that was not read."""
        for name in self._table:
            if name not in self._read_names:
                self._findings.add_unknown_field(
                    self.field_path(name), name, self._read_names
                )

    def _get(self, name: str, default: Any) -> Any:
        self._read_names.add(name)
        return self._table.get(name, default)

    def _accept(self, name: str, value: Any, is_valid: bool, rule: str) -> Any:
        if value is _REQUIRED:
            self.reject(name, "nothing (the field is missing)", rule)
            return None
        if not is_valid:
            self.reject(name, format_value(value), rule)
            return None
        return value


class _SilentReader(TableReader):
    """Reader for a value that is not a table.

    That error has already been recorded, so missing fields are not reported as well.
    """

    __slots__ = ()

    def reject(self, name: str, found: str, allowed: str) -> None:
        """Discard the error."""


def _is_name(value: Any) -> bool:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
        return False
    return _NAME.fullmatch(value) is not None
