"""This host's part of the work beyond first attempts, by service."""

# The fleet's bound holds in every window; hosts count their own windows, so part of it
# is left unused for windows that overlap.
USED_FRACTION = 0.6
# Retries that a host may make for each service before requests have earned any. The
# process before may have spent its part of the same window, and all hosts can start
# again at once: for 18 hosts this is a seventh of the burst of today's fleets.
INITIAL_TOKENS = 1.0
# With fewer hosts known, a host that has just started would take too large a part.
MIN_HOST_COUNT = 4


class ExtraAttemptBudgets:
    """Bounds hedges and retries of every service.

    Requests earn tokens and extra attempts spend them.

    :param ratio: extra attempts allowed for each request.
    :param burst: extra attempts that the whole fleet may make at once.
    :ivar host_count: hosts that share the burst; the present number holds for tokens
        earned before too.
    """

    __slots__ = ("_burst", "_ratio", "_tokens", "host_count")

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens: dict[str, float] = {}
        self.host_count = MIN_HOST_COUNT

    def count_request(self, service: str) -> None:
        """Count the first attempt of a request at a service, which earns a part.

        :param service: name of the service.
        """
        earned = self._tokens.get(service, INITIAL_TOKENS) + self._ratio * USED_FRACTION
        self._tokens[service] = min(self._compute_max_tokens(), earned)

    def try_acquire(self, service: str) -> bool:
        """Spend one extra attempt.

        :param service: name of the service.
        :returns: False if the budget is used up.
        """
        tokens = min(
            self._compute_max_tokens(), self._tokens.get(service, INITIAL_TOKENS)
        )
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def replace_bounds(self, ratio: float, burst: float) -> None:
        """Take over changed bounds.

        :param ratio: extra attempts allowed for each request.
        :param burst: extra attempts that the whole fleet may make at once.
        """
        self._ratio, self._burst = ratio, burst

    def _compute_max_tokens(self) -> float:
        hosts = max(self.host_count, MIN_HOST_COUNT)
        return max(1.0, self._burst * USED_FRACTION / hosts)
