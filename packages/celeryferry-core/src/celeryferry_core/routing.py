"""Selection of a replica and its owner for each shard."""

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.environment import RandomSource
from celeryferry_core.models.outcomes import CoverageReason
from celeryferry_core.models.topology import Host
from celeryferry_core.owners import OwnerDirectory
from celeryferry_core.plans import ApplicationPlan, PlannedShard, Route
from celeryferry_core.suspects import Suspects
from celeryferry_core.upstream_catalog import (
    UpstreamCatalog,
    VersionChoice,
    choose_index_version,
)

# Replicas of a key whose owner failed or is not known are a last choice for this time,
# while the lease moves to another host. Each further failure starts the time again.
UNSTABLE_KEY_TIME = timedelta(seconds=1)
# The list of keys without a stable owner is cached for this time, so that it is not
# computed again for every query.
UNAVAILABLE_KEYS_CACHE_TIME = timedelta(milliseconds=50)
# A replica in another failure domain is preferred only if the local replica is expected
# to take more than this many times as long, including the cost of crossing domains.
MIN_REMOTE_SPEEDUP = 2.0
CROSS_DOMAIN_COST_MS = 3.0
# A slow local replica still gets one subquery in this many. Otherwise its observed
# latency would never be updated.
EXPLORE_ONE_IN = 128


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen replica and its owner.

    :param reason: why the replica was chosen, for the log.
    """

    route: Route
    owner: Host
    reason: str


@dataclass(frozen=True, slots=True)
class _UnavailableKeys:
    plan: ApplicationPlan
    listed_at: timedelta
    ownerless: frozenset[str]
    unstable: frozenset[str]


@dataclass(frozen=True, slots=True)
class _CachedVersionChoice:
    plan: ApplicationPlan
    cache_key: tuple[int, frozenset[str], frozenset[str]]
    choice: VersionChoice | None


class Router:
    """Chooses index versions, replicas and owners from the state known to this host."""

    __slots__ = (
        "_routes_by_version",
        "_routes_generation",
        "_unavailable_keys",
        "_cached_version_choices",
        "_unstable_until",
        "catalog",
        "directory",
        "own_domain",
        "random",
        "suspects",
    )

    def __init__(self, own_domain: str, random: RandomSource) -> None:
        self.own_domain = own_domain
        self.random = random
        self.catalog = UpstreamCatalog()
        self.directory = OwnerDirectory()
        self.suspects = Suspects()
        self._unstable_until: dict[str, timedelta] = {}
        self._routes_by_version: dict[
            tuple[int, int], tuple[PlannedShard, list[Route]]
        ] = {}
        self._routes_generation = -1
        self._cached_version_choices: dict[str, _CachedVersionChoice] = {}
        self._unavailable_keys: dict[str, _UnavailableKeys] = {}

    def choose_initial_version(
        self, plan: ApplicationPlan, now: timedelta
    ) -> VersionChoice | None:
        """Choose the index version for a new query.

        :param now: present monotonic time.
        :returns: the choice, or None if no version is known. It is cached until the
            plan, the catalog or the set of keys without a stable owner changes.
        """
        unavailable = self._list_unavailable_keys(plan, now)
        cache_key = (
            self.catalog.generation,
            unavailable.ownerless,
            unavailable.unstable,
        )
        cached = self._cached_version_choices.get(plan.application)
        if cached is not None and cached.plan is plan and cached.cache_key == cache_key:
            return cached.choice
        choice = self.choose_version(plan, now, None)
        self._cached_version_choices[plan.application] = _CachedVersionChoice(
            plan, cache_key, choice
        )
        return choice

    def choose_version(
        self, plan: ApplicationPlan, now: timedelta, newer_than: int | None
    ) -> VersionChoice | None:
        """Choose an index version from replicas that have an owner.

        :param now: present monotonic time.
        :param newer_than: lower bound, exclusive, of the versions; None for all.
        :returns: the choice, or None if no such version is known. Replicas of unstable
            keys count only if no version is available on every shard without them.
        """
        unavailable = self._list_unavailable_keys(plan, now)
        choice = self._choose_version_without_keys(
            plan, unavailable.ownerless | unavailable.unstable, newer_than
        )
        if not unavailable.unstable or (
            choice is not None and choice.covers_all_shards
        ):
            return choice
        return self._choose_version_without_keys(
            plan, unavailable.ownerless, newer_than
        )

    def _choose_version_without_keys(
        self, plan: ApplicationPlan, keys: frozenset[str], newer_than: int | None
    ) -> VersionChoice | None:
        shards = plan.shard_addresses
        if keys:
            shards = tuple(
                (
                    shard.shard,
                    tuple(r.address for r in shard.routes if r.key not in keys),
                )
                for shard in plan.shards
            )
        return choose_index_version(shards, self.catalog, newer_than)

    def _list_unavailable_keys(
        self, plan: ApplicationPlan, now: timedelta
    ) -> _UnavailableKeys:
        unavailable = self._unavailable_keys.get(plan.application)
        is_known = unavailable is not None and unavailable.plan is plan
        if is_known and now - unavailable.listed_at < UNAVAILABLE_KEYS_CACHE_TIME:
            return unavailable
        keys = (k for k in plan.keys if self.directory.find_owner(k, now) is None)
        ownerless = frozenset(keys)
        unstable = frozenset(k for k in plan.keys if not self.is_stable(k, now))
        unavailable = _UnavailableKeys(plan, now, ownerless, unstable)
        self._unavailable_keys[plan.application] = unavailable
        return unavailable

    def mark_unstable(self, key: str, now: timedelta) -> None:
        """Make the replicas of a key a last choice for ``UNSTABLE_KEY_TIME``.

        :param key: ownership key whose owner failed or is not known.
        :param now: present monotonic time.
        """
        self._unstable_until[key] = now + UNSTABLE_KEY_TIME

    def is_stable(self, key: str, now: timedelta) -> bool:
        """Return whether a key has not been marked unstable lately.

        :param key: ownership key.
        :param now: present monotonic time.
        """
        until = self._unstable_until.get(key)
        if until is None:
            return True
        if now < until:
            return False
        del self._unstable_until[key]
        return True

    def choose(
        self,
        shard: PlannedShard,
        version: int,
        now: timedelta,
        tried: Collection[str] = (),
        excluded_hosts: Collection[str] = (),
        avoided_domain: str | None = None,
        owners: dict[str, Host | None] | None = None,
    ) -> Choice | CoverageReason:
        """Choose the replica of a shard.

        Replicas whose versions are not known yet are a last choice.

        :param version: index version that the replica must hold, below 0 if no version
            is known.
        :param now: present monotonic time.
        :param tried: addresses to exclude.
        :param excluded_hosts: ids of owners to exclude.
        :param avoided_domain: failure domain that is a last choice.
        :param owners: cache of owners by key, filled by this call.
        :returns: the choice, or the reason why there is none.
        """
        if not shard.routes:
            return shard.excluded_reason
        candidates = self._list_routes_with_version(shard, version)
        if tried:
            candidates = [route for route in candidates if route.address not in tried]
        owned = self._list_owned(candidates, now, excluded_hosts, owners)
        if not owned:
            # Replicas with unknown versions may be asked without harm: one that lacks
            # the version refuses the subquery and runs nothing.
            unknown = self._list_unknown(shard, version, tried)
            if not candidates and not unknown:
                return self._explain_missing(shard)
            owned = self._list_owned(unknown, now, excluded_hosts, owners)
        if not owned:
            return CoverageReason.NO_OWNER
        if self._unstable_until and len(owned) > 1:
            stable = [pair for pair in owned if self.is_stable(pair[0].key, now)]
            owned = stable or owned
        owned = self.suspects.exclude(owned, now)
        if avoided_domain is not None and len(owned) > 1:
            other = [p for p in owned if p[0].failure_domain != avoided_domain]
            owned = other or owned
        return self._select(owned)

    def _list_routes_with_version(
        self, shard: PlannedShard, version: int
    ) -> list[Route]:
        catalog = self.catalog
        if self._routes_generation != catalog.generation:
            self._routes_by_version.clear()
            self._routes_generation = catalog.generation
        # The cache entry holds a reference to the shard, so that its id is not reused.
        entry = self._routes_by_version.get((id(shard), version))
        if entry is None:
            routes = [r for r in shard.routes if catalog.holds(r.address, version)]
            entry = (shard, routes)
            self._routes_by_version[(id(shard), version)] = entry
        return entry[1]

    def _list_unknown(
        self, shard: PlannedShard, version: int, tried: Collection[str]
    ) -> list[Route]:
        if version < 0:
            return []
        return [
            route
            for route in shard.routes
            if self.catalog.has_unknown_versions(route.address)
            and route.address not in tried
        ]

    def _list_owned(
        self,
        routes: list[Route],
        now: timedelta,
        excluded_hosts: Collection[str],
        owners: dict[str, Host | None] | None,
    ) -> list[tuple[Route, Host]]:
        owned: list[tuple[Route, Host]] = []
        for route in routes:
            owner = self._find_owner(route.key, now, owners)
            if owner is not None and owner.host_id not in excluded_hosts:
                owned.append((route, owner))
        return owned

    def _find_owner(
        self, key: str, now: timedelta, owners: dict[str, Host | None] | None
    ) -> Host | None:
        if owners is None:
            return self.directory.find_owner(key, now)
        if key not in owners:
            owners[key] = self.directory.find_owner(key, now)
        return owners[key]

    def _explain_missing(self, shard: PlannedShard) -> CoverageReason:
        if any(self.catalog.is_usable(address) for address in shard.addresses):
            return CoverageReason.NO_SNAPSHOT
        return CoverageReason.NO_REPLICA

    def _select(self, owned: list[tuple[Route, Host]]) -> Choice:
        if len(owned) == 1:
            return Choice(*owned[0], "only_candidate")
        local = [pair for pair in owned if pair[0].failure_domain == self.own_domain]
        remote = [pair for pair in owned if pair[0].failure_domain != self.own_domain]
        if not local:
            # The reason means that the better of two remote replicas was chosen.
            return Choice(*self._pick_faster_of_two(remote), "power_of_two")
        first = self._pick_faster_of_two(local)
        if not remote:
            return Choice(*first, "own_domain")
        second = self._pick_faster_of_two(remote)
        remote_ms = self.estimate_ms(second[0]) + CROSS_DOMAIN_COST_MS
        if self.estimate_ms(first[0]) <= MIN_REMOTE_SPEEDUP * remote_ms:
            return Choice(*first, "own_domain")
        if self.random.randrange(EXPLORE_ONE_IN) == 0:
            return Choice(*first, "exploration")
        return Choice(*second, "own_domain_slow")

    def _pick_faster_of_two(
        self, pairs: list[tuple[Route, Host]]
    ) -> tuple[Route, Host]:
        if len(pairs) == 1:
            return pairs[0]
        first = self.random.randrange(len(pairs))
        second = self.random.randrange(len(pairs) - 1)
        second += second >= first
        if self.estimate_ms(pairs[second][0]) < self.estimate_ms(pairs[first][0]):
            return pairs[second]
        return pairs[first]

    def estimate_ms(self, route: Route) -> float:
        """Estimate how long a new subquery takes on a replica.

        :returns: expected completion time in milliseconds from the observed latency and
            load, 0 if there is no observation.
        """
        observation = self.catalog.get_observation(route.address)
        if observation is None:
            return 0.0
        load = (observation.queued + observation.in_flight) / max(1, observation.limit)
        return observation.latency_ms * (1 + load)
