"""Sending of queued subqueries, grouped into one batch per owner."""

from datetime import timedelta
from math import ceil

from celeryferry_core.models.messages import Subquery, SubqueryBatch
from celeryferry_core.routing import Choice
from celeryferry_core.search_events import SendBatch
from celeryferry_core.search_progress import Attempt, BatchProgress, ShardProgress
from celeryferry_core.search_recovery import FLUSH_GRACE
from celeryferry_core.search_state import SessionState, to_ms

# Fraction of the hedge delay after which the owner sends the answers that it has so
# far. The front, which is the host that received the query, then knows at the end of
# the delay which subqueries are late.
FLUSH_DELAY_RATIO = 0.75
# A late line may mean that the owner is short of processor time, not that its upstreams
# are slow. The whole batch is therefore hedged only after a grace period. The period is
# this fraction of the hedge delay, at least FLUSH_GRACE, so it grows with the load as
# the delay does.
FLUSH_GRACE_RATIO = 0.25
# An owner is considered failed if it has sent no line within SILENCE_DELAY_MULTIPLE
# times the hedge delay, but never before MIN_SILENCE_TIMEOUT.
MIN_SILENCE_TIMEOUT = timedelta(milliseconds=100)
SILENCE_DELAY_MULTIPLE = 3


def send_queued(state: SessionState, now: timedelta) -> None:
    """Send the queued subqueries, one batch to each owner.

    :param now: present monotonic time.
    """
    by_owner: dict[str, list[tuple[ShardProgress, Choice, bool]]] = {}
    for item in state.outbox:
        by_owner.setdefault(item[1].owner.host_id, []).append(item)
    state.outbox = []
    for items in by_owner.values():
        _send_batch(state, items, now)


def _send_batch(
    state: SessionState, items: list[tuple[ShardProgress, Choice, bool]], now: timedelta
) -> None:
    request = state.request
    state.batch_count += 1
    batch_id = state.batch_count
    owner = items[0][1].owner
    silence_timeout = max(
        MIN_SILENCE_TIMEOUT, SILENCE_DELAY_MULTIPLE * state.hedge_delay
    )
    grace = max(FLUSH_GRACE, FLUSH_GRACE_RATIO * state.hedge_delay)
    batch = BatchProgress(
        batch_id,
        owner,
        late_at=now + state.hedge_delay,
        hedge_at=now + state.hedge_delay + grace,
        silent_at=now + silence_timeout,
    )
    subqueries = []
    for progress, choice, is_hedge in items:
        shard_id = progress.shard_id
        attempt = Attempt(choice.route, batch_id, now)
        progress.attempts.append(attempt)
        batch.attempts[shard_id] = attempt
        subqueries.append(
            Subquery(shard_id.service, shard_id.shard, choice.route.address, is_hedge)
        )
    state.batches[batch_id] = batch
    message = SubqueryBatch(
        query_id=request.query_id,
        application=state.plan.application,
        snapshot=state.version,
        deadline_unix_ms=request.deadline_unix_ms,
        first_flush_ms=ceil(FLUSH_DELAY_RATIO * to_ms(state.hedge_delay)),
        query=request.query,
        subqueries=tuple(subqueries),
    )
    timeout = max(timedelta(0), request.deadline - now)
    state.actions.append(SendBatch(batch_id, owner, message, timeout))
