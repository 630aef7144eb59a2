"""Merging of the fixed-size records of several shards."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], top_count: int) -> bytes:
    """Merge records and keep the greatest.

    :param bodies: records of each shard in any order; a remainder that is shorter
        than a record is left out.
    :param top_count: largest number of records to keep.
    :returns: the greatest records in falling order, equal ones included.
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(top_count, records))
