"""Reads the host list periodically."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import aiohttp
import msgspec
from result import Err, Ok, Result

from celeryferry_core.decisions.fleet import HostListFailed
from celeryferry_core.models.topology import Host, HostState
from celeryferry_core.ports import DecisionLog
from celeryferry_daemon._internal.bodies import read_bounded
from celeryferry_daemon._internal.peers.failures import CALL_ERRORS

READ_INTERVAL = timedelta(seconds=1)
READ_TIMEOUT = timedelta(seconds=1)
MAX_LIST_BYTES = 4 * 1024 * 1024


class ListedHost(msgspec.Struct, frozen=True):
    """Entry of the host list.

    :param host_id: unique name of the host.
    :param failure_domain: failure domain of the host.
    :param callers_address: ``ip:port`` of its listener for callers.
    :param peers_address: ``ip:port`` of its listener for other daemons.
    :param state: live or leaving.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    peers_address: str
    state: HostState = HostState.LIVE


class HostList(msgspec.Struct, frozen=True):
    """Content of the host list.

    :param hosts: all hosts.
    :param leaving_upstreams: addresses of leaving upstreams.
    """

    hosts: tuple[ListedHost, ...]
    leaving_upstreams: tuple[str, ...] = ()

    def to_hosts(self) -> dict[str, Host]:
        """Return the hosts by host id."""
        return {
            entry.host_id: Host(
                entry.host_id,
                entry.failure_domain,
                entry.callers_address,
                entry.peers_address,
                entry.state,
            )
            for entry in self.hosts
        }


class HostListReader:
    """Reads the host list every ``READ_INTERVAL`` and passes it to a callback.

    If the server sends an ``ETag``, the callback is not called for an unchanged list.

    :param address: ``ip:port`` of the server of the host list.
    :param on_list: called with every valid list, except after a 304 response.
    :param log: receives decisions; consecutive failures are recorded once.
    :ivar has_read: event that is set when a list has been read.
    """

    def __init__(
        self, address: str, on_list: Callable[[HostList], None], log: DecisionLog
    ) -> None:
        self._url = f"http://{address}/v1/hosts"
        self._on_list = on_list
        self._log = log
        self._decoder = msgspec.json.Decoder(HostList)
        self._has_failed = False
        # ETag of the last valid list; empty if the server sent none.
        self._etag = ""
        self.has_read = asyncio.Event()

    async def run(self) -> None:
        """Read the list periodically until cancelled."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT.total_seconds())
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._read_once(session)
                await asyncio.sleep(READ_INTERVAL.total_seconds())

    async def _read_once(self, session: aiohttp.ClientSession) -> None:
        answer = await self._fetch(session)
        match answer:
            case Ok(hosts):
                self._has_failed = False
                if hosts is not None:
                    self._on_list(hosts)
                self.has_read.set()
            case Err(detail) if not self._has_failed:
                self._has_failed = True
                self._log.record(HostListFailed(detail))

    async def _fetch(
        self, session: aiohttp.ClientSession
    ) -> Result[HostList | None, str]:
        """Read the list.

        :returns: the list, None if it has not changed, or a description of the failure.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with session.get(
                self._url, headers=headers, allow_redirects=False
            ) as response:
                if response.status == 304 and self._etag:
                    return Ok(None)
                if response.status != 200:
                    return Err(f"status {response.status}")
                hosts = self._decoder.decode(
                    await read_bounded(response, MAX_LIST_BYTES)
                )
                etag = response.headers.get("ETag", "")
        except CALL_ERRORS as error:
            return Err(f"{type(error).__name__}: {error}")
        if not hosts.hosts:
            # An empty list is treated as a fault of the server: without hosts there
            # would be no cells, no leases and no entry hosts.
            return Err("the list names no host")
        self._etag = etag
        return Ok(hosts)
