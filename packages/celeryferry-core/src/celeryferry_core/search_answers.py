"""Result of a search session: an answer or an error."""

from datetime import timedelta

from celeryferry_core.decisions.front import QueryCovered
from celeryferry_core.models.callers import (
    CoveredShard,
    ErrorBody,
    ErrorType,
    MissingShard,
    Ran,
    SearchAnswer,
)
from celeryferry_core.partial_answers import merge_hits
from celeryferry_core.search_events import Finish, Record
from celeryferry_core.search_progress import ShardProgress
from celeryferry_core.search_state import SessionState, to_ms


def finish_query(state: SessionState, now: timedelta) -> None:
    """Answer the caller with the covered shards and cancel the remaining batches.

    The result is an error if no shard is covered.

    :param now: present monotonic time.
    """
    request = state.request
    covered = [
        progress for progress in state.shards.values() if progress.hits is not None
    ]
    missing = [progress for progress in state.shards.values() if progress.hits is None]
    elapsed_ms = to_ms(now - request.started)
    decision = QueryCovered(
        request.query_id,
        None if state.version < 0 else state.version,
        len(covered),
        tuple(
            f"{progress.shard_id.service}/{progress.shard_id.shard}:{progress.missing_reason}"
            for progress in missing
        ),
        elapsed_ms,
    )
    state.actions.append(Record(decision))
    if not covered:
        outcome = _build_error(state, missing)
    else:
        outcome = _build_answer(state, covered, missing, elapsed_ms)
    state.cancel_all()
    state.actions.append(Finish(outcome))
    state.is_finished = True


def _build_error(state: SessionState, missing: list[ShardProgress]) -> ErrorBody:
    is_open = any(progress.open_attempts() for progress in missing)
    reasons = sorted({str(progress.missing_reason) for progress in missing})
    text = f"no shard could be covered ({', '.join(reasons)}); retry the query"
    return ErrorBody(
        type=ErrorType.NO_COVERAGE,
        message=text,
        ran=Ran.UNKNOWN if is_open or state.may_have_run else Ran.NO,
        retry_after_ms=state.retry_after_ms,
        query_id=state.request.query_id,
    )


def _build_answer(
    state: SessionState,
    covered: list[ShardProgress],
    missing: list[ShardProgress],
    elapsed_ms: float,
) -> SearchAnswer:
    return SearchAnswer(
        query_id=state.request.query_id,
        application=state.plan.application,
        snapshot=state.version,
        hits=merge_hits(
            (progress.hits or [] for progress in covered), state.request.limit
        ),
        covered=tuple(
            CoveredShard(progress.shard_id.service, progress.shard_id.shard)
            for progress in covered
        ),
        not_covered=tuple(
            MissingShard(
                progress.shard_id.service,
                progress.shard_id.shard,
                progress.missing_reason,
            )
            for progress in missing
        ),
        complete=not missing,
        elapsed_ms=elapsed_ms,
    )
