"""Scripted search sessions on a simulated clock, for tests of the front's core."""

import heapq
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from celeryferry_core.budgets import Budgets
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.callers import ErrorBody, SearchAnswer
from celeryferry_core.models.messages import (
    PartialAnswer,
    PartialEntry,
    Subquery,
    UpstreamObservation,
)
from celeryferry_core.models.outcomes import (
    Answered,
    NotRun,
    UpstreamState,
)
from celeryferry_core.models.topology import (
    Host,
    Preference,
    Replica,
    ServiceDocument,
    Shard,
    UpstreamLimits,
)
from celeryferry_core.models.views import Membership
from celeryferry_core.plans import build_plan
from celeryferry_core.routing import Router
from celeryferry_core.search import SearchSession
from celeryferry_core.search_events import (
    BatchFailed,
    CancelBatch,
    Event,
    Finish,
    ObservationsRefreshed,
    PartialReceived,
    Record,
    RefreshObservations,
    SendBatch,
    SessionRequest,
    SetTimer,
    TimerFired,
)

DOMAINS = ("a", "b", "c")
HOSTS = {f"{d}-1": Host(f"{d}-1", d, f"{d}:70", f"{d}:71") for d in DOMAINS}
START = timedelta(seconds=100)

Script = Callable[[SendBatch], list[tuple[float, Event]]]


def ms(value: float) -> timedelta:
    """Return milliseconds as a duration."""
    return timedelta(milliseconds=value)


def make_document(number: int = 1, **changes: Any) -> ServiceDocument:
    """Return the document of a service with one shard and three replicas."""
    name = f"svc-{number}"
    replicas = tuple(Replica(f"{d}:90{number}", d) for d in DOMAINS)
    fields: dict[str, Any] = {
        "version": 1,
        "application": "app",
        "service": name,
        "team": "team",
        "preference": Preference.COVERAGE,
        "repeatable": True,
        "deadline_ms": 1000,
        "answer_within_ms": 250,
        "failure_domains_out": (),
        "upstreams": UpstreamLimits(4, 80),
        "shards": (Shard(name, replicas),),
    }
    return ServiceDocument(**{**fields, **changes})


def observe(address: str, versions: tuple[int, ...], **changes: Any):
    """Return an observation of an upstream that answers in 3 ms."""
    fields = {
        "state": UpstreamState.READY,
        "latency_ms": 3.0,
        "queued": 0,
        "in_flight": 0,
        "limit": 4,
    }
    return UpstreamObservation(
        address, index_versions=versions, **{**fields, **changes}
    )


def answer_entry(subquery: Subquery, version: int = 41, hits: str | None = None):
    """Return a valid entry for a subquery."""
    text = hits or f'[{{"id":"{subquery.shard}","score":1.5}}]'
    answered = Answered(version, msgspec.Raw(text.encode()))
    return PartialEntry(subquery.service, subquery.shard, subquery.upstream, answered)


def make_line(action: SendBatch, entries: list, final: bool = True, **changes: Any):
    """Return the event of one line of a batch's answer."""
    query_id = changes.pop("query_id", action.batch.query_id)
    answer = PartialAnswer(query_id, final, tuple(entries), **changes)
    return PartialReceived(action.batch_id, answer)


def answer_all(action: SendBatch, delay_ms: float = 5.0) -> list[tuple[float, Event]]:
    """Answer every subquery of a batch in one line."""
    version = action.batch.snapshot
    entries = [answer_entry(subquery, version) for subquery in action.batch.subqueries]
    return [(delay_ms, make_line(action, entries))]


def refuse(action, reason, **fields):
    """Refuse every subquery of a batch."""
    entries = [
        PartialEntry(
            subquery.service,
            subquery.shard,
            subquery.upstream,
            NotRun(reason, **fields),
        )
        for subquery in action.batch.subqueries
    ]
    return [(2.0, make_line(action, entries))]


