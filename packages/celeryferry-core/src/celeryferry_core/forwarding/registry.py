"""Upstreams listed by service discovery, and failure domains out of service."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.positions import START, Position
from celeryferry_core.forwarding.restores import is_outdated

# Entries that expired while the source could not be read reappear within two seconds of
# its return; another half a second covers the transfer to this host.
SOURCE_BACK_GRACE = timedelta(milliseconds=2500)
# Entries of dropped upstreams that are remembered, in case a copy of the source lists
# them again; many times as many as are dropped in the few seconds that a copy is old.
MAX_REMEMBERED_ENTRIES = 4096


class UpstreamRegistry:
    """Upstreams by instance id and by service.

    While the source of the entries cannot be read, and for ``SOURCE_BACK_GRACE`` after
    its return, upstreams whose entries are missing are kept.

    Arguments named ``now`` are monotonic times.

    :ivar position: position in the source that the registry reflects.
    :ivar domains_out: failure domains that receive no work.
    """

    __slots__ = (
        "_by_service",
        "_cold_until",
        "_dropped",
        "_missing_since",
        "_is_source_read",
        "_source_back_at",
        "_upstreams",
        "domains_out",
        "position",
    )

    def __init__(self) -> None:
        self.position: Position = START
        self.domains_out: frozenset[str] = frozenset()
        self._upstreams: dict[str, Upstream] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self._cold_until: dict[str, timedelta] = {}
        self._dropped: OrderedDict[str, Upstream] = OrderedDict()
        self._missing_since: dict[str, timedelta] = {}
        # Whether the source can be read, None until that is known.
        self._is_source_read: bool | None = None
        self._source_back_at: timedelta | None = None

    def __len__(self) -> int:
        return len(self._upstreams)

    def get(self, instance_id: str) -> Upstream | None:
        """Return a listed upstream by the id of its instance."""
        return self._upstreams.get(instance_id)

    def list_all(self) -> Iterable[Upstream]:
        """Return all listed upstreams."""
        return self._upstreams.values()

    def list_service(self, service: str) -> Mapping[str, Upstream]:
        """Return the listed upstreams of a service by instance id."""
        return self._by_service.get(service, {})

    def is_cold(self, instance_id: str, now: timedelta) -> bool:
        """Return whether an upstream is in cold start."""
        until = self._cold_until.get(instance_id)
        return until is not None and now < until

    @property
    def is_source_lost(self) -> bool:
        """Whether the source is known to be unreadable."""
        return self._is_source_read is False

    def mark_source_lost(self) -> None:
        """Mark the source as unreadable; missing entries are kept from now on."""
        self._is_source_read = False

    def mark_source_read(self, now: timedelta) -> None:
        """Mark the source as readable, which starts the grace period after a loss."""
        if self._is_source_read is False:
            self._source_back_at = now
        self._is_source_read = True

    def restart_grace_period(self, now: timedelta) -> None:
        """Start the grace period anew, as the source has lost entries."""
        self._source_back_at = now

    def is_outdated(self, entry: Upstream) -> bool:
        """Return whether an entry of a copy says less than what is known.

        An upstream that was dropped stays so until it is written again. One whose entry
        is missing may only have expired, and the copy lists it.
        """
        instance_id = entry.instance_id
        if instance_id in self._missing_since and (
            entry == self._upstreams.get(instance_id)
        ):
            return False
        known = self._upstreams.get(instance_id) or self._dropped.get(instance_id)
        return known is not None and is_outdated(entry, known)

    def put(self, upstream: Upstream, now: timedelta) -> bool:
        """Add or replace one entry.

        :returns: True if the entry is new or differs from the previous one.
        """
        self._missing_since.pop(upstream.instance_id, None)
        self._dropped.pop(upstream.instance_id, None)
        previous = self._upstreams.get(upstream.instance_id)
        if upstream.cold_for > timedelta(0):
            self._cold_until[upstream.instance_id] = now + upstream.cold_for
        if previous is not None and upstream == msgspec.structs.replace(
            previous, sequence=upstream.sequence
        ):
            self._store(upstream)
            return False
        if previous is not None and previous.service != upstream.service:
            self._by_service[previous.service].pop(upstream.instance_id, None)
        self._store(upstream)
        return True

    def _store(self, upstream: Upstream) -> None:
        self._upstreams[upstream.instance_id] = upstream
        listed = self._by_service.setdefault(upstream.service, {})
        listed[upstream.instance_id] = upstream

    def remove(
        self, instance_id: str, now: timedelta, is_confirmed: bool = False
    ) -> bool:
        """Handle the removal of one entry.

        :param is_confirmed: whether the entry is known to have been removed rather than
            to have expired during an outage of the source.
        :returns: True if the upstream is dropped now, False if it is not listed or its
            entry may reappear.
        """
        if instance_id not in self._upstreams:
            return False
        if not is_confirmed and self.is_in_grace_period(now):
            self._missing_since.setdefault(instance_id, now)
            return False
        self._drop(instance_id)
        return True

    def drop_missing(self, now: timedelta) -> list[str]:
        """Drop the entries that are still missing after the grace period.

        :returns: instance ids of the dropped upstreams.
        """
        if not self._missing_since or self.is_in_grace_period(now):
            return []
        dropped = [
            missing_id
            for missing_id in self._missing_since
            if missing_id in self._upstreams
        ]
        for instance_id in dropped:
            self._drop(instance_id)
        self._missing_since.clear()
        return dropped

    def is_in_grace_period(self, now: timedelta) -> bool:
        """Return whether a missing entry may still reappear."""
        if self._is_source_read is False:
            return True
        back_at = self._source_back_at
        return back_at is not None and now - back_at < SOURCE_BACK_GRACE

    def is_current(self, now: timedelta) -> bool:
        """Return whether the entries are known to describe the upstreams as they are.

        A source that can be read announces each new process. Before the first reading,
        without one, and in the grace period after a loss that is not known.
        """
        return self._is_source_read is True and not self.is_in_grace_period(now)

    def _drop(self, instance_id: str) -> None:
        upstream = self._upstreams.pop(instance_id)
        self._dropped[instance_id] = upstream
        if len(self._dropped) > MAX_REMEMBERED_ENTRIES:
            self._dropped.popitem(last=False)
        self._by_service[upstream.service].pop(instance_id, None)
        self._cold_until.pop(instance_id, None)
        self._missing_since.pop(instance_id, None)
