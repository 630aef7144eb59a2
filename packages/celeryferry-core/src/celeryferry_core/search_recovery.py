"""Initial choice of replicas, hedges, retries and fail-over of a search session."""

from datetime import timedelta

from celeryferry_core.decisions.front import ShardHedged, ShardRetried, ShardRouted
from celeryferry_core.models.outcomes import CoverageReason
from celeryferry_core.models.topology import Host
from celeryferry_core.routing import Choice
from celeryferry_core.search_progress import Attempt, BatchProgress, ShardProgress
from celeryferry_core.search_state import SessionState
from celeryferry_core.upstream_catalog import VersionChoice

# The owner flushes its first line before the end of the hedge delay. This is the
# minimum grace period after the delay in which that line may still arrive. The same
# time is used for stalls of this process: a timer that fires late by this time or more
# shows a stall, and hedging is then postponed by it.
FLUSH_GRACE = timedelta(milliseconds=4)
# While a lease moves, no host owns the key for up to about a second. A shard without an
# owner is tried again in rounds. The pause before each round doubles, so the rounds
# together outlast that time.
FIRST_ROUND_PAUSE = timedelta(milliseconds=50)
MAX_OWNERLESS_ROUNDS = 5


class Recovery:
    """Chooses the replica of each shard, at the start and after a delay or failure."""

    __slots__ = ("_state",)

    def __init__(self, state: SessionState) -> None:
        self._state = state

    def route_all(self, choice: VersionChoice | None, now: timedelta) -> None:
        """Choose the first replica of every shard of an index version.

        :param choice: index version of the query, None if no version is known.
        :param now: present monotonic time.
        """
        self._state.start_version(choice)
        owners: dict[str, Host | None] = {}
        for progress in self._state.shards.values():
            self.route(progress, now, owners)
        self._state.has_begun = True

    def route(
        self,
        progress: ShardProgress,
        now: timedelta,
        owners: dict[str, Host | None] | None = None,
    ) -> None:
        """Choose the first replica of a shard.

        :param now: present monotonic time.
        :param owners: cache of owners by key, shared by the shards of the query.
        """
        shard = progress.planned
        choice = self._state.router.choose(
            shard, self._state.version, now, owners=owners
        )
        if isinstance(choice, CoverageReason):
            self._state.record_choice(ShardRouted, progress, None, choice)
            self._pause_or_stop_waiting(progress, choice, now)
            return
        self._state.record_choice(ShardRouted, progress, choice, choice.reason)
        if self._state.has_begun:
            self._state.budgets.extra_subqueries += 1
        else:
            document = shard.document
            self._state.budgets.count_subquery(
                document.hedging.budget_percent, document.retries.budget_percent
            )
        self._state.enqueue(progress, choice, is_hedge=False)

    def retry(
        self,
        progress: ShardProgress,
        failed: Attempt,
        ran_nothing: bool,
        now: timedelta,
    ) -> None:
        """Ask another replica; if there is none, pause or stop waiting for the shard.

        :param progress: the shard.
        :param failed: subquery that failed or got no answer in time.
        :param ran_nothing: whether it is certain that the subquery did not run.
        :param now: present monotonic time.
        """
        if now >= progress.wait_until:
            self._stop_waiting_if_idle(progress)
            return
        state = self._state
        failed_domain = failed.route.failure_domain
        choice = state.router.choose(
            progress.planned,
            state.version,
            now,
            progress.tried,
            progress.failed_hosts,
            failed_domain,
        )
        cause = str(progress.cause)
        if isinstance(choice, CoverageReason):
            state.record_choice(ShardRetried, progress, None, choice, cause=cause)
            self._pause_or_stop_waiting(progress, progress.reason or choice, now)
            return
        may_use_reserve = ran_nothing or choice.route.failure_domain != failed_domain
        if not state.budgets.spend_retry(now, may_use_reserve):
            state.record_choice(ShardRetried, progress, None, "budget", cause=cause)
            self._stop_waiting_if_idle(progress)
            return
        state.record_choice(ShardRetried, progress, choice, choice.reason, cause=cause)
        state.enqueue(progress, choice, is_hedge=False)

    def _pause_or_stop_waiting(
        self, progress: ShardProgress, reason: CoverageReason, now: timedelta
    ) -> None:
        progress.reason = reason
        pause = FIRST_ROUND_PAUSE * 2**progress.ownerless_rounds
        may_get_owner = (
            reason is CoverageReason.NO_OWNER
            and progress.ownerless_rounds < MAX_OWNERLESS_ROUNDS
        )
        if not may_get_owner or now + pause >= progress.wait_until:
            self._stop_waiting_if_idle(progress)
            return
        progress.ownerless_rounds += 1
        progress.retry_at = now + pause

    def _stop_waiting_if_idle(self, progress: ShardProgress) -> None:
        if not progress.open_attempts():
            self._state.pending.pop(progress.shard_id, None)

    def _start_round(self, progress: ShardProgress, now: timedelta) -> None:
        progress.retry_at = None
        progress.tried.clear()
        progress.failed_hosts.clear()
        progress.was_redirected = False
        if progress.attempts:
            self.retry(progress, progress.attempts[-1], True, now)
        else:
            self.route(progress, now)

    def handle_line(self, batch: BatchProgress, is_first: bool, now: timedelta) -> None:
        """Hedge the shards that a line left pending, if the hedge delay is over.

        Once the first line has arrived, the hedge is due at the end of the hedge delay,
        without the grace period.

        :param now: present monotonic time.
        """
        if is_first and not batch.hedge_considered:
            batch.hedge_at = batch.late_at
        if now >= batch.hedge_at and (is_first or batch.hedge_was_denied):
            self.hedge_batch(batch, now)

    def hedge_batch(self, batch: BatchProgress, now: timedelta) -> None:
        """Ask other replicas for the pending shards of a batch.

        Either all late shards are hedged or, if the budget does not cover them, none.

        :param now: present monotonic time.
        """
        batch.hedge_considered = True
        batch.hedge_was_denied = False
        if not self._state.mechanisms.hedging:
            return
        late: list[tuple[ShardProgress, Choice]] = []
        for shard_id, attempt in batch.attempts.items():
            progress = self._state.pending.get(shard_id)
            if progress is None or not attempt.is_open or progress.hedge_considered:
                continue
            choice = self._choose_hedge(progress, attempt, batch.host, now)
            if choice is not None:
                late.append((progress, choice))
        batch.hedge_was_denied = not self._state.budgets.spend_hedges(len(late))
        for progress, choice in late:
            self._hedge(progress, choice, batch.hedge_was_denied)

    def _choose_hedge(
        self, progress: ShardProgress, attempt: Attempt, host: Host, now: timedelta
    ) -> Choice | None:
        if progress.planned.document.hedging.budget_percent <= 0:
            return None
        choice = self._state.router.choose(
            progress.planned,
            self._state.version,
            now,
            progress.tried,
            progress.failed_hosts | {host.host_id},
            attempt.route.failure_domain,
        )
        if not isinstance(choice, CoverageReason):
            return choice
        progress.hedge_considered = True
        self._state.record_choice(ShardHedged, progress, None, choice)
        return None

    def _hedge(self, progress: ShardProgress, choice: Choice, is_denied: bool) -> None:
        if is_denied:
            self._state.record_choice(ShardHedged, progress, None, "budget")
            return
        progress.hedge_considered = True
        self._state.record_choice(ShardHedged, progress, choice, choice.reason)
        self._state.enqueue(progress, choice, is_hedge=True)

    def handle_timer(self, now: timedelta) -> None:
        """Start the retries, hedges and fail-overs that are due.

        :param now: present monotonic time.
        """
        self._state.timer_at = None
        for progress in list(self._state.pending.values()):
            if progress.retry_at is not None and progress.retry_at <= now:
                self._start_round(progress, now)
            if progress.fail_over_at is not None and progress.fail_over_at <= now:
                self._fail_over_shard(progress, now)
        for batch in list(self._state.batches.values()):
            if not batch.hedge_considered and batch.hedge_at <= now:
                if self._postpone_if_stalled(batch, now):
                    continue
                self.hedge_batch(batch, now)
            is_due = batch.silent_at <= now and not batch.was_silent
            if is_due and not batch.has_line:
                self._fail_over_batch(batch, now)

    def _postpone_if_stalled(self, batch: BatchProgress, now: timedelta) -> bool:
        if batch.was_postponed or now - batch.hedge_at < FLUSH_GRACE:
            return False
        # The timer fired late, so this process was stalled. The answers may already be
        # in its socket buffers, and hedging now would waste the budget on them.
        batch.was_postponed = True
        batch.hedge_at = now + FLUSH_GRACE
        batch.silent_at = max(batch.silent_at, now + FLUSH_GRACE)
        return True

    def _fail_over_shard(self, progress: ShardProgress, now: timedelta) -> None:
        # The hedge budget limits only extra work that lowers latency. A shard that
        # would otherwise be missing from the answer is retried as after a failure,
        # while there is time for an answer.
        progress.fail_over_at = None
        waiting = progress.open_attempts()
        if len(waiting) == 1 and self._state.mechanisms.hedging:
            progress.cause = "late"
            self.retry(progress, waiting[0], False, now)

    def _fail_over_batch(self, batch: BatchProgress, now: timedelta) -> None:
        batch.was_silent = True
        queued = {progress.shard_id for progress, _, _ in self._state.outbox}
        for shard_id, attempt in batch.attempts.items():
            progress = self._state.pending.get(shard_id)
            if progress is None or not attempt.is_open or shard_id in queued:
                continue
            self._state.router.mark_unstable(attempt.route.key, now)
            progress.failed_hosts.add(batch.host.host_id)
            if len(progress.open_attempts()) == 1:
                progress.cause = "owner_silent"
                self.retry(progress, attempt, False, now)
