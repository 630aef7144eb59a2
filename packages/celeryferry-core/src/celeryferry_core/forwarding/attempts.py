"""Attempts of one request and progress of its shards."""

from datetime import timedelta

from celeryferry_core.forwarding.health import UpstreamHealth
from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.outcomes import AttemptOutcome, Refused, Succeeded


class ShardState:
    """Progress of one shard, or of the whole request if it goes to one service.

    :param service: service that holds the shard.
    :ivar tried: instance ids of the upstreams that attempts were sent to.
    :ivar open_count: number of attempts without an outcome.
    :ivar run_count: number of attempts that may have run or may still run.
    :ivar refusal_count: number of attempts that were refused.
    :ivar latest_sent_at: monotonic time at which the latest attempt other than a hedge
        was sent; the hedge is planned from it.
    :ivar hedge_at: monotonic time of the hedge, None if none is planned.
    :ivar retry_at: monotonic time at which to select an upstream again, None if the
        shard is not waiting for one.
    :ivar success: attempt that succeeded.
    :ivar last_outcome: latest outcome other than success.
    :ivar may_have_run: whether an attempt ended without proof that it did not run.
    :ivar has_failed: whether no further attempt will be made.
    """

    __slots__ = (
        "latest_sent_at",
        "has_failed",
        "hedge_at",
        "last_outcome",
        "may_have_run",
        "open_count",
        "refusal_count",
        "retry_at",
        "run_count",
        "service",
        "success",
        "tried",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.tried: set[str] = set()
        self.open_count = 0
        self.run_count = 0
        self.refusal_count = 0
        self.latest_sent_at = timedelta(0)
        self.hedge_at: timedelta | None = None
        self.retry_at: timedelta | None = None
        self.success: Attempt | None = None
        self.last_outcome: AttemptOutcome | None = None
        self.may_have_run = False
        self.has_failed = False

    @property
    def is_closed(self) -> bool:
        """Whether the shard is covered or has failed."""
        return self.success is not None or self.has_failed


class Attempt:
    """One request to one upstream.

    Arguments named ``now`` are monotonic times.

    :param attempt_id: index of the attempt in its session.
    :param reason: why the upstream was selected.
    :param health: observations of the upstream, updated when the attempt ends. The
        attempt keeps this object even if the upstream is dropped and listed again in
        the meantime, so that its start and its end are counted on the same object.
    :ivar sent_at: monotonic time at which the request was handed to the connection.
    :ivar ended_at: monotonic time of the outcome, None while the attempt is open.
    :ivar outcome: outcome of the attempt, None while it is open.
    :ivar is_overdue: whether the attempt took much longer than usual, or was still open
        when another attempt had covered its shard.
    """

    __slots__ = (
        "attempt_id",
        "ended_at",
        "health",
        "is_overdue",
        "outcome",
        "reason",
        "sent_at",
        "shard",
        "upstream",
    )

    def __init__(
        self,
        attempt_id: int,
        shard: ShardState,
        upstream: Upstream,
        reason: str,
        health: UpstreamHealth,
    ) -> None:
        self.attempt_id = attempt_id
        self.shard = shard
        self.upstream = upstream
        self.reason = reason
        self.health = health
        self.sent_at = timedelta(0)
        self.ended_at: timedelta | None = None
        self.outcome: AttemptOutcome | None = None
        self.is_overdue = False

    @property
    def is_open(self) -> bool:
        """Whether the outcome is not known yet."""
        return self.outcome is None

    def end(self, outcome: AttemptOutcome, now: timedelta) -> None:
        """Record the outcome and the time of the end."""
        self.outcome = outcome
        self.ended_at = now

    def describe(self, now: timedelta) -> str:
        """Return the attempt as one word of a log line.

        :returns: service, upstream, reason, outcome and elapsed milliseconds, separated
            by slashes.
        """
        ended_at = self.ended_at or now
        elapsed_ms = round((ended_at - self.sent_at) / timedelta(milliseconds=1))
        match self.outcome:
            case None:
                result = "open"
            case Succeeded():
                result = "ok"
            case Refused(reason):
                result = f"refused:{reason.value}"
            case other if hasattr(other, "response"):
                result = f"failed:{other.response.status}"
            case other:
                result = f"lost:{other.reason.value}"
        upstream = f"{self.upstream.instance_id}@{self.upstream.address}"
        return f"{self.shard.service}/{upstream}/{self.reason}/{result}/{elapsed_ms}ms"
