"""Non-repeatable requests between daemons."""

import msgspec

from celeryferry_core.models import bounds
from celeryferry_core.models.messages.base import Message
from celeryferry_core.models.outcomes import RunOutcome


class RunRequest(Message, frozen=True):
    """Asks an owner to run a non-repeatable request.

    :param ticket: ticket of the request.
    :param application: application of the request.
    :param service: service of the shard.
    :param shard: name of the shard.
    :param upstream: address of the chosen replica.
    :param deadline_unix_ms: absolute deadline in milliseconds of wall-clock time.
    :param request: the caller's request, any JSON value.
    """

    ticket: bounds.TicketText
    application: bounds.Name
    service: bounds.Name
    shard: bounds.Name
    upstream: bounds.Name
    deadline_unix_ms: int
    request: msgspec.Raw


class RunReply(Message, frozen=True):
    """Outcome of a non-repeatable request.

    :param ticket: ticket of the request.
    :param outcome: what happened.
    """

    ticket: str
    outcome: RunOutcome


class RunOnceForward(Message, frozen=True):
    """A run-once request passed on to the process that issued the ticket.

    :param ticket: ticket of the request.
    :param request: the caller's request, any JSON value.
    :param deadline_unix_ms: absolute deadline in milliseconds of wall-clock time.
    """

    ticket: bounds.TicketText
    request: msgspec.Raw
    deadline_unix_ms: int
