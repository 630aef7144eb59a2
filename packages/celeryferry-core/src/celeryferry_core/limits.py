"""Adaptive concurrency limit, admission and queue bound of one upstream."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from celeryferry_core.durations import ZERO_DURATION, to_milliseconds
from celeryferry_core.growth import GrowthCounter
from celeryferry_core.latencies import LatencyTracker
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import NotRun, NotRunReason, UpstreamState
from celeryferry_core.models.topology import UpstreamLimits
from celeryferry_core.upstream_status import UpstreamStatus

# Queued requests allowed per slot of an upstream. The number of slots is the highest
# concurrency limit, set in the service document.
MAX_QUEUED_PER_SLOT = 8


class LimitCause(StrEnum):
    """Reason why a limit changed."""

    COLD = "cold"
    DRAINING = "draining"
    SHEDDING = "shedding"
    UNREACHABLE = "unreachable"
    RESTARTED = "restarted"
    LATENCY_STEP = "latency_step"
    SUCCESSES = "successes"
    DRAIN_ENDED = "drain_ended"
    CONFIGURATION = "configuration"
    NEW_OWNER = "new_owner"


# Causes that count as a failure of the upstream under its load. Only these may double
# the number of successes that ``GrowthCounter`` needs for an increase.
_FAILURE_CAUSES = frozenset(
    {
        LimitCause.COLD,
        LimitCause.SHEDDING,
        LimitCause.UNREACHABLE,
        LimitCause.RESTARTED,
    }
)


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of the limit, or only of the state if the limit cannot fall further.

    :param before: limit before the change.
    :param after: limit after the change; equal to ``before`` if only the state changed.
    """

    before: int
    after: int
    cause: LimitCause


