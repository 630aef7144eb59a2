"""Checks answers against the hits that the stand-in upstreams return."""

from collections import Counter
from typing import Any

from celeryferry_core.models.callers import SearchAnswer
from celeryferry_standins.upstream.hits import list_hit_ids


def find_faults(
    answer: SearchAnswer, query: Any, shards: frozenset[str], hits_per_shard: int
) -> list[str]:
    """Compare an unlimited answer with the hits expected for its snapshot.

    :param answer: answer to a search without a limit of hits.
    :param query: the query that was sent.
    :param shards: every shard of the application, as ``service/shard``.
    :param hits_per_shard: hits in each answer of an upstream.
    :returns: one sentence for each fault; empty if the answer is correct.
    """
    faults = []
    covered = [f"{shard.service}/{shard.shard}" for shard in answer.covered]
    missing = [f"{shard.service}/{shard.shard}" for shard in answer.not_covered]
    if Counter(covered + missing) != Counter(shards):
        faults.append(
            f"{answer.query_id}: covered and missing shards are not all shards"
        )
    if answer.complete != (not missing):
        faults.append(f"{answer.query_id}: complete is {answer.complete}")
    expected: Counter[str] = Counter()
    for shard in answer.covered:
        ids = list_hit_ids(shard.shard, answer.snapshot, query, hits_per_shard)
        expected.update(ids)
    actual = Counter(hit.id for hit in answer.hits)
    if actual != expected:
        missing_ids = list((expected - actual).keys())[:3]
        wrong_ids = list((actual - expected).keys())[:3]
        faults.append(
            f"{answer.query_id}: hits lost {missing_ids}, wrong or doubled {wrong_ids}"
        )
    return faults
