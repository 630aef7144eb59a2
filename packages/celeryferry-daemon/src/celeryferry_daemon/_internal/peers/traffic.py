"""Control traffic between daemons, as counted by this host's client."""

from collections.abc import Mapping
from dataclasses import dataclass

from aioprometheus import Gauge, Registry


@dataclass(slots=True)
class CallTotals:
    """Totals of the answered calls to one path; headers are not counted.

    :param calls: number of calls.
    :param sent_bytes: bytes of the request bodies.
    :param received_bytes: bytes of the answer bodies.
    """

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class ControlTraffic:
    """Counts the calls to other daemons for probes, documents and observations.

    :ivar totals: totals by path.
    """

    __slots__ = ("totals",)

    def __init__(self) -> None:
        self.totals: dict[str, CallTotals] = {}

    def count(self, path: str, headers: Mapping[str, str], received_bytes: int) -> None:
        """Count an answered call.

        :param headers: headers of the request; ``Content-Length`` gives its size.
        :param received_bytes: size of the answer's body.
        """
        totals = self.totals.get(path)
        if totals is None:
            totals = self.totals[path] = CallTotals()
        totals.calls += 1
        totals.sent_bytes += int(headers.get("Content-Length", "0"))
        totals.received_bytes += received_bytes


class TrafficMetrics:
    """Gauges that are set only before each scrape, so that calls have no extra cost.

    :param registry: metrics of the daemon.
    """

    def __init__(self, registry: Registry) -> None:
        self._calls = Gauge(
            "celeryferry_control_calls", "Answered control calls.", registry=registry
        )
        self._bytes = Gauge(
            "celeryferry_control_bytes",
            "Bytes of the bodies of control calls.",
            registry=registry,
        )

    def update(self, traffic: ControlTraffic) -> None:
        """Set all gauges from the totals."""
        for path, totals in traffic.totals.items():
            call = path.rsplit("/", 1)[1]
            self._calls.set({"call": call}, totals.calls)
            self._bytes.set({"call": call, "direction": "sent"}, totals.sent_bytes)
            received = totals.received_bytes
            self._bytes.set({"call": call, "direction": "received"}, received)
