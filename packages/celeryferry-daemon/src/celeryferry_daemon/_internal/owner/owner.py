"""Owner role: manages the workers of the upstreams that this host owns."""

import asyncio
import itertools
from collections.abc import Collection
from datetime import timedelta
from functools import partial

import aioprometheus
import msgspec
from aiohttp import web
from reactivex.abc import DisposableBase

from celeryferry_core.decisions.owner import RunAdmitted, WorkRefused
from celeryferry_core.environment import Clock
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import (
    ObservationsReply,
    RunReply,
    RunRequest,
    Subquery,
    SubqueryBatch,
)
from celeryferry_core.models.outcomes import NotRun, NotRunReason, RunOutcome
from celeryferry_core.models.settings import LimitSettings
from celeryferry_core.models.topology import Host
from celeryferry_core.models.views import ConfigurationView, HeldKeys, Membership
from celeryferry_core.ports import DecisionLog, FreshnessGate, Leases
from celeryferry_core.tickets import SentTickets
from celeryferry_daemon._internal.owner.batches import BatchRun
from celeryferry_daemon._internal.owner.catalog import Catalog, build_catalog
from celeryferry_daemon._internal.owner.guard import Assignment, WorkerPorts
from celeryferry_daemon._internal.owner.metrics import OwnerMetrics
from celeryferry_daemon._internal.owner.routes import OwnerRoutes
from celeryferry_daemon._internal.owner.work import RUN, SEARCH, Work, to_monotonic
from celeryferry_daemon._internal.owner.worker import UpstreamWorker
from celeryferry_daemon._internal.streams import Streams

MAX_REMEMBERED_TICKETS = 100_000
ID_PREFIX_CHARACTERS = 8
DEFAULT_TICKET_VALIDITY = LimitSettings().ticket_validity


