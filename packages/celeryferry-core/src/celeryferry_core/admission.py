"""Fair admission of the queries of several applications by a host in the front role."""

from dataclasses import dataclass

MIN_RETRY_AFTER_MS = 10
MAX_RETRY_AFTER_MS = 1_000
# While the running queries are below this fraction of the bound, one application may
# use all remaining slots.
FAIR_SHARE_LOAD_RATIO = 0.5
# Weight of the latest query in the smoothed duration, which is the retry-after time.
DURATION_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """Refusal of a query.

    :param running: number of queries that run or wait on this host.
    :param share: number of queries that the application may run at once at present.
    :param retry_after_ms: time before a retry is useful, in milliseconds.
    """

    running: int
    share: int
    retry_after_ms: int


class Admission:
    """Limits the number of concurrent queries of a host in the front role.

    :param bound: number of queries that may run or wait at once.
    """

    __slots__ = ("_bound", "_duration_ms", "_running", "_total")

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._running: dict[str, int] = {}
        self._total = 0
        self._duration_ms = float(MIN_RETRY_AFTER_MS)

    @property
    def total(self) -> int:
        """Number of queries that were admitted and have not finished."""
        return self._total

    def admit(self, application: str, is_fair: bool = True) -> AdmissionRefusal | None:
        """Admit a query or refuse it.

        :param is_fair: False lets one application use all slots.
        :returns: None if the query is admitted. ``finish`` must be called at its end.
        """
        own = self._running.get(application, 0)
        share = self._compute_share(application) if is_fair else self._bound
        if self._total >= self._bound or own >= share:
            return AdmissionRefusal(self._total, share, self._retry_after_ms())
        self._running[application] = own + 1
        self._total += 1
        return None

    def finish(self, application: str, elapsed_ms: float) -> None:
        """Release the slot of a query.

        :param elapsed_ms: duration of the query in milliseconds.
        """
        remaining = self._running[application] - 1
        if remaining:
            self._running[application] = remaining
        else:
            del self._running[application]
        self._total -= 1
        self._duration_ms += DURATION_WEIGHT * (elapsed_ms - self._duration_ms)

    def _compute_share(self, application: str) -> int:
        if self._total < self._bound * FAIR_SHARE_LOAD_RATIO:
            return self._bound
        competitors = len(self._running) + (application not in self._running)
        # One more share is kept free for an application that has no queries yet.
        return max(1, self._bound // (competitors + 1))

    def _retry_after_ms(self) -> int:
        bounded = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, self._duration_ms))
        return int(bounded)
