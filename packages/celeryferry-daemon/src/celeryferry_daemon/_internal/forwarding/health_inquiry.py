"""Asks upstreams for their health, which tells whether they are cold."""

from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.processes import (
    DoubtCause,
    OtherInstance,
    Unstated,
    WarmupStatement,
)
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.metrics import UpstreamMetrics
from celeryferry_daemon._internal.forwarding.ports import WireFormat
from celeryferry_daemon._internal.forwarding.state import HostState


class HealthInquiry:
    """Asks for the health of upstreams, and gives their answers to the host's state.

    :param wire: encodes the questions and decodes the answers.
    :param log: receives a line for each question.
    """

    __slots__ = ("_clock", "_log", "_metrics", "_state", "_wire")

    def __init__(
        self,
        state: HostState,
        wire: WireFormat,
        clock: Clock,
        log: LogWriter,
        metrics: UpstreamMetrics,
    ) -> None:
        self._state = state
        self._wire = wire
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def record_question(self, upstream: Upstream, cause: DoubtCause) -> None:
        """Log and count that an upstream is asked, and why."""
        self._metrics.count_question(cause)
        self._log.write(
            "upstream_unknown", instance_id=upstream.instance_id, cause=cause
        )

    def may_ask(self, upstream: Upstream) -> bool:
        """Return whether an upstream is in service and wants no pause."""
        selector = self._state.session_context.selector
        return selector.may_use(upstream, self._clock.monotonic())

    def is_askable(self, upstream: Upstream) -> bool:
        """Return whether the service of an upstream has a health check."""
        return bool(self._state.get_health_path(upstream))

    def make_question(self, upstream: Upstream) -> bytes:
        """Return the request for its health."""
        path = self._state.get_health_path(upstream)
        return self._wire.make_health_request(upstream, path)

    def record_answer(self, upstream: Upstream, response: RawResponse) -> bool:
        """Record what a response to the question says.

        Like any other response it may also say that the upstream leaves, or that it
        wants a pause.
        """
        statement = self._wire.read_health(upstream, response)
        notice = self._wire.read_notice(response)
        if notice is not None and not isinstance(statement, OtherInstance):
            self._state.record_notice(upstream, notice, self._clock.monotonic())
        return self._record(upstream, statement)

    def record_unanswerable(self, upstream: Upstream) -> None:
        """Take the process at the other end for a new one."""
        self._record(upstream, Unstated())

    def _record(self, upstream: Upstream, statement: WarmupStatement) -> bool:
        self._metrics.count_statement(statement)
        now = self._clock.monotonic()
        return self._state.record_statement(upstream, statement, now)
