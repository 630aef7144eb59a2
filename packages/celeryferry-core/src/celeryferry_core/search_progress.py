"""Progress of the shards and batches of one search session."""

from dataclasses import dataclass, field
from datetime import timedelta

from celeryferry_core.models.callers import Hit
from celeryferry_core.models.outcomes import (
    CoverageReason,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
)
from celeryferry_core.models.topology import Host, ShardId
from celeryferry_core.plans import PlannedShard, Route


@dataclass(slots=True)
class Attempt:
    """A subquery that was sent.

    :param batch_id: number of the batch that carries it.
    :param sent_at: monotonic time at which it was sent.
    :param is_open: whether its outcome is still awaited.
    """

    route: Route
    batch_id: int
    sent_at: timedelta
    is_open: bool = True


@dataclass(slots=True)
class BatchProgress:
    """A batch in flight. All times are monotonic.

    :param batch_id: number of the batch within the session.
    :param host: owner to which it was sent.
    :param late_at: end of the hedge delay. If a line has arrived before this time, the
        shards that are still pending are hedged at it.
    :param hedge_at: time at which pending shards are hedged, set to ``late_at`` by the
        first line; a stall of this process postpones it.
    :param silent_at: time at which the owner is considered failed if no line has
        arrived.
    :param attempts: subqueries by shard.
    :param has_line: whether a line has arrived.
    :param hedge_considered: whether hedging of its pending shards was considered.
    :param hedge_was_denied: whether the budget did not cover the hedges of all of them.
    :param was_postponed: whether hedging was postponed after a stall of this process.
    :param was_silent: whether the owner was considered failed.
    """

    batch_id: int
    host: Host
    late_at: timedelta
    hedge_at: timedelta
    silent_at: timedelta
    attempts: dict[ShardId, Attempt] = field(default_factory=dict)
    has_line: bool = False
    hedge_considered: bool = False
    hedge_was_denied: bool = False
    was_postponed: bool = False
    was_silent: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the outcome of any subquery of the batch is still awaited."""
        return any(attempt.is_open for attempt in self.attempts.values())

    @property
    def next_check_at(self) -> timedelta | None:
        """Next time at which the batch must be checked, None if there is none."""
        times = []
        if not self.hedge_considered:
            times.append(self.hedge_at)
        if not self.has_line and not self.was_silent:
            times.append(self.silent_at)
        return min(times, default=None)


@dataclass(slots=True)
class ShardProgress:
    """Progress of one shard of the query.

    :param wait_until: monotonic time up to which the query waits for it.
    :param fail_over_at: monotonic time at which an unanswered subquery is retried on
        another replica, None once this was considered.
    :param attempts: subqueries sent so far.
    :param tried: addresses that were asked in the current round of attempts. A round
        ends with a pause when no owner is found.
    :param failed_hosts: owners that failed or refused all work in the current round.
    :param hits: decoded hits, None until the shard is covered.
    :param reason: why the shard is missing, None if not known yet.
    :param cause: latest failure, for the log.
    :param hedge_considered: whether a hedge was queued or no replica was found for one;
        False if the budget denied it or the service has no hedge budget.
    :param was_redirected: whether a redirect was followed in the current round.
    :param is_version_gone: whether the shard waits for a decision on re-planning
        because its replica no longer holds the index version.
    :param retry_at: monotonic time of the next round of attempts.
    :param ownerless_rounds: rounds of attempts that found no owner.
    """

    planned: PlannedShard
    wait_until: timedelta
    fail_over_at: timedelta | None = None
    attempts: list[Attempt] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    failed_hosts: set[str] = field(default_factory=set)
    hits: list[Hit] | None = None
    reason: CoverageReason | None = None
    cause: str = ""
    hedge_considered: bool = False
    was_redirected: bool = False
    is_version_gone: bool = False
    retry_at: timedelta | None = None
    ownerless_rounds: int = 0

    @property
    def shard_id(self) -> ShardId:
        """Id of the shard."""
        return self.planned.shard_id

    def open_attempts(self) -> list[Attempt]:
        """Return the subqueries whose outcome is still awaited."""
        return [attempt for attempt in self.attempts if attempt.is_open]

    @property
    def missing_reason(self) -> CoverageReason:
        """Why the shard is missing if the query ends now."""
        if self.reason is None or any(attempt.is_open for attempt in self.attempts):
            return CoverageReason.TIMEOUT
        return self.reason


_NO_OWNER_REASONS = frozenset(
    {
        NotRunReason.NOT_OWNER,
        NotRunReason.NO_OWNER,
        NotRunReason.LEAVING,
        NotRunReason.STARTING,
    }
)
HOST_REFUSAL_REASONS = frozenset(
    {
        NotRunReason.STALE_CONFIGURATION,
        NotRunReason.LEAVING,
        NotRunReason.STARTING,
    }
)


def to_coverage_reason(outcome: NotRun | OutcomeUnknown) -> CoverageReason:
    """Return the coverage reason of a failed subquery."""
    match outcome:
        case OutcomeUnknown(UnknownReason.TIMEOUT):
            return CoverageReason.TIMEOUT
        case OutcomeUnknown():
            return CoverageReason.OUTCOME_UNKNOWN
        case NotRun(NotRunReason.VERSION_GONE):
            return CoverageReason.VERSION_GONE
        case NotRun(NotRunReason.FAILURE_DOMAIN_OUT):
            return CoverageReason.FAILURE_DOMAIN_OUT
        case NotRun(reason) if reason in _NO_OWNER_REASONS:
            return CoverageReason.NO_OWNER
        case _:
            return CoverageReason.NOT_RUN
