"""Limit on the requests that a cold upstream gets from the whole fleet."""

from collections import deque
from datetime import timedelta

from celeryferry_core.rendezvous import rank_hosts

RATE_WINDOW = timedelta(seconds=1)
# Two hosts can both take themselves for the keeper while a host joins or leaves, and
# requests of two neighbouring seconds can arrive in the same one.
USED_FRACTION = 0.4


class WarmupLimits:
    """Lets one host of the fleet send a cold upstream a bounded number of requests.

    :param host_id: this host.
    :param excess: factor on the rate that the upstream states.
    :param tolerance: requests a second allowed beyond that.
    """

    __slots__ = ("_excess", "_host_id", "_sent", "_tolerance", "host_ids")

    def __init__(self, host_id: str, excess: float, tolerance: float) -> None:
        self._host_id = host_id
        self._excess = excess
        self._tolerance = tolerance
        self._sent: dict[str, deque[timedelta]] = {}
        self.host_ids: tuple[str, ...] = (host_id,)

    def replace_bounds(self, excess: float, tolerance: float) -> None:
        """Take over changed bounds.

        :param excess: factor on the rate that the upstream states.
        :param tolerance: requests a second allowed beyond that.
        """
        self._excess, self._tolerance = excess, tolerance

    def may_send(self, instance_id: str, requests_per_s: float, now: timedelta) -> bool:
        """Tell whether this host may send one more request.

        :param instance_id: id of the cold upstream.
        :param requests_per_s: rate that it bears.
        :param now: present monotonic time.
        """
        if rank_hosts(instance_id, self.host_ids)[0] != self._host_id:
            return False
        sent = self._sent.setdefault(instance_id, deque())
        while sent and now - sent[0] >= RATE_WINDOW:
            sent.popleft()
        bound = requests_per_s * self._excess + self._tolerance
        return len(sent) < int(bound * USED_FRACTION)

    def count_sent(self, instance_id: str, now: timedelta) -> None:
        """Count a request to a cold upstream.

        :param instance_id: id of the upstream.
        :param now: present monotonic time.
        """
        self._sent.setdefault(instance_id, deque()).append(now)

    def forget(self, instance_id: str) -> None:
        """Drop the counts of an upstream that is gone.

        :param instance_id: id of the upstream.
        """
        self._sent.pop(instance_id, None)
