"""Streamed answers to batches of subqueries."""

import asyncio
from collections.abc import Iterable

import msgspec
from aiohttp import web

from celeryferry_core.decisions.owner import BatchAdmitted
from celeryferry_core.models.messages import (
    PartialAnswer,
    PartialEntry,
    Subquery,
    SubqueryBatch,
)
from celeryferry_core.models.outcomes import Answered, SearchOutcome
from celeryferry_daemon._internal.owner.work import Work
from celeryferry_daemon._internal.owner.worker import UpstreamWorker

# After the first line, the outcomes that arrive within this time are sent as one line.
COALESCE_SECONDS = 0.001
# Answers are grouped into lines whose hits total at most this size. A larger single
# answer shares its line with no other answer, and when the batch is complete, not with
# the reports about upstreams either.
LINE_TARGET_BYTES = 262_144
CONTENT_TYPE = "application/x-ndjson"
_ENCODER = msgspec.json.Encoder()


class BatchRun:
    """Collects the outcomes of one batch and streams them to the front."""

    __slots__ = (
        "_batch",
        "_completed",
        "_unsent_entries",
        "_workers",
        "_unfinished_count",
        "_entry_added",
        "_work",
    )

    def __init__(self, batch: SubqueryBatch) -> None:
        self._batch = batch
        self._unsent_entries: list[PartialEntry] = []
        self._unfinished_count = len(batch.subqueries)
        self._workers: dict[str, UpstreamWorker] = {}
        self._work: list[tuple[UpstreamWorker, Work]] = []
        self._entry_added = asyncio.Event()
        self._completed = asyncio.Event()
        if self.is_complete:
            self._completed.set()

    @property
    def is_complete(self) -> bool:
        """Whether every subquery has an outcome."""
        return self._unfinished_count == 0

    def summarize(self) -> BatchAdmitted:
        """Return the decision about the batch; call it right after the submission."""
        waiting = [work for _, work in self._work if not work.is_done]
        sent = sum(work.task is not None for work in waiting)
        return BatchAdmitted(
            query_id=self._batch.query_id,
            snapshot=self._batch.snapshot,
            sent=sent,
            queued=len(waiting) - sent,
            refused=len(self._batch.subqueries) - len(waiting),
        )

    def deliver(self, subquery: Subquery, outcome: SearchOutcome) -> None:
        """Add the outcome of a subquery to those that are to be sent."""
        self._unsent_entries.append(
            PartialEntry(subquery.service, subquery.shard, subquery.upstream, outcome)
        )
        self._unfinished_count -= 1
        self._entry_added.set()
        if self.is_complete:
            self._completed.set()

    def submit(self, worker: UpstreamWorker, work: Work) -> None:
        """Pass work to the worker of its upstream and keep it for :meth:`cancel`."""
        self._workers[worker.address] = worker
        self._work.append((worker, work))
        worker.submit(work)

    def cancel(self) -> None:
        """Cancel all work that has no outcome yet."""
        for worker, work in self._work:
            worker.cancel(work)

    async def respond(self, request: web.Request) -> web.StreamResponse:
        """Write the answer and return when it is complete.

        The first write happens once all outcomes are there or the batch's
        ``first_flush_ms`` is over.

        :param request: HTTP request of the batch.
        :returns: the finished response.
        """
        await self._wait_first_flush()
        if self.is_complete:
            # A single write is cheaper than a chunked stream of one line.
            return web.Response(body=self._encode_unsent(), content_type=CONTENT_TYPE)
        response = web.StreamResponse(headers={"Content-Type": CONTENT_TYPE})
        await response.prepare(request)
        # The first line also reports the state of the upstreams that have not answered:
        # the front may cancel the rest of the batch and then gets no final line.
        unfinished = {worker for worker, work in self._work if not work.is_done}
        await response.write(self._encode_unsent(unfinished))
        while not self.is_complete:
            await self._wait_for_entry()
            await asyncio.sleep(COALESCE_SECONDS)
            await response.write(self._encode_unsent())
        await response.write_eof()
        return response

    async def _wait_for_entry(self) -> None:
        self._entry_added.clear()
        if not self._unsent_entries and not self.is_complete:
            await self._entry_added.wait()

    async def _wait_first_flush(self) -> None:
        try:
            async with asyncio.timeout(self._batch.first_flush_ms / 1000):
                await self._completed.wait()
        except TimeoutError:
            return

    def _encode_unsent(self, reported_workers: Iterable[UpstreamWorker] = ()) -> bytes:
        """Encode the outcomes that have not been sent, and mark them as sent.

        Lines are kept below the largest line that the front accepts.

        :param reported_workers: upstreams whose state the last line reports; a final
            line reports all upstreams of the batch.
        :returns: one or more lines; the last one is final if the batch is complete.
        """
        unsent, self._unsent_entries = self._unsent_entries, []
        lines = []
        group: list[PartialEntry] = []
        size = 0
        for entry in unsent:
            entry_bytes = _count_hit_bytes(entry)
            if size + entry_bytes > LINE_TARGET_BYTES and group:
                lines.append(self._encode_line(group))
                group, size = [], 0
            group.append(entry)
            size += entry_bytes
        if size > LINE_TARGET_BYTES and self.is_complete:
            lines.append(self._encode_line(group))
            group = []
        if self.is_complete:
            reported_workers = self._workers.values()
        lines.append(self._encode_line(group, reported_workers, self.is_complete))
        return b"".join(lines)

    def _encode_line(
        self,
        entries: list[PartialEntry],
        reported_workers: Iterable[UpstreamWorker] = (),
        is_final: bool = False,
    ) -> bytes:
        observations = tuple(worker.observe() for worker in reported_workers)
        answer = PartialAnswer(
            self._batch.query_id, is_final, tuple(entries), observations
        )
        return _ENCODER.encode(answer) + b"\n"


def _count_hit_bytes(entry: PartialEntry) -> int:
    match entry.outcome:
        case Answered(_, hits):
            return memoryview(hits).nbytes
    return 0
