"""Events that a forwarding session handles and actions that it returns."""

from datetime import timedelta

import msgspec

from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.outcomes import AttemptOutcome, RequestResult


class AttemptEnded(msgspec.Struct, frozen=True, gc=False):
    """The outcome of an attempt is known.

    :param attempt_id: index of the attempt in its session.
    :param reported_load: running and waiting requests that the upstream reported,
        including this one; None if it reported none.
    """

    attempt_id: int
    outcome: AttemptOutcome
    reported_load: int | None = None


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """The time of the latest ``SetTimer`` has been reached."""


class CallerGone(msgspec.Struct, frozen=True, gc=False):
    """The caller closed its connection."""


class FinishBy(msgspec.Struct, frozen=True, gc=False):
    """The request must have its result earlier, because this host stops.

    :param at: monotonic time; a later time than the deadline in force has no effect.
    """

    at: timedelta


Event = AttemptEnded | TimerFired | CallerGone | FinishBy


class SendAttempt(msgspec.Struct, frozen=True, gc=False):
    """Send the request to an upstream.

    :param attempt_id: index of the attempt in its session.
    :param deadline: monotonic time at which the attempt times out.
    """

    attempt_id: int
    upstream: Upstream
    deadline: timedelta


class CancelAttempt(msgspec.Struct, frozen=True, gc=False):
    """Close the connection of an attempt; an ``AttemptEnded`` event still follows."""

    attempt_id: int


class SetTimer(msgspec.Struct, frozen=True, gc=False):
    """Set the session's only timer, replacing the previous time.

    :param at: monotonic time at which ``TimerFired`` is due.
    """

    at: timedelta


class Finish(msgspec.Struct, frozen=True, gc=False):
    """Report the result of the request to the caller."""

    result: RequestResult


Action = SendAttempt | CancelAttempt | SetTimer | Finish
