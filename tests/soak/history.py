"""What a soak has done to its fleet, with the times, for its judge."""

import math
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from celeryferry_standins.platform.upstream import PlatformUpstream

# The platform's times: the rules with a bound hold for hosts that nothing disturbed for
# the contact time, while nothing disturbed the store, either.
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
DOWNGRADE_SLACK_S = 0.25
STORE = "store"


@dataclass(slots=True)
class Span:
    """Time in which something was the case, in monotonic seconds."""

    began_at: float
    ended_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Version:
    """A version of the configuration.

    :param services: services of each route, by the start of the path.
    :param published_at: time at which the operators sent it.
    :param acked_at: time at which the store first acknowledged it.
    :param allows_large_heads: whether the limit on heads is the higher one.
    """

    number: int
    services: dict[str, frozenset[str]]
    published_at: float
    acked_at: float
    allows_large_heads: bool = True

    def get_services(self, path: str) -> frozenset[str] | None:
        """Return the services that may run a request, None without a route."""
        for prefix, services in self.services.items():
            if path.startswith(prefix):
                return services
        return None


@dataclass(slots=True)
class Drain:
    """An upstream that is draining or removed and still serves.

    :param span: from the acknowledgement until it stops.
    """

    upstream: PlatformUpstream
    span: Span


@dataclass(slots=True)
class History:
    """Versions, drains and disruptions.

    :ivar disruptions: spans by name of the host, or ``STORE``.
    :ivar starts: times at which processes of a host were started during the faults.
    """

    versions: list[Version] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    disruptions: dict[str, list[Span]] = field(default_factory=dict)
    starts: dict[str, list[float]] = field(default_factory=dict)

    @contextmanager
    def disrupt(self, name: str) -> Iterator[None]:
        """Record the time of the block as a disruption.

        :param name: name of the host, or ``STORE``.
        """
        span = Span(time.monotonic())
        self.disruptions.setdefault(name, []).append(span)
        try:
            yield
        finally:
            span.ended_at = time.monotonic()

    def is_in_touch(self, host_name: str, sent_at: float, until: float) -> bool:
        """Return whether a host was in touch from the sending of a request on."""
        spans = (
            *self.disruptions.get(host_name, ()),
            *self.disruptions.get(STORE, ()),
        )
        return not any(
            span.began_at <= until and span.ended_at >= sent_at - CONTACT_S
            for span in spans
        )

    def find_stable_acknowledgement(self, acked_at: float) -> float:
        """Return from when on an acknowledgement binds the hosts.

        The store acknowledges nothing that binds them before it has been stable for the
        contact time.
        """
        at = acked_at
        for span in sorted(self.disruptions.get(STORE, ()), key=lambda s: s.began_at):
            if span.began_at <= at < span.ended_at + CONTACT_S:
                at = span.ended_at + CONTACT_S
        return at

    def list_allowed(
        self, host_name: str, sent_at: float, ended_at: float
    ) -> list[Version]:
        """Return the versions by which a host may have handled a request."""
        published = [each for each in self.versions if each.published_at <= ended_at]
        if not self.is_in_touch(host_name, sent_at, ended_at):
            return published
        oldest = max(
            (v.number for v in published if v.acked_at < sent_at - CONFIG_APPLY_S),
            default=0,
        )
        return [each for each in published if each.number >= oldest]

    def count_starts(self, host_name: str, until: float) -> int:
        """Return how often a host was started up to a time."""
        return sum(at <= until for at in self.starts.get(host_name, ()))
