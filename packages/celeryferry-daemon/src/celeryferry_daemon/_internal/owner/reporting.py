"""Reports about one upstream, for fronts and metrics."""

from datetime import timedelta

from celeryferry_core.durations import MILLISECOND, ZERO_DURATION
from celeryferry_core.limits import UpstreamLimit
from celeryferry_core.models.messages import UpstreamObservation
from celeryferry_core.models.outcomes import UpstreamState
from celeryferry_daemon._internal.owner.guard import WorkerPorts
from celeryferry_daemon._internal.owner.in_flight import WorkInFlight
from celeryferry_daemon._internal.owner.queueing import WorkQueue
from celeryferry_daemon._internal.owner.recorder import OutcomeRecorder


class UpstreamReporter:
    """Reports the state of one upstream.

    :param address: address of the upstream.
    :param limit: concurrency limit of the upstream.
    :param queue: work that waits to be sent.
    :param in_flight: work that was sent and has not finished.
    :param recorder: counts the outcomes.
    :param ports: dependencies that all workers share.
    """

    __slots__ = (
        "_address",
        "_in_flight",
        "_limit",
        "_ports",
        "_queue",
        "_recorder",
        "_versions",
        "_versions_updated_at",
    )

    def __init__(
        self,
        address: str,
        limit: UpstreamLimit,
        queue: WorkQueue,
        in_flight: WorkInFlight,
        recorder: OutcomeRecorder,
        ports: WorkerPorts,
    ) -> None:
        self._address = address
        self._limit = limit
        self._queue = queue
        self._in_flight = in_flight
        self._recorder = recorder
        self._ports = ports
        self._versions: tuple[int, ...] = ()
        self._versions_updated_at = ZERO_DURATION

    def record_versions(self, versions: tuple[int, ...], now: timedelta) -> None:
        """Record the index versions that an answer has named.

        :param now: monotonic time of the answer.
        """
        self._versions = versions
        self._versions_updated_at = now

    def record_polled_versions(
        self, versions: tuple[int, ...], polled_at: timedelta, now: timedelta
    ) -> None:
        """Record index versions from a health poll, unless newer ones are known.

        :param versions: index versions of the upstream; empty if the poll named none.
        :param polled_at: monotonic time at which the poll was sent.
        :param now: current monotonic time.
        """
        if versions and polled_at > self._versions_updated_at:
            self.record_versions(versions, now)

    def observe(self, is_leaving: bool) -> UpstreamObservation:
        """Return the current observation of the upstream.

        :param is_leaving: whether the host list marks the upstream as leaving.
        """
        limit = self._limit
        now = self._ports.clock.monotonic()
        state = limit.status.get_reported_state(now)
        if self._ports.mechanisms.drain_check and is_leaving:
            state = UpstreamState.DRAINING
        latency = max(limit.latency, self._in_flight.oldest_age(now))
        return UpstreamObservation(
            address=self._address,
            state=state,
            index_versions=self._versions,
            latency_ms=latency / MILLISECOND,
            queued=len(self._queue),
            in_flight=len(self._in_flight),
            limit=limit.limit,
        )

    def publish(self) -> None:
        """Publish the limit, the work counts and the outcomes since the last call."""
        self._ports.metrics.publish(
            self._address,
            self._recorder.outcomes,
            self._limit.limit,
            len(self._queue),
            len(self._in_flight),
        )

    def publish_final(self) -> None:
        """Publish the remaining outcomes, and zero for all gauges."""
        self._ports.metrics.publish(self._address, self._recorder.outcomes, 0, 0, 0)
