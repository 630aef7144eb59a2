"""What a worker tells fronts and metrics about its upstream."""

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
    :param limit: its limit.
    :param queue: work that waits for it.
    :param in_flight: work sent to it.
    :param recorder: counts the outcomes.
    :param ports: what all workers share.
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
        """Take over the index versions that an answer has shown.

        :param versions: index versions of the upstream.
        :param now: monotonic time of the answer.
        """
        self._versions = versions
        self._versions_updated_at = now

    def record_polled_versions(
        self, versions: tuple[int, ...], polled_at: timedelta, now: timedelta
    ) -> None:
        """Take over index versions from a health poll, unless an answer was later.

        :param versions: index versions of the upstream; empty if it told none.
        :param polled_at: monotonic time of the poll's start.
        :param now: present monotonic time.
        """
        if versions and polled_at > self._versions_updated_at:
            self.record_versions(versions, now)

    def observe(self, is_leaving: bool) -> UpstreamObservation:
        """Return what the owner knows about the upstream.

        :param is_leaving: whether the host list calls the upstream leaving.
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
        """Publish the metrics of the upstream."""
        self._ports.metrics.publish(
            self._address,
            self._recorder.outcomes,
            self._limit.limit,
            len(self._queue),
            len(self._in_flight),
        )

    def publish_final(self) -> None:
        """Publish the last outcomes and zero for everything else."""
        self._ports.metrics.publish(self._address, self._recorder.outcomes, 0, 0, 0)
