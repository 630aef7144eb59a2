"""Parsers for the arguments and options of commands."""

from collections.abc import Callable
from typing import Any

import fire
import msgspec
from fire import decorators

from celeryferry_core.addresses import is_address

# Fire lists every public attribute of a command in its help. The attribute in which it
# stores the parsers has a public name by default, so it gets a private one here.
decorators.FIRE_METADATA = "_fire_metadata"


def parse_with(**parsers: Callable[[str], Any]) -> Callable[[Any], Any]:
    """Return a decorator that sets the parsers of a command's arguments.

    Arguments without a parser stay text; by default Fire would evaluate them as
    Python values. ``json`` is always parsed as a flag.

    :param parsers: parser by argument name.
    """

    def decorate(command: Any) -> Any:
        command = decorators.SetParseFn(str)(command)
        return decorators.SetParseFns(json=parse_flag, **parsers)(command)

    return decorate


def parse_flag(text: str) -> bool:
    """Parse the value that Fire passes for an option without a value.

    :param text: ``True`` or ``False`` in any case, as Fire passes it.
    :raises fire.core.FireError: if the text is neither true nor false.
    """
    match text.lower():
        case "true":
            return True
        case "false":
            return False
    raise fire.core.FireError(f"{text!r}: this option takes no value")


def parse_positive_int(text: str) -> int:
    """Parse a whole number above zero with at most 9 digits.

    :raises fire.core.FireError: if the text is something else.
    """
    if not text.isascii() or not text.isdecimal() or len(text) > 9 or int(text) < 1:
        raise fire.core.FireError(f"{text!r}: expected a whole number above zero")
    return int(text)


def parse_hosts(text: str) -> tuple[str, ...]:
    """Parse ``ip:port`` addresses that are separated by commas.

    :raises fire.core.FireError: if one of them is not ``ip:port``.
    """
    addresses = tuple(item.strip() for item in text.split(","))
    for address in addresses:
        if not is_address(address):
            raise fire.core.FireError(
                f"{address!r}: expected ip:port, such as 127.0.0.1:7001; "
                "separate several addresses with commas"
            )
    return addresses


def parse_files(text: str) -> tuple[str, ...]:
    """Parse file names that are separated by commas; empty names are dropped."""
    return tuple(name.strip() for name in text.split(",") if name.strip())


def parse_json_value(text: str) -> msgspec.Raw:
    """Parse a JSON value; text that is not valid JSON becomes a JSON string."""
    try:
        msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return msgspec.Raw(msgspec.json.encode(text))
    return msgspec.Raw(text.encode())
