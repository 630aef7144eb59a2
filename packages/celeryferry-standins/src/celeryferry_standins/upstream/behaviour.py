"""Settings and counters of a stand-in upstream."""

from enum import StrEnum

import msgspec

from celeryferry_standins.serving import ANY_PORT_ADDRESS

MS_PER_S = 1000.0


class Refusal(StrEnum):
    """Reason for which a request is refused before it runs."""

    COLD = "cold"
    DRAINING = "draining"
    SHEDDING = "shedding"
    DEADLINE = "deadline"
    VERSION_GONE = "version_gone"


class Misbehaviour(StrEnum):
    """Faults of the answers that a test can select."""

    OTHER_REQUEST = "other_request"
    PREVIOUS_ANSWER = "previous_answer"
    DOUBLED = "doubled"
    DOUBLED_LATER = "doubled_later"
    OTHER_SHARD = "other_shard"
    OTHER_VERSION = "other_version"
    TRUNCATED = "truncated"
    LATE = "late"
    CLOSE_AFTER_READING = "close_after_reading"
    CLOSE_AFTER_EXECUTING = "close_after_executing"


class Behaviour(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of one stand-in upstream; all may change while it runs.

    :param slots: requests processed at once.
    :param queue_bound: requests that may wait for a slot; further ones are refused.
    :param connections: connections beyond this number are closed at once.
    :param connect_cost_ms: delay before the first request of a new connection.
    :param service_ms: mean service time in milliseconds.
    :param jitter_ms: half-width of the uniform variation of the service time.
    :param straggle_factor: factor on the service time of straggling requests.
    :param straggle_share: share of the requests that straggle, 0.0 to 1.0.
    :param index_versions: index versions it holds.
    :param hits: hits in each answer.
    :param cold: True while in cold start; setting it starts a cold start.
    :param cold_bears: concurrent requests it can process in cold start.
    :param cold_hidden: True to report ``ready`` while cold.
    :param cold_refuses: True to refuse requests beyond ``cold_bears`` instead of
        failing under them.
    :param cold_factor: factor on the service time while cold.
    :param signal_grace_ms: work started within this time after the first cold answer
        still counts as started before the signal, because its request may already have
        been sent.
    :param warm_after_requests: successful requests that end the cold start.
    :param warm_after_ms: time after which the cold start ends, None for no limit.
    :param fall_ms: time for which it refuses everything after it failed under load.
    :param draining: True while it drains.
    :param drain_refuses: True to refuse new work while draining.
    :param health_lag_ms: age of the state that ``/health`` and ``/load`` report.
    :param health_says: state that ``/health`` reports in place of the real one.
    :param load_says: load that is reported in place of the real one, as the ratio of
        active requests to slots.
    :param misbehaviour: fault of the next answers, None for correct answers.
    :param misbehaviour_count: answers that are faulty, -1 for all.
    :param late_ms: delay of a late answer, or of a second one of ``doubled_later``, in
        milliseconds.
    """

    slots: int = 4
    queue_bound: int = 16
    connections: int = 80
    connect_cost_ms: float = 6.0
    service_ms: float = 4.0
    jitter_ms: float = 1.0
    straggle_factor: float = 1.0
    straggle_share: float = 1.0
    index_versions: list[int] = msgspec.field(default_factory=lambda: [41])
    hits: int = 3
    cold: bool = False
    cold_bears: int = 1
    cold_hidden: bool = False
    cold_refuses: bool = False
    cold_factor: float = 1.0
    signal_grace_ms: float = 20.0
    warm_after_requests: int = 24
    warm_after_ms: float | None = None
    fall_ms: float = 1000.0
    draining: bool = False
    drain_refuses: bool = False
    health_lag_ms: float = 0.0
    health_says: str | None = None
    load_says: float | None = None
    misbehaviour: Misbehaviour | None = None
    misbehaviour_count: int = -1
    late_ms: float = 500.0


class UpstreamSpec(msgspec.Struct, forbid_unknown_fields=True):
    """One stand-in upstream of a process.

    :param name: name for the ready file and for control requests.
    :param address: address to listen on; port 0 lets the kernel choose.
    :param behaviour: what it does.
    """

    name: str
    address: str = ANY_PORT_ADDRESS
    behaviour: Behaviour = msgspec.field(default_factory=Behaviour)


class ProcessSpec(msgspec.Struct, forbid_unknown_fields=True):
    """All stand-in upstreams of one process.

    :param upstreams: the upstreams.
    :param control_address: address for control requests.
    :param journal: file that receives the id of each ``/run`` request when it starts,
        one a line, so that executions stay known after the process is killed.
    :param search_journal: the same for ``/search`` requests, None for no journal.
    """

    upstreams: list[UpstreamSpec]
    control_address: str = ANY_PORT_ADDRESS
    journal: str | None = None
    search_journal: str | None = None


class ProcessReady(msgspec.Struct):
    """Content of the ready file of a process.

    :param control_address: address for control requests.
    :param addresses: address of each upstream by name.
    """

    control_address: str
    addresses: dict[str, str]


class Counters(msgspec.Struct):
    """Counts of a stand-in upstream since it started.

    Times are wall-clock milliseconds; 0 means never.

    :param given: requests received.
    :param executed: requests started.
    :param searches: executions by request id of ``/search``, the latest ones.
    :param runs: executions by request id of ``/run``.
    :param shards: executions by shard.
    :param active: requests being processed.
    :param max_active: most requests processed at once.
    :param max_after_cold: most concurrent requests that started after the cold signal.
    :param started_after_drain: requests started while draining.
    :param falls: number of failures under too many requests in cold start.
    :param cancelled: requests whose caller closed the connection.
    :param refused: refusals by reason.
    :param deadline_refusals: requests refused because their deadline had passed.
    :param connections_opened: connections accepted.
    :param connections_refused: connections closed because there were too many.
    :param connections_open: open connections.
    :param max_connections: most connections open at once.
    :param first_start_unix_ms: start of the first request.
    :param last_start_unix_ms: start of the latest request.
    :param cold_since_unix_ms: start of the latest cold start.
    :param drained_at_unix_ms: start of draining.
    """

    given: int = 0
    executed: int = 0
    searches: dict[str, int] = msgspec.field(default_factory=dict)
    runs: dict[str, int] = msgspec.field(default_factory=dict)
    shards: dict[str, int] = msgspec.field(default_factory=dict)
    active: int = 0
    max_active: int = 0
    max_after_cold: int = 0
    started_after_drain: int = 0
    falls: int = 0
    cancelled: int = 0
    refused: dict[str, int] = msgspec.field(default_factory=dict)
    deadline_refusals: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    connections_open: int = 0
    max_connections: int = 0
    first_start_unix_ms: float = 0.0
    last_start_unix_ms: float = 0.0
    cold_since_unix_ms: float = 0.0
    drained_at_unix_ms: float = 0.0
