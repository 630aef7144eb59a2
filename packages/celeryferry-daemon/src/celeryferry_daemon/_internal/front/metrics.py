"""Prometheus metrics of the front role."""

import aioprometheus

from celeryferry_core.budgets import Budgets
from celeryferry_core.models.callers import ErrorBody, SearchAnswer

LATENCY_BUCKETS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.072),
    *(0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, float("inf")),
)


class FrontMetrics:
    """Metrics of one front.

    :param registry: registry that the metrics are added to.
    """

    __slots__ = ("_covered", "_extra", "_latency", "_missing", "_refusals")

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._latency = aioprometheus.Histogram(
            "celeryferry_front_latency_seconds",
            "Time of a query in the entry host in seconds.",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._covered = aioprometheus.Counter(
            "celeryferry_front_covered_shards_total",
            "Shards covered by answers.",
            registry=registry,
        )
        self._missing = aioprometheus.Counter(
            "celeryferry_front_missing_shards_total",
            "Shards missing from answers, by reason.",
            registry=registry,
        )
        self._extra = aioprometheus.Gauge(
            "celeryferry_front_extra_work_percent",
            "Hedges and retries in per cent of first subqueries.",
            registry=registry,
        )
        self._refusals = aioprometheus.Counter(
            "celeryferry_front_refusals_total",
            "Queries that ended in an error, by type.",
            registry=registry,
        )

    def count_answer(self, answer: SearchAnswer) -> None:
        """Record the latency and the coverage of an answer."""
        labels = {"application": answer.application}
        self._latency.observe(labels, answer.elapsed_ms / 1000)
        self._covered.add(labels, len(answer.covered))
        for missing in answer.not_covered:
            self._missing.inc({**labels, "reason": missing.reason.value})

    def count_refusal(self, error: ErrorBody) -> None:
        """Count a query that ended in an error, by the type of the error."""
        self._refusals.inc({"type": error.type.value})

    def set_extra_work(self, application: str, budgets: Budgets) -> None:
        """Set the ratio of hedges and retries to first subqueries, in per cent.

        :param application: name of the application.
        :param budgets: budgets of the application, which count the first subqueries.
        """
        first_subqueries = budgets.subqueries
        percent = (
            100.0 * budgets.extra_subqueries / first_subqueries
            if first_subqueries
            else 0.0
        )
        self._extra.set({"application": application}, percent)
