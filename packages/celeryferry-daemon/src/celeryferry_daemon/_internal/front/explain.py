"""Explains how the front would route an application now."""

import msgspec

from celeryferry_core.environment import Clock
from celeryferry_core.models.outcomes import CoverageReason, UpstreamState
from celeryferry_core.plans import ApplicationPlan, PlannedShard, Route
from celeryferry_core.routing import Router

# No replica holds this version, so the router returns the reason why it finds none.
_NO_VERSION = -1


class CandidateExplanation(msgspec.Struct, frozen=True):
    """One replica of a shard.

    :param upstream: address of the upstream.
    :param failure_domain: failure domain of the upstream.
    :param key: ownership key that the upstream belongs to.
    :param owner: host id of the owner, None if no owner is known.
    :param state: latest state that the owner reported, None if there is none.
    :param index_versions: index versions that the upstream is known to hold.
    :param expected_ms: expected time of a new subquery in milliseconds.
    """

    upstream: str
    failure_domain: str
    key: str
    owner: str | None
    state: UpstreamState | None
    index_versions: tuple[int, ...]
    expected_ms: float


class ShardExplanation(msgspec.Struct, frozen=True):
    """How a subquery for a shard would be routed.

    :param service: service of the shard.
    :param shard: name of the shard.
    :param candidates: replicas that the configuration and the host list allow.
    :param chosen: address of the upstream that would be chosen, None if there is none.
    :param reason: why it would be chosen, or why none can be chosen.
    """

    service: str
    shard: str
    candidates: tuple[CandidateExplanation, ...]
    chosen: str | None
    reason: str


class ApplicationExplanation(msgspec.Struct, frozen=True):
    """How a query on an application would be routed now.

    :param application: name of the application.
    :param snapshot: index version that a query would be pinned to, None if none is
        known.
    :param shards: the shards of that version, or all shards without one.
    """

    application: str
    snapshot: int | None
    shards: tuple[ShardExplanation, ...]


def explain_plan(
    plan: ApplicationPlan, router: Router, clock: Clock
) -> ApplicationExplanation:
    """Return how a query with this plan would be routed now.

    :param plan: plan of the application.
    :param router: chooses replicas from what is known about upstreams and owners.
    :param clock: source of time.
    """
    choice = router.choose_initial_version(plan, clock.monotonic())
    version = None if choice is None else choice.version
    shards = tuple(
        _explain_shard(shard, version, router, clock)
        for shard in plan.shards
        if version is None or shard.shard.includes(version)
    )
    return ApplicationExplanation(plan.application, version, shards)


def _explain_shard(
    shard: PlannedShard, version: int | None, router: Router, clock: Clock
) -> ShardExplanation:
    now = clock.monotonic()
    choice = router.choose(shard, _NO_VERSION if version is None else version, now)
    is_uncovered = isinstance(choice, CoverageReason)
    return ShardExplanation(
        service=shard.shard_id.service,
        shard=shard.shard_id.shard,
        candidates=tuple(
            _explain_route(route, router, clock) for route in shard.routes
        ),
        chosen=None if is_uncovered else choice.route.address,
        reason=str(choice) if is_uncovered else choice.reason,
    )


def _explain_route(route: Route, router: Router, clock: Clock) -> CandidateExplanation:
    owner = router.directory.find_owner(route.key, clock.monotonic())
    seen = router.catalog.get_observation(route.address)
    return CandidateExplanation(
        upstream=route.address,
        failure_domain=route.failure_domain,
        key=route.key,
        owner=None if owner is None else owner.host_id,
        state=None if seen is None else seen.state,
        index_versions=tuple(sorted(router.catalog.get_versions(route.address))),
        expected_ms=round(router.estimate_ms(route), 3),
    )
