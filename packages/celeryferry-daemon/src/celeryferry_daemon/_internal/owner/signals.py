"""Effect of the signals in finished attempts on the limit of an upstream.

The signals are those of :class:`Signal`, not signals of the operating system.
"""

from datetime import timedelta

from celeryferry_core.limits import LimitCause, LimitChange, UpstreamLimit
from celeryferry_core.models.outcomes import NotRun, OutcomeUnknown, UpstreamState
from celeryferry_daemon._internal.owner.replies import Reply, Signal
from celeryferry_daemon._internal.owner.work import Work


def record_attempt(
    limit: UpstreamLimit, work: Work, reply: Reply | None, now: timedelta
) -> LimitChange | None:
    """Record in the limit what an attempt says about the health of its upstream.

    :param limit: concurrency limit of the upstream.
    :param work: finished request.
    :param reply: reply, None if the attempt was cancelled, timed out or failed
        unexpectedly.
    :param now: current monotonic time.
    :returns: the change of the limit, if any.
    """
    elapsed = now - work.started_at
    if reply is None:
        return limit.record_abandoned(elapsed)
    match reply.signal:
        case Signal.UNREACHABLE:
            return limit.record_negative_signal(LimitCause.UNREACHABLE, now)
        case Signal.LOST:
            return limit.record_negative_signal(LimitCause.RESTARTED, now)
        case Signal.REFUSED:
            return limit.record_refusal(reply.cause, now)
    match reply.state:
        case UpstreamState.COLD:
            return limit.record_negative_signal(LimitCause.COLD, now)
        case UpstreamState.DRAINING:
            return limit.record_negative_signal(LimitCause.DRAINING, now)
    if isinstance(reply.outcome, NotRun | OutcomeUnknown):
        return None
    return limit.record_success(work.epoch, elapsed)
