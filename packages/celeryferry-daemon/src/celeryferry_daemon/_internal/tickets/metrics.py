"""Prometheus metrics of the tickets."""

import aioprometheus


class TicketMetrics:
    """Metrics of the tickets of this process.

    :param registry: registry of the daemon.
    """

    __slots__ = ("_remembered", "_outcomes")

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._outcomes = aioprometheus.Counter(
            "celeryferry_ticket_requests_total",
            "Run-once requests by outcome.",
            registry=registry,
        )
        self._remembered = aioprometheus.Gauge(
            "celeryferry_tickets_open", "Tickets remembered.", registry=registry
        )

    def count(self, outcome: str) -> None:
        """Count a completed request.

        :param outcome: tag of the outcome's type, used as a label.
        """
        self._outcomes.inc({"outcome": outcome})

    def set_remembered(self, count: int) -> None:
        """Set the number of tickets in the table, in any state."""
        self._remembered.set({}, count)
