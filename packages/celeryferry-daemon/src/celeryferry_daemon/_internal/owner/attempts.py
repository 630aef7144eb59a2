"""One attempt at an upstream, from its headers to its outcome."""

import asyncio
from collections.abc import Callable

from celeryferry_core.models.outcomes import (
    NotRun,
    OutcomeUnknown,
    RunOutcome,
    SearchOutcome,
    UnknownReason,
)
from celeryferry_daemon._internal.owner.client import UpstreamClient
from celeryferry_daemon._internal.owner.guard import SendTime
from celeryferry_daemon._internal.owner.replies import Expectation, Reply
from celeryferry_daemon._internal.owner.work import Work

_CANCELLED = OutcomeUnknown(UnknownReason.CANCELLED)
_TIMED_OUT = OutcomeUnknown(UnknownReason.TIMEOUT)
_LOST = OutcomeUnknown(UnknownReason.CONNECTION_LOST)


async def send_work(
    client: UpstreamClient,
    work: Work,
    send_time: SendTime,
    check: Callable[[], NotRun | None],
) -> Reply:
    """Send a request.

    :param client: connections to the upstream.
    :param work: the request.
    :param send_time: send_time that it has.
    :param check: last check before the first byte.
    :returns: outcome and signals.
    :raises TimeoutError: if the request was sent and no answer came in send_time.
    """
    headers = {
        "X-Request-Id": work.request_id,
        "X-Deadline-Unix-Ms": str(send_time.deadline_unix_ms),
    }
    shard = None
    if work.is_search:
        headers["X-Index-Version"] = str(work.snapshot)
        shard = work.shard
    expected = Expectation(work.request_id, shard, work.snapshot)
    timeout = send_time.answer_timeout.total_seconds()
    return await client.send(work.path, work.body, headers, expected, timeout, check)


def read_outcome(
    task: "asyncio.Task[Reply]",
) -> tuple[SearchOutcome | RunOutcome, Reply | None]:
    """Read the end of an attempt.

    :param task: finished task of :func:`send_work`.
    :returns: outcome, and the reply unless the attempt was given up. An unexpected
        exception goes to the loop's exception handler.
    """
    if task.cancelled():
        return _CANCELLED, None
    error = task.exception()
    if error is None:
        reply = task.result()
        return reply.outcome, reply
    if isinstance(error, TimeoutError):
        return _TIMED_OUT, None
    context = {"message": "attempt at an upstream failed", "exception": error}
    task.get_loop().call_exception_handler(context)
    return _LOST, None
