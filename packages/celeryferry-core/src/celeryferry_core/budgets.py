"""Hedge delay, hedge budget and retry budget of an application."""

from collections import deque
from datetime import timedelta

WINDOW_SAMPLES = 512
RECOMPUTE_AFTER_SAMPLES = 32
HEDGE_QUANTILE = 0.95
# With one subquery in 20 straggling, p95 lies within the stragglers themselves; the
# multiple of the median keeps the delay below them.
MAX_MEDIAN_MULTIPLE = 3.0
INITIAL_DELAY_MS = 25.0
# Small, so that the budget also holds in a short time after a quiet one.
HEDGE_BURST = 10.0
INITIAL_HEDGE_TOKENS = 2.0
RETRY_BURST = 50.0
INITIAL_RETRY_TOKENS = 10.0
# A lost owner fails the shards of the queries in flight at once. The floor covers them
# at low load and is a small addition to the work of an overloaded application.
RETRY_FLOOR_PER_S = 20.0
RETRY_FLOOR_BURST = 100.0


class LatencyWindow:
    """Recent subquery times of an application."""

    __slots__ = ("_delay_ms", "_new_samples", "_samples")

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._new_samples = 0
        self._delay_ms = INITIAL_DELAY_MS

    def record(self, elapsed_ms: float) -> None:
        """Add a subquery time.

        :param elapsed_ms: time in milliseconds.
        """
        self._samples.append(elapsed_ms)
        self._new_samples += 1
        if self._new_samples >= RECOMPUTE_AFTER_SAMPLES:
            self._new_samples = 0
            ordered = sorted(self._samples)
            p95_ms = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]
            median_ms = ordered[len(ordered) // 2]
            self._delay_ms = min(p95_ms, MAX_MEDIAN_MULTIPLE * median_ms)

    @property
    def delay_ms(self) -> float:
        """Quantile from which the hedge delay is taken, in milliseconds."""
        return self._delay_ms


class TokenBucket:
    """Budget that is earned by regular work and spent on extra work.

    :param burst: largest number of tokens.
    :param start: number of tokens at the start.
    """

    __slots__ = ("_burst", "_tokens")

    def __init__(self, burst: float, start: float) -> None:
        self._burst = burst
        self._tokens = start

    def earn(self, tokens: float) -> None:
        """Add tokens up to the burst.

        :param tokens: tokens to add.
        """
        self._tokens = min(self._burst, self._tokens + tokens)

    def spend(self, count: int = 1) -> bool:
        """Spend tokens.

        :param count: number of tokens.
        :returns: False if there are not that many.
        """
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class Budgets:
    """Budgets of one application.

    :ivar latencies: recent subquery times.
    :ivar subqueries: first subqueries sent.
    :ivar extra_subqueries: hedges and retries sent.
    """

    __slots__ = (
        "_floor",
        "_floor_at",
        "_hedges",
        "_retries",
        "extra_subqueries",
        "latencies",
        "subqueries",
    )

    def __init__(self) -> None:
        self.latencies = LatencyWindow()
        self._hedges = TokenBucket(HEDGE_BURST, INITIAL_HEDGE_TOKENS)
        self._retries = TokenBucket(RETRY_BURST, INITIAL_RETRY_TOKENS)
        self._floor = TokenBucket(RETRY_FLOOR_BURST, RETRY_FLOOR_BURST)
        self._floor_at: timedelta | None = None
        self.subqueries = 0
        self.extra_subqueries = 0

    def hedge_delay(self, floor_ms: float) -> timedelta:
        """Return the time after which a pending subquery is hedged.

        :param floor_ms: shortest delay in milliseconds.
        """
        return timedelta(milliseconds=max(floor_ms, self.latencies.delay_ms))

    def count_subquery(self, hedge_percent: float, retry_percent: float) -> None:
        """Count a first subquery, which earns part of a hedge and of a retry.

        :param hedge_percent: hedge budget of the service in per cent.
        :param retry_percent: retry budget of the service in per cent.
        """
        self.subqueries += 1
        self._hedges.earn(hedge_percent / 100.0)
        self._retries.earn(retry_percent / 100.0)

    def spend_hedges(self, count: int) -> bool:
        """Spend the hedges of the late shards of a batch, all or none.

        A query ends with its last shard, so hedging only some of them is of no use.

        :param count: number of hedges.
        :returns: False if the budget does not allow all of them.
        """
        if not self._hedges.spend(count):
            return False
        self.extra_subqueries += count
        return True

    def spend_retry(self, now: timedelta, may_use_floor: bool) -> bool:
        """Spend one retry.

        :param now: present monotonic time.
        :param may_use_floor: True if nothing ran or the failure domain is left.
        :returns: False if the budget is used up.
        """
        taken = self._retries.spend() or (may_use_floor and self._spend_floor(now))
        self.extra_subqueries += taken
        return taken

    def _spend_floor(self, now: timedelta) -> bool:
        if self._floor_at is not None:
            elapsed_s = (now - self._floor_at).total_seconds()
            self._floor.earn(elapsed_s * RETRY_FLOOR_PER_S)
        self._floor_at = now
        return self._floor.spend()
