"""Whether a host may act on its active configuration."""

from collections.abc import Iterable
from datetime import timedelta

MAX_FRESH_AGE = timedelta(seconds=3)


class Freshness:
    """Time of the latest confirmation and of the latest majority.

    All times are monotonic times of this host. An age from a peer is counted from
    the send time of the probe that brought it, so transit only makes it older.
    """

    __slots__ = ("_confirmed_at", "_majority_until", "_not_before")

    def __init__(self) -> None:
        self._confirmed_at: timedelta | None = None
        self._majority_until = timedelta.min
        self._not_before = timedelta.min

    def confirm(self, sent_at: timedelta, age: timedelta = timedelta(0)) -> None:
        """Record that the configuration service answered.

        :param sent_at: time just before the request was sent.
        :param age: age of the confirmation in the answer of a peer.
        """
        if sent_at < self._not_before:
            return
        confirmed_at = sent_at - max(age, timedelta(0))
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def update_majority(
        self, reached: Iterable[tuple[timedelta, int]], listed_count: int
    ) -> None:
        """Compute until when a majority of the listed hosts counts as reached.

        :param reached: for each host or cell the time at which it was reached and the
            number of hosts that this stands for.
        :param listed_count: number of all listed hosts.
        """
        self._majority_until = timedelta.min
        count = 0
        for reached_at, weight in sorted(reached, reverse=True):
            if reached_at < self._not_before:
                break
            count += weight
            if 2 * count > listed_count:
                self._majority_until = reached_at + MAX_FRESH_AGE
                return

    def service_age(self, now: timedelta) -> timedelta | None:
        """Return the age of the latest confirmation.

        :param now: present monotonic time.
        :returns: the age, or None if there is no confirmation.
        """
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_fresh(self, now: timedelta) -> bool:
        """Tell whether the configuration may be acted on.

        :param now: present monotonic time.
        :returns: True within ``MAX_FRESH_AGE`` of a confirmation or of a majority.
        """
        if now < self._majority_until:
            return True
        age = self.service_age(now)
        return age is not None and age < MAX_FRESH_AGE

    def reset(self, now: timedelta) -> None:
        """Forget all observations; requests sent before ``now`` bring none either.

        :param now: time at which the process resumed.
        """
        self._confirmed_at = None
        self._majority_until = timedelta.min
        self._not_before = now
