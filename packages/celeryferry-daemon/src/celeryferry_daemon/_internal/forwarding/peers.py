"""Exchanges heartbeats and the contents of the sources with other hosts."""

import asyncio
from datetime import timedelta

import aiohttp
import msgspec
from aiohttp import web

from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.hosts import HostHeartbeat, HostTable
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.ports import (
    SourceChanges,
    SourceContents,
    SourceItem,
)
from celeryferry_daemon._internal.forwarding.state import HostState

# In a fleet of 15 hosts, a heartbeat reaches all of them in about four exchanges, that
# is within about 2 s. A host is considered failed only after ``SILENCE_TIMEOUT`` of
# ``celeryferry_core.forwarding.hosts``, 4 s.
EXCHANGE_INTERVAL = timedelta(milliseconds=500)
EXCHANGE_TIMEOUT = timedelta(milliseconds=800)
# On average one of this many exchanges goes to a seed, so that the parts of a fleet
# find each other again after a network partition.
EXCHANGES_PER_SEED_EXCHANGE = 8
# Number of hosts that a stopping host informs immediately.
LEAVING_NOTICE_PEER_COUNT = 4
HEARTBEATS_PATH = "/v1/beats"
CONTENTS_PATH = "/v1/copies"
MAX_MESSAGE_BYTES = 4 * 1_048_576


