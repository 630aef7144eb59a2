"""Limit on the rate at which the whole fleet sends requests to a cold upstream."""

from collections import deque
from datetime import timedelta

from celeryferry_core.forwarding.cold_senders import ColdSenders

RATE_WINDOW = timedelta(seconds=1)
# Fraction of the allowed rate that is used. After a partition that lasts longer than
# hosts remember each other, each of two parts can have a sender, and requests sent in
# two consecutive seconds can arrive within the same second.
USED_FRACTION = 0.4


class WarmupLimits:
    """Limits the rate at which this host sends to cold upstreams.

    Arguments named ``now`` are monotonic times.

    :param senders: decides which host may send.
    :param rate_factor: factor on the rate that the upstream can process.
    :param tolerance: requests per second allowed in addition to that.
    """

    __slots__ = ("_rate_factor", "_sent", "_tolerance", "senders")

    def __init__(
        self, senders: ColdSenders, rate_factor: float, tolerance: float
    ) -> None:
        self.senders = senders
        self._rate_factor = rate_factor
        self._tolerance = tolerance
        self._sent: dict[str, deque[timedelta]] = {}

    def replace_bounds(self, rate_factor: float, tolerance: float) -> None:
        """Replace the limits; requests already counted stay counted.

        :param rate_factor: factor on the rate that the upstream can process.
        :param tolerance: requests per second allowed in addition to that.
        """
        self._rate_factor, self._tolerance = rate_factor, tolerance

    def may_send(self, instance_id: str, requests_per_s: float, now: timedelta) -> bool:
        """Return whether this host may send one more request to a cold upstream.

        :param instance_id: instance id of the upstream.
        :param requests_per_s: rate that the upstream can process while cold.
        """
        if not self.senders.may_send(instance_id, now):
            return False
        sent = self._sent.setdefault(instance_id, deque())
        while sent and now - sent[0] >= RATE_WINDOW:
            sent.popleft()
        limit_per_s = requests_per_s * self._rate_factor + self._tolerance
        return len(sent) < int(limit_per_s * USED_FRACTION)

    def count_sent(self, instance_id: str, now: timedelta) -> None:
        """Count a request that is sent to a cold upstream.

        :param instance_id: instance id of the upstream.
        """
        self._sent.setdefault(instance_id, deque()).append(now)

    def forget(self, instance_id: str) -> None:
        """Drop the request counts of an upstream that is no longer listed."""
        self._sent.pop(instance_id, None)