class UpstreamLimit:
    """Concurrency limit of one upstream, adapted to its answers.

    The limit starts at the cold limit, grows by one after a number of successes and
    falls back to the cold limit on a negative signal.

    :param limits: limits from the service document.
    :param mechanisms: switches for tests.
    :ivar limit: present concurrency limit.
    :ivar status: state and pauses of the upstream.
    :ivar epoch: number of times the limit was reset to the cold limit, also if it was
        not higher before. Each request stores it when it is sent, so that
        ``record_success`` can recognize requests sent before the latest reset.
    """

    __slots__ = (
        "_growth",
        "_latencies",
        "_limits",
        "_mechanisms",
        "epoch",
        "limit",
        "status",
    )

    def __init__(self, limits: UpstreamLimits, mechanisms: Mechanisms) -> None:
        self._limits = limits
        self._mechanisms = mechanisms
        self._latencies = LatencyTracker()
        self._growth = GrowthCounter()
        self.epoch = 0
        self.status = UpstreamStatus()
        self.limit = self._cold_limit

    @property
    def latency(self) -> timedelta:
        """Smoothed latency, zero before the first answer."""
        return self._latencies.latency

    @property
    def queue_bound(self) -> int:
        """Largest number of queued requests."""
        return MAX_QUEUED_PER_SLOT * self._limits.slots

    @property
    def _cold_limit(self) -> int:
        if not self._mechanisms.cold_limit:
            return self._limits.slots
        return min(self._limits.cold_limit, self._limits.slots)

    def replace_limits(self, limits: UpstreamLimits) -> LimitChange | None:
        """Use the limits from a new service document.

        :returns: the change of the present limit, if any.
        """
        self._limits = limits
        return self._set_limit(min(self.limit, limits.slots), LimitCause.CONFIGURATION)

    def reset_to_cold_limit(self) -> LimitChange | None:
        """Start again at the cold limit, as a new owner does.

        :returns: the change of the present limit, if any.
        """
        self.status.record_negative_signal()
        return self._reduce_limit(LimitCause.NEW_OWNER)

    def may_start(self, now: timedelta, in_flight: int) -> bool:
        """Return whether one more request may be sent.

        The limit and a pause after refusals or failures are checked. An unreachable
        upstream gets one trial request at a time.

        :param in_flight: number of requests sent and not finished.
        """
        if in_flight >= self.limit or now < self.status.resume_at:
            return False
        return in_flight == 0 or not self.status.is_unreachable

    def estimate_answer_time(
        self, now: timedelta, in_flight: int, queued_ahead: int
    ) -> timedelta:
        """Estimate the time until a new request would be answered.

        :param in_flight: number of requests sent and not finished.
        :param queued_ahead: number of requests queued before this one.
        :returns: sum of the pause, the time in the queue and one latency.
        """
        waiting = max(0, in_flight + queued_ahead + 1 - self.limit)
        pause = max(ZERO_DURATION, self.status.resume_at - now)
        return pause + self.latency * (1 + waiting / self.limit)

    def check_admission(
        self, now: timedelta, in_flight: int, queued_ahead: int, time_left: timedelta
    ) -> NotRun | None:
        """Decide whether a request is refused instead of sent or queued.

        The latency estimate is not applied to a request that finds the upstream idle:
        without answers the estimate would never recover.

        :param in_flight: number of requests sent and not finished.
        :param queued_ahead: number of requests queued before this one.
        :param time_left: time until the deadline of the request.
        :returns: the refusal, or None if the request is admitted.
        """
        if time_left <= ZERO_DURATION:
            return NotRun(NotRunReason.DEADLINE)
        status = self.status
        if status.is_draining and self._mechanisms.drain_check:
            return NotRun(NotRunReason.DRAINING)
        is_pausing = now < status.resume_at
        is_idle = in_flight + queued_ahead == 0 and not is_pausing
        if status.is_unreachable and not is_idle:
            retry_after_ms = to_milliseconds(status.resume_at - now)
            return NotRun(NotRunReason.UNREACHABLE, retry_after_ms=retry_after_ms)
        if is_idle:
            return None
        is_late = self.estimate_answer_time(now, in_flight, queued_ahead) > time_left
        is_full = queued_ahead >= self.queue_bound
        mechanisms = self._mechanisms
        if (is_late and mechanisms.early_refusal) or (
            is_full and mechanisms.queue_bound
        ):
            return self._build_overload_refusal(now, in_flight, queued_ahead)
        return None

    def record_success(self, epoch: int, latency: timedelta) -> LimitChange | None:
        """Record an answer without a negative signal.

        Answers to requests that were sent before the latest reset of the limit do not
        count towards growth, because they say nothing about the recovery after it.

        :param epoch: value of ``epoch`` when the request was sent.
        :param latency: time from sending to the answer.
        :returns: the change of the limit, if any.
        """
        if self._latencies.record(latency):
            return self._reduce_limit(LimitCause.LATENCY_STEP)
        if epoch != self.epoch or self.status.is_draining:
            return None
        self.status.record_ready()
        if not self._growth.record_success(self.limit, self._limits.slots):
            return None
        return self._set_limit(self.limit + 1, LimitCause.SUCCESSES)

    def record_abandoned(self, elapsed: timedelta) -> LimitChange | None:
        """Record the elapsed time of a request that was abandoned without an answer.

        :param elapsed: time since the request was sent. It is only a lower bound of the
            latency, so it is ignored unless it exceeds the smoothed latency.
        :returns: the change of the limit, if any.
        """
        if elapsed <= self.latency or not self._latencies.record(elapsed):
            return None
        return self._reduce_limit(LimitCause.LATENCY_STEP)

    def record_negative_signal(
        self, cause: LimitCause, now: timedelta
    ) -> LimitChange | None:
        """Record a negative signal from any source.

        :returns: the change of the limit or the state, if any.
        """
        state_before = self.status.state
        if cause is LimitCause.DRAINING and not self._mechanisms.drain_check:
            return None
        match cause:
            case LimitCause.DRAINING:
                self.status.record_drain(now)
            case LimitCause.UNREACHABLE:
                self.status.record_unreachable(now)
            case _:
                self.status.record_negative_signal()
        return self._reduce_limit(cause, state_before)

    def record_refusal(self, cause: LimitCause, now: timedelta) -> LimitChange | None:
        """Record a refusal by the upstream and pause before the next request.

        :param cause: cold, draining or shedding.
        :returns: the change of the limit or the state, if any.
        """
        self.status.record_refusal(now)
        return self.record_negative_signal(cause, now)

    def record_health_answer(
        self, state: UpstreamState, polled_at: timedelta, now: timedelta
    ) -> LimitChange | None:
        """Record the answer to a health poll.

        A health answer can only worsen the state, with one exception: a draining
        upstream gets no requests whose answers could show that it is back, so several
        consecutive polls that do not report draining end a drain. The upstream then
        starts at the cold limit.

        :param state: state in the health answer; unreachable if the connection was
            refused.
        :param polled_at: monotonic time at which the poll was sent.
        :returns: the change of the limit or the state, if any.
        """
        state_before = self.status.state
        match state:
            case UpstreamState.DRAINING:
                return self.record_negative_signal(LimitCause.DRAINING, now)
            case UpstreamState.UNREACHABLE:
                self.status.record_health_unreachable(now)
                return self._reduce_limit(LimitCause.UNREACHABLE, state_before)
        if self.status.is_draining:
            if self.status.record_not_draining_poll(polled_at):
                return self._reduce_limit(LimitCause.DRAIN_ENDED, state_before)
            return None
        if state is UpstreamState.COLD and not self.status.is_unreachable:
            return self.record_negative_signal(LimitCause.COLD, now)
        return None

    def _build_overload_refusal(
        self, now: timedelta, in_flight: int, queued_ahead: int
    ) -> NotRun:
        is_cold = self.status.state is UpstreamState.COLD
        reason = NotRunReason.COLD if is_cold else NotRunReason.OVERLOADED
        wait = self.estimate_answer_time(now, in_flight, queued_ahead) - self.latency
        return NotRun(reason, retry_after_ms=max(1, to_milliseconds(wait)))

    def _reduce_limit(
        self, cause: LimitCause, state_before: UpstreamState | None = None
    ) -> LimitChange | None:
        self.epoch += 1
        self._growth.record_decrease(cause in _FAILURE_CAUSES)
        change = self._set_limit(min(self.limit, self._cold_limit), cause)
        if change is None and state_before not in (None, self.status.state):
            return LimitChange(self.limit, self.limit, cause)
        return change

    def _set_limit(self, limit: int, cause: LimitCause) -> LimitChange | None:
        before = self.limit
        self.limit = limit
        return LimitChange(before, limit, cause) if limit != before else None
