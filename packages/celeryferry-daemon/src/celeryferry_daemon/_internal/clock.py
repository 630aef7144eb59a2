"""The machine's clocks."""

import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Clock of the machine.

    The monotonic time comes from ``CLOCK_BOOTTIME``, which counts on while the
    machine is suspended. Leases would outlive a suspension on ``CLOCK_MONOTONIC``.
    """

    __slots__ = ()

    def monotonic(self) -> timedelta:
        """Return the time since the machine started.

        :returns: duration with microsecond resolution.
        """
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return timedelta(microseconds=nanoseconds // 1000)

    def wall(self) -> datetime:
        """Return the wall-clock time.

        :returns: time in UTC.
        """
        return datetime.now(UTC)


def to_ms(duration: timedelta) -> int:
    """Convert a duration to whole milliseconds, rounded up.

    :param duration: the duration.
    :returns: milliseconds.
    """
    return -(-duration // timedelta(milliseconds=1))
