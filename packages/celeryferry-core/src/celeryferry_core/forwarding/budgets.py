"""Budgets of this host for hedges and retries, by service."""

from dataclasses import dataclass
from datetime import timedelta

# Fractions of this host's part of the burst: what it may spend at once, and what it
# earns in the course of one window. Their sum bounds what it spends in any window. The
# rest is for processes that were restarted in the window and for hosts that disagree on
# the number of hosts.
DEPTH_FRACTION = 0.4
REFILL_FRACTION = 0.3
# Fraction of the ratio that requests earn, for the same reason.
USED_RATIO_FRACTION = 0.6
# Extra attempts that a host may make for each service right after its start. The
# previous process of this host may already have spent its share of the limit, and all
# hosts can restart at the same time. For 18 hosts, one token per host adds up to a
# seventh of the burst of such a fleet.
INITIAL_TOKENS = 1.0
# The burst is divided by at least this many hosts. A host that has just started knows
# few others and would otherwise compute too large a share.
MIN_HOST_COUNT = 4


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits on the extra attempts of the whole fleet for each service.

    :param ratio: extra attempts allowed per request.
    :param burst: extra attempts allowed in each window in addition to that.
    :param window: length of the window, wherever it begins.
    """

    ratio: float
    burst: float
    window: timedelta


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: timedelta


class ExtraAttemptBudgets:
    """Limits the hedges and retries of every service with token buckets.

    Requests and time earn tokens, extra attempts spend them. Arguments named ``now``
    are monotonic times.

    :param limits: limits of the fleet.
    :ivar limits: limits of the fleet; tokens earned before are kept up to the new
        maximum.
    :ivar host_count: number of hosts that share the burst; a change also applies to
        tokens that were earned before.
    """

    __slots__ = ("_buckets", "host_count", "limits")

    def __init__(self, limits: BudgetLimits) -> None:
        self.limits = limits
        self._buckets: dict[str, _Bucket] = {}
        self.host_count = MIN_HOST_COUNT

    def count_request(self, service: str, now: timedelta) -> None:
        """Count a request to a service, which earns a fraction of a token.

        A request to several shards counts once per shard, whether or not an attempt is
        sent.
        """
        bucket = self._refill(service, now)
        earned = bucket.tokens + self.limits.ratio * USED_RATIO_FRACTION
        bucket.tokens = min(self._compute_max_tokens(), earned)

    def try_acquire(self, service: str, now: timedelta) -> bool:
        """Spend a token for one extra attempt.

        :returns: False if the budget of the service is used up.
        """
        bucket = self._refill(service, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _refill(self, service: str, now: timedelta) -> _Bucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = _Bucket(INITIAL_TOKENS, now)
            return bucket
        windows = (now - bucket.refilled_at) / self.limits.window
        earned = self._compute_share() * REFILL_FRACTION * windows
        bucket.refilled_at = now
        bucket.tokens = min(self._compute_max_tokens(), bucket.tokens + earned)
        return bucket

    def _compute_share(self) -> float:
        return self.limits.burst / max(self.host_count, MIN_HOST_COUNT)

    def _compute_max_tokens(self) -> float:
        return max(1.0, self._compute_share() * DEPTH_FRACTION)
