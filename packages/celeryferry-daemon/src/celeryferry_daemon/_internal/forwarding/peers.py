"""Network of links to the other hosts of the fleet."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from itertools import count

import msgspec
from aiohttp import web
from result import Err, Ok

from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.forwarding.entry_sets import EntrySets, find_served_domains
from celeryferry_core.forwarding.fleet import FleetMember
from celeryferry_core.forwarding.fleet_actions import (
    Action,
    AskSeeds,
    CloseLink,
    OpenLink,
    SendUpdate,
)
from celeryferry_core.forwarding.hosts import (
    HostInfo,
    HostsUpdate,
    HostTable,
    LinkRole,
    RelaysUpdate,
)
from celeryferry_core.forwarding.load import LoadMeter
from celeryferry_core.forwarding.positions import Position
from celeryferry_daemon._internal.forwarding.connector import (
    LINK_PATH,
    SEED_PATH,
    OpenedLink,
    PeerConnector,
    is_usable,
)
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.link_messages import (
    ENCODER,
    LINK_DECODER,
    QUESTION_DECODER,
    ContentsRequest,
    ContentsUpdate,
    LinkMessage,
    SeedAnswer,
    SeedQuestion,
    Tick,
)
from celeryferry_daemon._internal.forwarding.links import (
    CLOSE_TIMEOUT,
    MAX_MESSAGE_BYTES,
    Link,
)
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter
from celeryferry_daemon._internal.forwarding.ports import SourceChanges
from celeryferry_daemon._internal.forwarding.settings import ForwardingSettings
from celeryferry_daemon._internal.forwarding.sharing import SharedSource
from celeryferry_daemon._internal.forwarding.state import HostState

# Members receive a tick in every interval, other peers in every second one. The silence
# limits of ``celeryferry_core.forwarding.hosts`` allow for two missed ticks.
TICK_INTERVAL = timedelta(milliseconds=500)
# Changes within this time are reported together.
SETTLE_TIME = timedelta(milliseconds=20)


class PeerNetwork:
    """Keeps the links to other hosts, and with them the hosts and the contents known.

    :param own: first statement of this host.
    :param seeds: ``peers_address`` of some hosts of the fleet, possibly stale.
    :param followers: followers of the sources, by name of the source.
    :param state: receives the hosts that share the limits of the upstreams.
    :param log: receives a line when links or the set of live hosts change.
    :param is_ready: returns whether this host serves callers.
    :ivar entry_sets: hosts that callers are sent to.
    """

    __slots__ = (
        "_clock",
        "_connector",
        "_fleet",
        "_is_leaving",
        "_is_ready",
        "_link_numbers",
        "_links",
        "_load",
        "_log",
        "_logged_entry_set",
        "_logged_live",
        "_processor_share",
        "_settle_timer",
        "_sources",
        "_state",
        "_table",
        "_tasks",
        "entry_sets",
    )

    def __init__(
        self,
        own: HostInfo,
        seeds: tuple[str, ...],
        followers: dict[str, SourceFollower],
        state: HostState,
        clock: Clock,
        random: RandomSource,
        log: LogWriter,
        is_ready: Callable[[], bool],
    ) -> None:
        now = clock.monotonic()
        self._table = HostTable(own)
        self._fleet = FleetMember(self._table, seeds, random, now)
        self._sources = {
            name: SharedSource(follower, now) for name, follower in followers.items()
        }
        for shared in self._sources.values():
            shared.follower.on_changed = partial(self._push_changes, shared)
        self._state = state
        self._clock = clock
        self._log = log
        self._load = LoadMeter(now)
        self._links: dict[int, Link] = {}
        self._link_numbers = count(1)
        self._logged_live: frozenset[str] = frozenset()
        self._logged_entry_set: tuple[str, ...] = ()
        self._connector = PeerConnector(log)
        self._settle_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._is_leaving = False
        self._is_ready = is_ready
        self._processor_share = own.processor_share
        self.entry_sets = EntrySets()

    async def run(self) -> None:
        """Keep the links until cancelled."""
        self._connector.open_session()
        try:
            for number in count():
                self._update(sends_to_all=number % 2 == 0)
                await asyncio.sleep(TICK_INTERVAL.total_seconds())
        finally:
            await self._connector.close_session()

    def replace_settings(self, settings: ForwardingSettings) -> None:
        """Use other seeds from now on, and state the processor time of other limits."""
        self._fleet.seeds = settings.seed_addresses
        self._processor_share = settings.processor_share

    def announce_leaving(self) -> None:
        """Report immediately that this host is stopping."""
        self._is_leaving = True
        self._settle()

    def make_routes(self) -> list[web.RouteDef]:
        """Return the routes of the listener for peers."""
        return [
            web.get(LINK_PATH, self._handle_link),
            web.post(SEED_PATH, self._handle_seed_question),
        ]

    def _update(self, sends_to_all: bool) -> None:
        self._settle()
        live = frozenset(self._table.live)
        if live != self._logged_live:
            self._log.write(
                "hosts_changed",
                found=sorted(live - self._logged_live),
                lost=sorted(self._logged_live - live),
                live_count=len(live),
                is_relay=self._fleet.is_relay,
            )
            self._logged_live = live
        roles = tuple(LinkRole) if sends_to_all else (LinkRole.FROM_MEMBER,)
        named = tuple(
            host.host_id
            for host in self.entry_sets.choose(self._table.own.failure_domain)
        )
        if named != self._logged_entry_set:
            self._log.write(
                "entry_set_changed",
                hosts=named,
                sender_count=len(self.entry_sets.sender_ids),
            )
            self._logged_entry_set = named
        self._send(self._fleet.list_links(*roles), self._make_tick())

    def _update_own(self) -> None:
        own = self._table.own
        now = self._clock.monotonic()
        sent_count = self._state.session_context.selector.sent_count
        changed = msgspec.structs.replace(
            own,
            is_ready=self._is_ready(),
            is_leaving=self._is_leaving,
            processor_share=self._processor_share,
            load=self._load.update(sent_count, now),
            restarted=self._state.restarts.update(now),
            leaving=self._state.list_leaving(reports_all=self._fleet.is_relay),
        )
        if changed != own:
            changed = msgspec.structs.replace(changed, sequence=own.sequence + 1)
            self._execute(self._fleet.replace_own(changed))

    def _schedule_settling(self) -> None:
        if self._settle_timer is None:
            loop = asyncio.get_running_loop()
            self._settle_timer = loop.call_later(
                SETTLE_TIME.total_seconds(), self._settle
            )

    def _settle(self) -> None:
        """Adjust links, reports, entry sets and readers to what has changed."""
        if self._settle_timer is not None:
            self._settle_timer.cancel()
            self._settle_timer = None
        self._update_own()
        now = self._clock.monotonic()
        self._execute(self._fleet.check(now))
        self._execute(self._fleet.publish(now))
        served = find_served_domains(self._state.services, self._state.registry)
        self.entry_sets.update(self._table.live, served, now)
        self._state.set_fleet(
            self._table.live.keys(),
            self.entry_sets.sender_ids,
            self.entry_sets.sharing_count,
            self._fleet.is_joined(now),
            now,
        )
        self._state.apply_restart_reports(self._table.live.values(), now)
        self._state.apply_leaving_reports(self._table.live.values(), now)
        for shared in self._sources.values():
            shared.update(
                self._fleet.is_relay, self._fleet.rank, now, self._fleet.candidate_count
            )

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case OpenLink(host, role):
                    self._spawn(self._open_link(host, role))
                case CloseLink(link_id, reason):
                    self._log.write("link_closed", link=link_id, reason=reason)
                    link = self._links.get(link_id)
                    if link is not None:
                        link.close()
                case SendUpdate(link_ids, update):
                    self._send(link_ids, update)
                case AskSeeds(addresses, wants_all):
                    for address in addresses:
                        self._spawn(self._ask_seed(address, wants_all))

    def _send(self, link_ids: tuple[int, ...], message: LinkMessage) -> None:
        links = [self._links[link_id] for link_id in link_ids if link_id in self._links]
        if links:
            content = ENCODER.encode(message)
            for link in links:
                link.send(content)

    def _make_tick(self) -> Tick:
        return Tick({name: each.make_status() for name, each in self._sources.items()})

    def _push_changes(
        self,
        shared: SharedSource,
        previous: Position,
        changes: SourceChanges,
        is_exact: bool,
    ) -> None:
        if previous.is_start:
            # With its first contents, this host becomes ready.
            self._schedule_settling()
        members = self._fleet.list_links(LinkRole.FROM_MEMBER)
        if members:
            update = shared.make_update(previous, changes, is_exact)
            self._send(members, update)

    async def _open_link(self, host: HostInfo, role: LinkRole) -> None:
        opened: OpenedLink | None = None
        try:
            opened = await self._connector.open(
                next(self._link_numbers), host, self._table.own
            )
        finally:
            if opened is None:
                # Also after an unexpected exception, so that the host is tried again.
                self._fleet.handle_open_failed(host.host_id, self._clock.monotonic())
                self._schedule_settling()
        if opened is not None:
            await self._run_link(opened.link, role, opened.peer, is_initiator=True)

    async def _handle_link(self, request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(
            timeout=CLOSE_TIMEOUT.total_seconds(),
            max_msg_size=MAX_MESSAGE_BYTES,
            compress=False,
        )
        await socket.prepare(request)
        link = Link(next(self._link_numbers), socket)
        peer = await self._connector.accept(link, self._table.own)
        if peer is not None:
            is_local = peer.failure_domain == self._table.own.failure_domain
            role = LinkRole.FROM_MEMBER if is_local else LinkRole.BETWEEN_DOMAINS
            await self._run_link(link, role, peer, is_initiator=False)
        return socket

    async def _run_link(
        self, link: Link, role: LinkRole, peer: HostInfo, is_initiator: bool
    ) -> None:
        link_id = link.link_id
        self._links[link_id] = link
        now = self._clock.monotonic()
        self._log.write("link_opened", link=link_id, role=role, peer=peer.host_id)
        self._execute(self._fleet.handle_opened(link_id, role, peer, is_initiator, now))
        self._send((link_id,), self._make_tick())
        self._schedule_settling()
        try:
            await link.run(partial(self._handle_message, link_id, role))
        finally:
            self._links.pop(link_id, None)
            self._fleet.handle_closed(link_id, self._clock.monotonic())
            for shared in self._sources.values():
                shared.drop_link(link_id)
            self._log.write("link_ended", link=link_id, role=role, peer=peer.host_id)
            self._schedule_settling()

    def _is_usable(self, host: HostInfo) -> bool:
        return is_usable(host) and host.host_id != self._table.own.host_id

    def _handle_message(self, link_id: int, role: LinkRole, content: bytes) -> None:
        now = self._clock.monotonic()
        self._table.record_heard(link_id, now)
        try:
            self._apply_message(link_id, role, content, now)
        except Exception as error:
            # A fault in the handling of one message must not end the link.
            self._log.write("peer_message_failed", link=link_id, reason=repr(error))

    def _apply_message(
        self, link_id: int, role: LinkRole, content: bytes, now: timedelta
    ) -> None:
        match LINK_DECODER.decode(content):
            case Err(error):
                self._log.write(
                    "peer_message_rejected", link=link_id, reason=str(error)
                )
            case Ok(Tick(sources)):
                for name, status in sources.items():
                    shared = self._sources.get(name)
                    if shared is not None:
                        request = shared.record_status(link_id, role, status, now)
                        self._send_request(link_id, request)
            case Ok(HostsUpdate() as update):
                usable = tuple(host for host in update.hosts if self._is_usable(host))
                update = msgspec.structs.replace(update, hosts=usable)
                self._table.apply(link_id, update, now)
                self._schedule_settling()
            case Ok(RelaysUpdate(hosts)):
                usable = [host for host in hosts if self._is_usable(host)]
                self._fleet.announce(usable, now)
                self._schedule_settling()
            case Ok(ContentsUpdate(source=name) as update) if name in self._sources:
                self._send_request(link_id, self._sources[name].apply(update))
            case Ok(ContentsRequest(source=name) as request) if name in self._sources:
                self._send((link_id,), self._sources[name].answer(request))

    def _send_request(self, link_id: int, request: ContentsRequest | None) -> None:
        if request is not None:
            self._send((link_id,), request)

    async def _ask_seed(self, address: str, wants_all: bool) -> None:
        relays = await self._connector.ask_seed(address, self._table.own, wants_all)
        usable = [host for host in relays if self._is_usable(host)]
        self._fleet.announce(usable, self._clock.monotonic())
        self._schedule_settling()

    async def _handle_seed_question(self, request: web.Request) -> web.Response:
        match QUESTION_DECODER.decode(await request.read()):
            case Err(error):
                raise web.HTTPBadRequest(text=f"correct the request: {error}\n")
            case Ok(SeedQuestion(host, wants_all)):
                now = self._clock.monotonic()
                if self._is_usable(host):
                    self._fleet.announce((host,), now)
                    self._schedule_settling()
                relays = self._fleet.list_known_relays(
                    host.failure_domain, wants_all, now
                )
        answer = ENCODER.encode(SeedAnswer(tuple(relays)))
        return web.Response(body=answer, content_type="application/json")

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.write("peer_task_failed", reason=repr(task.exception()))
