"""Usual attempt times of the requests of one rule."""

from datetime import timedelta

from celeryferry_core.budgets import RECOMPUTE_AFTER_SAMPLES, LatencyWindow
from celeryferry_core.forwarding.models import ForwardingRule

# Before attempts were measured, a hedge leaves two thirds of the target to its answer.
UNMEASURED_HEDGE_RATIO = 1 / 3
UNMEASURED_USUAL_RATIO = 1 / 4
# A later hedge could not be answered within the target.
LATEST_HEDGE_RATIO = 1 / 2
MIN_HEDGE_DELAY = timedelta(milliseconds=8)
# Upstreams of one service differ in speed by up to 1.6 and single requests in work by
# about 2; what takes longer than both together is overdue.
OVERDUE_FACTOR = 4.0
MIN_OVERDUE_DELAY = timedelta(milliseconds=25)
USUAL_WEIGHT = 0.05
ONE_MS = timedelta(milliseconds=1)


class RuleTimes:
    """Measured times of successful attempts.

    :param target_latency: time within which an answer is of full use.
    """

    __slots__ = ("_count", "_target", "_usual_ms", "_window")

    def __init__(self, target_latency: timedelta) -> None:
        self._target = target_latency
        self._window = LatencyWindow()
        self._usual_ms = target_latency / ONE_MS * UNMEASURED_USUAL_RATIO
        self._count = 0

    def record(self, elapsed: timedelta) -> None:
        """Take over the time of a successful attempt.

        :param elapsed: time from sending to the complete response.
        """
        elapsed_ms = elapsed / ONE_MS
        self._count += 1
        self._window.record(elapsed_ms)
        self._usual_ms += (elapsed_ms - self._usual_ms) * USUAL_WEIGHT

    def get_relative_time(self, elapsed: timedelta) -> float:
        """Return a time relative to the usual one.

        :param elapsed: time of an attempt.
        """
        return elapsed / ONE_MS / max(1.0, self._usual_ms)

    @property
    def hedge_delay(self) -> timedelta:
        """Time after which a pending attempt is hedged."""
        if self._count < RECOMPUTE_AFTER_SAMPLES:
            return self._target * UNMEASURED_HEDGE_RATIO
        measured = timedelta(milliseconds=self._window.delay_ms)
        return max(MIN_HEDGE_DELAY, min(measured, self._target * LATEST_HEDGE_RATIO))

    @property
    def overdue_delay(self) -> timedelta:
        """Time after which a pending attempt counts against its upstream."""
        return max(MIN_OVERDUE_DELAY, self._usual_ms * ONE_MS * OVERDUE_FACTOR)


class TimesByRule:
    """Times of all rules by name."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: dict[str, RuleTimes] = {}

    def get_or_create(self, rule: ForwardingRule) -> RuleTimes:
        """Return the times of a rule.

        :param rule: the rule.
        """
        times = self._times.get(rule.name)
        if times is None:
            times = self._times[rule.name] = RuleTimes(rule.target_latency)
        return times

    def keep_only(self, names: frozenset[str]) -> None:
        """Drop the times of rules that are gone.

        :param names: names of the rules in force.
        """
        for name in [name for name in self._times if name not in names]:
            del self._times[name]
