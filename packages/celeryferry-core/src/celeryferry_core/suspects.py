"""Replicas whose recent answers were faulty, lost or late."""

from datetime import timedelta

from celeryferry_core.models.topology import Host
from celeryferry_core.plans import Route

# A suspected replica is a last choice for this time. Replicas are chosen by the latency
# and load that their owners have reported, which may not show the fault yet. Without
# the mark every query could ask the replica first and use up the retry budget.
SUSPECTED_TIME = timedelta(seconds=1)


class Suspects:
    """Replicas that are a last choice for ``SUSPECTED_TIME``."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[str, timedelta] = {}

    def mark(self, address: str, now: timedelta) -> None:
        """Mark a replica as suspected.

        :param address: upstream whose answer was faulty, lost or late.
        :param now: present monotonic time.
        """
        self._until[address] = now + SUSPECTED_TIME

    def exclude(
        self, owned: list[tuple[Route, Host]], now: timedelta
    ) -> list[tuple[Route, Host]]:
        """Return the replicas that are not suspected, or all if there are no others.

        :param owned: replicas with their owners.
        :param now: present monotonic time.
        """
        if not self._until or len(owned) < 2:
            return owned
        for address in [key for key, end in self._until.items() if end <= now]:
            del self._until[address]
        return [pair for pair in owned if pair[0].address not in self._until] or owned
