"""Smoothed latency of one upstream, and detection of sudden increases."""

from datetime import timedelta

LATENCY_WEIGHT = 1 / 8
BASELINE_WEIGHT = 1 / 64
# The latency has stepped up if each of STEP_SAMPLES answers in a row took more than
# STEP_FACTOR times the baseline and more than MIN_STEP above it. A run is required
# because a single slow answer must not count as a step. Steps are detected only after
# MIN_BASELINE_SAMPLES answers, when the baseline is reliable.
STEP_FACTOR = 3.0
STEP_SAMPLES = 8
MIN_STEP = timedelta(milliseconds=5)
MIN_BASELINE_SAMPLES = 32


class LatencyTracker:
    """Exponentially weighted latency, compared with a baseline that changes slowly.

    :ivar latency: smoothed latency, zero before the first answer.
    """

    __slots__ = ("_baseline", "_samples", "_slow_run", "latency")

    def __init__(self) -> None:
        self.latency = timedelta(0)
        self._baseline = timedelta(0)
        self._samples = 0
        self._slow_run = 0

    def record(self, latency: timedelta) -> bool:
        """Record the latency of one answer.

        :param latency: time from sending the request to the answer.
        :returns: True if a step up was detected with this answer.
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
        # The new latency becomes the baseline, so a lasting increase is reported once.
        self._baseline = self.latency
        self._samples = self._slow_run = 0
        return True
