"""State of one search session and queue of its outgoing subqueries."""

from dataclasses import replace
from datetime import timedelta
from typing import Any

from celeryferry_core.budgets import Budgets
from celeryferry_core.decisions.front import QueryPlanned
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.callers import Hit
from celeryferry_core.models.topology import Host, ShardId
from celeryferry_core.plans import ApplicationPlan, PlannedShard
from celeryferry_core.routing import Choice, Router
from celeryferry_core.search_events import (
    Action,
    CancelBatch,
    Record,
    SessionRequest,
)
from celeryferry_core.search_progress import Attempt, BatchProgress, ShardProgress
from celeryferry_core.upstream_catalog import VersionChoice


def to_ms(duration: timedelta) -> float:
    """Return a duration in milliseconds, rounded to microseconds.

    Unlike ``durations.to_milliseconds``, it keeps the fraction of a millisecond.
    """
    return round(duration.total_seconds() * 1000, 3)


class SessionState:
    """Progress of a query, and its queues of subqueries and actions.

    :param router: state of upstreams and owners.
    :ivar hedge_delay: time before pending subqueries are hedged.
    :ivar batch_count: number of batches sent so far.
    :ivar actions: actions not returned yet.
    :ivar batches: batches in flight, by number.
    :ivar shards: all shards of the index version.
    :ivar pending: shards that the query still waits for.
    :ivar outbox: subqueries queued for the next batches; True marks a hedge.
    :ivar version: index version of the query, -1 if no version is known.
    :ivar timer_at: monotonic time for which the timer is set, None if it is not.
    :ivar retry_after_ms: longest retry-after time of a refusal, in milliseconds.
    :ivar has_begun: whether the first subqueries were chosen.
    :ivar may_have_run: whether a subquery has run or may have run.
    :ivar is_finished: whether the session has ended and ignores further events.
    """

    __slots__ = (
        "batch_count",
        "hedge_delay",
        "actions",
        "batches",
        "budgets",
        "has_begun",
        "is_finished",
        "may_have_run",
        "mechanisms",
        "outbox",
        "pending",
        "plan",
        "request",
        "retry_after_ms",
        "router",
        "shards",
        "timer_at",
        "version",
    )

    def __init__(
        self,
        request: SessionRequest,
        plan: ApplicationPlan,
        router: Router,
        budgets: Budgets,
        mechanisms: Mechanisms,
    ) -> None:
        self.request = request
        self.plan = plan
        self.router = router
        self.budgets = budgets
        self.mechanisms = mechanisms
        self.hedge_delay = budgets.hedge_delay(plan.hedge_floor_ms)
        self.outbox: list[tuple[ShardProgress, Choice, bool]] = []
        self.batch_count = 0
        self.timer_at: timedelta | None = None
        self.retry_after_ms = 0
        self.has_begun = False
        self.actions: list[Action] = []
        self.batches: dict[int, BatchProgress] = {}
        self.shards: dict[ShardId, ShardProgress] = {}
        self.pending: dict[ShardId, ShardProgress] = {}
        self.version = -1
        self.may_have_run = False
        self.is_finished = False

    def pop_actions(self) -> list[Action]:
        """Return the actions added since the previous call."""
        actions, self.actions = self.actions, []
        return actions

    def record_decision(
        self,
        kind: type,
        shard: Any,
        upstream: str | None,
        host: Host | None,
        reason: str,
        **more: Any,
    ) -> None:
        """Record a decision about a shard.

        :param kind: class of the decision.
        :param shard: anything with ``service`` and ``shard``.
        :param upstream: chosen upstream, None if there is none.
        :param host: its owner, None if there is none.
        :param reason: why this upstream was chosen, or why there is none.
        """
        host_id = None if host is None else host.host_id
        decision = kind(
            query_id=self.request.query_id,
            service=shard.service,
            shard=shard.shard,
            upstream=upstream,
            host_id=host_id,
            reason=str(reason),
            **more,
        )
        self.actions.append(Record(decision))

    def record_retry_after(self, retry_after_ms: int) -> None:
        """Keep the longest retry-after time of all refusals."""
        self.retry_after_ms = max(self.retry_after_ms, retry_after_ms)

    def start_version(self, choice: VersionChoice | None) -> None:
        """Make all shards of an index version pending and clear the outbox.

        :param choice: index version of the query, None if no version is known.
        """
        request = self.request
        planned = self.plan.shards
        if choice is not None:
            self.version = choice.version
            planned = tuple(
                shard for shard in planned if shard.shard.includes(choice.version)
            )
        decision = QueryPlanned(
            request.query_id,
            self.plan.application,
            None if choice is None else choice.version,
            len(planned),
            0 if choice is None else choice.available_count,
            to_ms(request.deadline - request.started),
            to_ms(self.hedge_delay),
        )
        self.actions.append(Record(decision))
        self.shards = {
            shard.shard_id: self._create_progress(shard) for shard in planned
        }
        self.pending = dict(self.shards)
        self.outbox.clear()

    def replace_plan(self, plan: ApplicationPlan) -> None:
        """Use the routes of a new plan, so that excluded upstreams get no new work.

        A shard that is missing from the new plan gets no routes.
        """
        self.plan = plan
        by_id = {shard.shard_id: shard for shard in plan.shards}
        for progress in self.pending.values():
            old = progress.planned
            without_routes = replace(old, routes=(), addresses=())
            progress.planned = by_id.get(old.shard_id, without_routes)

    def _create_progress(self, shard: PlannedShard) -> ShardProgress:
        request = self.request
        wait_until = min(request.deadline, request.started + shard.wait)
        fail_over_at = request.started + (wait_until - request.started) / 2
        return ShardProgress(shard, wait_until, fail_over_at)

    def record_choice(
        self,
        kind: type,
        progress: ShardProgress,
        choice: Choice | None,
        reason: str,
        **more: Any,
    ) -> None:
        """Record a decision about the replica of a shard, with its candidates.

        :param kind: class of the decision.
        :param choice: replica and owner, None if there is none.
        :param reason: why it was chosen, or why there is none.
        """
        upstream = None if choice is None else choice.route.address
        owner = None if choice is None else choice.owner
        candidates = progress.planned.addresses
        self.record_decision(
            kind,
            progress.shard_id,
            upstream,
            owner,
            reason,
            candidates=candidates,
            **more,
        )

    def enqueue(self, progress: ShardProgress, choice: Choice, is_hedge: bool) -> None:
        """Queue a subquery for the next batch to its owner.

        :param choice: replica and owner.
        :param is_hedge: whether it is a hedge, sent while another subquery is open.
        """
        progress.tried.add(choice.route.address)
        self.outbox.append((progress, choice, is_hedge))

    def record_answer(
        self,
        progress: ShardProgress,
        attempt: Attempt,
        hits: list[Hit],
        was_held_back: bool,
        now: timedelta,
    ) -> None:
        """Record the first valid answer of a shard; later ones are ignored.

        Batches that have no other open subquery are cancelled.

        :param attempt: subquery that was answered.
        :param hits: hits of the answer.
        :param was_held_back: whether the answer came in the owner's first line, which
            the owner delays, so that the measured time may be too long.
        :param now: present monotonic time.
        """
        attempt.is_open = False
        if self.pending.pop(progress.shard_id, None) is None:
            return
        progress.hits = hits
        self._sample_latency(attempt, was_held_back, now)
        for other in progress.open_attempts():
            other.is_open = False
            if other.sent_at < attempt.sent_at:
                # The replica asked first is slow. Without the mark, the next queries of
                # this host would wait for it as well until its owner has reported the
                # higher latency.
                self.router.suspects.mark(other.route.address, now)
            batch = self.batches.get(other.batch_id)
            if batch is not None and not batch.is_waiting:
                del self.batches[other.batch_id]
                self.actions.append(CancelBatch(other.batch_id))

    def _sample_latency(
        self, attempt: Attempt, was_held_back: bool, now: timedelta
    ) -> None:
        elapsed_ms = to_ms(now - attempt.sent_at)
        if was_held_back:
            # The owner held the line back for part of the hedge delay, so the elapsed
            # time is too long. Only the owner knows the real latency.
            observation = self.router.catalog.get_observation(attempt.route.address)
            if observation is None:
                return
            elapsed_ms = min(elapsed_ms, observation.latency_ms)
        self.budgets.latencies.record(elapsed_ms)

    def cancel_all(self) -> None:
        """Cancel all batches in flight by closing their streams."""
        for batch_id in self.batches:
            self.actions.append(CancelBatch(batch_id))
        self.batches.clear()
