"""Smoothed latency of one upstream and detection of a step up."""

from datetime import timedelta

LATENCY_WEIGHT = 1 / 8
BASELINE_WEIGHT = 1 / 64
# A single straggling answer must not count as a step, so a whole run of slow answers
# is needed, and only after the baseline rests on enough answers.
STEP_FACTOR = 3.0
STEP_SAMPLES = 8
MIN_STEP = timedelta(milliseconds=5)
MIN_BASELINE_SAMPLES = 32


class LatencyTracker:
    """Exponentially weighted latency with a slow baseline to compare it with.

    :ivar latency: smoothed latency, zero before the first answer.
    """

    __slots__ = ("_baseline", "_samples", "_slow_run", "latency")

    def __init__(self) -> None:
        self.latency = timedelta(0)
        self._baseline = timedelta(0)
        self._samples = 0
        self._slow_run = 0

    def record(self, latency: timedelta) -> bool:
        """Take over one latency.

        :param latency: time from sending to the answer.
        :returns: True if the latency has stepped up.
        """
        if not self.latency:
            self.latency = self._baseline = latency
        self.latency += (latency - self.latency) * LATENCY_WEIGHT
        ceiling = self._baseline * STEP_FACTOR
        is_slow = latency > max(ceiling, self._baseline + MIN_STEP)
        self._baseline += (min(latency, ceiling) - self._baseline) * BASELINE_WEIGHT
        self._samples += 1
        self._slow_run = self._slow_run + 1 if is_slow else 0
        if self._slow_run < STEP_SAMPLES or self._samples < MIN_BASELINE_SAMPLES:
            return False
        # The new latency becomes the baseline, so a lasting change counts once.
        self._baseline = self.latency
        self._samples = self._slow_run = 0
        return True
