"""Decides whether this host is the one that may send to a cold upstream.

Load pattern: many upstreams start at once while the hosts of the fleet do not know each
other, after a loss of power, a partition or a restart. Each host that believed to be
alone would send as much as the whole fleet may send. A cold start lasts seconds, so a
host that is not certain sends nothing instead.
"""

from collections.abc import Collection
from datetime import timedelta

from celeryferry_core.forwarding.entry_sets import SETTLING_TIME
from celeryferry_core.forwarding.hosts import SILENCE_LIMITS, VIEW_RETENTION
from celeryferry_core.rendezvous import rank_hosts

# Time for which a host must have been in contact with the fleet and used by callers,
# without a pause, before it sends to cold upstreams. Longer than two hosts can differ
# on whom callers use: one may already have noticed the silence of a host that the other
# still reports as live, and after its return count it as not settled.
JOINING_TIME = (
    max(SILENCE_LIMITS.values())
    + VIEW_RETENTION
    + SETTLING_TIME
    + timedelta(seconds=0.5)
)
# A lost host is considered for this time. It may be alive and only unreachable, so no
# other host takes its place.
HOST_MEMORY = timedelta(seconds=60)
# A longer gap between two updates is a pause of this process, after which others may
# have taken its place. Updates come with every tick of the links, twice a second.
MAX_UPDATE_GAP = timedelta(milliseconds=1500)


class ColdSenders:
    """Chooses one sender for each cold upstream, or none in case of doubt.

    The sender is the host with the highest rendezvous hash among the hosts that callers
    use, and those that they may use in the view of another host: hosts that were used
    or found just now, and hosts that were lost in ``HOST_MEMORY``. Two hosts that have
    known each other in this time never both choose themselves. Arguments named ``now``
    are monotonic times.

    :param host_id: id of this host.
    :param now: time of the start.
    """

    __slots__ = (
        "_considered_until",
        "_host_id",
        "_joined_at",
        "_live_ids",
        "_updated_at",
    )

    def __init__(self, host_id: str, now: timedelta) -> None:
        self._host_id = host_id
        self._considered_until: dict[str, timedelta] = {}
        self._live_ids: frozenset[str] = frozenset()
        self._joined_at: timedelta | None = None
        self._updated_at = now

    def update(
        self,
        live_ids: Collection[str],
        sender_ids: Collection[str],
        is_joined: bool,
        now: timedelta,
    ) -> None:
        """Record the hosts of the fleet as they are now known.

        :param live_ids: ids of all live hosts.
        :param sender_ids: ids of the hosts that callers use.
        :param is_joined: whether this host is in contact with the whole fleet, as far
            as it can know.
        """
        was_paused = now - self._updated_at > MAX_UPDATE_GAP
        self._updated_at = now
        if not is_joined or self._host_id not in sender_ids:
            self._joined_at = None
        elif self._joined_at is None or was_paused:
            self._joined_at = now
        live = frozenset(live_ids)
        lost, found = self._live_ids - live, live - self._live_ids
        self._live_ids = live
        self._considered_until = {
            host_id: until
            for host_id, until in self._considered_until.items()
            if now < until
        }
        self._considered_until |= dict.fromkeys(lost, now + HOST_MEMORY)
        recent = found.union(sender_ids)
        self._considered_until |= dict.fromkeys(recent, now + JOINING_TIME)

    def is_certain(self, now: timedelta) -> bool:
        """Return whether this host knows the fleet well enough to send at all."""
        if self._joined_at is None or now - self._updated_at > MAX_UPDATE_GAP:
            return False
        return now - self._joined_at >= JOINING_TIME

    def may_send(self, instance_id: str, now: timedelta) -> bool:
        """Return whether this host is the sender for a cold upstream."""
        if not self.is_certain(now):
            return False
        considered = self._considered_until.keys() | {self._host_id}
        return rank_hosts(instance_id, considered)[0] == self._host_id
