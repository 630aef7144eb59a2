"""What the end of an attempt tells about its upstream."""

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

    An attempt that ends because its time is up says that the upstream is down only if
    that time was long; otherwise the caller was impatient.

    :param times: attempt times of the rule.
    :param attempt: the attempt.
    :param event: its end.
    :param now: present monotonic time.
    """
    health = attempt.health
    health.in_flight -= 1
    health.overdue_count -= attempt.is_overdue
    if event.reported_load is not None:
        others = max(0, event.reported_load - 1 - health.in_flight)
        health.record_load(others, now)
    elapsed = now - attempt.sent_at
    match event.outcome:
        case Succeeded():
            health.record_success(times.get_relative_time(elapsed), now)
            times.record(elapsed)
        case Refused(RefusalReason.UPSTREAM_REFUSED):
            health.record_refusal(now)
        case Lost(LossReason.CANCELLED):
            health.record_slow(times.get_relative_time(elapsed), now)
        case Lost(LossReason.TIMEOUT) if elapsed < times.overdue_delay:
            health.record_slow(times.get_relative_time(elapsed), now)
        case Failed(response) if response.status == GATEWAY_TIMEOUT:
            health.record_slow(times.get_relative_time(elapsed), now)
        case _:
            health.record_failure(now)


def mark_overdue(attempt: Attempt) -> None:
    """Count an open attempt that takes much longer than usual.

    A silent upstream is then avoided before the first attempt reaches its deadline.

    :param attempt: the attempt.
    """
    if attempt.is_open and not attempt.is_overdue:
        attempt.is_overdue = True
        attempt.health.overdue_count += 1
