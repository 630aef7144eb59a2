"""Exchange of heartbeats and of copies of the sources between hosts."""

import asyncio
from datetime import timedelta

import aiohttp
import msgspec
from aiohttp import web

from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.hosts import HostHeartbeat, HostTable
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.log_lines import LogLines
from celeryferry_daemon._internal.forwarding.ports import (
    SourceChanges,
    SourceCopy,
    SourceItem,
)
from celeryferry_daemon._internal.forwarding.state import HostState

# A heartbeat reaches 15 hosts in about four exchanges, well within the silence after
# which a host counts as gone.
EXCHANGE_INTERVAL = timedelta(milliseconds=500)
EXCHANGE_TIMEOUT = timedelta(milliseconds=800)
# One exchange in so many goes to a seed, so that parts of a fleet that lost each other
# meet again.
SEED_ONE_IN = 8
# A host that is leaving tells so many others at once.
LEAVING_PEERS = 4
BEATS_PATH = "/v1/beats"
COPIES_PATH = "/v1/copies"
MAX_MESSAGE_BYTES = 4 * 1_048_576


class BeatRow(msgspec.Struct, array_like=True):
    """A heartbeat as a JSON array, which takes half of the bytes of an object.

    The fields are those of ``HostHeartbeat``, in order.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    peers_address: str
    started_ms: int
    beat: int
    is_ready: bool
    is_leaving: bool


class BeatsMessage(msgspec.Struct):
    """Heartbeats and how far the sender has followed each source.

    :param beats: heartbeats, the sender's first.
    :param latest_changes: latest change that the sender has seen, by source.
    """

    beats: list[BeatRow]
    latest_changes: dict[str, int]


class CopyMessage(msgspec.Struct):
    """Copy of one source.

    :param revision: revision that it reflects.
    :param items: all items.
    :param is_confirmed: whether the sender can read the source now.
    """

    revision: int
    items: list[SourceItem]
    is_confirmed: bool


_BEATS = msgspec.json.Decoder(BeatsMessage)
_COPY = msgspec.json.Decoder(CopyMessage)
_ENCODER = msgspec.json.Encoder()


class PeerExchange:
    """Keeps the table of hosts and passes on what this host knows.

    :param table: hosts of the fleet.
    :param seeds: addresses for peers of some hosts.
    :param followers: followers of the sources by name.
    :param state: told which hosts share the bounds.
    :param clock: source of time.
    :param log: receives a line when a host is found or lost.
    :ivar is_ready: whether this host serves callers.
    :ivar is_leaving: whether this host is stopping.
    """

    __slots__ = (
        "_clock",
        "_fetching",
        "_followers",
        "_live_ids",
        "_log",
        "_session",
        "_state",
        "_tasks",
        "is_leaving",
        "is_ready",
        "seeds",
        "table",
    )

    def __init__(
        self,
        table: HostTable,
        seeds: tuple[str, ...],
        followers: dict[str, SourceFollower],
        state: HostState,
        clock: Clock,
        log: LogLines,
    ) -> None:
        self.table = table
        self.seeds = seeds
        self.is_ready = False
        self.is_leaving = False
        self._followers = followers
        self._state = state
        self._clock = clock
        self._log = log
        self._session: aiohttp.ClientSession | None = None
        self._fetching: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._live_ids: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        try:
            while True:
                self._refresh()
                for address in self._pick_addresses():
                    self._spawn(self._exchange(address))
                await asyncio.sleep(EXCHANGE_INTERVAL.total_seconds())
        finally:
            await self._session.close()

    def announce_leaving(self) -> None:
        """Tell some hosts at once that this one is stopping."""
        self.is_leaving = True
        self._refresh()
        now = self._clock.monotonic()
        for beat in self.table.pick_peers(LEAVING_PEERS, now):
            self._spawn(self._exchange(beat.peers_address))

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the listener for peers."""
        return [
            web.post(BEATS_PATH, self._answer_beats),
            web.get(COPIES_PATH + "/{name}", self._answer_copy),
        ]

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        self.table.refresh_own_heartbeat(now, self.is_ready, self.is_leaving)
        self.table.drop_silent(now)
        live = frozenset(beat.host_id for beat in self.table.list_live(now))
        if live != self._live_ids:
            lost, found = self._live_ids - live, live - self._live_ids
            self._live_ids = live
            self._state.share_with(tuple(sorted(live)))
            self._log.write(
                "hosts_changed",
                found=sorted(found),
                lost=sorted(lost),
                live_count=len(live),
            )

    def _pick_addresses(self) -> list[str]:
        now = self._clock.monotonic()
        random = self.table.random
        picked = [beat.peers_address for beat in self.table.pick_peers(1, now)]
        own = self.table.own_heartbeat.peers_address
        seeds = [address for address in self.seeds if address != own]
        if seeds and (not picked or random.randrange(SEED_ONE_IN) == 0):
            picked.append(seeds[random.randrange(len(seeds))])
        return picked

    def _make_message(self) -> bytes:
        beats = self.table.list_heartbeats_to_send(self._clock.monotonic())
        changes = {name: f.latest_change for name, f in self._followers.items()}
        rows = [BeatRow(*msgspec.structs.astuple(beat)) for beat in beats]
        return _ENCODER.encode(BeatsMessage(rows, changes))

    async def _exchange(self, address: str) -> None:
        body = await self._call("POST", address, BEATS_PATH, self._make_message())
        if body is not None:
            self._take_message(body, address)

    def _take_message(self, body: bytes, address: str | None) -> None:
        try:
            message = _BEATS.decode(body)
        except msgspec.MsgspecError as error:
            self._log.write("peer_message_rejected", peer=address, reason=str(error))
            return
        beats = [HostHeartbeat(*msgspec.structs.astuple(row)) for row in message.beats]
        self.table.merge(beats, self._clock.monotonic())
        if not beats:
            return
        sender = beats[0].peers_address
        for name, latest_change in message.latest_changes.items():
            follower = self._followers.get(name)
            if follower is not None and follower.is_behind(latest_change):
                self._spawn(self._fetch_copy(sender, name, follower))

    async def _fetch_copy(
        self, address: str, name: str, follower: SourceFollower
    ) -> None:
        if name in self._fetching:
            return
        self._fetching.add(name)
        try:
            body = await self._call("GET", address, f"{COPIES_PATH}/{name}", None)
        finally:
            self._fetching.discard(name)
        if body is None:
            return
        try:
            copy = _COPY.decode(body)
        except msgspec.MsgspecError as error:
            self._log.write("peer_message_rejected", peer=address, reason=str(error))
            return
        changes = SourceChanges(tuple(copy.items), copy.revision)
        follower.adopt(SourceCopy(changes, copy.is_confirmed))

    async def _call(
        self, method: str, address: str, path: str, body: bytes | None
    ) -> bytes | None:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT.total_seconds())
        try:
            async with self._session.request(
                method, f"http://{address}{path}", data=body, timeout=timeout
            ) as response:
                content = await response.read()
                return content if response.status == web.HTTPOk.status_code else None
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Shows as silence of the host, which the table logs.
            return None

    async def _answer_beats(self, request: web.Request) -> web.Response:
        self._take_message(await request.read(), None)
        return web.Response(body=self._make_message(), content_type="application/json")

    async def _answer_copy(self, request: web.Request) -> web.Response:
        follower = self._followers.get(request.match_info["name"])
        copy = None if follower is None else follower.copy()
        if copy is None:
            return web.Response(status=web.HTTPServiceUnavailable.status_code)
        changes = copy.changes
        message = CopyMessage(changes.revision, list(changes.items), copy.is_confirmed)
        return web.Response(
            body=_ENCODER.encode(message), content_type="application/json"
        )

    def _spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
