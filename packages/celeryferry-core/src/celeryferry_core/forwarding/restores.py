"""What a host keeps in force after its source has come back from a copy.

Load pattern: the source loses the changes of some seconds, and they are written again
within seconds of its return. Until then its contents are older than what the hosts
know: an upstream that drains or has left is listed as ready, a failure domain that is
out of service is missing, or one that was put back is listed as out.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from datetime import timedelta
from typing import Generic, TypeVar

from celeryferry_core.forwarding.models import Upstream

# Heartbeats that an upstream misses before its entry expires. An entry of the copy that
# nobody has renewed by then is deleted by the source itself.
EXPIRY_HEARTBEAT_COUNT = 3
# Time for the deletion of an expired entry to reach this host.
EXPIRY_MARGIN = timedelta(seconds=2)

_T = TypeVar("_T")


def get_holding_time(heartbeat_interval: timedelta) -> timedelta:
    """Return how long what is known goes before what a copy says.

    :param heartbeat_interval: time between two writes of an upstream.
    """
    return EXPIRY_HEARTBEAT_COUNT * heartbeat_interval + EXPIRY_MARGIN


def is_outdated(entry: Upstream, known: Upstream) -> bool:
    """Return whether an entry of a copy says less than what is known.

    Both describe one instance. Its process counts its own statements, so their order is
    known without the revisions of the source. That it drains counts in any case.

    :param entry: entry of the copy.
    :param known: latest entry, of an upstream that is listed or was removed.
    """
    is_negative = entry.is_draining and not known.is_draining
    if is_negative and entry.started_ms == known.started_ms:
        return False
    return entry.order <= known.order


@dataclass(slots=True)
class _HeldChange(Generic[_T]):
    change: _T
    holding_time: timedelta
    until: timedelta


class HeldChanges(Generic[_T]):
    """Changes that a copy has and that are not applied yet, the latest of each key.

    Arguments named ``now`` are monotonic times.
    """

    __slots__ = ("_changes",)

    def __init__(self) -> None:
        self._changes: dict[Hashable, _HeldChange[_T]] = {}

    def __len__(self) -> int:
        return len(self._changes)

    def hold(
        self, key: Hashable, change: _T, holding_time: timedelta, now: timedelta
    ) -> None:
        """Keep a change back for some time."""
        self._changes[key] = _HeldChange(change, holding_time, now + holding_time)

    def restart(self, now: timedelta) -> None:
        """Start all times anew, as the next copy may lack what was written again."""
        for held in self._changes.values():
            held.until = now + held.holding_time

    def drop(self, key: Hashable) -> None:
        """Forget the change of a key that has been written again."""
        self._changes.pop(key, None)

    def take_due(self, now: timedelta) -> list[_T]:
        """Return the changes that count from now on, and forget them."""
        due = [key for key, held in self._changes.items() if held.until <= now]
        return [self._changes.pop(key).change for key in due]
