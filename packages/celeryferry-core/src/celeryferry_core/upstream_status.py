"""State of one upstream: readiness, draining, and pauses before the next send."""

from datetime import timedelta

from celeryferry_core.models.outcomes import UpstreamState

MIN_REFUSAL_PAUSE = timedelta(milliseconds=5)
MAX_REFUSAL_PAUSE = timedelta(milliseconds=250)
MIN_TRIAL_PAUSE = timedelta(milliseconds=100)
MAX_TRIAL_PAUSE = timedelta(seconds=5)
# A health poll that can't connect postpones the next trial request to the upstream
# until after the next poll, which follows after 500 ms. An upstream that stays down
# therefore gets no trials, and one that returns gets a trial soon.
HEALTH_TRIAL_PAUSE = timedelta(milliseconds=600)
MIN_NOT_DRAINING_POLLS = 2
MAX_NOT_DRAINING_POLLS = 64


class UpstreamStatus:
    """Tracks the state of one upstream from its answers, refusals and health polls.

    :ivar state: current state; cold until the first answer.
    :ivar resume_at: monotonic time before which nothing may be sent.
    """

    __slots__ = (
        "_last_drain_sign_at",
        "_pause",
        "_not_draining_polls",
        "_not_draining_polls_needed",
        "resume_at",
        "state",
    )

    def __init__(self) -> None:
        self.state = UpstreamState.COLD
        self.resume_at = timedelta(0)
        self._pause = timedelta(0)
        self._last_drain_sign_at: timedelta | None = None
        self._not_draining_polls = 0
        self._not_draining_polls_needed = MIN_NOT_DRAINING_POLLS

    @property
    def is_draining(self) -> bool:
        """Whether the upstream is draining."""
        return self.state is UpstreamState.DRAINING

    @property
    def is_unreachable(self) -> bool:
        """Whether the last connection to the upstream could not be opened."""
        return self.state is UpstreamState.UNREACHABLE

    def get_reported_state(self, now: timedelta) -> UpstreamState:
        """Return the state to report to fronts, the hosts that receive queries.

        An unreachable upstream is reported as cold once its next trial is due.
        Otherwise no front would send it a subquery, and the trial needs one.

        :param now: present monotonic time.
        """
        if self.is_unreachable and now >= self.resume_at:
            return UpstreamState.COLD
        return self.state

    def record_negative_signal(self) -> None:
        """Set the state to cold after a negative signal. It does not end a drain."""
        if not self.is_draining:
            self.state = UpstreamState.COLD

    def record_ready(self) -> None:
        """Record a successful answer. It does not end a drain."""
        if self.is_draining:
            return
        self.state = UpstreamState.READY
        self._pause = self.resume_at = timedelta(0)
        self._last_drain_sign_at = None
        self._not_draining_polls_needed = MIN_NOT_DRAINING_POLLS

    def record_refusal(self, now: timedelta) -> None:
        """Record a refusal; the pause doubles with each refusal in a row.

        :param now: present monotonic time.
        """
        self._pause = min(max(self._pause * 2, MIN_REFUSAL_PAUSE), MAX_REFUSAL_PAUSE)
        self.resume_at = max(self.resume_at, now + self._pause)

    def record_unreachable(self, now: timedelta) -> None:
        """Record that a connection could not be opened; the pause doubles each time.

        :param now: present monotonic time.
        """
        if self.is_draining:
            return
        pause = self._pause * 2 if self.is_unreachable else MIN_TRIAL_PAUSE
        self._pause = min(max(pause, MIN_TRIAL_PAUSE), MAX_TRIAL_PAUSE)
        self.state = UpstreamState.UNREACHABLE
        self.resume_at = now + self._pause

    def record_health_unreachable(self, now: timedelta) -> None:
        """Record that the connection of a health poll could not be opened.

        :param now: present monotonic time.
        """
        self._not_draining_polls = 0
        if not self.is_draining:
            self.state = UpstreamState.UNREACHABLE
            self.resume_at = max(self.resume_at, now + HEALTH_TRIAL_PAUSE)

    def record_drain(self, now: timedelta) -> None:
        """Record a sign that the upstream is draining.

        If the previous drain was ended by health polls and no answer succeeded since,
        those polls were wrong. The number of polls that end a drain doubles then.

        :param now: present monotonic time.
        """
        if not self.is_draining and self._last_drain_sign_at is not None:
            needed = 2 * self._not_draining_polls_needed
            self._not_draining_polls_needed = min(needed, MAX_NOT_DRAINING_POLLS)
        self.state = UpstreamState.DRAINING
        self._last_drain_sign_at = now
        self._not_draining_polls = 0

    def record_not_draining_poll(self, asked_at: timedelta) -> bool:
        """Record a health poll that answered other than draining, during a drain.

        :param asked_at: monotonic time at which the poll was sent. A poll sent before
            the latest sign of the drain does not count.
        :returns: True if this poll ended the drain.
        """
        if self._last_drain_sign_at is None or asked_at <= self._last_drain_sign_at:
            return False
        self._not_draining_polls += 1
        if self._not_draining_polls < self._not_draining_polls_needed:
            return False
        self.state = UpstreamState.COLD
        self._pause = self.resume_at = timedelta(0)
        return True
