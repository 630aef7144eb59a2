"""Source in memory that loses what it has acknowledged and comes back from a copy."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum

import msgspec
from result import Err, Ok

from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.models import ForwardingConfiguration, Upstream
from celeryferry_core.forwarding.positions import Position
from celeryferry_daemon._internal.forwarding.ports import (
    ConfigurationPublished,
    DomainEvacuated,
    DomainRestored,
    HistoryGoneError,
    SourceChanges,
    SourceItem,
    SourceUnavailableError,
    UpstreamListed,
    UpstreamUnlisted,
)
from celeryferry_daemon.platform.store import (
    READ_TIMEOUT,
    WATCH_MARGIN_FRACTION,
    WATCH_TIME_FRACTION,
)

LATENCY = timedelta(milliseconds=4)
CONTACT_TIME = timedelta(seconds=4)
WATCH_WAIT = CONTACT_TIME * WATCH_TIME_FRACTION
WATCH_TIMEOUT = WATCH_WAIT + CONTACT_TIME * WATCH_MARGIN_FRACTION
CONFIGURATION_KEY = "configuration"
DOMAIN_PREFIX = "domain/"
UPSTREAM_PREFIX = "upstream/"
# States that the replica may still answer from.
MAX_REPLICA_STATES = 200


class WatchEnd(StrEnum):
    """What becomes of the waiting watches when the source goes away.

    * ``CUT``: they fail at once.
    * ``HANG``: they end with the timeout of the client.
    * ``LATE``: they are answered with what the source held, after its return.
    * ``KEPT``: they go on waiting, and are answered after the return.
    """

    CUT = "cut"
    HANG = "hang"
    LATE = "late"
    KEPT = "kept"


class State(msgspec.Struct, frozen=True):
    """What the source, a copy or a replica holds.

    :param events: changes that a watch can return.
    :param floor: lowest revision from which a watch can continue.
    """

    era: int = 0
    revision: int = 1
    items: dict[str, SourceItem] = {}
    events: tuple[SourceItem, ...] = ()
    floor: int = 0

    @property
    def position(self) -> Position:
        """Position of the state."""
        return Position(self.era, self.revision)

    def write(self, key: str, value: bytes | None) -> "State":
        """Return the state after a change of one item."""
        item = SourceItem(key, self.revision + 1, value)
        items = {name: each for name, each in self.items.items() if name != key}
        if value is not None:
            items[key] = item
        return msgspec.structs.replace(
            self,
            revision=item.revision,
            items=items,
            events=(*self.events, item),
        )

    def list_changes(self, after: int) -> SourceChanges:
        """Return the answer to a watch."""
        events = tuple(item for item in self.events if item.revision > after)
        return SourceChanges(events, self.revision, self.era)


class _Watch:
    """A watch that waits at the source."""

    def __init__(self, after: int, future: asyncio.Future) -> None:
        self.after = after
        self.future = future
        self.is_hanging = False

    def end(self, result) -> None:
        if not self.future.done():
            self.future.set_result(result)


class RestorableSource:
    """The source that all hosts of a fleet call.

    :ivar written: every change with the position that it got, in all eras.
    :ivar is_away: whether it answers no call.
    :ivar refused: ids of the hosts whose calls are refused.
    :ivar has_no_history: whether each watch finds its history gone.
    :ivar replica_lag: age of the answers that may be stale.
    :ivar listing_delay: time for which the answer to a listing is on its way.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.state = State()
        self.written: list[tuple[Position, SourceItem]] = []
        # First states of the eras after the first one.
        self._restored: dict[int, State] = {}
        self.is_away = False
        self.refused: set[str] = set()
        self.has_no_history = False
        self.replica_lag = timedelta(0)
        self.listing_delay = timedelta(0)
        self._replica: deque[tuple[timedelta, State]] = deque(maxlen=MAX_REPLICA_STATES)
        self._watches: dict[str, _Watch] = {}
        self._record_state()

    def write(self, key: str, value: bytes | None) -> None:
        """Change or remove an item, and answer the watches."""
        self.state = self.state.write(key, value)
        self.written.append((self.state.position, self.state.events[-1]))
        self._record_state()
        for watch in list(self._watches.values()):
            self._answer(watch)

    def drop_history(self) -> None:
        """Forget all changes up to now."""
        self.state = msgspec.structs.replace(
            self.state, events=(), floor=self.state.revision
        )

    def leave(self, watch_end: WatchEnd) -> None:
        """Answer no call from now on."""
        self.is_away = True
        for watch in list(self._watches.values()):
            match watch_end:
                case WatchEnd.CUT:
                    watch.end(Err(SourceUnavailableError("connection reset")))
                case WatchEnd.HANG:
                    watch.is_hanging = True
                case WatchEnd.LATE:
                    answer = Ok(self.state.list_changes(watch.after))
                    watch.is_hanging = True
                    asyncio.get_event_loop().call_later(1.2, watch.end, answer)
                case WatchEnd.KEPT:
                    pass

    def restore(self, copy: State, has_history: bool) -> None:
        """Continue from a copy as the next era.

        :param has_history: whether watches can continue from before the copy.
        """
        era = self.state.era + 1
        self.state = msgspec.structs.replace(copy, era=era)
        if not has_history:
            self.drop_history()
        self._restored[era] = self.state
        self._record_state()

    def find_origin(self, era: int, item: SourceItem) -> Position:
        """Return where an item was written that is listed in an era."""
        while era in self._restored and item.revision <= self._restored[era].revision:
            era -= 1
        return Position(era, item.revision)

    def come_back(self) -> None:
        """Answer calls again."""
        self.is_away = False

    def hang_watch(self, host_id: str) -> None:
        """Answer the waiting watch of a host no more."""
        if host_id in self._watches:
            self._watches[host_id].is_hanging = True

    def cut_watch(self, host_id: str) -> None:
        """End the waiting watch of a host."""
        if host_id in self._watches:
            error = SourceUnavailableError("connection reset")
            self._watches[host_id].end(Err(error))

    def cut_calls(self, host_id: str) -> None:
        """Forget the watch of a host that has ended."""
        self._watches.pop(host_id, None)

    def _record_state(self) -> None:
        self._replica.append((self._clock.monotonic(), self.state))

    def _find_replica_state(self) -> State:
        limit = self._clock.monotonic() - self.replica_lag
        older = [state for at, state in self._replica if at <= limit]
        return older[-1] if older else self._replica[0][1]

    def _answer(self, watch: _Watch) -> None:
        if not (watch.is_hanging or self.is_away):
            watch.end(Ok(self.state.list_changes(watch.after)))

    def _is_refused(self, host_id: str) -> bool:
        return self.is_away or host_id in self.refused

    async def read_all(self, host_id: str, may_be_stale: bool):
        """Answer a listing."""
        await asyncio.sleep(LATENCY.total_seconds())
        if self._is_refused(host_id):
            return Err(SourceUnavailableError("status 503"))
        state = self._find_replica_state() if may_be_stale else self.state
        if self.listing_delay:
            await asyncio.sleep(
                min(self.listing_delay, READ_TIMEOUT * 0.9).total_seconds()
            )
        items = tuple(state.items.values())
        return Ok(SourceChanges(items, state.revision, state.era))

    async def watch(self, host_id: str, after: int, may_wait: bool):
        """Answer a watch."""
        await asyncio.sleep(LATENCY.total_seconds())
        if self._is_refused(host_id):
            return Err(SourceUnavailableError("status 503"))
        state = self.state
        if self.has_no_history or not state.floor <= after <= state.revision:
            return Err(HistoryGoneError("status 410"))
        changes = state.list_changes(after)
        if changes.items or not may_wait:
            return Ok(changes)
        loop = asyncio.get_running_loop()
        watch = _Watch(after, loop.create_future())
        self._watches[host_id] = watch
        lost = Err(SourceUnavailableError("timeout"))
        timers = (
            loop.call_later(WATCH_WAIT.total_seconds(), self._answer, watch),
            loop.call_later(WATCH_TIMEOUT.total_seconds(), watch.end, lost),
        )
        try:
            return await watch.future
        finally:
            for timer in timers:
                timer.cancel()
            if self._watches.get(host_id) is watch:
                del self._watches[host_id]


