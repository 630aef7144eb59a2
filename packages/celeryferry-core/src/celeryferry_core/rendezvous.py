"""Rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def hash_name(*parts: str) -> int:
    """Hash names to 64 bits, the same in every process and on every machine.

    :param parts: names that are hashed together.
    :returns: unsigned 64-bit number.
    """
    return xxhash.xxh3_64_intdigest("\x1f".join(parts).encode())


def rank_hosts(key: str, host_ids: Iterable[str]) -> tuple[str, ...]:
    """Order hosts by rendezvous hash for a key, best first.

    :param key: ownership key or any other name.
    :param host_ids: candidates.
    :returns: the candidates, highest hash first.
    """
    return tuple(
        sorted(host_ids, key=lambda host_id: (-hash_name(key, host_id), host_id))
    )
