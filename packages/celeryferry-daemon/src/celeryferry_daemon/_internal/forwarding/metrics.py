"""Counters and latency histograms of the forwarding daemon."""

from datetime import timedelta

from aioprometheus import Counter, Gauge, Histogram, Registry

from celeryferry_core.forwarding.processes import (
    DoubtCause,
    WarmupStatement,
    describe_statement,
)
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.requests import Rejection

# Upper bounds of the histogram buckets. They cover rules with target latencies of 60 ms
# to 700 ms.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5, 5.0)


class UpstreamMetrics:
    """Counts the questions to upstreams whose process is not known."""

    __slots__ = ("_questions", "_statements")

    def __init__(self, registry: Registry) -> None:
        self._questions = Counter(
            "celeryferry_upstream_questions_total",
            "Questions to upstreams whether they are cold, by cause.",
            registry=registry,
        )
        self._statements = Counter(
            "celeryferry_upstream_statements_total",
            "Answers of upstreams to these questions, by what they state.",
            registry=registry,
        )

    def count_question(self, cause: DoubtCause) -> None:
        """Count a question, by why the process is not known."""
        self._questions.inc({"cause": cause.value})

    def count_statement(self, statement: WarmupStatement) -> None:
        """Count an answer."""
        self._statements.inc({"statement": describe_statement(statement)})


class RequestMetrics:
    """Counts requests by result and measures their latency."""

    __slots__ = ("_latencies", "_rejections", "_results")

    def __init__(self, registry: Registry) -> None:
        self._results = Counter(
            "celeryferry_requests_total",
            "Requests by rule and result.",
            registry=registry,
        )
        self._rejections = Counter(
            "celeryferry_rejected_requests_total",
            "Requests that were answered with a client error, by reason.",
            registry=registry,
        )
        self._latencies = Histogram(
            "celeryferry_request_seconds",
            "Time from the whole request to its result.",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def count_result(self, rule: str, outcome: str, elapsed: timedelta) -> None:
        """Count a request with a result and record its latency.

        :param rule: name of the rule that it matched.
        :param outcome: result in one word, as in the log.
        """
        self._results.inc({"rule": rule, "outcome": outcome})
        self._latencies.observe({"rule": rule}, elapsed.total_seconds())

    def count_abandoned(self, rule: str) -> None:
        """Count a request whose caller closed the connection before the result."""
        self._results.inc({"rule": rule, "outcome": "caller_gone"})

    def count_rejected(self, rejection: Rejection) -> None:
        """Count a request that was answered with a client error."""
        self._rejections.inc({"reason": rejection.value})


class SourceMetrics:
    """Shows how far this host follows its sources."""

    __slots__ = (
        "_era",
        "_heard_age",
        "_ignored",
        "_is_available",
        "_is_reading",
        "_restores",
        "_revision",
    )

    def __init__(self, registry: Registry) -> None:
        def add(name: str, text: str) -> Gauge:
            return Gauge(f"celeryferry_source_{name}", text, registry=registry)

        self._revision = add("revision", "Revision that the contents reflect.")
        self._era = add("era", "Era of the source, as it states it.")
        self._restores = add("restores", "Restores of the source seen by this host.")
        self._heard_age = add(
            "heard_age_seconds",
            "Time since the contents were last known to be the current ones.",
        )
        self._ignored = add(
            "ignored_contents", "Listings and whole contents that were too old."
        )
        self._is_reading = add("is_reading", "1 if this host calls the source.")
        self._is_available = add("is_available", "0 if the source counts as lost.")

    def update(self, follower: SourceFollower, now: timedelta) -> None:
        """Set the gauges of one source.

        :param now: current monotonic time.
        """
        labels = {"source": follower.source.name}
        self._revision.set(labels, follower.revision)
        self._era.set(labels, follower.position.era)
        self._restores.set(labels, follower.restore_count)
        age = now - follower.heard_at
        self._heard_age.set(labels, round(age.total_seconds(), 3))
        self._ignored.set(labels, follower.ignored_count)
        self._is_reading.set(labels, int(follower.is_reading))
        self._is_available.set(labels, int(not follower.is_unavailable))
