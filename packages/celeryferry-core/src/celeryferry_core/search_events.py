"""Events that a search session handles and actions that it returns."""

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
    """A query of a caller.

    :param query: the caller's query, any JSON value.
    :param limit: largest number of hits, None for all.
    :param started: monotonic time at which the query was accepted.
    :param deadline: monotonic time at which the query ends at the latest.
    :param deadline_unix_ms: the deadline as Unix time in milliseconds.
    """

    query_id: str
    query: msgspec.Raw
    limit: int | None
    started: timedelta
    deadline: timedelta
    deadline_unix_ms: int


@dataclass(frozen=True, slots=True)
class PartialReceived:
    """A line of the answer to a batch arrived.

    :param batch_id: number of the batch within the session.
    :param answer: the decoded line.
    """

    batch_id: int
    answer: PartialAnswer


@dataclass(frozen=True, slots=True)
class BatchFailed:
    """A batch ended without its final line.

    :param batch_id: number of the batch within the session.
    :param failure: how the call failed and whether anything may have run.
    """

    batch_id: int
    failure: PeerFailure


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer of the latest ``SetTimer`` expired."""


@dataclass(frozen=True, slots=True)
class ObservationsRefreshed:
    """The observations requested by ``RefreshObservations`` are in the catalog."""


@dataclass(frozen=True, slots=True)
class PlanReplaced:
    """The configuration or the set of leaving upstreams changed.

    Later hedges and retries use the new plan.
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
    """Send a batch of subqueries to an owner.

    :param batch_id: number of the batch within the session.
    :param host: the owner.
    :param timeout: time limit of the whole call.
    """

    batch_id: int
    host: Host
    batch: SubqueryBatch
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class CancelBatch:
    """Cancel a batch by closing its stream.

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
    """Fetch the application's observations, then report ``ObservationsRefreshed``."""


@dataclass(frozen=True, slots=True)
class Record:
    """Write a decision to the log."""

    decision: Decision


@dataclass(frozen=True, slots=True)
class Finish:
    """Return the answer or error to the caller. The session handles no more events."""

    outcome: SearchAnswer | ErrorBody


Action = SendBatch | CancelBatch | SetTimer | RefreshObservations | Record | Finish
