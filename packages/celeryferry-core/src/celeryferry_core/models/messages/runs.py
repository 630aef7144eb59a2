"""Messages with non-repeatable requests between daemons."""

import msgspec

from celeryferry_core.models import bounds
from celeryferry_core.models.messages.base import Message
from celeryferry_core.models.outcomes import RunOutcome


class RunRequest(Message, frozen=True):
    """Request to an owner to run a non-repeatable request.

    :param ticket: ticket of the request.
    :param application: application of the request.
    :param service: service of the shard.
    :param shard: name of the shard.
    :param upstream: address of the selected replica.
    :param deadline_unix_ms: deadline as Unix time in milliseconds.
    :param request: the caller's request, any JSON value.
    """

    ticket: bounds.TicketText
    application: bounds.ShortText
    service: bounds.ShortText
    shard: bounds.ShortText
    upstream: bounds.ShortText
    deadline_unix_ms: int
    request: msgspec.Raw


class RunReply(Message, frozen=True):
    """Outcome of a non-repeatable request."""

    ticket: str
    outcome: RunOutcome


class RunOnceForward(Message, frozen=True):
    """A run-once request, forwarded to the process that issued its ticket.

    :param ticket: ticket of the request.
    :param request: the caller's request, any JSON value.
    :param deadline_unix_ms: deadline as Unix time in milliseconds.
    """

    ticket: bounds.TicketText
    request: msgspec.Raw
    deadline_unix_ms: int
