"""Hedge delay, hedge budget and retry budget of one application."""

from collections import deque
from datetime import timedelta

WINDOW_SAMPLES = 512
RECOMPUTE_AFTER_SAMPLES = 32
HEDGE_QUANTILE = 0.95
# If one subquery in 20 is slow, p95 is itself the time of a slow subquery. The multiple
# of the median bounds the hedge delay, so that it stays below such times.
MAX_MEDIAN_MULTIPLE = 3.0
INITIAL_DELAY_MS = 25.0
# Kept small, so that tokens saved while idle do not allow a burst of hedges.
HEDGE_BURST = 10.0
INITIAL_HEDGE_TOKENS = 2.0
RETRY_BURST = 50.0
INITIAL_RETRY_TOKENS = 10.0
# When an owner fails, the subqueries that it was running for all queries fail at the
# same time. The reserve, which fills with time, allows their retries at low load, when
# the regular budget is too small. It adds little load if the application is overloaded.
RETRY_RESERVE_PER_S = 20.0
RETRY_RESERVE_BURST = 100.0


class LatencyWindow:
    """Sliding window of recent times of subqueries or attempts.

    The times are those of one application, or of one forwarding rule.
    """

    __slots__ = ("_delay_ms", "_new_samples", "_samples")

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._new_samples = 0
        self._delay_ms = INITIAL_DELAY_MS

    def record(self, elapsed_ms: float) -> None:
        """Add the time of one subquery or attempt to the window."""
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
        """Hedge delay in milliseconds, before the configured lower bound applies.

        It is recomputed after every ``RECOMPUTE_AFTER_SAMPLES`` samples.
        """
        return self._delay_ms


class TokenBucket:
    """Token bucket that regular work or elapsed time fills and extra work empties.

    :param burst: capacity in tokens.
    :param start: initial number of tokens.
    """

    __slots__ = ("_burst", "_tokens")

    def __init__(self, burst: float, start: float) -> None:
        self._burst = burst
        self._tokens = start

    def earn(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def spend(self, count: int = 1) -> bool:
        """Remove tokens if there are enough of them.

        :returns: False if there are too few tokens; none are removed then.
        """
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class Budgets:
    """Budgets of one application, shared by its queries.

    :ivar latencies: window of recent subquery times.
    :ivar subqueries: number of first subqueries sent.
    :ivar extra_subqueries: number of hedges and retries sent.
    """

    __slots__ = (
        "_reserve",
        "_reserve_filled_at",
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
        self._reserve = TokenBucket(RETRY_RESERVE_BURST, RETRY_RESERVE_BURST)
        self._reserve_filled_at: timedelta | None = None
        self.subqueries = 0
        self.extra_subqueries = 0

    def hedge_delay(self, floor_ms: float) -> timedelta:
        """Return the time after which a pending subquery is hedged.

        :param floor_ms: lower bound of the delay in milliseconds.
        """
        return timedelta(milliseconds=max(floor_ms, self.latencies.delay_ms))

    def count_subquery(self, hedge_percent: float, retry_percent: float) -> None:
        """Count a first subquery, which adds a fraction of a hedge and of a retry.

        :param hedge_percent: hedge budget of the service in per cent.
        :param retry_percent: retry budget of the service in per cent.
        """
        self.subqueries += 1
        self._hedges.earn(hedge_percent / 100.0)
        self._retries.earn(retry_percent / 100.0)

    def spend_hedges(self, count: int) -> bool:
        """Spend hedges for all late shards of a batch, or none.

        A query ends with its last shard, so hedging only some of them gains nothing.

        :returns: False if the budget does not cover all of them.
        """
        if not self._hedges.spend(count):
            return False
        self.extra_subqueries += count
        return True

    def spend_retry(self, now: timedelta, may_use_reserve: bool) -> bool:
        """Spend one retry.

        :param now: present monotonic time.
        :param may_use_reserve: whether the reserve may be used if the budget is empty;
            True if nothing ran or the retry goes to another failure domain.
        :returns: False if neither the budget nor the reserve has a retry.
        """
        taken = self._retries.spend() or (may_use_reserve and self._spend_reserve(now))
        self.extra_subqueries += taken
        return taken

    def _spend_reserve(self, now: timedelta) -> bool:
        if self._reserve_filled_at is not None:
            elapsed_s = (now - self._reserve_filled_at).total_seconds()
            self._reserve.earn(elapsed_s * RETRY_RESERVE_PER_S)
        self._reserve_filled_at = now
        return self._reserve.spend()
