"""Fair admission of queries across applications at the front."""

from dataclasses import dataclass

MIN_RETRY_AFTER_MS = 10
MAX_RETRY_AFTER_MS = 1_000
# Below this part of the bound an application may use all the room that is left.
FAIR_SHARE_LOAD_RATIO = 0.5
# Weight of the latest query in the smoothed duration, which is the retry-after time.
DURATION_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """A query that is not admitted.

    :param running: queries running on this host.
    :param share: queries that the application may have at once now.
    :param retry_after_ms: earliest useful retry in milliseconds.
    """

    running: int
    share: int
    retry_after_ms: int


class Admission:
    """Bounds the queries of one front.

    :param bound: queries that may run or wait at once.
    """

    __slots__ = ("_bound", "_duration_ms", "_running", "_total")

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._running: dict[str, int] = {}
        self._total = 0
        self._duration_ms = float(MIN_RETRY_AFTER_MS)

    @property
    def total(self) -> int:
        """Queries admitted and not finished."""
        return self._total

    def admit(self, application: str, is_fair: bool = True) -> AdmissionRefusal | None:
        """Admit a query or refuse it.

        :param application: application of the query.
        :param is_fair: False lets one application take all the room.
        :returns: None if it is admitted; ``finish`` must follow.
        """
        own = self._running.get(application, 0)
        share = self._compute_share(application) if is_fair else self._bound
        if self._total >= self._bound or own >= share:
            return AdmissionRefusal(self._total, share, self._retry_after_ms())
        self._running[application] = own + 1
        self._total += 1
        return None

    def finish(self, application: str, elapsed_ms: float) -> None:
        """Give back the room of a query.

        :param application: application of the query.
        :param elapsed_ms: time the query took in milliseconds.
        """
        left = self._running[application] - 1
        if left:
            self._running[application] = left
        else:
            del self._running[application]
        self._total -= 1
        self._duration_ms += DURATION_WEIGHT * (elapsed_ms - self._duration_ms)

    def _compute_share(self, application: str) -> int:
        if self._total < self._bound * FAIR_SHARE_LOAD_RATIO:
            return self._bound
        competitors = len(self._running) + (application not in self._running)
        # One share stays free for an application that starts now.
        return max(1, self._bound // (competitors + 1))

    def _retry_after_ms(self) -> int:
        bounded = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, self._duration_ms))
        return int(bounded)