class SessionHarness:
    """Runs search sessions against a script and records their journal.

    The script returns the events that follow a batch, each with its delay in
    milliseconds.

    :ivar journal: events, actions and decisions in order, as JSON objects.
    :ivar batches: the ``SendBatch`` actions in order.
    :ivar cancelled: numbers of the cancelled batches.
    :ivar outcome: answer or error of the latest query.
    :ivar stall_ms: delay of the next timer in milliseconds, as after a stall.
    """

    def __init__(self, script: Script, documents=None, versions=(41,), **options):
        documents = documents or (make_document(1), make_document(2))
        self.script = script
        self.mechanisms = options.get("mechanisms", Mechanisms())
        self.router = options.get("router") or Router("a", random.Random(7))
        live = frozenset(HOSTS)
        self.router.directory.replace_membership(Membership(HOSTS, live))
        self.budgets = options.get("budgets") or Budgets()
        self.refresh = options.get("refresh", lambda router: None)
        self.limit = options.get("limit")
        leaving = options.get("leaving", frozenset())
        self.plan = build_plan("app", documents, leaving, self.mechanisms)
        for address in sorted(self.plan.addresses):
            self.router.catalog.record(observe(address, versions))
        self.journal: list[dict[str, Any]] = []
        self.batches: list[SendBatch] = []
        self.cancelled: list[int] = []
        self.outcome: SearchAnswer | ErrorBody | None = None
        self.stall_ms = 0.0
        self._due: list[tuple[timedelta, int, Event]] = []
        self._scheduled_count = 0
        self._timer: timedelta | None = None
        self.now = START

    def run(self, query_id: str = "q-1", deadline_ms: float = 1000):
        """Run one query and return its outcome."""
        request = SessionRequest(
            query_id=query_id,
            query=msgspec.Raw(b'"mark"'),
            limit=self.limit,
            started=self.now,
            deadline=self.now + ms(deadline_ms),
            deadline_unix_ms=1_700_000_000_000,
        )
        session = SearchSession(
            request, self.plan, self.router, self.budgets, self.mechanisms
        )
        # Lines of earlier queries may still arrive in this session, but a failed call
        # is reported only to the session that made it.
        self._due = [item for item in self._due if type(item[2]) is not BatchFailed]
        heapq.heapify(self._due)
        self._apply(session.start(self.now))
        while not session.is_finished:
            event = self._next_event()
            at_ms = (self.now - START) / ms(1)
            self._record({"event": type(event).__name__, "at_ms": at_ms}, event)
            self._apply(session.handle(event, self.now))
        return self.outcome

    def encode_journal(self) -> bytes:
        """Return the journal with one JSON object per line."""
        return b"".join(msgspec.json.encode(record) + b"\n" for record in self.journal)

    def find_decisions(self, name: str) -> list[dict[str, Any]]:
        """Return the recorded decisions of the class with a given name."""
        return [record for record in self.journal if record.get("decision") == name]

    def _next_event(self) -> Event:
        at = self._due[0][0] if self._due else None
        if self._timer is not None and (at is None or self._timer < at):
            self.now, self._timer = max(self.now, self._timer + ms(self.stall_ms)), None
            self.stall_ms = 0.0
            return TimerFired()
        at, _, event = heapq.heappop(self._due)
        self.now = max(self.now, at)
        return event

    def _record(self, head: dict[str, Any], content: Any) -> None:
        body = msgspec.json.decode(msgspec.json.encode(content))
        self.journal.append(head | body)

    def _apply(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Record):
                self.journal.append(action.decision.to_record())
                continue
            self._record({"action": type(action).__name__}, action)
            match action:
                case SendBatch():
                    self.batches.append(action)
                    for delay_ms, event in self.script(action):
                        self._schedule(delay_ms, event)
                case CancelBatch(batch_id):
                    self.cancelled.append(batch_id)
                case SetTimer(at):
                    self._timer = at
                case RefreshObservations():
                    self.refresh(self.router)
                    self._schedule(1.0, ObservationsRefreshed())
                case Finish(outcome):
                    self.outcome = outcome

    def _schedule(self, delay_ms: float, event: Event) -> None:
        at = self.now + ms(delay_ms)
        self._scheduled_count += 1
        heapq.heappush(self._due, (at, self._scheduled_count, event))


def list_asked_upstreams(harness: SessionHarness) -> list[str]:
    """Return the upstreams that were asked, in order."""
    return [
        subquery.upstream
        for batch in harness.batches
        for subquery in batch.batch.subqueries
    ]
