"""This host's part of the work beyond first attempts, by service."""

from celeryferry_core.budgets import TokenBucket

# The fleet's bound holds in every window; hosts count their own windows, so part of it
# is left unused for windows that overlap.
USED_PART = 0.6
# With fewer hosts known, a host that has just started would take too large a part.
MIN_HOSTS = 4


class ExtraBudgets:
    """Bounds hedges and retries of every service.

    :param ratio: extra attempts allowed for each request.
    :param burst: extra attempts that the whole fleet may make at once.
    """

    __slots__ = ("_buckets", "_burst", "_ratio", "host_count")

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._buckets: dict[str, TokenBucket] = {}
        self.host_count = MIN_HOSTS

    def count_request(self, service: str) -> None:
        """Count the first attempt of a request at a service, which earns a part.

        :param service: name of the service.
        """
        self._bucket(service).earn(self._ratio * USED_PART)

    def take(self, service: str) -> bool:
        """Spend one extra attempt.

        :param service: name of the service.
        :returns: False if the budget is used up.
        """
        return self._bucket(service).take()

    def replace_bounds(self, ratio: float, burst: float) -> None:
        """Take over changed bounds.

        :param ratio: extra attempts allowed for each request.
        :param burst: extra attempts that the whole fleet may make at once.
        """
        if (ratio, burst) != (self._ratio, self._burst):
            self._ratio, self._burst = ratio, burst
            self._buckets.clear()

    def _bucket(self, service: str) -> TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            hosts = max(self.host_count, MIN_HOSTS)
            burst = max(1.0, self._burst * USED_PART / hosts)
            bucket = self._buckets[service] = TokenBucket(burst, burst)
        return bucket
