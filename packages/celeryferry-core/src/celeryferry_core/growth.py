"""Number of successes after which a concurrency limit grows by one."""

# Successes needed to raise the limit by one, for each slot of the current limit.
GROWTH_SUCCESSES_PER_SLOT = 8
# A cold upstream that does not report its state fails after each increase of the limit.
# If it fails before an increase is proven, the number of successes needed doubles, up
# to this factor, so that the upstream can warm up under a load that it can handle.
MAX_GROWTH_FACTOR = 32


class GrowthCounter:
    """Counts the successes since the last change of a limit.

    An increase is proven when the successes needed for the next one have been counted.

    :ivar _is_proven: False while an increase awaits proof. An increase that was undone
        by a decrease no longer awaits proof.
    """

    __slots__ = ("_factor", "_is_proven", "_successes")

    def __init__(self) -> None:
        self._successes = 0
        self._factor = 1
        self._is_proven = True

    def record_success(self, limit: int, slots: int) -> bool:
        """Count one success.

        :param slots: upper bound of the limit.
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

    def record_decrease(self, is_failure: bool) -> None:
        """Restart the count after a signal that lowers the limit.

        This includes signals at which the limit already has its lowest value.

        :param is_failure: whether the upstream failed under its load; only then the
            number of successes needed may double.
        """
        if is_failure and not self._is_proven:
            self._factor = min(2 * self._factor, MAX_GROWTH_FACTOR)
        self._is_proven = True
        self._successes = 0
