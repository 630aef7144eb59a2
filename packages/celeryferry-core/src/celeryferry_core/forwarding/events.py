"""Events that a forwarding session takes and actions that it returns."""

from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.outcomes import AttemptOutcome, RequestResult


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has its outcome.

    :param attempt_id: number of the attempt in its session.
    :param outcome: the outcome.
    :param reported_load: running and waiting requests that the upstream reported, None
        if it reported none.
    """

    attempt_id: int
    outcome: AttemptOutcome
    reported_load: int | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of the latest ``SetTimer`` has come."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


Event = AttemptEnded | TimerFired | CallerGone


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to an upstream.

    :param attempt_id: number of the attempt in its session.
    :param upstream: where to send it.
    :param deadline: monotonic time at which the attempt ends.
    """

    attempt_id: int
    upstream: Upstream
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt; an ``AttemptEnded`` still follows.

    :param attempt_id: number of the attempt in its session.
    """

    attempt_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Replace the timer.

    :param at: monotonic time.
    """

    at: timedelta


@dataclass(frozen=True, slots=True)
class Finish:
    """The result of the request is known.

    :param result: what the caller gets.
    """

    result: RequestResult


Action = SendAttempt | CancelAttempt | SetTimer | Finish
