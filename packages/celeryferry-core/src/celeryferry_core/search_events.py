"""Events that a search session takes and actions that it returns."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec

from celeryferry_core.decisions.base import Decision
from celeryferry_core.exceptions import PeerFailure
from celeryferry_core.models.callers import ErrorBody, SearchAnswer
from celeryferry_core.models.messages import PartialAnswer, SubqueryBatch
from celeryferry_core.models.topology import Host
from celeryferry_core.plans import ApplicationPlan


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """One query.

    :param query_id: id of the query.
    :param query: the caller's query, any JSON value.
    :param limit: largest number of hits, None for all.
    :param started: monotonic time at which the query was accepted.
    :param deadline: monotonic time at which it ends.
    :param deadline_unix_ms: the same in milliseconds of wall-clock time.
    """

    query_id: str
    query: msgspec.Raw
    limit: int | None
    started: timedelta
    deadline: timedelta
    deadline_unix_ms: int


@dataclass(frozen=True, slots=True)
class PartialReceived:
    """A line of a batch's answer arrived.

    :param batch_id: number of the batch within the session.
    :param answer: the line.
    """

    batch_id: int
    answer: PartialAnswer


@dataclass(frozen=True, slots=True)
class BatchFailed:
    """A batch ended without its final line.

    :param batch_id: number of the batch within the session.
    :param failure: how far the call got.
    """

    batch_id: int
    failure: PeerFailure


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of the latest ``SetTimer`` has come."""


@dataclass(frozen=True, slots=True)
class ObservationsRefreshed:
    """The catalog was refreshed after ``RefreshObservations``."""


@dataclass(frozen=True, slots=True)
class PlanReplaced:
    """Configuration or leaving upstreams changed; hedges and retries follow it.

    :param plan: new plan of the application.
    """

    plan: ApplicationPlan


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller disconnected."""


Event = (
    PartialReceived
    | BatchFailed
    | TimerFired
    | ObservationsRefreshed
    | PlanReplaced
    | CallerGone
)


@dataclass(frozen=True, slots=True)
class SendBatch:
    """Send a batch to an owner.

    :param batch_id: number of the batch within the session.
    :param host: the owner.
    :param batch: the message.
    :param timeout: longest time for the whole call.
    """

    batch_id: int
    host: Host
    batch: SubqueryBatch
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class CancelBatch:
    """Close the stream of a batch.

    :param batch_id: number of the batch within the session.
    """

    batch_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Replace the timer of the session.

    :param at: monotonic time at which ``TimerFired`` is due.
    """

    at: timedelta


@dataclass(frozen=True, slots=True)
class RefreshObservations:
    """Fetch the application's observations, then send ``ObservationsRefreshed``."""


@dataclass(frozen=True, slots=True)
class Record:
    """Write a decision to the log.

    :param decision: the decision.
    """

    decision: Decision


@dataclass(frozen=True, slots=True)
class Finish:
    """Answer the caller; the session takes no further events.

    :param outcome: answer or error.
    """

    outcome: SearchAnswer | ErrorBody


Action = SendBatch | CancelBatch | SetTimer | RefreshObservations | Record | Finish
