"""Clocks of the machine."""

import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Implements ``Clock`` with the clocks of the machine.

    The monotonic time comes from ``CLOCK_BOOTTIME``, which advances while the machine
    is suspended. ``CLOCK_MONOTONIC`` does not; with it, leases would outlive a
    suspension.
    """

    __slots__ = ()

    def monotonic(self) -> timedelta:
        """Return the time since the machine started, in whole microseconds."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return timedelta(microseconds=nanoseconds // 1000)

    def wall(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)


def to_ms(duration: timedelta) -> int:
    """Convert a duration to whole milliseconds, rounded up."""
    return -(-duration // timedelta(milliseconds=1))
