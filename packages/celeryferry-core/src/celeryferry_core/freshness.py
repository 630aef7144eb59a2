"""Freshness of the active configuration of a host."""

from collections.abc import Iterable
from datetime import timedelta

# Confirmations of the configuration, contacts with hosts and summaries of other cells
# that are at least this old are not used.
MAX_FRESH_AGE = timedelta(seconds=3)


class Freshness:
    """Decides whether the active configuration is fresh enough to act on.

    It is fresh if the configuration service confirmed it recently, directly or through
    a peer, or if a majority of the listed hosts was reached recently.

    All times are monotonic times of this host. An age reported by a peer is counted
    back from the send time of the probe, so network delay can only make it older.
    """

    __slots__ = ("_confirmed_at", "_majority_until", "_not_before")

    def __init__(self) -> None:
        self._confirmed_at: timedelta | None = None
        self._majority_until = timedelta.min
        self._not_before = timedelta.min

    def confirm(self, sent_at: timedelta, age: timedelta = timedelta(0)) -> None:
        """Record that the configuration service answered.

        :param sent_at: time just before the request or the probe was sent.
        :param age: age of the confirmation that the peer reported; negative ages count
            as zero.
        """
        if sent_at < self._not_before:
            return
        confirmed_at = sent_at - max(age, timedelta(0))
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def update_majority(
        self, reached: Iterable[tuple[timedelta, int]], listed_count: int
    ) -> None:
        """Recompute until when a majority of the listed hosts counts as reached.

        :param reached: for each host or cell, the time at which it was reached and the
            number of hosts that it stands for.
        """
        self._majority_until = timedelta.min
        reached_count = 0
        for reached_at, host_count in sorted(reached, reverse=True):
            if reached_at < self._not_before:
                break
            reached_count += host_count
            if 2 * reached_count > listed_count:
                self._majority_until = reached_at + MAX_FRESH_AGE
                return

    def confirmation_age(self, now: timedelta) -> timedelta | None:
        """Return the age of the latest confirmation, or None if there is none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_fresh(self, now: timedelta) -> bool:
        """Return whether the configuration may be acted on.

        This is so within ``MAX_FRESH_AGE`` of a confirmation or of a majority.
        """
        if now < self._majority_until:
            return True
        age = self.confirmation_age(now)
        return age is not None and age < MAX_FRESH_AGE

    def reset(self, now: timedelta) -> None:
        """Discard all observations after a pause of the process.

        Answers to requests that were sent before ``now`` are ignored as well.

        :param now: time at which the process resumed.
        """
        self._confirmed_at = None
        self._majority_until = timedelta.min
        self._not_before = now
