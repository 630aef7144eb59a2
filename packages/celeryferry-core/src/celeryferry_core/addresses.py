"""Addresses of the form ``ip:port``."""

import ipaddress
import re

MAX_PORT = 65_535

_PORT = re.compile(r"[1-9][0-9]{0,4}")


def is_address(value: str) -> bool:
    """Return whether a string is a valid ``ip:port``.

    IPv6 addresses are written in brackets. Host names, unspecified addresses such as
    0.0.0.0 and ports with leading zeros are not valid.
    """
    ip_text, _, port = value.rpartition(":")
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        return False
    bracketed = ip_text.startswith("[") and ip_text.endswith("]")
    try:
        ip = ipaddress.ip_address(ip_text[1:-1] if bracketed else ip_text)
    except ValueError:
        return False
    return bracketed == (ip.version == 6) and not ip.is_unspecified


def split_address(address: str) -> tuple[str, int]:
    """Split a valid ``ip:port``.

    :param address: a string for which ``is_address`` returns True.
    :returns: IP address without brackets, and port.
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
