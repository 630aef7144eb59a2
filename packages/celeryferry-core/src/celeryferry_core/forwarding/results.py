"""Result of a request from the state of its shards."""

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

# Floating-point error in ``ratio * count`` must not ask for one shard more.
RATIO_TOLERANCE = 1e-9
MIN_SERVER_ERROR_STATUS = 500


def count_required_shards(target: Sharded | Weighted, shard_count: int) -> int:
    """Return how many shards make an answer.

    :param target: target of the rule.
    :param shard_count: shards of the request.
    """
    match target:
        case Sharded(min_covered_ratio=ratio):
            return max(1, math.ceil(ratio * shard_count - RATIO_TOLERANCE))
        case Weighted():
            return shard_count


def is_final_failure(outcome: AttemptOutcome) -> bool:
    """Tell whether another upstream would answer the same.

    :param outcome: outcome of an attempt.
    """
    is_failure = isinstance(outcome, Failed)
    return is_failure and outcome.response.status < MIN_SERVER_ERROR_STATUS


def build_answer(
    target: Sharded | Weighted, shards: Sequence[ShardState]
) -> RequestResult:
    """Return the answer of a request whose shards are covered far enough.

    :param target: target of the rule.
    :param shards: shards of the request.
    """
    covered = [shard.success.outcome.response for shard in shards if shard.success]
    match target:
        case Weighted():
            return Relayed(covered[0])
        case Sharded(top_count=top_count):
            stamps = tuple(response.stamp for response in covered)
            body = merge_records((response.body for response in covered), top_count)
            return Merged(stamps, len(shards) - len(covered), body)


def build_uncovered_result(
    shards: Sequence[ShardState], is_over: bool
) -> RequestResult | None:
    """Return the result of a request without an answer that may have run.

    :param shards: shards of the request.
    :param is_over: whether its time is up.
    :returns: the result, or None if it did not run and never will.
    """
    only = shards[0] if len(shards) == 1 and not shards[0].open_count else None
    if only is not None and isinstance(only.last_outcome, Failed):
        return Relayed(only.last_outcome.response)
    if any(shard.open_count for shard in shards) and is_over:
        return UnknownResult(LossReason.TIMEOUT)
    for shard in shards:
        if shard.may_have_run or shard.open_count or shard.success:
            last = shard.last_outcome
            is_lost = isinstance(last, Lost)
            return UnknownResult(last.reason if is_lost else LossReason.NOT_COVERED)
    return None
