"""Selection of the upstream for one attempt."""

from collections.abc import Collection, Mapping
from datetime import timedelta

import msgspec

from celeryferry_core.environment import RandomSource
from celeryferry_core.forwarding.health import UpstreamHealth
from celeryferry_core.forwarding.models import ServiceBounds, Upstream
from celeryferry_core.forwarding.notices import UpstreamNotices
from celeryferry_core.forwarding.registry import UpstreamRegistry
from celeryferry_core.forwarding.restarts import RestartObservations
from celeryferry_core.forwarding.warmup import WarmupLimits

# An upstream in another failure domain is selected only if the local one is expected
# to cost more than this factor times the remote one: traffic between failure domains is
# expensive and its network path is longer.
REMOTE_COST_FACTOR = 2.0
# Fraction of an upstream's connections that the fleet uses; the rest is for health
# checks and for connections that are being closed.
USED_CONNECTION_FRACTION = 0.8
# Reasons of a selection that callers compare.
COLD_REASON = "cold"
SUSPECTED_REASON = "suspected"
DEFAULT_SERVICE_BOUNDS = ServiceBounds(max_connections=16, cold_requests_per_s=0.0)


class Selection(msgspec.Struct, frozen=True, gc=False):
    """A selected upstream.

    :param reason: why it was selected, for the log.
    """

    upstream: Upstream
    reason: str


