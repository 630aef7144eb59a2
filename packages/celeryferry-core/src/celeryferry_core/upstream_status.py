"""State of one upstream: readiness, drain, and pauses before the next send."""

from datetime import timedelta

from celeryferry_core.models.outcomes import UpstreamState

MIN_REFUSAL_PAUSE = timedelta(milliseconds=5)
MAX_REFUSAL_PAUSE = timedelta(milliseconds=250)
MIN_TRIAL_PAUSE = timedelta(milliseconds=100)
MAX_TRIAL_PAUSE = timedelta(seconds=5)
# A refused health poll postpones the trial past the next poll (500 ms), so a dead
# upstream gets no trials and a returning one gets one soon.
HEALTH_TRIAL_PAUSE = timedelta(milliseconds=600)
MIN_READY_POLLS = 2
MAX_READY_POLLS = 64


class UpstreamStatus:
    """State machine over the signals of one upstream.

    :ivar state: present state; cold until the first answer.
    :ivar resume_at: monotonic time before which nothing may be sent.
    """

    __slots__ = (
        "_drained_at",
        "_pause",
        "_ready_polls",
        "_ready_polls_needed",
        "resume_at",
        "state",
    )

    def __init__(self) -> None:
        self.state = UpstreamState.COLD
        self.resume_at = timedelta(0)
        self._pause = timedelta(0)
        self._drained_at: timedelta | None = None
        self._ready_polls = 0
        self._ready_polls_needed = MIN_READY_POLLS

    @property
    def is_draining(self) -> bool:
        """Whether the upstream is draining."""
        return self.state is UpstreamState.DRAINING

    @property
    def is_unreachable(self) -> bool:
        """Whether the upstream could not be reached."""
        return self.state is UpstreamState.UNREACHABLE

    def get_reported_state(self, now: timedelta) -> UpstreamState:
        """Return the state to report to fronts.

        An unreachable upstream counts as cold once its next trial is due; otherwise
        nobody would route the work to it that the trial needs.

        :param now: present monotonic time.
        :returns: the state.
        """
        if self.is_unreachable and now >= self.resume_at:
            return UpstreamState.COLD
        return self.state

    def record_cold(self) -> None:
        """Take over a negative signal; a drain outlasts it."""
        if not self.is_draining:
            self.state = UpstreamState.COLD

    def record_ready(self) -> None:
        """Take over a successful answer; a drain outlasts it."""
        if self.is_draining:
            return
        self.state = UpstreamState.READY
        self._pause = self.resume_at = timedelta(0)
        self._drained_at = None
        self._ready_polls_needed = MIN_READY_POLLS

    def record_refusal(self, now: timedelta) -> None:
        """Pause after a refusal, twice as long after each further one.

        :param now: present monotonic time.
        """
        self._pause = min(max(self._pause * 2, MIN_REFUSAL_PAUSE), MAX_REFUSAL_PAUSE)
        self.resume_at = max(self.resume_at, now + self._pause)

    def record_unreachable(self, now: timedelta) -> None:
        """Take over a connection that could not be opened.

        :param now: present monotonic time.
        """
        if self.is_draining:
            return
        pause = self._pause * 2 if self.is_unreachable else MIN_TRIAL_PAUSE
        self._pause = min(max(pause, MIN_TRIAL_PAUSE), MAX_TRIAL_PAUSE)
        self.state = UpstreamState.UNREACHABLE
        self.resume_at = now + self._pause

    def record_health_unreachable(self, now: timedelta) -> None:
        """Take over a health poll whose connection could not be opened.

        :param now: present monotonic time.
        """
        self._ready_polls = 0
        if not self.is_draining:
            self.state = UpstreamState.UNREACHABLE
            self.resume_at = max(self.resume_at, now + HEALTH_TRIAL_PAUSE)

    def record_drain(self, now: timedelta) -> None:
        """Take over a sign of a drain.

        The number of polls that end a drain doubles if work after the previous end
        shows that those health answers were wrong.

        :param now: present monotonic time.
        """
        if not self.is_draining and self._drained_at is not None:
            needed = 2 * self._ready_polls_needed
            self._ready_polls_needed = min(needed, MAX_READY_POLLS)
        self.state = UpstreamState.DRAINING
        self._drained_at = now
        self._ready_polls = 0

    def record_ready_poll(self, asked_at: timedelta) -> bool:
        """Take over a health answer other than draining while draining.

        :param asked_at: monotonic time at which the poll was sent; a poll sent before
            the latest sign of the drain does not count.
        :returns: True if the drain is over.
        """
        if self._drained_at is None or asked_at <= self._drained_at:
            return False
        self._ready_polls += 1
        if self._ready_polls < self._ready_polls_needed:
            return False
        self.state = UpstreamState.COLD
        self._pause = self.resume_at = timedelta(0)
        return True
