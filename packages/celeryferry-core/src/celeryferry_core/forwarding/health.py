"""What this host learned about upstreams from its own attempts."""

from datetime import timedelta

SLOWNESS_WEIGHT = 0.2
# A queue of today's upstreams drains within some service times of 7 to 30 ms, so an
# older report of load says nothing about the next request.
LOAD_REPORT_LIFETIME = timedelta(milliseconds=100)
# An upstream that gets no work shows no improvement, so what speaks against it fades.
# Disturbances of upstreams last some seconds.
OBSERVATION_HALF_LIFE = timedelta(seconds=2)
FAILURE_WEIGHT = 0.1
# Cost of a failed attempt relative to a successful one: it is made again elsewhere.
FAILURE_COST_FACTOR = 8.0
# An overdue attempt has taken four times the usual time or more, and the next one may
# take as long.
OVERDUE_COST_FACTOR = 3.0
# An upstream that failed is a last choice for this time, doubled for every further
# failure in a row.
FIRST_BACKOFF = timedelta(milliseconds=250)
MAX_BACKOFF = timedelta(seconds=2)


class UpstreamHealth:
    """Observations of one upstream.

    :ivar in_flight: attempts of this host without an outcome.
    :ivar overdue_count: those of them that take much longer than usual.
    :ivar suspected_until: time until which it is a last choice.
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
        """Take over a report of load.

        :param load: running and waiting requests, without those of this host.
        :param now: present monotonic time.
        """
        self._load = load
        self._load_at = now

    def record_success(self, relative_time: float, now: timedelta) -> None:
        """Take over a successful attempt.

        :param relative_time: its time relative to the usual one.
        :param now: present monotonic time.
        """
        self._decay(now)
        self._consecutive_failures = 0
        self.suspected_until = timedelta(0)
        self._failure_ratio *= 1 - FAILURE_WEIGHT
        self._slowness += (relative_time - self._slowness) * SLOWNESS_WEIGHT

    def record_slow(self, relative_time: float, now: timedelta) -> None:
        """Take over an attempt that has not ended after some time.

        :param relative_time: the time relative to the usual one; a lower bound.
        :param now: present monotonic time.
        """
        self._decay(now)
        if relative_time > self._slowness:
            self._slowness += (relative_time - self._slowness) * SLOWNESS_WEIGHT

    def record_refusal(self, now: timedelta) -> None:
        """Take over a refusal because of load.

        :param now: present monotonic time.
        """
        self._decay(now)
        self._failure_ratio += (1 - self._failure_ratio) * FAILURE_WEIGHT

    def record_failure(self, now: timedelta) -> None:
        """Take over a failed or lost attempt.

        :param now: present monotonic time.
        """
        self.record_refusal(now)
        backoff = min(
            MAX_BACKOFF, FIRST_BACKOFF * 2 ** min(self._consecutive_failures, 8)
        )
        self._consecutive_failures += 1
        self.suspected_until = now + backoff

    def estimate_cost(self, slots: int, now: timedelta) -> float:
        """Estimate the time of one more attempt relative to the usual one.

        :param slots: requests that the upstream works on at once.
        :param now: present monotonic time.
        """
        self._decay(now)
        load_life = max(0.0, 1 - (now - self._load_at) / LOAD_REPORT_LIFETIME)
        load = self.in_flight + self._load * load_life
        waiting = 1 + max(0, load + 1 - slots) / max(1, slots)
        # Below its slots a loaded upstream is only slightly slower.
        share = 1 + 0.25 * min(load, slots) / max(1, slots)
        failing = 1 + FAILURE_COST_FACTOR * self._failure_ratio
        silent = 1 + OVERDUE_COST_FACTOR * self.overdue_count
        return self._slowness * waiting * share * failing * silent

    def _decay(self, now: timedelta) -> None:
        """Bring the observations closer to those of an unknown upstream."""
        kept = 0.5 ** ((now - self._observed_at) / OBSERVATION_HALF_LIFE)
        self._observed_at = now
        self._failure_ratio *= kept
        self._slowness = 1.0 + (self._slowness - 1.0) * kept
