"""What upstreams say of themselves in their answers: that they leave or want a pause.

An upstream that leaves gets nothing more, whatever its entry says now or later. One
that asks for a pause gets nothing from this host until the pause is over; then the
hosts that were told the same return at different times, each of them gradually.
"""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from celeryferry_core.environment import RandomSource
from celeryferry_core.forwarding.models import Upstream

# A longer pause is shortened to this time.
MAX_PAUSE = timedelta(minutes=5)
# Fraction of a pause by which it is extended at most, and the largest extension. Each
# host draws its own, so that hosts that were told the same return one after another.
SPREAD_RATIO = 0.2
MAX_SPREAD = timedelta(seconds=2)
# Time after a pause in which the part of the requests that may go to the upstream grows
# from none to all.
RETURN_TIME = timedelta(seconds=1)
# An upstream that leaves is remembered for this time after its entry is gone. A stale
# reading of the source may list it again, some seconds old.
LEAVING_MEMORY = timedelta(minutes=1)
# Upstreams that leave and are remembered at once, several times as many as the largest
# deployments list.
MAX_LEAVING = 8192
# Upstreams that leave and are reported at once to the other hosts.
MAX_REPORTED = 64


class UpstreamNotice(msgspec.Struct, frozen=True, gc=False):
    """What an answer says of the upstream that gave it.

    :param is_leaving: whether the upstream is about to stop.
    :param pause: time for which it wants nothing from this host, None if not stated.
    :param is_invalid: whether it states a pause that can't be read.
    """

    is_leaving: bool = False
    pause: timedelta | None = None
    is_invalid: bool = False


class _Pause:
    __slots__ = ("returns_at", "until")

    def __init__(self, until: timedelta, returns_at: timedelta) -> None:
        self.until = until
        self.returns_at = returns_at


class UpstreamNotices:
    """Upstreams that leave or want a pause, by instance id.

    An upstream that leaves is known by its instance id and the time of its start, so
    that a new process with the same id is not affected. Arguments named ``now`` are
    monotonic times.

    :param random: spreads the return after a pause.
    """

    __slots__ = ("_gone_at", "_leaving", "_own", "_pauses", "_random")

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        # Times of the starts of the processes that leave. The oldest comes first.
        self._leaving: dict[str, int] = {}
        # Ids of those that have said so to this host.
        self._own: set[str] = set()
        self._gone_at: dict[str, timedelta] = {}
        self._pauses: dict[str, _Pause] = {}

    def record_leaving(self, instance_id: str, started_ms: int, is_own: bool) -> bool:
        """Record that a process leaves.

        :param started_ms: Unix time of its start in milliseconds, as its entry states.
        :param is_own: whether it has said so to this host, and not to another one.
        :returns: whether that was not known.
        """
        known_ms = self._leaving.get(instance_id)
        if known_ms is not None and started_ms < known_ms:
            return False
        if is_own:
            self._own.add(instance_id)
        if started_ms == known_ms:
            return False
        self._leaving[instance_id] = started_ms
        if len(self._leaving) > MAX_LEAVING:
            self._forget_leaving(next(iter(self._leaving)))
        return True

    def record_pause(self, instance_id: str, pause: timedelta, now: timedelta) -> bool:
        """Record that an upstream wants nothing for some time.

        Of several pauses, the one that ends last counts.

        :returns: whether this changes what is known.
        """
        pause = min(pause, MAX_PAUSE)
        known = self._pauses.get(instance_id)
        until = now + pause
        if known is not None and until <= known.until:
            return False
        spread = min(MAX_SPREAD, pause * SPREAD_RATIO) * self._random.random()
        self._pauses[instance_id] = _Pause(until, until + spread)
        return True

    def record_listed(self, upstream: Upstream) -> None:
        """Record the entry of an upstream; a new process does not leave or pause."""
        instance_id = upstream.instance_id
        self._gone_at.pop(instance_id, None)
        left_ms = self._leaving.get(instance_id)
        if left_ms is not None and upstream.started_ms > left_ms:
            self.record_new_process(instance_id)

    def record_new_process(self, instance_id: str) -> None:
        """Forget what the process before has said."""
        self._forget_leaving(instance_id)
        self._pauses.pop(instance_id, None)

    def record_gone(self, instance_id: str, now: timedelta) -> None:
        """Record that an upstream is no longer listed."""
        self._pauses.pop(instance_id, None)
        if instance_id in self._leaving:
            self._gone_at[instance_id] = now

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether the process of an entry, or one that followed it, leaves."""
        left_ms = self._leaving.get(upstream.instance_id)
        return left_ms is not None and upstream.started_ms <= left_ms

    def is_paused(self, instance_id: str, now: timedelta) -> bool:
        """Return whether an upstream must get nothing from this host."""
        pause = self._pauses.get(instance_id)
        return pause is not None and now < pause.returns_at

    def get_pause_end(self, instance_id: str, now: timedelta) -> timedelta:
        """Return when this host may send to an upstream again, ``now`` if it may."""
        pause = self._pauses.get(instance_id)
        return now if pause is None else max(now, pause.returns_at)

    def is_held_back(self, instance_id: str, now: timedelta) -> bool:
        """Return whether one request keeps away from an upstream after its pause.

        Drawn for each request, so that the work of the upstream grows gradually.
        """
        pause = self._pauses.get(instance_id)
        if pause is None:
            return False
        since_return = now - pause.returns_at
        if since_return >= RETURN_TIME:
            del self._pauses[instance_id]
            return False
        return self._random.random() >= since_return / RETURN_TIME

    def expire(self, now: timedelta) -> None:
        """Forget upstreams that have been gone for long."""
        for instance_id, gone_at in list(self._gone_at.items()):
            if now - gone_at > LEAVING_MEMORY:
                self._forget_leaving(instance_id)

    def list_reported(
        self, listed: Iterable[Upstream], reports_all: bool
    ) -> tuple[tuple[str, int], ...]:
        """Return the processes to report to the other hosts.

        :param listed: upstreams whose entries do not say that they are draining.
        :param reports_all: whether to pass on what other hosts have reported, so that
            it survives them. Only processes that are still listed are passed on.
        :returns: instance ids with the times of the starts, at most ``MAX_REPORTED``.
        """
        if not self._leaving:
            return ()
        reported = sorted(
            (upstream.instance_id, upstream.started_ms)
            for upstream in listed
            if self.is_leaving(upstream)
            and (reports_all or upstream.instance_id in self._own)
        )
        return tuple(reported[:MAX_REPORTED])

    def _forget_leaving(self, instance_id: str) -> None:
        self._leaving.pop(instance_id, None)
        self._own.discard(instance_id)
        self._gone_at.pop(instance_id, None)
