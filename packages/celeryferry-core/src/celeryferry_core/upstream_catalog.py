"""Known index versions of upstreams, and choice of the version for a query."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from celeryferry_core.models.messages import UpstreamObservation
from celeryferry_core.models.outcomes import UpstreamState
from celeryferry_core.models.topology import Shard

_UNUSABLE = (UpstreamState.DRAINING, UpstreamState.UNREACHABLE)


class UpstreamCatalog:
    """State of upstreams that this host knows from observations and refusals.

    :ivar generation: counter that grows when a version or state changes, so that
        results derived from them can be cached.
    """

    __slots__ = (
        "_observations",
        "_newly_observed",
        "_unusable",
        "_versions",
        "generation",
    )

    def __init__(self) -> None:
        self._observations: dict[str, UpstreamObservation] = {}
        self._versions: dict[str, frozenset[int]] = {}
        self._newly_observed: set[str] = set()
        self._unusable: set[str] = set()
        self.generation = 0

    def record(self, observation: UpstreamObservation) -> None:
        """Record an observation.

        An observation without versions comes from an owner that has not reached the
        upstream yet. The versions known before are kept in this case.

        :param observation: state of one upstream.
        """
        self._observations[observation.address] = observation
        self._newly_observed.add(observation.address)
        if observation.index_versions:
            self.record_versions(observation.address, observation.index_versions)
        self.record_state(observation.address, observation.state)

    def pop_observed(self) -> set[str]:
        """Return the upstreams observed since the previous call.

        :returns: their addresses.
        """
        observed, self._newly_observed = self._newly_observed, set()
        return observed

    def record_versions(self, address: str, versions: Iterable[int]) -> None:
        """Replace the known versions of an upstream.

        :param versions: all index versions that it holds.
        """
        held = frozenset(versions)
        if self._versions.get(address) != held:
            self._versions[address] = held
            self.generation += 1

    def drop_version(self, address: str, version: int) -> None:
        """Remove a version from the known versions of an upstream.

        :param version: index version that the upstream refused.
        """
        held = self._versions.get(address, frozenset())
        if version in held:
            self._versions[address] = held - {version}
            self.generation += 1

    def record_state(self, address: str, state: UpstreamState) -> None:
        """Record the state of an upstream.

        :param state: state that the owner of the upstream observed.
        """
        unusable = state in _UNUSABLE
        if unusable == (address in self._unusable):
            return
        if unusable:
            self._unusable.add(address)
        else:
            self._unusable.discard(address)
        self.generation += 1

    def retain(self, addresses: frozenset[str]) -> None:
        """Remove upstreams that no document names, so that memory use stays bounded.

        :param addresses: upstreams in the active documents.
        """
        for known in (self._observations, self._versions):
            for address in known.keys() - addresses:
                del known[address]
        self._unusable &= addresses
        self.generation += 1

    def get_observation(self, address: str) -> UpstreamObservation | None:
        """Return the latest observation of an upstream."""
        return self._observations.get(address)

    def get_versions(self, address: str) -> frozenset[int]:
        """Return the index versions of an upstream; empty if they are not known."""
        return self._versions.get(address, frozenset())

    def has_unknown_versions(self, address: str) -> bool:
        """Return whether an upstream is usable and no versions of it are known yet.

        Such an upstream may hold any version.
        """
        return address not in self._unusable and address not in self._versions

    def is_usable(self, address: str) -> bool:
        """Return whether the latest known state allows new work for an upstream.

        The states that forbid it are draining and unreachable.
        """
        return address not in self._unusable

    def holds(self, address: str, version: int) -> bool:
        """Return whether an upstream is usable and known to hold an index version."""
        return address not in self._unusable and version in self.get_versions(address)


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """Index version for a query, with its availability.

    :param available_count: number of shards with a usable replica that holds the
        version.
    :param shard_count: number of shards that include the version.
    """

    version: int
    available_count: int
    shard_count: int

    @property
    def covers_all_shards(self) -> bool:
        """Whether every shard that includes the version is available."""
        return self.available_count == self.shard_count


def choose_index_version(
    shards: Sequence[tuple[Shard, tuple[str, ...]]],
    catalog: UpstreamCatalog,
    newer_than: int | None = None,
) -> VersionChoice | None:
    """Choose the index version of a query.

    :param shards: shards with the addresses that routing may use.
    :param newer_than: lower bound, exclusive, of the versions; None for all.
    :returns: the newest version available on every shard, else the newest of those
        that are available on the largest number of shards, or None if no version is
        available.
    """
    versions = {
        version
        for _, addresses in shards
        for address in addresses
        if catalog.is_usable(address)
        for version in catalog.get_versions(address)
        if newer_than is None or version > newer_than
    }
    best: VersionChoice | None = None
    for version in sorted(versions, reverse=True):
        choice = _count_available(shards, catalog, version)
        if choice.shard_count and choice.covers_all_shards:
            return choice
        if best is None or choice.available_count > best.available_count:
            best = choice
    return best if best is not None and best.available_count else None


def _count_available(
    shards: Sequence[tuple[Shard, tuple[str, ...]]],
    catalog: UpstreamCatalog,
    version: int,
) -> VersionChoice:
    included = [addresses for shard, addresses in shards if shard.includes(version)]
    available = sum(
        any(catalog.holds(address, version) for address in addresses)
        for addresses in included
    )
    return VersionChoice(version, available, len(included))
