"""Limits on callers while one configuration replaces another."""

from datetime import timedelta

from celeryferry_core.forwarding.models import CallerBounds

# A request that was sent just before a change arrives after it, or waits in a socket
# buffer while the process is busy.
FORMER_BOUNDS_TIME = timedelta(milliseconds=200)


def merge_bounds(first: CallerBounds, second: CallerBounds) -> CallerBounds:
    """Return the larger one of each limit."""
    if first == second:
        return first
    return CallerBounds(
        max(first.header_bytes, second.header_bytes),
        max(first.body_bytes, second.body_bytes),
        max(first.head_time, second.head_time),
        max(first.idle_time, second.idle_time),
    )


class CallerBoundsInForce:
    """Limits of the latest configuration, and of those just before it.

    A raised limit is in force at once, a lowered one after ``FORMER_BOUNDS_TIME``.

    :param bounds: limits until the first configuration is received.
    """

    __slots__ = ("_current", "_former")

    def __init__(self, bounds: CallerBounds | None = None) -> None:
        self._current = CallerBounds() if bounds is None else bounds
        # Replaced limits, each with the time until which it is in force.
        self._former: list[tuple[CallerBounds, timedelta]] = []

    def replace(self, bounds: CallerBounds, now: timedelta) -> None:
        """Put the limits of another configuration in force.

        :param now: current monotonic time.
        """
        if bounds == self._current:
            return
        self._drop_expired(now)
        self._former.append((self._current, now + FORMER_BOUNDS_TIME))
        self._current = bounds

    def read(self, now: timedelta) -> CallerBounds:
        """Return the limits for what arrives now.

        :param now: current monotonic time.
        """
        if self._former:
            self._drop_expired(now)
        bounds = self._current
        for former, _ in self._former:
            bounds = merge_bounds(bounds, former)
        return bounds

    def _drop_expired(self, now: timedelta) -> None:
        self._former = [each for each in self._former if each[1] > now]
