"""Durations in whole milliseconds."""

from datetime import timedelta

ZERO_DURATION = timedelta(0)
MILLISECOND = timedelta(milliseconds=1)


def to_milliseconds(duration: timedelta) -> int:
    """Round a duration up to whole milliseconds.

    :param duration: any duration.
    :returns: milliseconds, at least 0.
    """
    return max(0, -(-duration // MILLISECOND))
