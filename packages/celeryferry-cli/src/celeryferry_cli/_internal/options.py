"""Parsing of arguments and options."""

from collections.abc import Callable
from typing import Any

import fire
import msgspec
from fire import decorators

from celeryferry_core.table_reader import is_address

# Fire lists every public attribute of a command in its help; the default name of the
# attribute with the parsers is public.
decorators.FIRE_METADATA = "_fire_metadata"


def parse_with(**parsers: Callable[[str], Any]) -> Callable[[Any], Any]:
    """Make a decorator that parses arguments; those not named stay text.

    Fire would otherwise read arguments as Python values.

    :param parsers: function for each named argument.
    :returns: the decorator.
    """

    def decorate(command: Any) -> Any:
        command = decorators.SetParseFn(str)(command)
        return decorators.SetParseFns(json=parse_flag, **parsers)(command)

    return decorate


def parse_flag(text: str) -> bool:
    """Read an option that is on if present.

    :param text: text from Fire.
    :returns: the value.
    :raises fire.core.FireError: if the text is neither true nor false.
    """
    match text.lower():
        case "true":
            return True
        case "false":
            return False
    raise fire.core.FireError(f"{text!r}: this option takes no value")


def parse_positive_int(text: str) -> int:
    """Read a whole number above zero.

    :param text: text from the command line.
    :returns: the number.
    :raises fire.core.FireError: if the text is something else.
    """
    if not text.isascii() or not text.isdecimal() or len(text) > 9 or int(text) < 1:
        raise fire.core.FireError(f"{text!r}: expected a whole number above zero")
    return int(text)


def parse_hosts(text: str) -> tuple[str, ...]:
    """Read addresses separated by commas.

    :param text: text from the command line.
    :returns: the addresses.
    :raises fire.core.FireError: if one of them is not ``ip:port``.
    """
    addresses = tuple(item.strip() for item in text.split(","))
    for address in addresses:
        if not is_address(address):
            raise fire.core.FireError(
                f"{address!r}: expected ip:port, such as 127.0.0.1:7001; "
                "separate several by commas"
            )
    return addresses


def parse_files(text: str) -> tuple[str, ...]:
    """Read names of files separated by commas.

    :param text: text from the command line.
    :returns: the names.
    """
    return tuple(name.strip() for name in text.split(",") if name.strip())


def parse_json_value(text: str) -> msgspec.Raw:
    """Read a JSON value; any other text becomes a JSON string.

    :param text: text from the command line.
    :returns: the JSON value.
    """
    try:
        msgspec.json.decode(text)
    except msgspec.DecodeError:
        return msgspec.Raw(msgspec.json.encode(text))
    return msgspec.Raw(text.encode())
