"""Merging of the fixed-size records of several shards."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], top_count: int) -> bytes:
    """Merge the records of all shards and keep the greatest ones in byte order.

    :param bodies: concatenated records of each shard, in any order. Trailing bytes
        that do not fill a record are ignored.
    :param top_count: maximum number of records to keep.
    :returns: the greatest records in descending order, duplicates included.
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(top_count, records))
