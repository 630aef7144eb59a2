"""Events that a forwarding session takes and actions that it returns."""

from datetime import timedelta

import msgspec

from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.outcomes import AttemptOutcome, RequestResult


class AttemptEnded(msgspec.Struct, frozen=True, gc=False):
    """An attempt has its outcome.

    :param attempt_id: number of the attempt in its session.
    :param outcome: the outcome.
    :param reported_load: running and waiting requests that the upstream reported, None
        if it reported none.
    """

    attempt_id: int
    outcome: AttemptOutcome
    reported_load: int | None = None


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """The time of the latest ``SetTimer`` has come."""


class CallerGone(msgspec.Struct, frozen=True, gc=False):
    """The caller closed its connection."""


Event = AttemptEnded | TimerFired | CallerGone


class SendAttempt(msgspec.Struct, frozen=True, gc=False):
    """Send the request to an upstream.

    :param attempt_id: number of the attempt in its session.
    :param upstream: where to send it.
    :param deadline: monotonic time at which the attempt ends.
    """

    attempt_id: int
    upstream: Upstream
    deadline: timedelta


class CancelAttempt(msgspec.Struct, frozen=True, gc=False):
    """Close the connection of an attempt; an ``AttemptEnded`` still follows.

    :param attempt_id: number of the attempt in its session.
    """

    attempt_id: int


class SetTimer(msgspec.Struct, frozen=True, gc=False):
    """Replace the timer.

    :param at: monotonic time.
    """

    at: timedelta


class Finish(msgspec.Struct, frozen=True, gc=False):
    """The result of the request is known.

    :param result: what the caller gets.
    """

    result: RequestResult


Action = SendAttempt | CancelAttempt | SetTimer | Finish