class SourceAccess:
    """Calls of one host; implements ``Source``.

    :param on_call: called with True before each listing and False before each watch.
    """

    name = "upstreams"

    def __init__(
        self, source: RestorableSource, host_id: str, on_call: Callable[[bool], None]
    ) -> None:
        self._source = source
        self._host_id = host_id
        self._on_call = on_call

    async def read_all(self, may_be_stale: bool):
        """Return all items."""
        self._on_call(True)
        return await self._source.read_all(self._host_id, may_be_stale)

    async def watch(self, after_revision: int, may_wait: bool):
        """Return the changes after a revision."""
        self._on_call(False)
        return await self._source.watch(self._host_id, after_revision, may_wait)

    def decode(self, item: SourceItem):
        """Return the change that an item represents."""
        return decode_item(item)


def decode_item(item: SourceItem):
    """Return the change that an item represents."""
    kind, _, name = item.key.partition("/")
    if item.key.startswith(UPSTREAM_PREFIX):
        if item.value is None:
            return UpstreamUnlisted(item.key, name)
        upstream = msgspec.json.decode(item.value, type=Upstream)
        return UpstreamListed(item.key, upstream)
    if item.key.startswith(DOMAIN_PREFIX):
        if item.value is None:
            return DomainRestored(name)
        return DomainEvacuated(name, item.revision)
    assert kind == CONFIGURATION_KEY
    if item.value is None:
        return None
    return ConfigurationPublished(
        item.key, ForwardingConfiguration(int(item.value), ())
    )
