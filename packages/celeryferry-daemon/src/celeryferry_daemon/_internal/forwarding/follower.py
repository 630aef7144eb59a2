"""Follows one source of the platform, by its own calls or by what peers pass on."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok

from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.forwarding.reading import ReadingReason
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.ports import (
    HistoryGoneError,
    Source,
    SourceChanges,
    SourceItem,
)
from celeryferry_daemon._internal.forwarding.state import HostState

# Pause after a change, so that changes in quick succession are read with one call.
# The platform charges for every call. The drain of an upstream or a new configuration
# must take effect within seconds, so the pause is short in comparison.
COALESCE_TIME = timedelta(milliseconds=300)
# Exponential backoff after failed calls. All readers lose the source at the same time,
# so a random factor spreads their next calls.
MIN_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_DELAY = timedelta(milliseconds=800)
# Removed items that are remembered, for peers that ask for the changes since a
# revision. A peer that is further behind gets the whole contents.
MAX_REMEMBERED_REMOVALS = 4096

ChangesListener = Callable[[int, SourceChanges, bool], None]


class SourceFollower:
    """Keeps the contents of a source and applies its changes to the host's state.

    :param log: receives a line when the source becomes unavailable or available again.
    :ivar on_changed: called each time the contents have changed, with the previous
        revision, the changes, and whether these are complete only for a host with that
        very revision, as items may have been added and removed since unseen.
    :ivar revision: revision up to which all changes are known, 0 if nothing was read.
    :ivar failed_item_count: items whose handling failed unexpectedly.
    :ivar ignored_count: listings and whole contents of peers that were older than the
        own contents.
    :ivar heard_at: monotonic time at which this host last knew that its contents are
        the current ones, by its own call or by a peer that reads the source.
    :ivar reads_it: whether the latest call of this host has succeeded, None if it does
        not read the source or has no result yet.
    :ivar is_unavailable: whether neither this host nor any of its peers can read the
        source.
    """

    __slots__ = (
        "_can_watch",
        "_clock",
        "_failures",
        "_is_ignoring",
        "_is_reading",
        "_items",
        "_log",
        "_peers_read_it",
        "_random",
        "_removals",
        "_removals_known_after",
        "_state",
        "failed_item_count",
        "heard_at",
        "ignored_count",
        "is_unavailable",
        "on_changed",
        "reads_it",
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
        self._removals: deque[SourceItem] = deque()
        self._removals_known_after = 0
        self._can_watch = False
        self._failures = 0
        self._is_reading = asyncio.Event()
        self._peers_read_it: bool | None = None
        self.on_changed: ChangesListener = lambda previous, changes, is_exact: None
        self.reads_it: bool | None = None
        self.is_unavailable = False
        self.failed_item_count = 0
        self.ignored_count = 0
        self._is_ignoring = False
        self.heard_at = clock.monotonic()
        self.revision = 0

    @property
    def has_contents(self) -> bool:
        """Whether the contents are known, read by this host or received from a peer."""
        return self.revision > 0

    @property
    def is_reading(self) -> bool:
        """Whether this host calls the source itself."""
        return self._is_reading.is_set()

    @property
    def is_confirmed(self) -> bool:
        """Whether an item missing from the contents is known to be deleted."""
        now = self._clock.monotonic()
        return not (self.is_unavailable or self._state.registry.is_in_grace_period(now))

    def set_reading(self, reason: ReadingReason | None) -> None:
        """Start or end the calls of this host; a waiting call is not cut off.

        :param reason: why this host reads the source, None if it does not.
        """
        if (reason is not None) == self.is_reading:
            return
        if reason is not None:
            self._log.write(
                "reading_started",
                source=self.source.name,
                revision=self.revision,
                reason=reason,
            )
        else:
            self._log.write(
                "reading_ended",
                source=self.source.name,
                revision=self.revision,
                was_available=self.reads_it,
                peers_read_it=self._peers_read_it,
            )
        if reason is not None:
            self._is_reading.set()
        else:
            self._is_reading.clear()
            self.reads_it = None
            self._failures = 0
            self._update_availability("not read by this host")

    def set_peers_read_it(self, peers_read_it: bool | None) -> None:
        """Record whether any peer can read the source, None if that is unknown."""
        self._peers_read_it = peers_read_it
        self._update_availability("no peer can read it")

    async def run(self) -> None:
        """Read the source once, then follow it while this host should read it.

        If all hosts start while the source is down, only the readers try it again; the
        others receive the contents from them.
        """
        is_first_call = True
        while True:
            if not is_first_call:
                await self._is_reading.wait()
            is_first_call = False
            is_listing = not self._can_watch
            if is_listing:
                # Contents that are older than the history could not be followed by a
                # watch, so only the first read may be stale.
                result = await self.source.read_all(may_be_stale=not self.has_contents)
            else:
                # A host that waits without knowing whether the source can be read
                # would count as one that can't read it.
                may_wait = self.reads_it is True
                result = await self.source.watch(self.revision, may_wait)
            match result:
                case Ok(changes):
                    self._record_recovery()
                    if is_listing:
                        self._apply_listing(changes)
                        continue
                    self._apply_changes(changes)
                    if changes.items:
                        await asyncio.sleep(COALESCE_TIME.total_seconds())
                case Err(HistoryGoneError()):
                    self._log.write("source_history_gone", source=self.source.name)
                    self._can_watch = False
                case Err(error):
                    self._record_failure(str(error))
                    await asyncio.sleep(self._pick_retry_delay_s())

    def list_changes(self, after_revision: int) -> tuple[int, SourceChanges]:
        """Return the changes after a revision for a peer.

        :returns: the revision to which the changes apply, and the changes. If that
            revision is 0, they are the whole contents.
        """
        if not 0 < self._removals_known_after <= after_revision:
            return 0, SourceChanges(tuple(self._items.values()), self.revision)
        changed = [
            item
            for item in (*self._items.values(), *self._removals)
            if item.revision > after_revision
        ]
        changed.sort(key=lambda item: item.revision)
        return after_revision, SourceChanges(tuple(changed), self.revision)

    def apply_peer_changes(
        self, after_revision: int, changes: SourceChanges, is_confirmed: bool
    ) -> bool:
        """Apply changes or whole contents that a peer has sent, if they are newer.

        :param after_revision: revision to which the changes apply, 0 for the whole
            contents.
        :param is_confirmed: as in ``is_confirmed`` of the peer.
        :returns: False if changes are missing in between.
        """
        if changes.revision <= self.revision:
            if after_revision == 0 and changes.revision < self.revision:
                self._record_ignored("peer", changes.revision)
            return True
        if after_revision > self.revision:
            return False
        if after_revision > 0:
            self._apply_changes(changes)
            return True
        self._log.write(
            "source_copied_from_peer",
            source=self.source.name,
            revision=changes.revision,
            own_revision=self.revision,
            is_confirmed=is_confirmed,
        )
        self._replace_items(changes, is_confirmed)
        return True

    def _apply_listing(self, listing: SourceChanges) -> None:
        self._can_watch = True
        if listing.revision >= self.revision:
            # A missing item may have expired while the source was unavailable. The
            # registry keeps its upstream, but only during the grace period.
            self._replace_items(listing, is_confirmed=False)
        else:
            self._record_ignored("listing", listing.revision)

    def _record_ignored(self, origin: str, revision: int) -> None:
        """Count contents that are not applied; only the first in a row is logged."""
        self.ignored_count += 1
        if not self._is_ignoring:
            self._is_ignoring = True
            self._log.write(
                "source_contents_ignored",
                source=self.source.name,
                origin=origin,
                revision=revision,
                own_revision=self.revision,
            )

    def _apply_changes(self, changes: SourceChanges) -> None:
        now = self._clock.monotonic()
        previous_revision = self.revision
        # Changes up to the own revision are part of the contents already. They arrive
        # twice if a peer has sent them while a call of this host was waiting.
        newer = [item for item in changes.items if item.revision > previous_revision]
        for item in newer:
            # A listing may hold items that are newer than its revision.
            known = self._items.get(item.key)
            if known is None or known.revision < item.revision:
                self._apply_item(item, now)
        if changes.revision > previous_revision:
            self._set_revision(changes.revision)
            changed = SourceChanges(tuple(newer), changes.revision)
            self.on_changed(previous_revision, changed, False)

    def _replace_items(self, listing: SourceChanges, is_confirmed: bool) -> None:
        now = self._clock.monotonic()
        previous_revision = self.revision
        listed_keys = {item.key for item in listing.items}
        removed = [
            SourceItem(item.key, listing.revision, None)
            for item in self._items.values()
            if item.key not in listed_keys and item.revision <= listing.revision
        ]
        for item in removed:
            self._apply_item(item, now, is_confirmed)
        changed = removed
        for item in listing.items:
            known = self._items.get(item.key)
            if known is None or known.revision < item.revision:
                self._apply_item(item, now)
                changed.append(item)
        # Items that were added and removed since the previous revision are in neither.
        self._removals_known_after = max(self._removals_known_after, listing.revision)
        self._can_watch = True
        self._set_revision(max(self.revision, listing.revision))
        if changed or self.revision > previous_revision:
            changes = SourceChanges(tuple(changed), self.revision)
            self.on_changed(previous_revision, changes, previous_revision > 0)

    def _set_revision(self, revision: int) -> None:
        if revision > self.revision:
            self._is_ignoring = False
        self.revision = revision
        self._state.registry.revision = max(self._state.registry.revision, revision)

    def _apply_item(
        self, item: SourceItem, now: timedelta, is_confirmed: bool = False
    ) -> None:
        if item.value is None:
            self._items.pop(item.key, None)
            self._removals.append(item)
            if len(self._removals) > MAX_REMEMBERED_REMOVALS:
                forgotten = self._removals.popleft()
                self._removals_known_after = max(
                    self._removals_known_after, forgotten.revision
                )
        else:
            self._items[item.key] = item
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
        if not self.is_reading:
            return
        self._failures += 1
        self.reads_it = False
        self._update_availability(reason)

    def _record_recovery(self) -> None:
        self.heard_at = self._clock.monotonic()
        if not self.is_reading:
            return
        self._failures = 0
        self.reads_it = True
        self._update_availability("")

    def _update_availability(self, reason: str) -> None:
        """Report the loss or the return of the source to the registry and the log."""
        if self.reads_it or self._peers_read_it:
            is_unavailable = False
        elif self.reads_it is False or self._peers_read_it is False:
            is_unavailable = True
        else:
            return
        now = self._clock.monotonic()
        if not is_unavailable:
            self._state.registry.mark_source_read(now)
        if is_unavailable == self.is_unavailable:
            return
        self.is_unavailable = is_unavailable
        if is_unavailable:
            self._state.record_source_lost()
            self._log.write("source_lost", source=self.source.name, reason=reason)
        else:
            self._log.write(
                "source_back", source=self.source.name, revision=self.revision
            )

    def _pick_retry_delay_s(self) -> float:
        backoff = MIN_RETRY_DELAY * 2 ** min(self._failures, 6)
        delay = min(MAX_RETRY_DELAY, backoff) * (0.5 + 0.5 * self._random.random())
        return delay.total_seconds()
