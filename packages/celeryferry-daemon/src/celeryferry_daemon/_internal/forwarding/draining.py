"""Schedule of a stopping host: which requests it still runs, and when it exits."""

from datetime import timedelta

from celeryferry_core.forwarding.models import ForwardingRule

# Fraction of the stop time in which new connections are still accepted, for callers
# that keep a list of entry hosts longer than they should. After it, requests arrive
# only on connections that are already open.
ACCEPT_TIME_FRACTION = 0.6
# Fraction of the stop time at which every request has its result, the running ones
# included.
ANSWER_TIME_FRACTION = 0.9
# Fraction of the stop time after which nothing more is read from callers. What was read
# before has its refusal by the time at which the process exits.
READ_TIME_FRACTION = 0.92
# Fraction of the stop time after which the process exits even if callers have not
# received all of their answers.
FINISH_TIME_FRACTION = 0.95
# A request that may be repeated is run if this multiple of its target latency is left.
REPEATABLE_TARGETS = 2
# Time without a running request before the host stops reading. A request on a
# connection that was accepted just before the listener closed is read within this time.
MIN_QUIET_TIME = timedelta(milliseconds=250)


class DrainSchedule:
    """Decides what a stopping host still reads and runs, and when it may exit.

    It exits in two steps. First it stops reading from callers, so that no request can
    be read any more; then it waits until all that were read are answered. Arguments
    named ``now`` are monotonic times.

    :param started_at: monotonic time of the stop signal.
    :param stop_time: time from the stop signal until the process is killed.
    :ivar listeners_close_at: monotonic time at which the listeners close.
    :ivar answers_due_at: monotonic time at which every request must have its result.
    """

    __slots__ = (
        "_exit_deadline",
        "_quiet_since",
        "_reading_ends_at",
        "answers_due_at",
        "listeners_close_at",
    )

    def __init__(self, started_at: timedelta, stop_time: timedelta) -> None:
        self.listeners_close_at = started_at + stop_time * ACCEPT_TIME_FRACTION
        self.answers_due_at = started_at + stop_time * ANSWER_TIME_FRACTION
        self._reading_ends_at = started_at + stop_time * READ_TIME_FRACTION
        self._exit_deadline = started_at + stop_time * FINISH_TIME_FRACTION
        self._quiet_since: timedelta | None = None

    def may_run(
        self, rule: ForwardingRule, time_left: timedelta, now: timedelta
    ) -> bool:
        """Return whether a request can still be run here without being cut off.

        A request that must not be repeated needs its whole time, because its caller
        could not learn whether it ran. Other hosts run what this one refuses.

        :param rule: rule of the request.
        :param time_left: time for which the caller still waits.
        """
        needed = min(rule.timeout, time_left)
        if rule.is_repeatable:
            needed = min(needed, rule.target_latency * REPEATABLE_TARGETS)
        return now + needed <= self.answers_due_at

    def may_end_reading(self, unanswered_count: int, now: timedelta) -> bool:
        """Return whether the host may stop reading from callers.

        Call it only after the listeners closed. If it returns True, stop reading before
        the event loop can read again.

        :param unanswered_count: number of connections with a request that has begun to
            arrive, or with a response that is not sent completely.
        """
        if now >= self._reading_ends_at:
            return True
        if unanswered_count:
            self._quiet_since = None
            return False
        if self._quiet_since is None:
            self._quiet_since = now
        return now - self._quiet_since >= MIN_QUIET_TIME

    def may_exit(self, unanswered_count: int, now: timedelta) -> bool:
        """Return whether the process may exit. Call it only after the reading ended.

        :param unanswered_count: as for ``may_end_reading``.
        """
        return not unanswered_count or now >= self._exit_deadline
