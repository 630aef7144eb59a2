"""Hits computed from shard, index version and query alone."""

from typing import Any

import msgspec
import xxhash


def make_hits(shard: str, index_version: int, query: Any, count: int) -> list[dict]:
    """Make the hits of one shard.

    The id of a hit names its shard, version and query, so that a mixed, doubled or
    misdelivered answer can be detected.

    :param shard: name of the shard.
    :param index_version: index version that is read.
    :param query: decoded JSON value.
    :param count: number of hits.
    :returns: hits, best first.
    """
    text = msgspec.json.encode(query, order="deterministic")
    query_hash = xxhash.xxh64_hexdigest(text)
    hits = []
    for number in range(count):
        hit_id = f"{shard}/{index_version}/{query_hash}/{number}"
        score = xxhash.xxh32_intdigest(hit_id.encode()) / 2**32
        hits.append({"id": hit_id, "score": score, "record": {"shard": shard}})
    return sorted(hits, key=lambda hit: -hit["score"])


def list_hit_ids(shard: str, index_version: int, query: Any, count: int) -> set[str]:
    """Return the ids of the hits of one shard.

    :param shard: name of the shard.
    :param index_version: index version that is read.
    :param query: decoded JSON value.
    :param count: number of hits.
    :returns: ids of the hits.
    """
    return {hit["id"] for hit in make_hits(shard, index_version, query, count)}
