"""State machine of one forwarded request, from start to result, without I/O."""

from datetime import timedelta

import msgspec

from celeryferry_core.environment import RandomSource
from celeryferry_core.forwarding.attempts import Attempt, ShardState
from celeryferry_core.forwarding.budgets import ExtraAttemptBudgets
from celeryferry_core.forwarding.events import (
    Action,
    AttemptEnded,
    CallerGone,
    CancelAttempt,
    Event,
    Finish,
    FinishBy,
    SendAttempt,
    SetTimer,
    TimerFired,
)
from celeryferry_core.forwarding.models import ForwardingRule
from celeryferry_core.forwarding.notices import RETURN_TIME
from celeryferry_core.forwarding.observations import mark_overdue, record_outcome
from celeryferry_core.forwarding.outcomes import (
    Failed,
    Lost,
    NotRunResult,
    RefusalReason,
    Refused,
    RequestResult,
    Succeeded,
)
from celeryferry_core.forwarding.results import (
    build_answer,
    build_uncovered_result,
    count_required_shards,
    is_final_failure,
)
from celeryferry_core.forwarding.selection import (
    COLD_REASON,
    SUSPECTED_REASON,
    Selection,
    UpstreamSelector,
)
from celeryferry_core.forwarding.timing import LATEST_HEDGE_RATIO, TimesByRule
from celeryferry_core.mechanisms import Mechanisms

# A session ends this long before its deadline, so that the caller receives the result
# in time.
FINISH_MARGIN = timedelta(milliseconds=10)
# Fraction of the target latency after which an answer with enough shards does not wait
# for the others. The remaining time covers the transfer to the caller.
PARTIAL_ANSWER_RATIO = 0.85
# Replicas of one service differ in speed by a factor of up to 1.6. A shard that takes
# longer than twice the median time of the covered shards, plus the slack, is a
# straggler. Requests with fewer shards than MIN_SHARDS_TO_COMPARE are not compared.
STRAGGLER_FACTOR = 2.0
STRAGGLER_SLACK = timedelta(milliseconds=3)
MIN_SHARDS_TO_COMPARE = 4
# Interval at which the selection is repeated for a shard that has no upstream
# available.
UPSTREAM_RECHECK_INTERVAL = timedelta(milliseconds=20)
# Fraction of the target latency after which the selection is no longer repeated.
MAX_WAIT_RATIO = 0.25
# Maximum number of refused attempts of a shard that are retried; the shard fails with
# the next refusal. A refusal costs the upstream little, but each one takes time.
MAX_RETRIED_REFUSALS = 3
# Reasons for which nothing was sent to the upstream.
UNSENT_REASONS = (RefusalReason.CONNECT_FAILED, RefusalReason.NOT_SENT)
# Delay before a retry by the caller, as a fraction of the time that the caller has
# left: at least 15 and less than 30 per cent. The random addition keeps callers that
# were refused together from retrying at the same time.
MIN_RETRY_AFTER_RATIO = 0.15
RETRY_AFTER_JITTER_RATIO = 0.15


class SessionContext(msgspec.Struct, frozen=True):
    """Objects that all sessions of one host share.

    :param budgets: budgets of extra attempts by service.
    :param times: attempt times by rule.
    :param mechanisms: mechanisms that tests can switch off.
    """

    selector: UpstreamSelector
    budgets: ExtraAttemptBudgets
    times: TimesByRule
    random: RandomSource
    mechanisms: Mechanisms = msgspec.field(default_factory=Mechanisms)