class HeartbeatRow(msgspec.Struct, array_like=True):
    """A heartbeat as a JSON array, which takes half as many bytes as an object.

    The fields are those of ``HostHeartbeat``, in the same order.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    peers_address: str
    started_ms: int
    beat: int
    is_ready: bool
    is_leaving: bool


class HeartbeatsMessage(msgspec.Struct):
    """Heartbeats, and how far the sender has followed each source.

    :param beats: heartbeats; the first is the sender's own.
    :param latest_changes: highest revision of any item that the sender has received, by
        name of the source.
    """

    beats: list[HeartbeatRow]
    latest_changes: dict[str, int]


class ContentsMessage(msgspec.Struct):
    """Contents of one source.

    :param revision: revision of the source that the items reflect.
    :param is_confirmed: as in ``SourceContents``.
    """

    revision: int
    items: list[SourceItem]
    is_confirmed: bool


_HEARTBEATS_DECODER = msgspec.json.Decoder(HeartbeatsMessage)
_CONTENTS_DECODER = msgspec.json.Decoder(ContentsMessage)
_ENCODER = msgspec.json.Encoder()


class PeerExchange:
    """Keeps the table of hosts up to date and passes on what this host knows.

    :param seeds: ``peers_address`` of some hosts, contacted even if they are not known
        to be live.
    :param followers: followers of the sources, by name of the source.
    :param state: receives the ids of the live hosts.
    :param log: receives a line when the set of live hosts changes.
    :ivar is_ready: whether this host serves callers, sent in its heartbeats.
    :ivar is_leaving: whether this host is stopping, sent in its heartbeats.
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
        log: LogWriter,
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
                self._refresh_hosts()
                for address in self._pick_addresses():
                    self._spawn(self._exchange(address))
                await asyncio.sleep(EXCHANGE_INTERVAL.total_seconds())
        finally:
            await self._session.close()

    def announce_leaving(self) -> None:
        """Inform some hosts immediately that this one is stopping."""
        self.is_leaving = True
        self._refresh_hosts()
        now = self._clock.monotonic()
        for heartbeat in self.table.pick_peers(LEAVING_NOTICE_PEER_COUNT, now):
            self._spawn(self._exchange(heartbeat.peers_address))

    def make_routes(self) -> list[web.RouteDef]:
        """Return the routes of the listener for peers."""
        return [
            web.post(HEARTBEATS_PATH, self._handle_heartbeats),
            web.get(CONTENTS_PATH + "/{name}", self._handle_contents),
        ]

    def _refresh_hosts(self) -> None:
        now = self._clock.monotonic()
        self.table.refresh_own_heartbeat(now, self.is_ready, self.is_leaving)
        self.table.forget_failed(now)
        live = frozenset(heartbeat.host_id for heartbeat in self.table.list_live(now))
        if live != self._live_ids:
            lost, joined = self._live_ids - live, live - self._live_ids
            self._live_ids = live
            self._state.set_live_hosts(tuple(sorted(live)))
            self._log.write(
                "hosts_changed",
                found=sorted(joined),
                lost=sorted(lost),
                live_count=len(live),
            )

    def _pick_addresses(self) -> list[str]:
        now = self._clock.monotonic()
        random = self.table.random
        picked = [
            heartbeat.peers_address for heartbeat in self.table.pick_peers(1, now)
        ]
        own_address = self.table.own_heartbeat.peers_address
        seeds = [address for address in self.seeds if address != own_address]
        if seeds and (not picked or random.randrange(EXCHANGES_PER_SEED_EXCHANGE) == 0):
            picked.append(seeds[random.randrange(len(seeds))])
        return picked

    def _make_message(self) -> bytes:
        heartbeats = self.table.list_heartbeats_to_send(self._clock.monotonic())
        changes = {
            name: follower.latest_item_revision
            for name, follower in self._followers.items()
        }
        rows = [
            HeartbeatRow(*msgspec.structs.astuple(heartbeat))
            for heartbeat in heartbeats
        ]
        return _ENCODER.encode(HeartbeatsMessage(rows, changes))

    async def _exchange(self, address: str) -> None:
        body = await self._request(
            "POST", address, HEARTBEATS_PATH, self._make_message()
        )
        if body is not None:
            self._handle_message(body, address)

    def _handle_message(self, body: bytes, address: str | None) -> None:
        try:
            message = _HEARTBEATS_DECODER.decode(body)
        except (ValueError, RecursionError) as error:
            self._log.write("peer_message_rejected", peer=address, reason=str(error))
            return
        heartbeats = [
            HostHeartbeat(*msgspec.structs.astuple(row)) for row in message.beats
        ]
        self.table.merge(heartbeats, self._clock.monotonic())
        if not heartbeats:
            return
        sender_address = heartbeats[0].peers_address
        for name, latest_item_revision in message.latest_changes.items():
            follower = self._followers.get(name)
            if follower is not None and follower.should_fetch_from_peer(
                latest_item_revision
            ):
                self._spawn(self._fetch_contents(sender_address, name, follower))

    async def _fetch_contents(
        self, address: str, name: str, follower: SourceFollower
    ) -> None:
        if name in self._fetching:
            return
        self._fetching.add(name)
        try:
            body = await self._request("GET", address, f"{CONTENTS_PATH}/{name}", None)
        finally:
            self._fetching.discard(name)
        if body is None:
            return
        try:
            contents = _CONTENTS_DECODER.decode(body)
        except (ValueError, RecursionError) as error:
            self._log.write("peer_message_rejected", peer=address, reason=str(error))
            return
        changes = SourceChanges(tuple(contents.items), contents.revision)
        follower.apply_peer_contents(SourceContents(changes, contents.is_confirmed))

    async def _request(
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
            # Not logged here. If the host stays silent, the change of the live hosts is
            # logged.
            return None

    async def _handle_heartbeats(self, request: web.Request) -> web.Response:
        self._handle_message(await request.read(), None)
        return web.Response(body=self._make_message(), content_type="application/json")

    async def _handle_contents(self, request: web.Request) -> web.Response:
        follower = self._followers.get(request.match_info["name"])
        contents = None if follower is None else follower.get_contents()
        if contents is None:
            return web.Response(status=web.HTTPServiceUnavailable.status_code)
        changes = contents.changes
        message = ContentsMessage(
            changes.revision, list(changes.items), contents.is_confirmed
        )
        return web.Response(
            body=_ENCODER.encode(message), content_type="application/json"
        )

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
