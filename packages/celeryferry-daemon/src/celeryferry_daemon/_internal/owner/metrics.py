"""Prometheus metrics of the owner role."""

from collections import Counter

import aioprometheus


class OwnerMetrics:
    """Metrics of all upstreams of this host.

    Workers count outcomes in plain dictionaries and publish them with their health
    polls: updating a labelled collector for each subquery would cost too much.

    :param registry: registry of the daemon.
    """

    __slots__ = ("_in_flight", "_limit", "_outcomes", "_queued")

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._outcomes = aioprometheus.Counter(
            "celeryferry_owner_requests_total",
            "Requests to upstreams by outcome.",
            registry=registry,
        )
        self._limit = aioprometheus.Gauge(
            "celeryferry_owner_limit",
            "Concurrency limit of an upstream.",
            registry=registry,
        )
        self._queued = aioprometheus.Gauge(
            "celeryferry_owner_queued",
            "Requests waiting for an upstream.",
            registry=registry,
        )
        self._in_flight = aioprometheus.Gauge(
            "celeryferry_owner_in_flight",
            "Requests sent to an upstream and not finished.",
            registry=registry,
        )

    def publish(
        self,
        upstream: str,
        outcomes: Counter[str],
        limit: int,
        queued: int,
        in_flight: int,
    ) -> None:
        """Publish the figures of one upstream.

        :param upstream: address of the upstream.
        :param outcomes: number of requests by outcome since the last call; this method
            clears it.
        :param limit: current concurrency limit.
        :param queued: number of queued requests.
        :param in_flight: number of requests in flight.
        """
        for outcome, count in outcomes.items():
            self._outcomes.add({"upstream": upstream, "outcome": outcome}, count)
        outcomes.clear()
        labels = {"upstream": upstream}
        self._limit.set(labels, limit)
        self._queued.set(labels, queued)
        self._in_flight.set(labels, in_flight)
