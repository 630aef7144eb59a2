"""Updates of the observations of an upstream by its attempts."""

from datetime import timedelta

from celeryferry_core.forwarding.attempts import Attempt
from celeryferry_core.forwarding.events import AttemptEnded
from celeryferry_core.forwarding.outcomes import (
    Failed,
    LossReason,
    Lost,
    RefusalReason,
    Refused,
    Succeeded,
)
from celeryferry_core.forwarding.timing import RuleTimes

GATEWAY_TIMEOUT = 504


def record_outcome(
    times: RuleTimes, attempt: Attempt, event: AttemptEnded, now: timedelta
) -> None:
    """Update the observations of an upstream with an ended attempt.

    An attempt that times out counts as a failure of the upstream only if it lasted at
    least the overdue delay of the rule. With a shorter time, the deadline of the caller
    may have been too short. For the same reason, a response with status 504, by which
    an upstream reports a passed deadline, never counts as a failure.

    :param times: attempt times of the rule.
    """
    health = attempt.health
    health.in_flight -= 1
    health.overdue_count -= attempt.is_overdue
    if event.reported_load is not None:
        load_of_others = max(0, event.reported_load - 1 - health.in_flight)
        health.record_load(load_of_others, now)
    elapsed = now - attempt.sent_at
    match event.outcome:
        case Succeeded():
            health.record_success(times.get_relative_time(elapsed), now)
            times.record(elapsed)
        case Refused(RefusalReason.NOT_SENT):
            pass
        case Refused(RefusalReason.UPSTREAM_REFUSED):
            health.record_refusal(now)
        case Lost(LossReason.CANCELLED):
            health.record_min_duration(times.get_relative_time(elapsed), now)
        case Lost(LossReason.TIMEOUT) if elapsed < times.overdue_delay:
            health.record_min_duration(times.get_relative_time(elapsed), now)
        case Failed(response) if response.status == GATEWAY_TIMEOUT:
            health.record_min_duration(times.get_relative_time(elapsed), now)
        case _:
            health.record_failure(now)


def mark_overdue(attempt: Attempt) -> None:
    """Count an open attempt as taking much longer than usual.

    This makes this host avoid a silent upstream before the first attempt times out.
    """
    if attempt.is_open and not attempt.is_overdue:
        attempt.is_overdue = True
        attempt.health.overdue_count += 1
