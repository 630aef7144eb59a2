"""When a stopping host closes its listeners and when its process may end."""

from datetime import timedelta

# Part of the stop time in which new requests are still taken, for callers that keep an
# answer longer than they should; the rest is for requests that are running.
ACCEPT_TIME_FRACTION = 0.6
FINISH_TIME_FRACTION = 0.9
# A request on a connection that was accepted just before the listener closed is read
# within this time.
MIN_QUIET_TIME = timedelta(milliseconds=250)


class DrainSchedule:
    """Decides when the process of a stopping host may end.

    :param started_at: monotonic time of the stop signal.
    :param stop_time: time from the stop signal until the process is killed.
    """

    __slots__ = ("_exit_deadline", "_quiet_since", "listeners_close_at")

    def __init__(self, started_at: timedelta, stop_time: timedelta) -> None:
        self.listeners_close_at = started_at + stop_time * ACCEPT_TIME_FRACTION
        self._exit_deadline = started_at + stop_time * FINISH_TIME_FRACTION
        self._quiet_since: timedelta | None = None

    def may_exit(self, running_count: int, now: timedelta) -> bool:
        """Tell whether the process may end, once the listeners are closed.

        :param running_count: requests without an answer.
        :param now: present monotonic time.
        """
        if now >= self._exit_deadline:
            return True
        if running_count:
            self._quiet_since = None
            return False
        if self._quiet_since is None:
            self._quiet_since = now
        return now - self._quiet_since >= MIN_QUIET_TIME
