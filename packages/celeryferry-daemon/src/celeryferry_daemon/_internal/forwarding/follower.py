"""Follows one source of the platform: reads all items, then watches for changes."""

import asyncio
from datetime import timedelta

from result import Err, Ok

from celeryferry_core.environment import Clock, RandomSource
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.ports import (
    HistoryGoneError,
    Source,
    SourceChanges,
    SourceContents,
    SourceItem,
)
from celeryferry_daemon._internal.forwarding.state import HostState

# Pause after a change, so that changes in quick succession are read with one call.
# The platform charges for every call. The drain of an upstream or a new configuration
# must take effect within seconds, so the pause is short in comparison.
COALESCE_TIME = timedelta(milliseconds=200)
# Exponential backoff after failed calls. All hosts lose the source at the same time, so
# a random factor spreads their next calls.
MIN_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_DELAY = timedelta(milliseconds=800)
# If a peer has known a later change for this long, the watch of this host is assumed to
# receive no more changes.
MAX_BEHIND_TIME = timedelta(seconds=1)


class SourceFollower:
    """Keeps the contents of a source and applies its changes to the host's state.

    :param log: receives a line when the source becomes unavailable or available again.
    :ivar revision: revision up to which all changes are known, 0 if nothing was read.
    :ivar latest_item_revision: highest revision of any item received so far.
    :ivar failed_item_count: items whose handling failed unexpectedly.
    :ivar is_unavailable: whether no call has succeeded since the latest failure.
    """

    __slots__ = (
        "_behind_since",
        "_clock",
        "_failures",
        "_can_watch",
        "_items",
        "_log",
        "_random",
        "_state",
        "failed_item_count",
        "is_unavailable",
        "latest_item_revision",
        "revision",
        "source",
    )

    def __init__(
        self,
        source: Source,
        state: HostState,
        clock: Clock,
        random: RandomSource,
        log: LogWriter,
    ) -> None:
        self.source = source
        self._state = state
        self._clock = clock
        self._random = random
        self._log = log
        self._items: dict[str, SourceItem] = {}
        self._can_watch = False
        self._failures = 0
        self._behind_since: timedelta | None = None
        self.is_unavailable = False
        self.failed_item_count = 0
        self.revision = 0
        self.latest_item_revision = 0

    @property
    def has_contents(self) -> bool:
        """Whether the contents are known, read by this host or received from a peer."""
        return self.revision > 0

    async def run(self) -> None:
        """Follow the source until cancelled."""
        while True:
            requested_revision = self.revision
            if self._can_watch:
                result = await self.source.watch(requested_revision)
            else:
                result = await self.source.read_all()
            match result:
                case Ok(changes):
                    self._record_recovery()
                    self._apply_changes(changes, requested_revision)
                    if changes.items:
                        await asyncio.sleep(COALESCE_TIME.total_seconds())
                case Err(HistoryGoneError()):
                    self._log.write("source_history_gone", source=self.source.name)
                    self._can_watch = False
                case Err(error):
                    self._record_failure(str(error))
                    await asyncio.sleep(self._pick_retry_delay_s())

    def get_contents(self) -> SourceContents | None:
        """Return the contents for a peer, None if this host does not know them."""
        if not self.has_contents:
            return None
        now = self._clock.monotonic()
        is_confirmed = (
            not self.is_unavailable and not self._state.registry.is_in_grace_period(now)
        )
        changes = SourceChanges(tuple(self._items.values()), self.revision)
        return SourceContents(changes, is_confirmed)

    def should_fetch_from_peer(self, peer_latest_item_revision: int) -> bool:
        """Return whether the contents should be fetched from a peer.

        Also records since when this host has been behind its peers.

        :param peer_latest_item_revision: highest revision of any item that the peer has
            received.
        :returns: True if this host has been behind for ``MAX_BEHIND_TIME``, or is
            behind now and can't read the source itself.
        """
        if peer_latest_item_revision <= self.revision:
            self._behind_since = None
            return False
        now = self._clock.monotonic()
        if self._behind_since is None:
            self._behind_since = now
        return self.is_unavailable or now - self._behind_since >= MAX_BEHIND_TIME

    def apply_peer_contents(self, contents: SourceContents) -> None:
        """Replace the contents by those of a peer if these are newer."""
        if contents.changes.revision <= self.revision:
            return
        self._log.write(
            "source_copied_from_peer",
            source=self.source.name,
            revision=contents.changes.revision,
            own_revision=self.revision,
            is_confirmed=contents.is_confirmed,
        )
        self._replace_items(contents.changes, contents.is_confirmed)

    def _apply_changes(self, changes: SourceChanges, requested_revision: int) -> None:
        if not self._can_watch:
            if changes.revision >= self.revision:
                # A missing item may have expired while the source was unavailable. The
                # registry keeps its upstream, but only during the grace period.
                self._replace_items(changes, is_confirmed=False)
            self._can_watch = True
            return
        now = self._clock.monotonic()
        for item in changes.items:
            known_item = self._items.get(item.key)
            if known_item is not None and known_item.revision >= item.revision:
                continue
            # Contents of a peer replaced the items during the call and are newer than
            # this change. The item is not in them, so it was removed after this change.
            if (
                known_item is None
                and item.revision <= self.revision != requested_revision
            ):
                continue
            self._apply_item(item, now)
        self._set_revision(max(self.revision, changes.revision))

    def _replace_items(self, listing: SourceChanges, is_confirmed: bool) -> None:
        now = self._clock.monotonic()
        listed_keys = {item.key for item in listing.items}
        for key in [key for key in self._items if key not in listed_keys]:
            self._apply_item(SourceItem(key, listing.revision, None), now, is_confirmed)
        for item in listing.items:
            self._apply_item(item, now)
        self._set_revision(listing.revision)
        self._can_watch = True

    def _set_revision(self, revision: int) -> None:
        self.revision = revision
        self._state.registry.revision = max(self._state.registry.revision, revision)

    def _apply_item(
        self, item: SourceItem, now: timedelta, is_confirmed: bool = False
    ) -> None:
        if item.value is None:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item
        self.latest_item_revision = max(self.latest_item_revision, item.revision)
        try:
            change = self.source.decode(item)
            if change is not None:
                self._state.apply(change, now, is_confirmed)
        except Exception as error:
            # A fault in the handling of one item must not keep this host from the
            # changes of the others.
            self.failed_item_count += 1
            self._log.write(
                "item_failed",
                source=self.source.name,
                key=item.key,
                revision=item.revision,
                reason=repr(error),
            )

    def _record_failure(self, reason: str) -> None:
        self._failures += 1
        if not self.is_unavailable:
            self.is_unavailable = True
            self._state.registry.mark_source_lost()
            self._log.write("source_lost", source=self.source.name, reason=reason)

    def _record_recovery(self) -> None:
        self._failures = 0
        if self.is_unavailable:
            self.is_unavailable = False
            self._state.registry.mark_source_back(self._clock.monotonic())
            self._log.write(
                "source_back", source=self.source.name, revision=self.revision
            )

    def _pick_retry_delay_s(self) -> float:
        backoff = MIN_RETRY_DELAY * 2 ** min(self._failures, 6)
        delay = min(MAX_RETRY_DELAY, backoff) * (0.5 + 0.5 * self._random.random())
        return delay.total_seconds()
