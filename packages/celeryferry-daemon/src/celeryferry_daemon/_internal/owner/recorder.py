"""Recording of outcomes: delivery, log and counts."""

from collections import Counter

from celeryferry_core.decisions.owner import WorkRefused
from celeryferry_core.models.outcomes import (
    NotRun,
    OutcomeUnknown,
    RunOutcome,
    SearchOutcome,
)
from celeryferry_core.ports import DecisionLog
from celeryferry_daemon._internal.owner.work import Work


class OutcomeRecorder:
    """Delivers the outcomes of one upstream's work, counts them and logs refusals.

    :param address: address of the upstream.
    :param log: receiver of decisions.
    :ivar outcomes: number of requests by outcome since the counts were last published.
    """

    __slots__ = ("_address", "_log", "outcomes")

    def __init__(self, address: str, log: DecisionLog) -> None:
        self._address = address
        self._log = log
        self.outcomes: Counter[str] = Counter()

    def complete(self, work: Work, outcome: SearchOutcome | RunOutcome) -> None:
        """Record and deliver an outcome, unless the work is already done."""
        if work.is_done:
            return
        work.is_done = True
        match outcome:
            case NotRun():
                label = outcome.reason.value
                self._log_refusal(work, outcome)
            case OutcomeUnknown():
                label = outcome.reason.value
            case _:
                label = "answered"
        self.outcomes[label] += 1
        work.deliver(outcome)

    def _log_refusal(self, work: Work, refusal: NotRun) -> None:
        self._log.record(
            WorkRefused(
                work.trace_id,
                self._address,
                refusal.reason,
                refusal.holder,
                refusal.retry_after_ms,
            )
        )
