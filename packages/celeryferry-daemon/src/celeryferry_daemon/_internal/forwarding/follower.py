"""Follows one source of the platform, by its own calls or by what peers pass on."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta

from result import Err, Ok, Result

from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.forwarding.positions import (
    START,
    AnswerUse,
    Evidence,
    Position,
    judge_listing,
    judge_watch,
)
from celeryferry_core.forwarding.reading import Availability, ReadingReason
from celeryferry_core.forwarding.registry import SOURCE_BACK_GRACE
from celeryferry_core.rendezvous import hash_name
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.ports import (
    HistoryGoneError,
    Source,
    SourceChanges,
    SourceItem,
    SourceUnavailableError,
)
from celeryferry_daemon._internal.forwarding.settings import ForwardingSettings
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

ChangesListener = Callable[[Position, SourceChanges, bool], None]


class SourceFollower:
    """Keeps the contents of a source and applies its changes to the host's state.

    :param log: receives a line when the source becomes unavailable or available again.
    :ivar on_changed: called each time the contents have changed, with the previous
        position, the changes, and whether these are complete only for a host with that
        very position, as items may have been added and removed since unseen.
    :ivar base_digest: digest of the contents before they were last replaced.
    :ivar position: position up to which all changes are known.
    :ivar restore_count: restores of the source that this host has seen.
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
        "_call",
        "_can_watch",
        "_clock",
        "_failures",
        "_is_ignoring",
        "_is_reading",
        "_items",
        "_log",
        "_move_count",
        "_peer_availability",
        "_random",
        "_removals",
        "_removals_known_after",
        "_started_at",
        "_state",
        "base_digest",
        "failed_item_count",
        "heard_at",
        "ignored_count",
        "is_unavailable",
        "on_changed",
        "position",
        "reads_it",
        "restore_count",
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
        # Revision in the era of the contents.
        self._removals_known_after = 0
        self._can_watch = False
        # Limits the running call; None between calls.
        self._call: asyncio.Timeout | None = None
        self._move_count = 0
        self._failures = 0
        self._is_reading = asyncio.Event()
        self._peer_availability = Availability.UNKNOWN
        self.on_changed: ChangesListener = lambda previous, changes, is_exact: None
        self.reads_it: bool | None = None
        self.is_unavailable = False
        self.failed_item_count = 0
        self.ignored_count = 0
        self._is_ignoring = False
        self._started_at = self.heard_at = clock.monotonic()
        self.base_digest = 0
        self.position: Position = START
        self.restore_count = 0

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known, 0 if nothing was read."""
        return self.position.revision

    @property
    def has_contents(self) -> bool:
        """Whether the contents are known, read by this host or received from a peer."""
        return not self.position.is_start

    @property
    def is_reading(self) -> bool:
        """Whether this host calls the source itself."""
        return self._is_reading.is_set()

    @property
    def is_confirmed(self) -> bool:
        """Whether an item missing from the contents is known to be deleted.

        A host that has just started does not know of an outage in which it expired.
        """
        now = self._clock.monotonic()
        if self.is_unavailable or now - self._started_at < SOURCE_BACK_GRACE:
            return False
        return self._state.registry.is_current(now)

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
                peer_availability=self._peer_availability,
            )
        if reason is not None:
            self._is_reading.set()
        else:
            self._is_reading.clear()
            self.reads_it = None
            self._failures = 0
            self._update_availability("not read by this host")

    def replace_settings(self, settings: ForwardingSettings) -> None:
        """Follow the source at the address of other settings.

        The contents stay in force. A call to the former address ends without a result,
        which counts as no failure. Whether the revisions there mean the same is not
        known before a listing, so the next call is one.
        """
        if not self.source.replace_settings(settings):
            return
        self._can_watch = False
        self._failures = 0
        self._move_count += 1
        self._log.write("source_moved", source=self.source.name, revision=self.revision)
        if self._call is not None:
            self._call.reschedule(asyncio.get_running_loop().time())

    def set_peer_availability(self, availability: Availability) -> None:
        """Record whether any peer can read the source."""
        self._peer_availability = availability
        self._update_availability("no peer can read it")

    async def run(self) -> None:
        """Read the source once, then follow it while this host should read it.

        If all hosts start while the source is down, only the readers try it again; the
        others receive the contents from them.
        """
        needs_call = True
        gone_count = 0
        while True:
            if not needs_call:
                await self._is_reading.wait()
            asked = self.position
            is_listing = not self._can_watch
            result = await self._call_source(asked, is_listing)
            if result is None:
                continue
            needs_call = False
            match result:
                case Ok(changes) if is_listing:
                    await self._apply_listing(asked, changes)
                case Ok(changes):
                    if await self._apply_watch(asked, changes):
                        gone_count = 0
                    else:
                        gone_count += 1
                        await self._pause_before_listing(gone_count)
                case Err(HistoryGoneError()):
                    self._log.write("source_history_gone", source=self.source.name)
                    self._can_watch = False
                    gone_count += 1
                    await self._pause_before_listing(gone_count)
                case Err(error):
                    self._record_failure(str(error))
                    await asyncio.sleep(self._pick_retry_delay_s(self._failures))

    async def _call_source(
        self, asked: Position, is_listing: bool
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError] | None:
        """Return the result of one call, None if the source has moved meanwhile."""
        move_count = self._move_count
        call = asyncio.timeout(None)
        try:
            async with call:
                self._call = call
                if is_listing:
                    # Contents that are older than the history could not be followed by
                    # a watch, so only the first read may be stale.
                    result = await self.source.read_all(
                        may_be_stale=not self.has_contents
                    )
                else:
                    # A host that waits without knowing whether the source can be read
                    # would count as one that can't read it.
                    may_wait = self.reads_it is True
                    result = await self.source.watch(asked.revision, may_wait)
        except TimeoutError:
            if not call.expired():
                raise
            return None
        finally:
            self._call = None
        return result if move_count == self._move_count else None

    def list_changes(self, after: Position) -> tuple[Position, SourceChanges]:
        """Return the changes after a position for a peer.

        :returns: the position to which the changes apply, and the changes. If that is
            the start, they are the whole contents.
        """
        is_known = after.era == self.position.era and (
            0 < self._removals_known_after <= after.revision
        )
        if not is_known:
            return START, self._make_changes(self._items.values())
        changed = [
            item
            for item in (*self._items.values(), *self._removals)
            if item.revision > after.revision
        ]
        changed.sort(key=lambda item: item.revision)
        return after, self._make_changes(changed)

    def compute_digest(self) -> int:
        """Return a digest of the contents, the same for the same items."""
        items = sorted(f"{item.key} {item.revision}" for item in self._items.values())
        # Numbers of messages are signed.
        return hash_name(*items) >> 1

    def apply_peer_changes(
        self, after: Position, changes: SourceChanges, is_confirmed: bool
    ) -> bool:
        """Apply changes or whole contents that a peer has sent, if they are newer.

        :param after: position to which the changes apply, the start for the whole
            contents.
        :param is_confirmed: as in ``is_confirmed`` of the peer.
        :returns: False if changes are missing in between.
        """
        if changes.position <= self.position:
            if after.is_start and changes.position < self.position:
                self._record_ignored("peer", changes.position)
            return True
        if after.is_start:
            self._apply_whole_contents(changes, is_confirmed)
            return True
        if after.era < changes.era:
            # The changes lead from the contents before a restore to those after it.
            if after != self.position:
                return False
            self._apply_restore(changes, changes.items)
            return True
        if after > self.position:
            return False
        self._apply_changes(changes)
        return True

    def _apply_whole_contents(self, changes: SourceChanges, is_confirmed: bool) -> None:
        self._log.write(
            "source_copied_from_peer",
            source=self.source.name,
            era=changes.era,
            revision=changes.revision,
            own_revision=self.revision,
            is_confirmed=is_confirmed,
        )
        if self.has_contents and changes.era > self.position.era:
            self._apply_restore(changes, self._find_differences(changes))
            return
        self._replace_items(
            changes, Evidence.CONFIRMED if is_confirmed else Evidence.UNCONFIRMED
        )

    async def _pause_before_listing(self, gone_count: int) -> None:
        """Wait, unless this is the first listing in a row that is needed."""
        if gone_count > 1:
            await asyncio.sleep(self._pick_retry_delay_s(gone_count - 1))

    async def _apply_watch(self, asked: Position, changes: SourceChanges) -> bool:
        """Handle the answer of a watch.

        :returns: whether the contents can be followed.
        """
        match judge_watch(asked, self.position, changes.position):
            case AnswerUse.APPLY:
                self._record_recovery()
                self._apply_changes(changes)
                if changes.items:
                    await asyncio.sleep(COALESCE_TIME.total_seconds())
            case AnswerUse.LIST:
                self._can_watch = False
                return False
            case AnswerUse.STALE:
                await self._handle_stale_answer("watch", changes.position)
        return True

    async def _apply_listing(self, asked: Position, listing: SourceChanges) -> None:
        match judge_listing(asked, self.position, listing.position):
            case AnswerUse.APPLY:
                self._record_recovery()
                # A missing item may have expired while the source was unavailable. The
                # registry keeps its upstream, but only during the grace period.
                self._replace_items(listing, Evidence.UNCONFIRMED)
            case AnswerUse.RESTORE:
                self._record_recovery()
                self._apply_restore(listing, self._find_differences(listing))
            case AnswerUse.SKIP:
                self._can_watch = True
            case AnswerUse.STALE:
                await self._handle_stale_answer("listing", listing.position)

    async def _handle_stale_answer(self, origin: str, position: Position) -> None:
        """Treat the source as unavailable while it answers with an older state."""
        self._record_ignored(origin, position)
        self._record_failure(
            f"{origin} of era {position.era}, revision {position.revision}, after"
            f" era {self.position.era}, revision {self.revision}"
        )
        await asyncio.sleep(self._pick_retry_delay_s(self._failures))

    def _apply_restore(
        self, changes: SourceChanges, differences: Iterable[SourceItem]
    ) -> None:
        """Go on from the contents of a source that has come back from a copy.

        :param changes: gives the position of these contents.
        :param differences: items in which they differ from the own ones.
        """
        now = self._clock.monotonic()
        previous = self.position
        differences = tuple(differences)
        self.base_digest = self.compute_digest()
        self._state.record_restored(now)
        self._removals.clear()
        self._removals_known_after = changes.revision
        for item in differences:
            self._apply_item(item, now, Evidence.RESTORED)
        self._can_watch = True
        self.restore_count += 1
        self._set_position(changes.position)
        self._log.write(
            "source_restored",
            source=self.source.name,
            era=changes.era,
            revision=changes.revision,
            previous_era=previous.era,
            previous_revision=previous.revision,
            changed_count=len(differences),
            held_count=self._state.held_count,
        )
        self.on_changed(previous, self._make_changes(differences), True)

    def _find_differences(self, listing: SourceChanges) -> list[SourceItem]:
        """Return the items of a later era that differ from the own ones."""
        listed = {item.key: item for item in listing.items}
        removed = [
            SourceItem(key, listing.revision, None)
            for key in self._items
            if key not in listed
        ]
        changed = [item for key, item in listed.items() if self._items.get(key) != item]
        return removed + changed

    def _make_changes(self, items: Iterable[SourceItem]) -> SourceChanges:
        return SourceChanges(tuple(items), self.revision, self.position.era)

    def _record_ignored(self, origin: str, position: Position) -> None:
        """Count contents that are not applied; only the first in a row is logged."""
        self.ignored_count += 1
        if not self._is_ignoring:
            self._is_ignoring = True
            self._log.write(
                "source_contents_ignored",
                source=self.source.name,
                origin=origin,
                era=position.era,
                revision=position.revision,
                own_era=self.position.era,
                own_revision=self.revision,
            )

    def _apply_changes(self, changes: SourceChanges) -> None:
        """Apply changes of the era of the contents."""
        now = self._clock.monotonic()
        previous = self.position
        # Changes up to the own revision are part of the contents already. They arrive
        # twice if a peer has sent them while a call of this host was waiting.
        newer = [item for item in changes.items if item.revision > previous.revision]
        for item in newer:
            # A listing may hold items that are newer than its revision.
            known = self._items.get(item.key)
            if known is None or known.revision < item.revision:
                self._apply_item(item, now)
        if changes.revision > previous.revision:
            self._set_position(changes.position)
            self.on_changed(previous, self._make_changes(newer), False)

    def _replace_items(self, listing: SourceChanges, evidence: Evidence) -> None:
        """Replace the contents by a listing of the same era, or by the first one."""
        now = self._clock.monotonic()
        previous = self.position
        self.base_digest = self.compute_digest()
        listed_keys = {item.key for item in listing.items}
        removed = [
            SourceItem(item.key, listing.revision, None)
            for item in self._items.values()
            if item.key not in listed_keys and item.revision <= listing.revision
        ]
        for item in removed:
            self._apply_item(item, now, evidence)
        changed = removed
        for item in listing.items:
            known = self._items.get(item.key)
            if known is None or known.revision < item.revision:
                self._apply_item(item, now)
                changed.append(item)
        # Items that were added and removed since the previous revision are in neither.
        self._removals_known_after = max(self._removals_known_after, listing.revision)
        self._can_watch = True
        self._set_position(max(self.position, listing.position))
        if changed or self.position > previous:
            self.on_changed(
                previous, self._make_changes(changed), not previous.is_start
            )

    def _set_position(self, position: Position) -> None:
        if position > self.position:
            self._is_ignoring = False
        self.position = position
        registry = self._state.registry
        registry.position = max(registry.position, position)

    def _apply_item(
        self,
        item: SourceItem,
        now: timedelta,
        evidence: Evidence = Evidence.UNCONFIRMED,
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
                self._state.apply(change, now, evidence)
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
        if self.reads_it:
            is_unavailable = False
        else:
            match self._peer_availability:
                case Availability.AVAILABLE:
                    is_unavailable = False
                case Availability.LOST:
                    is_unavailable = True
                case Availability.UNKNOWN if self.reads_it is False:
                    is_unavailable = True
                case Availability.UNKNOWN:
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

    def _pick_retry_delay_s(self, failure_count: int) -> float:
        backoff = MIN_RETRY_DELAY * 2 ** min(failure_count, 6)
        delay = min(MAX_RETRY_DELAY, backoff) * (0.5 + 0.5 * self._random.random())
        return delay.total_seconds()
