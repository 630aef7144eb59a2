"""Sending one request to an upstream and reading its outcome."""

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
from celeryferry_daemon._internal.owner.guard import TimeLimits
from celeryferry_daemon._internal.owner.replies import Expectation, Reply
from celeryferry_daemon._internal.owner.work import Work

_CANCELLED = OutcomeUnknown(UnknownReason.CANCELLED)
_TIMED_OUT = OutcomeUnknown(UnknownReason.TIMEOUT)
_LOST = OutcomeUnknown(UnknownReason.CONNECTION_LOST)


async def send_work(
    client: UpstreamClient,
    work: Work,
    time_limits: TimeLimits,
    check: Callable[[], NotRun | None],
) -> Reply:
    """Send a request with its protocol headers and wait for the answer.

    :param time_limits: deadline to state in the request, and how long to wait for
        the answer.
    :param check: called just before the first byte is written; returns a refusal or
        None.
    :returns: outcome, and what the answer says about the upstream.
    :raises TimeoutError: if the request was sent and no answer came in time.
    """
    headers = {
        "X-Request-Id": work.request_id,
        "X-Deadline-Unix-Ms": str(time_limits.deadline_unix_ms),
    }
    shard = None
    if work.is_search:
        headers["X-Index-Version"] = str(work.index_version)
        shard = work.shard
    expected = Expectation(work.request_id, shard, work.index_version)
    timeout = time_limits.answer_timeout.total_seconds()
    return await client.send(work.path, work.body, headers, expected, timeout, check)


def read_outcome(
    task: "asyncio.Task[Reply]",
) -> tuple[SearchOutcome | RunOutcome, Reply | None]:
    """Convert the result of a finished attempt to an outcome.

    An unexpected exception is passed to the loop's exception handler.

    :param task: finished task of :func:`send_work`.
    :returns: outcome, and the reply; the reply is None if the attempt was cancelled,
        timed out or failed unexpectedly.
    """
    if task.cancelled():
        return _CANCELLED, None
    error = task.exception()
    if error is None:
        reply = task.result()
        return reply.outcome, reply
    if isinstance(error, TimeoutError):
        return _TIMED_OUT, None
    context = {
        "message": "unexpected error in a request to an upstream",
        "exception": error,
    }
    task.get_loop().call_exception_handler(context)
    return _LOST, None