class UpstreamSelector:
    """Selects upstreams by their registry entries and by this host's observations.

    Arguments named ``now`` are monotonic times.

    :param own_domain: failure domain of this host.
    :param registry: listed upstreams.
    :param warmup: rate limits for cold upstreams.
    :ivar notices: upstreams that have said that they leave or want a pause.
    :ivar restarts: upstreams that are absent or have returned cold, as observed.
    :ivar services: limits by service, replaced when the configuration changes.
    :ivar host_count: number of hosts that share the connections of an upstream.
    :ivar sent_count: attempts sent since the start.
    """

    __slots__ = (
        "_health",
        "_own_domain",
        "_random",
        "_registry",
        "_warmup",
        "host_count",
        "notices",
        "restarts",
        "sent_count",
        "services",
    )

    def __init__(
        self,
        own_domain: str,
        registry: UpstreamRegistry,
        warmup: WarmupLimits,
        random: RandomSource,
    ) -> None:
        self._own_domain = own_domain
        self._registry = registry
        self._warmup = warmup
        self._random = random
        self._health: dict[str, UpstreamHealth] = {}
        self.notices = UpstreamNotices(random)
        self.restarts = RestartObservations()
        self.services: Mapping[str, ServiceBounds] = {}
        self.host_count = 1
        self.sent_count = 0

    def get_health(self, instance_id: str) -> UpstreamHealth:
        """Return the observations of an upstream, created on first use.

        :param instance_id: id of the upstream's instance.
        """
        health = self._health.get(instance_id)
        if health is None:
            health = self._health[instance_id] = UpstreamHealth()
        return health

    def forget(self, instance_id: str, now: timedelta) -> None:
        """Drop the observations and request counts of an upstream that is gone.

        :param instance_id: id of the upstream's instance.
        """
        self._health.pop(instance_id, None)
        self._warmup.forget(instance_id)
        self.restarts.forget(instance_id)
        self.notices.record_gone(instance_id, now)

    def is_cold(self, instance_id: str, now: timedelta) -> bool:
        """Return whether an upstream is cold, by its entry or by its restart."""
        is_cold_by_entry = self._registry.is_cold(instance_id, now)
        return is_cold_by_entry or self.restarts.is_cold(instance_id, now)

    def choose(
        self, service: str, now: timedelta, tried: Collection[str] = ()
    ) -> Selection | None:
        """Select an upstream of a service.

        Healthy upstreams are preferred to cold ones, and cold ones to suspected ones.

        :param tried: instance ids to exclude.
        :returns: the selection, or None if no upstream may receive a request now.
        """
        connection_limit = self.get_connection_limit(service)
        eligible, warm, healthy = [], [], []
        for upstream in self._registry.list_service(service).values():
            health = self.get_health(upstream.instance_id)
            is_excluded = (
                upstream.instance_id in tried or health.in_flight >= connection_limit
            )
            if is_excluded or not self.may_use(upstream, now):
                continue
            if self.notices.is_held_back(upstream.instance_id, now):
                continue
            eligible.append(upstream)
            if self.is_cold(upstream.instance_id, now):
                continue
            warm.append(upstream)
            if health.suspected_until <= now:
                healthy.append(upstream)
        if healthy:
            return self._choose_healthy(healthy, now)
        return self._choose_cold(eligible, now) or self._choose_suspected(warm)

    def has_usable_upstream(self, service: str, now: timedelta) -> bool:
        """Return whether any upstream of a service may receive work, now or soon.

        Load, suspicion and cold start are not considered.
        """
        listed = self._registry.list_service(service).values()
        return any(self.may_use(upstream, now) for upstream in listed)

    def get_pause_left(self, service: str, now: timedelta) -> timedelta:
        """Return how long all upstreams of a service still want a pause.

        :returns: zero if one may be used, or if there is none that could be.
        """
        ends = [
            self.notices.get_pause_end(upstream.instance_id, now)
            for upstream in self._registry.list_service(service).values()
            if self._is_in_service(upstream)
        ]
        return min(ends, default=now) - now

    def may_use(self, upstream: Upstream, now: timedelta) -> bool:
        """Return whether an upstream may receive work at all.

        Excluded are upstreams that are draining or leave, refuse connections or want a
        pause, and failure domains out of service. This may change between the selection
        and the sending.
        """
        is_paused = self.notices.is_paused(upstream.instance_id, now)
        return not is_paused and self._is_in_service(upstream)

    def count_sent(self, upstream: Upstream, now: timedelta) -> None:
        """Count an attempt that is being sent to an upstream."""
        self.sent_count += 1
        self.get_health(upstream.instance_id).in_flight += 1
        if self.is_cold(upstream.instance_id, now):
            self._warmup.count_sent(upstream.instance_id, now)

    def get_connection_limit(self, service: str) -> int:
        """Return how many connections this host may open to one upstream."""
        bounds = self.services.get(service, DEFAULT_SERVICE_BOUNDS)
        share = (
            bounds.max_connections * USED_CONNECTION_FRACTION / max(1, self.host_count)
        )
        return max(1, int(share))

    def _is_in_service(self, upstream: Upstream) -> bool:
        if upstream.is_draining or self.notices.is_leaving(upstream):
            return False
        if self.restarts.is_absent(upstream.instance_id):
            return False
        return upstream.failure_domain not in self._registry.domains_out

    def _choose_healthy(self, healthy: list[Upstream], now: timedelta) -> Selection:
        local = [u for u in healthy if u.failure_domain == self._own_domain]
        remote = [u for u in healthy if u.failure_domain != self._own_domain]
        if not local:
            return Selection(self._pick_better_of_two(remote, now), "remote")
        first = self._pick_better_of_two(local, now)
        if not remote:
            return Selection(first, "own_domain")
        second = self._pick_better_of_two(remote, now)
        if self._estimate_cost(first, now) <= REMOTE_COST_FACTOR * self._estimate_cost(
            second, now
        ):
            return Selection(first, "own_domain")
        return Selection(second, "own_domain_slow")

    def _choose_cold(
        self, eligible: list[Upstream], now: timedelta
    ) -> Selection | None:
        for upstream in eligible:
            if not self.is_cold(upstream.instance_id, now):
                continue
            bounds = self.services.get(upstream.service, DEFAULT_SERVICE_BOUNDS)
            rate = bounds.cold_requests_per_s
            if self._warmup.may_send(upstream.instance_id, rate, now):
                return Selection(upstream, COLD_REASON)
        return None

    def _choose_suspected(self, warm: list[Upstream]) -> Selection | None:
        if not warm:
            return None
        best = min(warm, key=lambda u: self.get_health(u.instance_id).suspected_until)
        return Selection(best, SUSPECTED_REASON)

    def _pick_better_of_two(
        self, upstreams: list[Upstream], now: timedelta
    ) -> Upstream:
        if len(upstreams) == 1:
            return upstreams[0]
        first = self._random.randrange(len(upstreams))
        second = self._random.randrange(len(upstreams) - 1)
        second += second >= first
        if self._estimate_cost(upstreams[second], now) < self._estimate_cost(
            upstreams[first], now
        ):
            return upstreams[second]
        return upstreams[first]

    def _estimate_cost(self, upstream: Upstream, now: timedelta) -> float:
        return self.get_health(upstream.instance_id).estimate_cost(upstream.slots, now)
