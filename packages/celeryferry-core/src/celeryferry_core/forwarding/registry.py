"""Upstreams as service discovery lists them, and the domains taken out of service."""

from collections.abc import Mapping
from datetime import timedelta

from celeryferry_core.forwarding.models import Upstream

# Entries that lapsed while the store was away come back within two seconds of its
# return; half a second covers the way to this host.
SOURCE_BACK_GRACE = timedelta(milliseconds=2500)


class UpstreamRegistry:
    """Upstreams by instance and by service.

    :ivar revision: revision of the store that the registry reflects.
    :ivar domains_out: failure domains that get no work.
    """

    __slots__ = (
        "_by_service",
        "_cold_until",
        "_missing_since",
        "_source_back_at",
        "_source_is_lost",
        "_upstreams",
        "domains_out",
        "revision",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.domains_out: frozenset[str] = frozenset()
        self._upstreams: dict[str, Upstream] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self._cold_until: dict[str, timedelta] = {}
        self._missing_since: dict[str, timedelta] = {}
        self._source_is_lost = False
        self._source_back_at: timedelta | None = None

    def __len__(self) -> int:
        return len(self._upstreams)

    def get(self, instance_id: str) -> Upstream | None:
        """Return a listed upstream.

        :param instance_id: id of its incarnation.
        """
        return self._upstreams.get(instance_id)

    def list_service(self, service: str) -> Mapping[str, Upstream]:
        """Return the listed upstreams of a service by instance id.

        :param service: name of the service.
        """
        return self._by_service.get(service, {})

    def is_cold(self, instance_id: str, now: timedelta) -> bool:
        """Tell whether an upstream is in cold start.

        :param instance_id: id of its incarnation.
        :param now: present monotonic time.
        """
        until = self._cold_until.get(instance_id)
        return until is not None and now < until

    def mark_source_lost(self) -> None:
        """Take note that the store can't be read; missing entries mean nothing now."""
        self._source_is_lost = True

    def mark_source_back(self, now: timedelta) -> None:
        """Take note that the store can be read again.

        :param now: present monotonic time.
        """
        if self._source_is_lost:
            self._source_is_lost = False
            self._source_back_at = now

    def put(self, upstream: Upstream, now: timedelta) -> bool:
        """Take over one entry.

        :param upstream: the entry.
        :param now: present monotonic time.
        :returns: True if it changed what is known.
        """
        self._missing_since.pop(upstream.instance_id, None)
        before = self._upstreams.get(upstream.instance_id)
        if upstream.cold_for > timedelta(0):
            self._cold_until[upstream.instance_id] = now + upstream.cold_for
        if before == upstream:
            return False
        if before is not None and before.service != upstream.service:
            self._by_service[before.service].pop(upstream.instance_id, None)
        self._upstreams[upstream.instance_id] = upstream
        listed = self._by_service.setdefault(upstream.service, {})
        listed[upstream.instance_id] = upstream
        return True

    def remove(
        self, instance_id: str, now: timedelta, is_confirmed: bool = False
    ) -> bool:
        """Take over the removal of one entry.

        :param instance_id: id of the incarnation.
        :param now: present monotonic time.
        :param is_confirmed: whether it is known that the entry did not only lapse.
        :returns: True if the upstream is dropped now, False if it is not known or its
            entry may come back.
        """
        if instance_id not in self._upstreams:
            return False
        if not is_confirmed and self.is_in_grace_period(now):
            self._missing_since.setdefault(instance_id, now)
            return False
        self._drop(instance_id)
        return True

    def drop_missing(self, now: timedelta) -> list[str]:
        """Drop the entries that did not come back after the store did.

        :param now: present monotonic time.
        :returns: ids of the dropped upstreams.
        """
        if not self._missing_since or self.is_in_grace_period(now):
            return []
        dropped = [key for key in self._missing_since if key in self._upstreams]
        for instance_id in dropped:
            self._drop(instance_id)
        self._missing_since.clear()
        return dropped

    def is_in_grace_period(self, now: timedelta) -> bool:
        """Tell whether a missing entry may come back.

        :param now: present monotonic time.
        """
        if self._source_is_lost:
            return True
        back_at = self._source_back_at
        return back_at is not None and now - back_at < SOURCE_BACK_GRACE

    def _drop(self, instance_id: str) -> None:
        upstream = self._upstreams.pop(instance_id)
        self._by_service[upstream.service].pop(instance_id, None)
        self._cold_until.pop(instance_id, None)
        self._missing_since.pop(instance_id, None)
