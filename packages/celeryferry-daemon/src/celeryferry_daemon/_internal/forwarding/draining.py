"""Schedule of a stopping host: when its listeners close and when its process exits."""

from datetime import timedelta

# Fraction of the stop time in which new requests are still accepted, for callers that
# keep a list of entry hosts longer than they should. After it only running requests
# are finished.
ACCEPT_TIME_FRACTION = 0.6
# Fraction of the stop time after which the process exits even if requests are running.
FINISH_TIME_FRACTION = 0.9
# Time without a running request before the process exits. A request on a connection
# that was accepted just before the listener closed is read within this time.
MIN_QUIET_TIME = timedelta(milliseconds=250)


class DrainSchedule:
    """Decides when a stopping host closes its listeners and when it may exit.

    :param started_at: monotonic time of the stop signal.
    :param stop_time: time from the stop signal until the process is killed.
    :ivar listeners_close_at: monotonic time at which the listeners close.
    """

    __slots__ = ("_exit_deadline", "_quiet_since", "listeners_close_at")

    def __init__(self, started_at: timedelta, stop_time: timedelta) -> None:
        self.listeners_close_at = started_at + stop_time * ACCEPT_TIME_FRACTION
        self._exit_deadline = started_at + stop_time * FINISH_TIME_FRACTION
        self._quiet_since: timedelta | None = None

    def may_exit(self, running_count: int, now: timedelta) -> bool:
        """Return whether the process may exit. Call it only after the listeners closed.

        :param running_count: number of requests without a response.
        :param now: current monotonic time.
        """
        if now >= self._exit_deadline:
            return True
        if running_count:
            self._quiet_since = None
            return False
        if self._quiet_since is None:
            self._quiet_since = now
        return now - self._quiet_since >= MIN_QUIET_TIME
