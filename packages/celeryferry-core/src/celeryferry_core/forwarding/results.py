"""Derivation of the result of a request from the state of its shards."""

import math
from collections.abc import Sequence

from celeryferry_core.forwarding.attempts import ShardState
from celeryferry_core.forwarding.models import Sharded, Weighted
from celeryferry_core.forwarding.outcomes import (
    AttemptOutcome,
    Failed,
    LossReason,
    Lost,
    Merged,
    Relayed,
    RequestResult,
    UnknownResult,
)
from celeryferry_core.forwarding.records import merge_records

# Keeps a floating-point error in ``ratio * count`` from requiring one more shard.
RATIO_TOLERANCE = 1e-9
MIN_SERVER_ERROR_STATUS = 500


def count_required_shards(target: Sharded | Weighted, shard_count: int) -> int:
    """Return how many shards must be covered to answer a request."""
    match target:
        case Sharded(min_covered_ratio=ratio):
            return max(1, math.ceil(ratio * shard_count - RATIO_TOLERANCE))
        case Weighted():
            return shard_count


def is_final_failure(outcome: AttemptOutcome) -> bool:
    """Return whether every upstream would answer an attempt with the same failure.

    This holds for all statuses below 500, such as client errors.
    """
    is_failure = isinstance(outcome, Failed)
    return is_failure and outcome.response.status < MIN_SERVER_ERROR_STATUS


def build_answer(
    target: Sharded | Weighted, shards: Sequence[ShardState]
) -> RequestResult:
    """Return the answer of a request with enough covered shards."""
    covered = [shard.success.outcome.response for shard in shards if shard.success]
    match target:
        case Weighted():
            return Relayed(covered[0])
        case Sharded(top_count=top_count):
            stamps = tuple(response.stamp for response in covered)
            body = merge_records((response.body for response in covered), top_count)
            return Merged(stamps, len(shards) - len(covered), body)


def build_uncovered_result(
    shards: Sequence[ShardState], is_timed_out: bool
) -> RequestResult | None:
    """Return the result of a request that covered too few shards.

    :param is_timed_out: whether the time of the request is up.
    :returns: the result, or None if the request did not run and never will.
    """
    single_shard = shards[0] if len(shards) == 1 and not shards[0].open_count else None
    if single_shard is not None and isinstance(single_shard.last_outcome, Failed):
        return Relayed(single_shard.last_outcome.response)
    if any(shard.open_count for shard in shards) and is_timed_out:
        return UnknownResult(LossReason.TIMEOUT)
    for shard in shards:
        if shard.may_have_run or shard.open_count or shard.success:
            last_outcome = shard.last_outcome
            is_lost = isinstance(last_outcome, Lost)
            return UnknownResult(
                last_outcome.reason if is_lost else LossReason.NOT_COVERED
            )
    return None
