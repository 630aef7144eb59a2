"""Constants for durations, and conversion to whole milliseconds."""

from datetime import timedelta

ZERO_DURATION = timedelta(0)
MILLISECOND = timedelta(milliseconds=1)


def to_milliseconds(duration: timedelta) -> int:
    """Round a duration up to whole milliseconds.

    :returns: milliseconds, at least 0.
    """
    return max(0, -(-duration // MILLISECOND))
