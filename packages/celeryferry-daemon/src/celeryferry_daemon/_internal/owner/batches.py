"""Streams of partial answers to batches of subqueries."""

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

# After the first line, outcomes that follow within this time share a line.
COALESCE_SECONDS = 0.001
# Hits beyond this go to the next line; a single answer may still be longer.
LINE_TARGET_BYTES = 262_144
CONTENT_TYPE = "application/x-ndjson"
_ENCODER = msgspec.json.Encoder()


class BatchRun:
    """One batch on its way through the workers.

    :param batch: the batch.
    """

    __slots__ = ("_batch", "_done", "_finished", "_observed", "_open", "_wake", "_work")

    def __init__(self, batch: SubqueryBatch) -> None:
        self._batch = batch
        self._finished: list[PartialEntry] = []
        self._open = len(batch.subqueries)
        self._observed: dict[str, UpstreamWorker] = {}
        self._work: list[tuple[UpstreamWorker, Work]] = []
        self._wake = asyncio.Event()
        self._done = asyncio.Event()
        if self.is_complete:
            self._done.set()

    @property
    def is_complete(self) -> bool:
        """Whether every subquery has its outcome."""
        return self._open == 0

    def summarize(self) -> BatchAdmitted:
        """Return the decision about the batch, for use just after the submission."""
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
        """Take over the outcome of a subquery.

        :param subquery: the subquery.
        :param outcome: what happened.
        """
        self._finished.append(
            PartialEntry(subquery.service, subquery.shard, subquery.upstream, outcome)
        )
        self._open -= 1
        self._wake.set()
        if self.is_complete:
            self._done.set()

    def submit(self, worker: UpstreamWorker, work: Work) -> None:
        """Pass work on and remember it for a cancellation.

        :param worker: worker of the upstream.
        :param work: the work.
        """
        self._observed[worker.address] = worker
        self._work.append((worker, work))
        worker.submit(work)

    def cancel(self) -> None:
        """Give up all work without an outcome."""
        for worker, work in self._work:
            worker.cancel(work)

    async def respond(self, request: web.Request) -> web.StreamResponse:
        """Write the answer.

        :param request: HTTP request of the batch.
        :returns: the finished response.
        """
        await self._wait_first_flush()
        if self.is_complete:
            # A single write is cheaper than a chunked stream of one line.
            return web.Response(body=self._take_lines(), content_type=CONTENT_TYPE)
        response = web.StreamResponse(headers={"Content-Type": CONTENT_TYPE})
        await response.prepare(request)
        # The state of the late upstreams, because the sender may cancel the rest of the
        # batch and then gets no final line.
        late = {worker for worker, work in self._work if not work.is_done}
        await response.write(self._take_lines(late))
        while not self.is_complete:
            await self._wait()
            await asyncio.sleep(COALESCE_SECONDS)
            await response.write(self._take_lines())
        await response.write_eof()
        return response

    async def _wait(self) -> None:
        self._wake.clear()
        if not self._finished and not self.is_complete:
            await self._wake.wait()

    async def _wait_first_flush(self) -> None:
        try:
            async with asyncio.timeout(self._batch.first_flush_ms / 1000):
                await self._done.wait()
        except TimeoutError:
            return

    def _take_lines(self, observed: Iterable[UpstreamWorker] = ()) -> bytes:
        """Encode the outcomes that have not been sent.

        Lines are kept short enough for the reader's bound on a line.

        :param observed: upstreams whose state the last line tells; a final line tells
            that of all upstreams.
        :returns: one or more lines; the last one is final if the batch is complete.
        """
        finished, self._finished = self._finished, []
        lines = []
        group: list[PartialEntry] = []
        size = 0
        for entry in finished:
            entry_bytes = _measure(entry)
            if size + entry_bytes > LINE_TARGET_BYTES and group:
                lines.append(self._encode_line(group))
                group, size = [], 0
            group.append(entry)
            size += entry_bytes
        if size > LINE_TARGET_BYTES and self.is_complete:
            lines.append(self._encode_line(group))
            group = []
        if self.is_complete:
            observed = self._observed.values()
        lines.append(self._encode_line(group, observed, self.is_complete))
        return b"".join(lines)

    def _encode_line(
        self,
        entries: list[PartialEntry],
        observed: Iterable[UpstreamWorker] = (),
        is_final: bool = False,
    ) -> bytes:
        observations = tuple(worker.observe() for worker in observed)
        answer = PartialAnswer(
            self._batch.query_id, is_final, tuple(entries), observations
        )
        return _ENCODER.encode(answer) + b"\n"


def _measure(entry: PartialEntry) -> int:
    match entry.outcome:
        case Answered(_, hits):
            return memoryview(hits).nbytes
    return 0
