"""Estimate of the processor time that the requests of a host need."""

from datetime import timedelta

# Processor time of one attempt at an upstream, with its part of the request, on an
# ordinary core.
ATTEMPT_TIME = timedelta(microseconds=350)
# Weight of the latest interval. With intervals of 1 s, a burst shows within 2 s.
LATEST_WEIGHT = 0.5
MIN_INTERVAL = timedelta(seconds=1)
# Smaller changes are not reported to other hosts.
MIN_CHANGE_RATIO = 0.25
MIN_CHANGE = 0.05


class LoadMeter:
    """Turns the number of attempts into a load, in seconds of a core per second.

    :ivar reported: latest load, rounded so that it seldom changes.
    """

    __slots__ = ("_count", "_load", "_measured_at", "reported")

    def __init__(self, now: timedelta) -> None:
        self._measured_at = now
        self._count = 0
        self._load = 0.0
        self.reported = 0.0

    def update(self, attempt_count: int, now: timedelta) -> float:
        """Update the load.

        :param attempt_count: attempts since the start of the process.
        :param now: monotonic time.
        :returns: the load to report.
        """
        elapsed = now - self._measured_at
        if elapsed < MIN_INTERVAL:
            return self.reported
        latest = (attempt_count - self._count) * ATTEMPT_TIME / elapsed
        self._measured_at, self._count = now, attempt_count
        self._load += (latest - self._load) * LATEST_WEIGHT
        change = abs(self._load - self.reported)
        if change >= max(MIN_CHANGE, MIN_CHANGE_RATIO * self.reported):
            self.reported = round(self._load, 2)
        elif self._load < MIN_CHANGE / 2:
            self.reported = 0.0
        return self.reported
