"""Explains how the front would route an application now."""

import msgspec

from celeryferry_core.environment import Clock
from celeryferry_core.models.outcomes import CoverageReason, UpstreamState
from celeryferry_core.plans import ApplicationPlan, PlannedShard, Route
from celeryferry_core.routing import Router

# No replica holds it, so the router answers why there is no choice.
_NO_VERSION = -1


class CandidateExplanation(msgspec.Struct, frozen=True):
    """One replica of a shard.

    :param upstream: its address.
    :param failure_domain: its failure domain.
    :param key: ownership key that covers it.
    :param owner: host id of its owner, None if no host can be asked.
    :param state: state that its owner saw, None if not known.
    :param index_versions: index versions that it is known to hold.
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
    """How a shard would be routed.

    :param service: service of the shard.
    :param shard: name of the shard.
    :param candidates: replicas that configuration and host list allow.
    :param chosen: address of the chosen replica, None if there is none.
    :param reason: why it was chosen, or why there is none.
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
    """Explain the routing of an application.

    :param plan: plan of the application.
    :param router: knowledge about upstreams and owners.
    :param clock: source of time.
    :returns: the explanation.
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
