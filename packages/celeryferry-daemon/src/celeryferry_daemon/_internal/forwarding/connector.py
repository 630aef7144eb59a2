"""Opens links to other hosts and asks seeds for relays."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from result import Err, Ok

from celeryferry_core.addresses import is_address
from celeryferry_core.forwarding.hosts import HostInfo
from celeryferry_daemon._internal.bodies import is_answer, read_bounded
from celeryferry_daemon._internal.forwarding.link_messages import (
    ANSWER_DECODER,
    ENCODER,
    LINK_DECODER,
    Hello,
    SeedAnswer,
    SeedQuestion,
)
from celeryferry_daemon._internal.forwarding.links import (
    CLOSE_TIMEOUT,
    MAX_MESSAGE_BYTES,
    Link,
)
from celeryferry_daemon._internal.forwarding.log_lines import LogWriter

OPEN_TIMEOUT = timedelta(seconds=1)
SEED_TIMEOUT = timedelta(milliseconds=800)
LINK_PATH = "/v1/link"
SEED_PATH = "/v1/relays"
MAX_SEED_ANSWER_BYTES = 1_048_576
# Failures to reach a host are not logged. If it stays silent, the change of the live
# hosts is logged.
_UNREACHABLE_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


@dataclass(frozen=True, slots=True)
class OpenedLink:
    """A link whose ends have told each other who they are.

    :param peer: statement of the host at the other end.
    """

    link: Link
    peer: HostInfo


def is_usable(host: HostInfo) -> bool:
    """Return whether the addresses in a statement of a host are valid."""
    return is_address(host.peers_address) and is_address(host.callers_address)


class PeerConnector:
    """Client for the listeners of other hosts.

    :param log: receives a line for each first message that can't be used.
    """

    __slots__ = ("_log", "_session")

    def __init__(self, log: LogWriter) -> None:
        self._log = log
        self._session: aiohttp.ClientSession | None = None

    def open_session(self) -> None:
        """Prepare for calls; needs a running event loop."""
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        )

    async def close_session(self) -> None:
        """End running calls."""
        assert self._session is not None
        await self._session.close()

    async def open(
        self, link_id: int, host: HostInfo, own: HostInfo
    ) -> OpenedLink | None:
        """Open a link to a host.

        :param own: statement of this host.
        :returns: the link, None if the host can't be reached or another one answers.
        """
        assert self._session is not None
        close_timeout = aiohttp.ClientWSTimeout(ws_close=CLOSE_TIMEOUT.total_seconds())
        try:
            async with asyncio.timeout(OPEN_TIMEOUT.total_seconds()):
                socket = await self._session.ws_connect(
                    f"http://{host.peers_address}{LINK_PATH}",
                    max_msg_size=MAX_MESSAGE_BYTES,
                    timeout=close_timeout,
                )
        except _UNREACHABLE_ERRORS:
            return None
        link = Link(link_id, socket)
        peer = None
        if await link.send_first(ENCODER.encode(Hello(own))):
            peer = await self._receive_hello(link)
        if peer is None or peer.host_id != host.host_id:
            await link.close_unused()
            return None
        return OpenedLink(link, peer)

    async def accept(self, link: Link, own: HostInfo) -> HostInfo | None:
        """Exchange first messages on a link that another host has opened.

        :param own: statement of this host.
        :returns: statement of the other host, None if the link was closed.
        """
        peer = await self._receive_hello(link)
        is_accepted = peer is not None and peer.host_id != own.host_id
        if is_accepted and await link.send_first(ENCODER.encode(Hello(own))):
            return peer
        await link.close_unused()
        return None

    async def ask_seed(
        self, address: str, own: HostInfo, wants_all: bool
    ) -> tuple[HostInfo, ...]:
        """Announce this host to a seed and ask for relays.

        :param wants_all: whether to ask for the relays of all domains.
        :returns: relays, none if the seed does not answer; it may be stale.
        """
        assert self._session is not None
        question = ENCODER.encode(SeedQuestion(own, wants_all))
        timeout = aiohttp.ClientTimeout(total=SEED_TIMEOUT.total_seconds())
        try:
            async with self._session.post(
                f"http://{address}{SEED_PATH}", data=question, timeout=timeout
            ) as response:
                if not is_answer(response):
                    return ()
                content = await read_bounded(response, MAX_SEED_ANSWER_BYTES)
        except _UNREACHABLE_ERRORS:
            return ()
        match ANSWER_DECODER.decode(content):
            case Ok(SeedAnswer(relays)):
                return relays
            case Err(error):
                self._log.write(
                    "peer_message_rejected", peer=address, reason=str(error)
                )
        return ()

    async def _receive_hello(self, link: Link) -> HostInfo | None:
        content = await link.receive_first(OPEN_TIMEOUT)
        if content is None:
            return None
        match LINK_DECODER.decode(content):
            case Ok(Hello(host)) if is_usable(host):
                return host
            case Ok(_):
                reason = "not a usable first message"
            case Err(error):
                reason = str(error)
        self._log.write("peer_message_rejected", reason=reason)
        return None
