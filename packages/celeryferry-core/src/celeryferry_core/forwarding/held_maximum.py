"""Maximum of the values of a recent time."""

from datetime import timedelta


class HeldMaximum:
    """Follows a value at once when it grows, and after a delay when it falls.

    :param hold_time: time for which a value counts after it was last given.
    """

    __slots__ = ("_hold_time", "_until_by_value")

    def __init__(self, hold_time: timedelta) -> None:
        self._hold_time = hold_time
        self._until_by_value: dict[int, timedelta] = {}

    def update(self, value: int, now: timedelta) -> int:
        """Return the largest value of the hold time, this one included.

        :param now: monotonic time.
        """
        self._until_by_value[value] = now + self._hold_time
        self._until_by_value = {
            known: until for known, until in self._until_by_value.items() if until > now
        }
        return max(self._until_by_value)

    def list_expiries(self) -> list[timedelta]:
        """Return the monotonic times at which the maximum can fall."""
        return list(self._until_by_value.values())
