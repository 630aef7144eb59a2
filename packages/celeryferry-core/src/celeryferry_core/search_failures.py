"""Handling of failed subqueries: refusals, redirects and unreachable owners."""

from datetime import timedelta

from celeryferry_core.decisions.front import ShardRedirected
from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
    UpstreamState,
)
from celeryferry_core.owners import REDIRECT_VALIDITY
from celeryferry_core.routing import Choice
from celeryferry_core.search_progress import (
    HOST_REFUSAL_REASONS,
    Attempt,
    BatchProgress,
    ShardProgress,
    to_coverage_reason,
)
from celeryferry_core.search_recovery import Recovery
from celeryferry_core.search_state import SessionState


class FailureHandler:
    """Records what failed subqueries show about hosts and upstreams, and retries."""

    __slots__ = ("_recovery", "_state")

    def __init__(self, state: SessionState, recovery: Recovery) -> None:
        self._state = state
        self._recovery = recovery

    def handle_refusal(
        self,
        batch: BatchProgress,
        progress: ShardProgress,
        attempt: Attempt,
        refusal: NotRun,
        now: timedelta,
    ) -> None:
        """Handle a subquery that its owner or upstream did not run.

        :param now: present monotonic time.
        """
        router = self._state.router
        host_id = batch.host.host_id
        address = attempt.route.address
        if refusal.reason in HOST_REFUSAL_REASONS:
            self._mark_host_unusable(batch, now)
            progress.failed_hosts.add(host_id)
        match refusal.reason:
            case NotRunReason.NOT_OWNER:
                if self._follow_redirect(batch, progress, attempt, refusal, now):
                    return
            case NotRunReason.NO_OWNER:
                router.mark_unstable(attempt.route.key, now)
            case NotRunReason.DRAINING:
                router.catalog.record_state(address, UpstreamState.DRAINING)
            case NotRunReason.UNREACHABLE:
                router.catalog.record_state(address, UpstreamState.UNREACHABLE)
            case NotRunReason.VERSION_GONE:
                self._record_version_gone(progress, attempt, refusal)
                return
        self.fail_attempt(progress, attempt, refusal, now)

    def _record_version_gone(
        self, progress: ShardProgress, attempt: Attempt, refusal: NotRun
    ) -> None:
        catalog = self._state.router.catalog
        address = attempt.route.address
        if refusal.index_versions:
            catalog.record_versions(address, refusal.index_versions)
        catalog.drop_version(address, self._state.version)
        attempt.is_open = False
        progress.reason = to_coverage_reason(refusal)
        progress.cause = refusal.reason
        progress.is_version_gone = not progress.open_attempts()

    def _follow_redirect(
        self,
        batch: BatchProgress,
        progress: ShardProgress,
        attempt: Attempt,
        refusal: NotRun,
        now: timedelta,
    ) -> bool:
        directory = self._state.router.directory
        key = attempt.route.key
        if refusal.holder is None or refusal.holder == batch.host.host_id:
            # An earlier redirect may name the host that has just refused. Replace it by
            # a redirect that has already expired.
            directory.record_redirect(key, batch.host.host_id, now - REDIRECT_VALIDITY)
            self._state.router.mark_unstable(key, now)
            return False
        directory.record_redirect(key, refusal.holder, now)
        owner = directory.find_owner(key, now)
        is_holder_usable = owner is not None and owner.host_id == refusal.holder
        if not is_holder_usable or refusal.holder in progress.failed_hosts:
            self._state.router.mark_unstable(key, now)
            return False
        if progress.was_redirected or progress.shard_id not in self._state.pending:
            return False
        progress.was_redirected = True
        attempt.is_open = False
        choice = Choice(attempt.route, owner, "redirect")
        self._state.record_decision(
            ShardRedirected, progress.shard_id, choice.route.address, owner, "not_owner"
        )
        self._state.enqueue(progress, choice, is_hedge=False)
        return True

    def handle_batch_failure(
        self, batch_id: int, failure: PeerFailure, now: timedelta
    ) -> None:
        """Handle the failure of a whole batch; ignore it if the batch has ended.

        :param now: present monotonic time.
        """
        batch = self._state.batches.get(batch_id)
        if batch is None:
            return
        match failure.kind:
            case PeerFailureKind.BAD_ANSWER:
                outcome = OutcomeUnknown(UnknownReason.BAD_ANSWER)
            case PeerFailureKind.TIMEOUT:
                outcome = OutcomeUnknown(UnknownReason.TIMEOUT)
            case PeerFailureKind.CONNECTION_LOST:
                outcome = OutcomeUnknown(UnknownReason.CONNECTION_LOST)
            case _:
                outcome = NotRun(NotRunReason.NO_OWNER)
        # An owner that has sent a line is reachable, so a later timeout does not make
        # it unusable for other queries. The shards of this batch avoid it in any case.
        is_late = failure.kind is PeerFailureKind.TIMEOUT and batch.has_line
        if failure.kind is not PeerFailureKind.BAD_ANSWER and not is_late:
            self._mark_host_unusable(batch, now)
        for shard_id in batch.attempts:
            self._state.shards[shard_id].failed_hosts.add(batch.host.host_id)
        self.fail_open_attempts(batch, outcome, now)
        self._state.batches.pop(batch_id, None)

    def _mark_host_unusable(self, batch: BatchProgress, now: timedelta) -> None:
        self._state.router.directory.mark_unusable(batch.host.host_id, now)
        for key in {attempt.route.key for attempt in batch.attempts.values()}:
            self._state.router.mark_unstable(key, now)

    def fail_open_attempts(
        self, batch: BatchProgress, outcome: NotRun | OutcomeUnknown, now: timedelta
    ) -> None:
        """Fail all subqueries of a batch that have no outcome yet.

        :param outcome: outcome to record for each of them.
        :param now: present monotonic time.
        """
        for shard_id, attempt in batch.attempts.items():
            if attempt.is_open:
                self.fail_attempt(self._state.shards[shard_id], attempt, outcome, now)

    def fail_attempt(
        self,
        progress: ShardProgress,
        attempt: Attempt,
        outcome: NotRun | OutcomeUnknown,
        now: timedelta,
    ) -> None:
        """Fail one subquery, and retry its shard if no other subquery of it is open.

        :param now: present monotonic time.
        """
        attempt.is_open = False
        ran_nothing = isinstance(outcome, NotRun)
        if isinstance(outcome, NotRun):
            self._state.record_retry_after(outcome.retry_after_ms)
        else:
            self._state.may_have_run = True
        progress.reason = to_coverage_reason(outcome)
        progress.cause = outcome.reason
        if progress.shard_id in self._state.pending and not progress.open_attempts():
            self._recovery.retry(progress, attempt, ran_nothing, now)