class Owner:
    """Starts and stops workers as leases are gained and lost, and passes work to them.

    :param host: this host.
    :param streams: configuration, membership and held keys of the daemon.
    :param leases: leases of this host.
    :param gate: tells whether the configuration is fresh enough to act on.
    :param log: receiver of decisions.
    :param registry: registry for metrics.
    :param mechanisms: protections that are active; tests turn off some of them.
    :param incarnation: random id of this process.
    :param ticket_validity: longest validity of a ticket in the fleet; sent tickets are
        remembered for this time.
    """

    def __init__(
        self,
        host: Host,
        streams: Streams,
        leases: Leases,
        gate: FreshnessGate,
        clock: Clock,
        log: DecisionLog,
        registry: aioprometheus.Registry,
        mechanisms: Mechanisms,
        incarnation: str,
        ticket_validity: timedelta = DEFAULT_TICKET_VALIDITY,
    ) -> None:
        self._host = host
        self._streams = streams
        self._leases = leases
        self._clock = clock
        self._log = log
        self._ports = WorkerPorts(
            leases=leases,
            gate=gate,
            clock=clock,
            log=log,
            metrics=OwnerMetrics(registry),
            mechanisms=mechanisms,
            sent_tickets=SentTickets(MAX_REMEMBERED_TICKETS, ticket_validity),
        )
        self._catalog = Catalog()
        self._leaving: frozenset[str] = frozenset()
        self._held_keys: frozenset[str] = frozenset()
        self._workers: dict[str, UpstreamWorker] = {}
        self._closing: set[asyncio.Task] = set()
        self._subscriptions: list[DisposableBase] = []
        # The prefix shows in an upstream's log which process sent a request, and tells
        # this process from earlier ones on the same host.
        self._id_prefix = incarnation[:ID_PREFIX_CHARACTERS]
        self._ids = itertools.count()
        self._body_heads: dict[str, bytes] = {}

    def peer_routes(self) -> list[web.RouteDef]:
        """Return the routes for the peer listener.

        The application must run with ``handler_cancellation=True``: when a front
        disconnects, the cancellation of the handler cancels the batch.
        """
        return OwnerRoutes(self, self._clock).routes()

    async def start(self) -> None:
        """Subscribe to the streams, which starts the workers."""
        streams = self._streams
        self._subscriptions = [
            streams.configuration.subscribe(self._apply_configuration),
            streams.membership.subscribe(self._apply_membership),
            streams.held_keys.subscribe(self._apply_held_keys),
        ]

    async def stop(self) -> None:
        """Stop all workers, wait for the work in flight and close the connections."""
        for subscription in self._subscriptions:
            subscription.dispose()
        workers = list(self._workers.values())
        await asyncio.gather(*(worker.close() for worker in workers))
        if self._closing:
            await asyncio.wait(self._closing)
        self._workers.clear()

    def in_flight(self, key: str) -> int:
        """Return the number of unfinished requests sent to upstreams of a key.

        :param key: ownership key.
        """
        return sum(
            worker.in_flight for worker in self._workers.values() if worker.key == key
        )

    def observe(
        self, application: str, addresses: Collection[str] = ()
    ) -> ObservationsReply:
        """Return the state of the owned upstreams of an application.

        :param addresses: upstreams to report; empty for all.
        :returns: held keys and observations.
        """
        requested = (self._workers.get(address) for address in addresses)
        workers = filter(None, requested) if addresses else self._workers.values()
        prefix = f"{application}/"
        keys = sorted(key for key in self._held_keys if key.startswith(prefix))
        observations = tuple(
            worker.observe()
            for worker in workers
            if worker.key in self._held_keys and worker.key.startswith(prefix)
        )
        return ObservationsReply(self._host.host_id, tuple(keys), observations)

    def submit_batch(self, batch: SubqueryBatch) -> BatchRun:
        """Pass the subqueries of a batch to the workers.

        A subquery that this host cannot serve gets its refusal at once.
        """
        run = BatchRun(batch)
        now = self._clock.monotonic()
        deadline = to_monotonic(batch.deadline_unix_ms, now, self._clock.wall())
        body_tail = b',"query":' + bytes(batch.query) + b"}"
        for subquery in batch.subqueries:
            target = self._find_worker(batch.application, subquery, batch.query_id)
            if isinstance(target, NotRun):
                run.deliver(subquery, target)
                continue
            work = Work(
                path=SEARCH,
                trace_id=batch.query_id,
                request_id=f"{batch.query_id}.{self._id_prefix}{next(self._ids)}",
                body=self._encode_body_head(subquery.shard) + body_tail,
                shard=subquery.shard,
                index_version=batch.snapshot,
                deadline_unix_ms=batch.deadline_unix_ms,
                deadline=deadline,
                deliver=partial(run.deliver, subquery),
            )
            run.submit(target, work)
        self._log.record(run.summarize())
        return run

    async def run(self, request: RunRequest) -> RunReply:
        """Run a non-repeatable request and return its outcome.

        Cancelling the call removes a request that is queued, and has no effect on one
        that was sent.
        """
        target = self._find_worker(request.application, request, request.ticket)
        if isinstance(target, NotRun):
            return RunReply(request.ticket, target)
        answer: asyncio.Future[RunOutcome] = asyncio.get_running_loop().create_future()
        now = self._clock.monotonic()
        work = Work(
            path=RUN,
            trace_id=request.ticket,
            request_id=request.ticket,
            body=bytes(request.request),
            shard=request.shard,
            index_version=0,
            deadline_unix_ms=request.deadline_unix_ms,
            deadline=to_monotonic(request.deadline_unix_ms, now, self._clock.wall()),
            deliver=partial(_resolve, answer),
        )
        target.submit(work)
        if not work.is_done:
            self._log.record(RunAdmitted(request.ticket, request.upstream))
        try:
            return RunReply(request.ticket, await answer)
        finally:
            target.cancel(work)

    def _find_worker(
        self, application: str, request: Subquery | RunRequest, trace_id: str
    ) -> UpstreamWorker | NotRun:
        replica_key = (application, request.service, request.shard, request.upstream)
        entry = self._catalog.replicas.get(replica_key)
        if entry is None:
            refusal = NotRun(NotRunReason.UNKNOWN_SHARD)
        else:
            worker = self._workers.get(request.upstream)
            if worker is not None and not worker.is_stopped:
                return worker
            holder = self._leases.holder_of(entry.key)
            refusal = NotRun(NotRunReason.NOT_OWNER, holder=holder)
        self._log.record(
            WorkRefused(trace_id, request.upstream, refusal.reason, refusal.holder, 0)
        )
        return refusal

    def _encode_body_head(self, shard: str) -> bytes:
        body_head = self._body_heads.get(shard)
        if body_head is None:
            body_head = b'{"shard":' + msgspec.json.encode(shard)
            self._body_heads[shard] = body_head
        return body_head

    def _apply_configuration(self, view: ConfigurationView) -> None:
        self._catalog = build_catalog(view)
        self._body_heads.clear()
        self._reconcile()

    def _apply_membership(self, membership: Membership) -> None:
        if membership.leaving_upstreams != self._leaving:
            self._leaving = membership.leaving_upstreams
            self._reconcile()

    def _apply_held_keys(self, held: HeldKeys) -> None:
        keys = held.keys
        if not self._ports.mechanisms.lease_stop:
            keys |= self._held_keys
        if keys != self._held_keys:
            self._held_keys = keys
            self._reconcile()

    def _reconcile(self) -> None:
        """Make the workers match the documents, the host list and the held keys."""
        assignments = self._list_assignments()
        for address, worker in list(self._workers.items()):
            if address not in assignments and not worker.is_stopped:
                worker.stop()
                self._close_later(worker)
        for address, assignment in assignments.items():
            worker = self._workers.get(address)
            if worker is None:
                worker = UpstreamWorker(address, assignment, self._ports)
                self._workers[address] = worker
            else:
                worker.assign(assignment)

    def _list_assignments(self) -> dict[str, Assignment]:
        assignments: dict[str, Assignment] = {}
        for key in sorted(self._held_keys):
            for address, entry in self._catalog.by_key.get(key, {}).items():
                is_leaving = address in self._leaving
                assignment = Assignment(
                    key, entry.limits, entry.is_domain_out, is_leaving
                )
                assignments.setdefault(address, assignment)
        return assignments

    def _close_later(self, worker: UpstreamWorker) -> None:
        task = asyncio.get_running_loop().create_task(self._close_when_idle(worker))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _close_when_idle(self, worker: UpstreamWorker) -> None:
        """Close a stopped worker once it is idle, unless it was resumed meanwhile."""
        await worker.wait_idle()
        if worker.is_stopped and self._workers.get(worker.address) is worker:
            del self._workers[worker.address]
            await worker.close()


def _resolve(answer: "asyncio.Future[RunOutcome]", outcome: RunOutcome) -> None:
    if not answer.done():
        answer.set_result(outcome)