class ForwardingSession:
    """Handles the events of one request and returns the actions to perform.

    The rule and the services belong to the same configuration version for the whole
    request. Arguments named ``now`` are monotonic times.

    :param rule: rule of the request.
    :param services: services that the request goes to, one per shard.
    :param started_at: monotonic time at which the request was read.
    :param time_left: time for which the caller waits, counted from ``started_at``.
    :param context: objects that all sessions share.
    :ivar attempts: all attempts in the order of sending, for the log.
    :ivar result: result of the request, None until it is known.
    """

    __slots__ = (
        "_actions",
        "_partial_answer_at",
        "_finish_at",
        "_first_send_retry_at",
        "_context",
        "_overdue_check_at",
        "_required",
        "_shards",
        "_started_at",
        "_timer_at",
        "_times",
        "attempts",
        "result",
        "rule",
    )

    def __init__(
        self,
        rule: ForwardingRule,
        services: tuple[str, ...],
        started_at: timedelta,
        time_left: timedelta,
        context: SessionContext,
    ) -> None:
        self.rule = rule
        self.attempts: list[Attempt] = []
        self.result: RequestResult | None = None
        self._context = context
        self._times = context.times.get_or_create(rule)
        self._started_at = started_at
        self._finish_at = started_at + min(rule.timeout, time_left) - FINISH_MARGIN
        self._partial_answer_at = (
            started_at + rule.target_latency * PARTIAL_ANSWER_RATIO
        )
        self._required = count_required_shards(rule.target, len(services))
        self._shards = [ShardState(service) for service in services]
        self._first_send_retry_at: timedelta | None = None
        self._overdue_check_at: timedelta | None = None
        self._timer_at: timedelta | None = None
        self._actions: list[Action] = []

    def start(self, now: timedelta) -> list[Action]:
        """Send the first attempts, or refuse the request.

        :returns: actions in order.
        """
        if now >= self._finish_at:
            self._finish(self._refuse(RefusalReason.DEADLINE, now), now)
            return self._drain_actions()
        for shard in self._shards:
            self._context.budgets.count_request(shard.service, now)
        if self._count_usable_shards(now) < self._required:
            self._finish(self._refuse(RefusalReason.NO_UPSTREAM, now), now)
            return self._drain_actions()
        self._send_first_attempts(now)
        return self._advance(now)

    def handle(self, event: Event, now: timedelta) -> list[Action]:
        """Handle an event.

        :returns: actions in order. Once the result is known, there are none except the
            cancellations of open attempts when the caller disconnects.
        """
        match event:
            case AttemptEnded():
                self._handle_attempt_ended(event, now)
            case TimerFired():
                self._timer_at = None
                self._handle_timer(now)
            case FinishBy(at):
                self._finish_at = min(self._finish_at, at)
            case CallerGone():
                return self._abandon()
        return self._advance(now)

    def _abandon(self) -> list[Action]:
        if self.result is None:
            self.result = NotRunResult(RefusalReason.CALLER_GONE, timedelta(0))
        for attempt in self.attempts:
            if attempt.is_open:
                self._actions.append(CancelAttempt(attempt.attempt_id))
        return self._drain_actions()

    def _handle_attempt_ended(self, event: AttemptEnded, now: timedelta) -> None:
        attempt = self.attempts[event.attempt_id]
        if not attempt.is_open:
            return
        attempt.end(event.outcome, now)
        record_outcome(self._times, attempt, event, now)
        shard = attempt.shard
        shard.open_count -= 1
        if self.result is not None or shard.is_closed:
            return
        match event.outcome:
            case Succeeded():
                shard.success = attempt
                self._reschedule_hedges()
            case Refused(reason):
                shard.last_outcome = event.outcome
                shard.run_count -= 1
                shard.refusal_count += 1
                # A retry of a request that did not reach the upstream needs no budget.
                needs_budget = reason not in UNSENT_REASONS
                self._retry(shard, now, needs_budget)
            case Failed() | Lost():
                shard.last_outcome = event.outcome
                shard.may_have_run = True
                if self.rule.is_repeatable and not is_final_failure(event.outcome):
                    self._retry(shard, now, True)
                else:
                    shard.has_failed = True

    def _mark_overdue_attempts(self, now: timedelta) -> None:
        delay = self._times.overdue_delay
        self._overdue_check_at = None
        for attempt in self.attempts:
            # The shard has its answer. Ended attempts, such as the one that answered,
            # are skipped by mark_overdue.
            is_superseded = attempt.shard.success is not None
            if is_superseded or now >= attempt.sent_at + delay:
                mark_overdue(attempt)
            elif attempt.is_open:
                self._overdue_check_at = now + delay

    def _retry(self, shard: ShardState, now: timedelta, needs_budget: bool) -> None:
        if shard.open_count:
            return
        is_exhausted = shard.run_count >= self.rule.max_attempts
        is_exhausted |= shard.refusal_count > MAX_RETRIED_REFUSALS
        is_exhausted |= now >= self._finish_at
        if is_exhausted or (needs_budget and not self._try_acquire_budget(shard, now)):
            shard.has_failed = True
        else:
            self._send(shard, now)

    def _try_acquire_budget(self, shard: ShardState, now: timedelta) -> bool:
        return self._context.budgets.try_acquire(shard.service, now)

    def _handle_timer(self, now: timedelta) -> None:
        if self.result is not None or now >= self._finish_at:
            return
        if self._first_send_retry_at is not None:
            if now >= self._first_send_retry_at:
                self._send_first_attempts(now)
            return
        if self._overdue_check_at is not None and now >= self._overdue_check_at:
            self._mark_overdue_attempts(now)
        for shard in self._shards:
            if shard.is_closed:
                continue
            if shard.retry_at is not None and now >= shard.retry_at:
                shard.retry_at = None
                self._send(shard, now)
            elif shard.hedge_at is not None and now >= shard.hedge_at:
                shard.hedge_at = None
                self._hedge(shard, now)

    def _reschedule_hedges(self) -> None:
        """Replan the hedges of open shards by the times of the covered ones.

        All shards do the same work for one request, so once half of them have
        answered, their times identify a straggler better than earlier requests do.
        """
        succeeded = [
            shard.success for shard in self._shards if shard.success is not None
        ]
        if len(self._shards) < MIN_SHARDS_TO_COMPARE or 2 * len(succeeded) < len(
            self._shards
        ):
            return
        times = sorted(attempt.ended_at - attempt.sent_at for attempt in succeeded)
        median = times[len(times) // 2]
        latest = self._started_at + self.rule.target_latency * LATEST_HEDGE_RATIO
        for shard in self._shards:
            if shard.hedge_at is not None and not shard.is_closed:
                straggler_at = shard.latest_sent_at + median * STRAGGLER_FACTOR
                shard.hedge_at = min(latest, straggler_at + STRAGGLER_SLACK)

    def _hedge(self, shard: ShardState, now: timedelta) -> None:
        if shard.open_count != 1 or shard.run_count >= self.rule.max_attempts:
            return
        selection = self._context.selector.choose(shard.service, now, shard.tried)
        if selection is None or selection.reason in (COLD_REASON, SUSPECTED_REASON):
            return
        if self._try_acquire_budget(shard, now):
            self._add_attempt(shard, selection.upstream, f"hedge_{selection.reason}")

    def _send_first_attempts(self, now: timedelta) -> None:
        """Send to each shard with an available upstream, or none if too few have one.

        The minimum is the number of shards that the answer requires.
        """
        choose = self._context.selector.choose
        selections = [choose(shard.service, now) for shard in self._shards]
        self._first_send_retry_at = None
        if sum(candidate is not None for candidate in selections) < self._required:
            if self._may_wait(now) and self._count_usable_shards(now) >= self._required:
                self._first_send_retry_at = now + UPSTREAM_RECHECK_INTERVAL
            else:
                self._finish(self._refuse(RefusalReason.NO_UPSTREAM, now), now)
            return
        for shard, selection in zip(self._shards, selections, strict=True):
            self._send_to(shard, selection, now)

    def _send(self, shard: ShardState, now: timedelta) -> None:
        selector = self._context.selector
        self._send_to(shard, selector.choose(shard.service, now, shard.tried), now)

    def _send_to(
        self, shard: ShardState, selection: Selection | None, now: timedelta
    ) -> None:
        if selection is None:
            self._wait_or_fail(shard, now)
            return
        self._add_attempt(shard, selection.upstream, selection.reason)
        if self.rule.is_repeatable and self._context.mechanisms.hedging:
            shard.latest_sent_at = now
            shard.hedge_at = now + self._times.hedge_delay

    def _may_wait(self, now: timedelta) -> bool:
        wait_until = self._started_at + self.rule.target_latency * MAX_WAIT_RATIO
        return now + UPSTREAM_RECHECK_INTERVAL <= min(wait_until, self._finish_at)

    def _wait_or_fail(self, shard: ShardState, now: timedelta) -> None:
        is_usable = self._context.selector.has_usable_upstream(shard.service, now)
        if is_usable and self._may_wait(now) and not shard.tried:
            shard.retry_at = now + UPSTREAM_RECHECK_INTERVAL
            return
        shard.has_failed = True
        if shard.last_outcome is None:
            shard.last_outcome = Refused(RefusalReason.NO_UPSTREAM)

    def _add_attempt(self, shard: ShardState, upstream: object, reason: str) -> None:
        attempt_id = len(self.attempts)
        health = self._context.selector.get_health(upstream.instance_id)
        attempt = Attempt(attempt_id, shard, upstream, reason, health)
        self.attempts.append(attempt)
        shard.tried.add(upstream.instance_id)
        shard.open_count += 1
        shard.run_count += 1
        self._actions.append(SendAttempt(attempt_id, upstream, self._finish_at))

    def may_send(self, attempt_id: int, now: timedelta) -> bool:
        """Return whether an attempt may still be sent to its upstream.

        The upstream may have said that it leaves, wants a pause or is cold while the
        attempt waited for a connection.
        """
        attempt, selector = self.attempts[attempt_id], self._context.selector
        if not selector.may_use(attempt.upstream, now):
            return False
        is_chosen_as_cold = attempt.reason == COLD_REASON
        return is_chosen_as_cold or not selector.is_cold(
            attempt.upstream.instance_id, now
        )

    def _count_usable_shards(self, now: timedelta) -> int:
        has_usable_upstream = self._context.selector.has_usable_upstream
        return sum(has_usable_upstream(shard.service, now) for shard in self._shards)

    def _advance(self, now: timedelta) -> list[Action]:
        for action in self._actions:
            if isinstance(action, SendAttempt):
                attempt = self.attempts[action.attempt_id]
                attempt.sent_at = now
                if self._overdue_check_at is None:
                    self._overdue_check_at = now + self._times.overdue_delay
                self._context.selector.count_sent(attempt.upstream, now)
        if self.result is None:
            result = self._find_result(now)
            if result is not None:
                self._finish(result, now)
            else:
                self._arm_timer(now)
        return self._drain_actions()

    def _find_result(self, now: timedelta) -> RequestResult | None:
        is_timed_out = now >= self._finish_at
        shards = self._shards
        covered = sum(shard.success is not None for shard in shards)
        pending = sum(not shard.is_closed for shard in shards)
        can_cover_enough = covered + pending >= self._required
        should_wait = covered < self._required or now < self._partial_answer_at
        if pending and not is_timed_out and can_cover_enough and should_wait:
            return None
        if covered >= self._required:
            return build_answer(self.rule.target, shards)
        return build_uncovered_result(shards, is_timed_out) or self._refuse_shards(now)

    def _refuse_shards(self, now: timedelta) -> NotRunResult:
        for shard in self._shards:
            if isinstance(shard.last_outcome, Refused):
                return self._refuse(shard.last_outcome.reason, now)
        return self._refuse(RefusalReason.NO_UPSTREAM, now)

    def _refuse(self, reason: RefusalReason, now: timedelta) -> NotRunResult:
        remaining = max(timedelta(0), self._finish_at - now)
        ratio = (
            MIN_RETRY_AFTER_RATIO
            + RETRY_AFTER_JITTER_RATIO * self._context.random.random()
        )
        return NotRunResult(reason, max(remaining * ratio, self._get_pause_left(now)))

    def _get_pause_left(self, now: timedelta) -> timedelta:
        """Return the time before which a retry at this host is useless.

        Then enough shards have an upstream that does not want a pause. The random
        addition spreads the callers that were refused in the meantime.
        """
        get_pause_left = self._context.selector.get_pause_left
        pauses = sorted(get_pause_left(shard.service, now) for shard in self._shards)
        left = pauses[self._required - 1]
        return left + RETURN_TIME * self._context.random.random() if left else left

    def _arm_timer(self, now: timedelta) -> None:
        times = [self._finish_at]
        times += [
            t
            for t in (self._first_send_retry_at, self._overdue_check_at)
            if t is not None
        ]
        if now < self._partial_answer_at:
            times.append(self._partial_answer_at)
        for shard in self._shards:
            if not shard.is_closed:
                times += [t for t in (shard.hedge_at, shard.retry_at) if t is not None]
        at = min(times)
        if at != self._timer_at:
            self._timer_at = at
            self._actions.append(SetTimer(at))

    def _finish(self, result: RequestResult, now: timedelta) -> None:
        self.result = result
        self._mark_overdue_attempts(now)
        self._actions.append(Finish(result))

    def _drain_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
