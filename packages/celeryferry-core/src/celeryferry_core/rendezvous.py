"""Rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def hash_name(*names: str) -> int:
    """Hash names together to 64 bits.

    :returns: unsigned 64-bit number, the same in every process and on every machine.
    """
    return xxhash.xxh3_64_intdigest("\x1f".join(names).encode())


def rank_hosts(key: str, host_ids: Iterable[str]) -> tuple[str, ...]:
    """Sort hosts by their rendezvous hash for a key, highest hash first.

    :param key: ownership key or any other name.
    """
    return tuple(
        sorted(host_ids, key=lambda host_id: (-hash_name(key, host_id), host_id))
    )
