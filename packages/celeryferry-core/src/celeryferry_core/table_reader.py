"""Checks of TOML tables with every mistake recorded."""

import ipaddress
import re
from collections.abc import Iterable
from typing import Any, Final

from celeryferry_core.findings import Findings, format_value

MAX_NAME_CHARACTERS = 63
MAX_PORT = 65_535

_NAME = re.compile(r"[a-z0-9](?:[a-z0-9_-]*[a-z0-9])?")
_REQUIRED: Final = object()
_NAME_RULE = (
    f"1 to {MAX_NAME_CHARACTERS} lower-case letters, digits, '-' and '_', "
    "with a letter or digit at both ends"
)
_ADDRESS_RULE = f"ip:port with a port from 1 to {MAX_PORT}, such as 127.0.0.1:9001"


def is_address(value: str) -> bool:
    """Tell whether a text is ``ip:port``.

    :param value: the text; IPv6 addresses are written in brackets.
    :returns: True for a numeric, specified address with a valid port.
    """
    ip_text, _, port = value.rpartition(":")
    if not re.fullmatch(r"[1-9][0-9]{0,4}", port) or int(port) > MAX_PORT:
        return False
    bracketed = ip_text.startswith("[") and ip_text.endswith("]")
    try:
        ip = ipaddress.ip_address(ip_text[1:-1] if bracketed else ip_text)
    except ValueError:
        return False
    return bracketed == (ip.version == 6) and not ip.is_unspecified


class TableReader:
    """Reads the fields of one table and records every mistake.

    Every method returns None for a field that is wrong or missing without a default.

    :ivar table_path: path of the table, empty for the top level.
    """

    __slots__ = ("_findings", "_known", "_table", "table_path")

    def __init__(
        self, findings: Findings, table: dict[str, Any], table_path: str = ""
    ) -> None:
        self.table_path = table_path
        self._findings = findings
        self._table = table
        self._known: set[str] = set()

    def field_path(self, name: str) -> str:
        """Return the path of a field.

        :param name: name of the field in this table.
        :returns: the path from the top level.
        """
        shown = name if name.isascii() and name.isprintable() else ascii(name)
        if len(shown) > MAX_NAME_CHARACTERS:
            shown = shown[:MAX_NAME_CHARACTERS] + "..."
        return f"{self.table_path}.{shown}" if self.table_path else shown

    def reject(self, name: str, found: str, allowed: str) -> None:
        """Record a mistake of a field.

        :param name: name of the field in this table.
        :param found: what was found.
        :param allowed: what is allowed.
        """
        self._findings.add(self.field_path(name), found, allowed)

    def read_integer(
        self, name: str, low: int, high: int, default: Any = _REQUIRED
    ) -> int | None:
        """Read a whole number.

        :param name: name of the field.
        :param low: smallest allowed value.
        :param high: largest allowed value.
        :param default: value of a missing field.
        :returns: the number.
        """
        value = self._get(name, default)
        rule = f"a whole number from {low} to {high}"
        is_whole = type(value) is int and low <= value <= high
        return self._accept(name, value, is_whole or value is default, rule)

    def read_float(
        self, name: str, low: float, high: float, default: float
    ) -> float | None:
        """Read a number with or without a fraction.

        :param name: name of the field.
        :param low: smallest allowed value.
        :param high: largest allowed value.
        :param default: value of a missing field.
        :returns: the number.
        """
        value = self._get(name, default)
        rule = f"a number from {low:g} to {high:g}"
        is_number = type(value) in (int, float) and low <= value <= high
        accepted = self._accept(name, value, is_number, rule)
        return None if accepted is None else float(accepted)

    def read_bool(self, name: str) -> bool | None:
        """Read a required true or false.

        :param name: name of the field.
        :returns: the value.
        """
        value = self._get(name, _REQUIRED)
        return self._accept(name, value, type(value) is bool, "true or false")

    def read_name(self, name: str, default: Any = _REQUIRED) -> str | None:
        """Read a name of a service, shard, host or failure domain.

        :param name: name of the field.
        :param default: value of a missing field; without it the field is required.
        :returns: the name.
        """
        value = self._get(name, default)
        if value is default and default is not _REQUIRED:
            return default
        return self._accept(name, value, _is_name(value), _NAME_RULE)

    def read_string(self, name: str, rule: str) -> str | None:
        """Read a required text that is not empty.

        :param name: name of the field.
        :param rule: what is allowed, for the message.
        :returns: the text.
        """
        value = self._get(name, _REQUIRED)
        is_text = isinstance(value, str) and value != ""
        return self._accept(name, value, is_text, rule)

    def read_choice(
        self, name: str, choices: Iterable[str], default: Any = _REQUIRED
    ) -> str | None:
        """Read one of several texts.

        :param name: name of the field.
        :param choices: allowed texts.
        :param default: value of a missing field.
        :returns: the text.
        """
        value = self._get(name, default)
        allowed = tuple(choices)
        is_choice = isinstance(value, str) and value in allowed
        rule = " or ".join(f'"{choice}"' for choice in allowed)
        return self._accept(name, value, is_choice, rule)

    def read_address(self, name: str) -> str | None:
        """Read a required ``ip:port``.

        :param name: name of the field.
        :returns: the address.
        """
        value = self._get(name, _REQUIRED)
        is_valid = isinstance(value, str) and is_address(value)
        return self._accept(name, value, is_valid, _ADDRESS_RULE)

    def read_names(self, name: str) -> tuple[str, ...]:
        """Read an array of names; a missing field counts as empty.

        :param name: name of the field.
        :returns: the valid names, without repetition.
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
        """Open a table; a missing one counts as empty.

        :param name: name of the table.
        :returns: reader of the table.
        """
        value = self._get(name, {})
        if not isinstance(value, dict):
            self.reject(name, format_value(value), "a table")
            return _SilentReader(self._findings, {}, self.field_path(name))
        return TableReader(self._findings, value, self.field_path(name))

    def open_tables(
        self, name: str, most: int, least: int = 1
    ) -> tuple["TableReader", ...]:
        """Open the tables of a required array.

        :param name: name of the array.
        :param most: largest allowed number of tables.
        :param least: smallest allowed number of tables.
        :returns: one reader for each element that is a table.
        """
        value = self._get(name, _REQUIRED)
        rule = f"an array of {least} to {most} tables"
        is_valid = isinstance(value, list) and least <= len(value) <= most
        if self._accept(name, value, is_valid, rule) is None:
            return ()
        readers = []
        for index, item in enumerate(value):
            if isinstance(item, dict):
                place = self.field_path(f"{name}[{index}]")
                readers.append(TableReader(self._findings, item, place))
            else:
                self.reject(f"{name}[{index}]", format_value(item), "a table")
        return tuple(readers)

    def reject_unknown_fields(self) -> None:
        """Record every field of the table that was not read."""
        for name in self._table:
            if name not in self._known:
                self._findings.add_unknown_field(
                    self.field_path(name), name, self._known
                )

    def _get(self, name: str, default: Any) -> Any:
        self._known.add(name)
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
    """Stands for a value that is no table, which is already recorded."""

    __slots__ = ()

    def reject(self, name: str, found: str, allowed: str) -> None:
        """Record nothing."""


def _is_name(value: Any) -> bool:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
        return False
    return _NAME.fullmatch(value) is not None
