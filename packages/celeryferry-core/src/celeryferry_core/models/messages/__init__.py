"""Messages between daemons, encoded as JSON."""

from celeryferry_core.models.messages.documents import (
    DocumentsReply,
    DocumentsRequest,
    DocumentStamp,
    DocumentText,
)
from celeryferry_core.models.messages.probes import (
    SAME_DIGEST,
    CellSummary,
    LeaseRefusal,
    ProbeReply,
    ProbeRequest,
)
from celeryferry_core.models.messages.queries import (
    ObservationsReply,
    ObservationsRequest,
    PartialAnswer,
    PartialEntry,
    Subquery,
    SubqueryBatch,
    UpstreamObservation,
)
from celeryferry_core.models.messages.runs import (
    RunOnceForward,
    RunReply,
    RunRequest,
)

__all__ = [
    "CellSummary",
    "DocumentStamp",
    "DocumentText",
    "DocumentsReply",
    "DocumentsRequest",
    "LeaseRefusal",
    "ObservationsReply",
    "ObservationsRequest",
    "PartialAnswer",
    "PartialEntry",
    "ProbeReply",
    "ProbeRequest",
    "RunOnceForward",
    "RunReply",
    "RunRequest",
    "SAME_DIGEST",
    "Subquery",
    "SubqueryBatch",
    "UpstreamObservation",
]
