"""Metrics of leases, configuration and membership."""

from aioprometheus import Counter, Gauge, Registry

from celeryferry_core.models.status import DaemonStatus


class FleetMetrics:
    """Gauges that are set from the status before each scrape, and the probe counter.

    :param registry: registry that the metrics are added to.
    """

    def __init__(self, registry: Registry) -> None:
        self._keys = Gauge(
            "celeryferry_keys_held", "Ownership keys held.", registry=registry
        )
        self._version = Gauge(
            "celeryferry_document_version",
            "Active version of each document.",
            registry=registry,
        )
        self._rejected = Gauge(
            "celeryferry_documents_rejected", "Documents rejected.", registry=registry
        )
        self._age = Gauge(
            "celeryferry_configuration_age_ms",
            "Age of the latest confirmation, -1 without one.",
            registry=registry,
        )
        self._may_act = Gauge(
            "celeryferry_may_act", "1 if new work is taken.", registry=registry
        )
        self._live = Gauge("celeryferry_hosts_live", "Live hosts.", registry=registry)
        self.probes = Counter(
            "celeryferry_probes_total", "Probes by result.", registry=registry
        )

    def update(self, status: DaemonStatus) -> None:
        """Set all gauges from a status."""
        self._keys.set({}, len(status.keys))
        for document in status.documents:
            self._version.set({"document": document.name}, document.version)
        self._rejected.set({}, len(status.rejected))
        age_ms = -1 if status.service_age_ms is None else status.service_age_ms
        self._age.set({}, age_ms)
        self._may_act.set({}, int(status.may_act))
        self._live.set({}, len(status.live_hosts))
