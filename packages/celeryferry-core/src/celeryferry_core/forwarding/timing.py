"""Measured times of attempts, by rule."""

from datetime import timedelta

from celeryferry_core.budgets import RECOMPUTE_AFTER_SAMPLES, LatencyWindow
from celeryferry_core.forwarding.models import ForwardingRule

# Fractions of the target latency that are used until enough attempts were measured. The
# hedge delay leaves two thirds of the target for the answer to the hedge.
UNMEASURED_HEDGE_RATIO = 1 / 3
UNMEASURED_USUAL_RATIO = 1 / 4
# Latest time of a hedge, as a fraction of the target latency. A later hedge could not
# be answered within the target.
LATEST_HEDGE_RATIO = 1 / 2
MIN_HEDGE_DELAY = timedelta(milliseconds=8)
# The upstreams of one service differ in speed by a factor of up to 1.6, and single
# requests in work by a factor of about 2. An attempt that takes longer than the
# product of both factors, 3.2, allows is overdue.
OVERDUE_FACTOR = 4.0
MIN_OVERDUE_DELAY = timedelta(milliseconds=25)
USUAL_WEIGHT = 0.05
ONE_MS = timedelta(milliseconds=1)


class RuleTimes:
    """Measured times of the successful attempts of one rule.

    :param target_latency: time within which an answer is fully useful to the caller.
    """

    __slots__ = ("_count", "_target", "_usual_ms", "_window")

    def __init__(self, target_latency: timedelta) -> None:
        self._target = target_latency
        self._window = LatencyWindow()
        self._usual_ms = target_latency / ONE_MS * UNMEASURED_USUAL_RATIO
        self._count = 0

    def record(self, elapsed: timedelta) -> None:
        """Record the time of a successful attempt.

        :param elapsed: time from sending the request to the complete response.
        """
        elapsed_ms = elapsed / ONE_MS
        self._count += 1
        self._window.record(elapsed_ms)
        self._usual_ms += (elapsed_ms - self._usual_ms) * USUAL_WEIGHT

    def get_relative_time(self, elapsed: timedelta) -> float:
        """Return the time of an attempt as a multiple of the usual one."""
        return elapsed / ONE_MS / max(1.0, self._usual_ms)

    @property
    def hedge_delay(self) -> timedelta:
        """Time after which an open attempt is hedged."""
        if self._count < RECOMPUTE_AFTER_SAMPLES:
            return self._target * UNMEASURED_HEDGE_RATIO
        measured = timedelta(milliseconds=self._window.delay_ms)
        return max(MIN_HEDGE_DELAY, min(measured, self._target * LATEST_HEDGE_RATIO))

    @property
    def overdue_delay(self) -> timedelta:
        """Time after which an open attempt counts against its upstream."""
        return max(MIN_OVERDUE_DELAY, self._usual_ms * ONE_MS * OVERDUE_FACTOR)


class TimesByRule:
    """Attempt times of all rules, by rule name."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: dict[str, RuleTimes] = {}

    def get_or_create(self, rule: ForwardingRule) -> RuleTimes:
        """Return the times of a rule, created on first use."""
        times = self._times.get(rule.name)
        if times is None:
            times = self._times[rule.name] = RuleTimes(rule.target_latency)
        return times

    def keep_only(self, names: frozenset[str]) -> None:
        """Drop the times of all other rules.

        :param names: names of the rules in force.
        """
        for name in [name for name in self._times if name not in names]:
            del self._times[name]
