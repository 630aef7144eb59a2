"""Budgets of this host for hedges and retries, by service."""

# The limit for the fleet must hold in every time window. Each host counts in windows of
# its own, so a fraction of the limit stays unused to allow for overlapping windows.
USED_FRACTION = 0.6
# Extra attempts that a host may make for each service before requests have earned any.
# The previous process of this host may already have spent its share of the same window,
# and all hosts can restart at the same time. For 18 hosts, one token per host adds
# up to a seventh of the burst of such a fleet.
INITIAL_TOKENS = 1.0
# The burst is divided by at least this many hosts. A host that has just started knows
# few others and would otherwise compute too large a share.
MIN_HOST_COUNT = 4


class ExtraAttemptBudgets:
    """Limits the hedges and retries of every service with token buckets.

    Requests earn tokens and extra attempts spend them.

    :param ratio: extra attempts allowed per request.
    :param burst: extra attempts that the whole fleet may make at once.
    :ivar host_count: number of hosts that share the burst; a change also applies to
        tokens that were earned before.
    """

    __slots__ = ("_burst", "_ratio", "_tokens", "host_count")

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens: dict[str, float] = {}
        self.host_count = MIN_HOST_COUNT

    def count_request(self, service: str) -> None:
        """Count a request to a service, which earns a fraction of a token.

        A request to several shards counts once per shard, whether or not an attempt is
        sent.
        """
        earned = self._tokens.get(service, INITIAL_TOKENS) + self._ratio * USED_FRACTION
        self._tokens[service] = min(self._compute_max_tokens(), earned)

    def try_acquire(self, service: str) -> bool:
        """Spend a token for one extra attempt.

        :returns: False if the budget of the service is used up.
        """
        tokens = min(
            self._compute_max_tokens(), self._tokens.get(service, INITIAL_TOKENS)
        )
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def replace_bounds(self, ratio: float, burst: float) -> None:
        """Replace the limits; earned tokens are kept up to the new maximum.

        :param ratio: extra attempts allowed per request.
        :param burst: extra attempts that the whole fleet may make at once.
        """
        self._ratio, self._burst = ratio, burst

    def _compute_max_tokens(self) -> float:
        hosts = max(self.host_count, MIN_HOST_COUNT)
        return max(1.0, self._burst * USED_FRACTION / hosts)
