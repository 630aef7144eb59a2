"""Observations of upstreams from the attempts of this host."""

from datetime import timedelta

SLOWNESS_WEIGHT = 0.2
# The queue of an upstream drains within a few service times of 7 to 30 ms each, so an
# older report of load does not predict the time of the next request.
LOAD_REPORT_LIFETIME = timedelta(milliseconds=100)
# An upstream that receives no work cannot show that it has recovered, so observations
# decay towards those of an unknown upstream. Disturbances last some seconds.
OBSERVATION_HALF_LIFE = timedelta(seconds=2)
FAILURE_WEIGHT = 0.1
# Cost of a failed attempt relative to a successful one, since it must be repeated at
# another upstream.
FAILURE_COST_FACTOR = 8.0
# An overdue attempt has taken four times the usual time or more, and the next attempt
# may take as long.
OVERDUE_COST_FACTOR = 3.0
# A failed upstream is suspected for this time, doubled with every further consecutive
# failure. A suspected upstream is selected only if there is no other.
FIRST_BACKOFF = timedelta(milliseconds=250)
MAX_BACKOFF = timedelta(seconds=2)


class UpstreamHealth:
    """Observations of one upstream.

    Arguments named ``now`` are monotonic times.

    :ivar in_flight: number of attempts of this host without an outcome.
    :ivar overdue_count: number of those that take much longer than usual.
    :ivar suspected_until: monotonic time until which the upstream is suspected.
    """

    __slots__ = (
        "_failure_ratio",
        "_consecutive_failures",
        "_load",
        "_load_at",
        "_observed_at",
        "_slowness",
        "in_flight",
        "overdue_count",
        "suspected_until",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.overdue_count = 0
        self.suspected_until = timedelta(0)
        self._load = 0
        self._load_at = timedelta(0)
        self._observed_at = timedelta(0)
        self._slowness = 1.0
        self._failure_ratio = 0.0
        self._consecutive_failures = 0

    def record_load(self, load: int, now: timedelta) -> None:
        """Record the load that the upstream reported.

        :param load: running and waiting requests, without those of this host.
        """
        self._load = load
        self._load_at = now

    def record_success(self, relative_time: float, now: timedelta) -> None:
        """Record a successful attempt.

        :param relative_time: duration of the attempt as a multiple of the usual one.
        """
        self._decay(now)
        self._consecutive_failures = 0
        self.suspected_until = timedelta(0)
        self._failure_ratio *= 1 - FAILURE_WEIGHT
        self._slowness += (relative_time - self._slowness) * SLOWNESS_WEIGHT

    def record_slow(self, relative_time: float, now: timedelta) -> None:
        """Record an attempt that was cancelled, timed out or was answered with 504.

        :param relative_time: lower bound of its duration, as a multiple of the usual
            one.
        """
        self._decay(now)
        if relative_time > self._slowness:
            self._slowness += (relative_time - self._slowness) * SLOWNESS_WEIGHT

    def record_refusal(self, now: timedelta) -> None:
        """Record a refusal because of load."""
        self._decay(now)
        self._failure_ratio += (1 - self._failure_ratio) * FAILURE_WEIGHT

    def record_failure(self, now: timedelta) -> None:
        """Record a failed or lost attempt."""
        self.record_refusal(now)
        backoff = min(
            MAX_BACKOFF, FIRST_BACKOFF * 2 ** min(self._consecutive_failures, 8)
        )
        self._consecutive_failures += 1
        self.suspected_until = now + backoff

    def estimate_cost(self, slots: int, now: timedelta) -> float:
        """Estimate the cost of one more attempt, as a multiple of the usual time.

        :param slots: number of requests that the upstream processes at once.
        """
        self._decay(now)
        load_weight = max(0.0, 1 - (now - self._load_at) / LOAD_REPORT_LIFETIME)
        load = self.in_flight + self._load * load_weight
        queue_factor = 1 + max(0, load + 1 - slots) / max(1, slots)
        # An upstream with free slots is only slightly slower under load.
        slot_factor = 1 + 0.25 * min(load, slots) / max(1, slots)
        failure_factor = 1 + FAILURE_COST_FACTOR * self._failure_ratio
        overdue_factor = 1 + OVERDUE_COST_FACTOR * self.overdue_count
        return (
            self._slowness
            * queue_factor
            * slot_factor
            * failure_factor
            * overdue_factor
        )

    def _decay(self, now: timedelta) -> None:
        """Let the observations decay towards those of an unknown upstream."""
        decay_factor = 0.5 ** ((now - self._observed_at) / OBSERVATION_HALF_LIFE)
        self._observed_at = now
        self._failure_ratio *= decay_factor
        self._slowness = 1.0 + (self._slowness - 1.0) * decay_factor
