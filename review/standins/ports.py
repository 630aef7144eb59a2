"""Finds free ports."""

import random
import socket

_unused = set(range(12_000, 30_000))


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback address, below the ephemeral ones."""
    ports: list[int] = []
    # No port is returned twice, as those returned before may not be in use yet.
    for port in random.sample(sorted(_unused), len(_unused)):
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        _unused.discard(port)
        if len(ports) == count:
            break
    return ports
