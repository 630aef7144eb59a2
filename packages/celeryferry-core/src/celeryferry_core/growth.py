"""How many successes a concurrency limit needs for its next step up."""

GROWTH_SUCCESSES_PER_SLOT = 8
# An upstream that hides its cold start fails at each step up. Each step that fails
# before as many successes as led to it doubles the number, so that the upstream can
# get warm on the work it bears.
MAX_GROWTH_FACTOR = 32


class GrowthCounter:
    """Counts the successes since the last change of a limit."""

    __slots__ = ("_factor", "_is_proven", "_successes")

    def __init__(self) -> None:
        self._successes = 0
        self._factor = 1
        self._is_proven = True

    def record_success(self, limit: int, slots: int) -> bool:
        """Take over one success.

        :param limit: present limit.
        :param slots: largest limit.
        :returns: True if the limit grows by one.
        """
        self._successes += 1
        if self._successes < GROWTH_SUCCESSES_PER_SLOT * limit * self._factor:
            return False
        self._successes = 0
        if limit >= slots:
            self._is_proven = True
            self._factor = 1
            return False
        self._is_proven = False
        return True

    def record_drop(self, is_overload: bool) -> None:
        """Take over a negative signal.

        :param is_overload: whether the upstream failed under the work it had.
        """
        if is_overload and not self._is_proven:
            self._factor = min(2 * self._factor, MAX_GROWTH_FACTOR)
        self._is_proven = True
        self._successes = 0
