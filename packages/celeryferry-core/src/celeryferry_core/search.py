"""State machine of one search query. It performs no I/O."""

from datetime import timedelta

from celeryferry_core.budgets import Budgets
from celeryferry_core.decisions.front import EntryDropped, QueryAbandoned
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import PartialAnswer, PartialEntry
from celeryferry_core.models.outcomes import (
    Answered,
    NotRun,
    OutcomeUnknown,
    UnknownReason,
)
from celeryferry_core.models.topology import ShardId
from celeryferry_core.partial_answers import EntryVerdict, classify_entry, decode_hits
from celeryferry_core.plans import ApplicationPlan
from celeryferry_core.routing import Router
from celeryferry_core.search_answers import finish_query
from celeryferry_core.search_batches import send_queued
from celeryferry_core.search_events import (
    Action,
    BatchFailed,
    CallerGone,
    Event,
    ObservationsRefreshed,
    PartialReceived,
    PlanReplaced,
    Record,
    SessionRequest,
    SetTimer,
    TimerFired,
)
from celeryferry_core.search_failures import FailureHandler
from celeryferry_core.search_progress import BatchProgress
from celeryferry_core.search_recovery import Recovery
from celeryferry_core.search_replan import Replanner
from celeryferry_core.search_state import SessionState

# Outcomes after which a replica is marked as suspected.
_SUSPECT_REASONS = (UnknownReason.BAD_ANSWER, UnknownReason.CONNECTION_LOST)


class SearchSession:
    """Handles the events of one query and returns the actions to perform.

    :param router: state of upstreams and owners, shared by all sessions.
    :param budgets: shared by all sessions of the application.
    """

    __slots__ = ("_failures", "_recovery", "_replanner", "_state")

    def __init__(
        self,
        request: SessionRequest,
        plan: ApplicationPlan,
        router: Router,
        budgets: Budgets,
        mechanisms: Mechanisms,
    ) -> None:
        state = SessionState(request, plan, router, budgets, mechanisms)
        self._state = state
        self._recovery = Recovery(state)
        self._failures = FailureHandler(state, self._recovery)
        self._replanner = Replanner(state, self._recovery)

    @property
    def is_finished(self) -> bool:
        """Whether the session has ended and ignores further events."""
        return self._state.is_finished

    def start(self, now: timedelta) -> list[Action]:
        """Choose the index version of the query and send the first subqueries.

        :param now: present monotonic time.
        :returns: actions in the order in which to perform them.
        """
        choice = self._state.router.choose_initial_version(self._state.plan, now)
        self._recovery.route_all(choice, now)
        return self._advance(now)

    def handle(self, event: Event, now: timedelta) -> list[Action]:
        """Handle an event.

        :param now: present monotonic time.
        :returns: actions in the order in which to perform them; empty once the
            session is finished.
        """
        if self.is_finished:
            return []
        match event:
            case PartialReceived(batch_id, answer):
                self._handle_line(batch_id, answer, now)
            case BatchFailed(batch_id, failure):
                self._failures.handle_batch_failure(batch_id, failure, now)
            case TimerFired():
                self._recovery.handle_timer(now)
            case ObservationsRefreshed():
                self._replanner.awaits_refresh = False
            case PlanReplaced(plan):
                self._state.replace_plan(plan)
            case CallerGone():
                return self._abandon()
        self._replanner.replan_or_retry(now)
        return self._advance(now)

    def _advance(self, now: timedelta) -> list[Action]:
        state = self._state
        pending = state.pending.values()
        wait_until = max((progress.wait_until for progress in pending), default=now)
        if now >= wait_until:
            finish_query(state, now)
            return state.pop_actions()
        send_queued(state, now)
        times = [wait_until]
        times += [
            progress.retry_at for progress in pending if progress.retry_at is not None
        ]
        times += [
            progress.fail_over_at
            for progress in pending
            if progress.fail_over_at is not None
        ]
        for batch in state.batches.values():
            if batch.next_check_at is not None:
                times.append(batch.next_check_at)
        at = min(times)
        if at != state.timer_at:
            state.timer_at = at
            state.actions.append(SetTimer(at))
        return state.pop_actions()

    def _abandon(self) -> list[Action]:
        state = self._state
        decision = QueryAbandoned(self._state.request.query_id, len(state.pending))
        state.actions.append(Record(decision))
        state.cancel_all()
        state.is_finished = True
        return state.pop_actions()

    def _handle_line(
        self, batch_id: int, answer: PartialAnswer, now: timedelta
    ) -> None:
        state = self._state
        batch = state.batches.get(batch_id)
        if batch is None:
            return
        matches = answer.query_id == state.request.query_id
        if not matches and state.mechanisms.answer_match:
            for entry in answer.entries:
                verdict = EntryVerdict.OTHER_QUERY
                state.record_decision(
                    EntryDropped, entry, entry.upstream, batch.host, verdict
                )
            return
        is_first = not batch.has_line
        batch.has_line = True
        for observation in answer.observations:
            if observation.address in state.plan.addresses:
                state.router.catalog.record(observation)
        # The owner holds the first line back until all subqueries have finished or part
        # of the hedge delay is over. In the second case the line is not final, and its
        # answers may have waited.
        was_held_back = is_first and not answer.final
        for entry in answer.entries:
            self._handle_entry(batch, entry, was_held_back, now)
        if answer.final:
            bad_answer = OutcomeUnknown(UnknownReason.BAD_ANSWER)
            self._failures.fail_open_attempts(batch, bad_answer, now)
            state.batches.pop(batch_id, None)
        elif batch_id in state.batches:
            self._recovery.handle_line(batch, is_first, now)

    def _handle_entry(
        self,
        batch: BatchProgress,
        entry: PartialEntry,
        was_held_back: bool,
        now: timedelta,
    ) -> None:
        state = self._state
        attempt = batch.attempts.get(ShardId(entry.service, entry.shard))
        verdict = classify_entry(
            entry,
            None if attempt is None else attempt.route.address,
            attempt is not None and attempt.is_open,
            state.version,
            self._state.mechanisms,
        )
        if verdict is not EntryVerdict.MATCHES or attempt is None:
            state.record_decision(
                EntryDropped, entry, entry.upstream, batch.host, verdict
            )
            return
        progress = state.shards[ShardId(entry.service, entry.shard)]
        match entry.outcome:
            case Answered(hits=hits):
                decoded = decode_hits(hits)
                if decoded.is_err():
                    bad_answer = OutcomeUnknown(UnknownReason.BAD_ANSWER)
                    self._failures.fail_attempt(progress, attempt, bad_answer, now)
                    return
                state.record_answer(
                    progress, attempt, decoded.unwrap(), was_held_back, now
                )
            case NotRun() as refusal:
                self._failures.handle_refusal(batch, progress, attempt, refusal, now)
            case OutcomeUnknown() as unknown:
                if unknown.reason in _SUSPECT_REASONS:
                    state.router.suspects.mark(entry.upstream, now)
                self._failures.fail_attempt(progress, attempt, unknown, now)
