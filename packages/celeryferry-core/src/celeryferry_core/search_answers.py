"""The end of a search session: answer or error."""

from datetime import timedelta

from celeryferry_core.coverage import merge_hits
from celeryferry_core.decisions.front import QueryCovered
from celeryferry_core.models.callers import (
    CoveredShard,
    ErrorBody,
    ErrorType,
    MissingShard,
    Ran,
    SearchAnswer,
)
from celeryferry_core.search_events import Finish, Record
from celeryferry_core.search_progress import ShardProgress
from celeryferry_core.search_state import SessionState, to_ms


def finish_query(state: SessionState, now: timedelta) -> None:
    """Answer the caller from what is covered and cancel the rest.

    :param state: state of the session.
    :param now: present monotonic time.
    """
    request = state.request
    covered = [part for part in state.shards.values() if part.hits is not None]
    missing = [part for part in state.shards.values() if part.hits is None]
    elapsed_ms = to_ms(now - request.started)
    decision = QueryCovered(
        request.query_id,
        None if state.version < 0 else state.version,
        len(covered),
        tuple(
            f"{part.shard_id.service}/{part.shard_id.shard}:{part.missing_reason}"
            for part in missing
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
    is_open = any(part.open_attempts() for part in missing)
    reasons = sorted({str(part.missing_reason) for part in missing})
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
        hits=merge_hits((part.hits or [] for part in covered), state.request.limit),
        covered=tuple(
            CoveredShard(part.shard_id.service, part.shard_id.shard) for part in covered
        ),
        not_covered=tuple(
            MissingShard(
                part.shard_id.service, part.shard_id.shard, part.missing_reason
            )
            for part in missing
        ),
        complete=not missing,
        elapsed_ms=elapsed_ms,
    )
