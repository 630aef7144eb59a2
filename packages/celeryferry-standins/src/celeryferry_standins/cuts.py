"""Cuts of the traffic of one test daemon."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta
from enum import StrEnum
from typing import Any, TypeVar

import msgspec
from result import Err, Result

from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.models.messages import (
    DocumentsReply,
    DocumentsRequest,
    ObservationsReply,
    ObservationsRequest,
    PartialAnswer,
    ProbeReply,
    ProbeRequest,
    RunOnceForward,
    RunReply,
    RunRequest,
    SubqueryBatch,
)
from celeryferry_core.models.topology import Host
from celeryferry_core.ports import PeerClient
from celeryferry_standins.serving import ANY_PORT_ADDRESS, split_address

CHUNK_BYTES = 65_536

Request = TypeVar("Request")
Reply = TypeVar("Reply")


class CutMode(StrEnum):
    """How a cut call fails."""

    TIMEOUT = "timeout"
    REFUSED = "refused"


class Cuts(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Which traffic of a daemon is cut.

    Each test daemon cuts its own outgoing calls and their answers. A partition is
    made by cutting on both sides.

    :param cut_hosts: host ids that cannot be called.
    :param mode: how calls fail.
    :param configuration_service: True to cut the configuration service.
    :param host_list: True to cut the host list.
    """

    cut_hosts: list[str] = []
    mode: CutMode = CutMode.TIMEOUT
    configuration_service: bool = False
    host_list: bool = False

    def apply(self, change: dict[str, Any]) -> None:
        """Change some of the cuts.

        :param change: new values by field name; ``add_cut_hosts`` adds to
            ``cut_hosts``, so that several cuts can be made at the same time.
        :raises msgspec.ValidationError: a field is unknown or has a wrong type.
        """
        fields = {**msgspec.structs.asdict(self), **change}
        added = fields.pop("add_cut_hosts", [])
        merged = msgspec.convert(fields, Cuts)
        merged.cut_hosts = [*merged.cut_hosts, *added]
        for name in self.__struct_fields__:
            setattr(self, name, getattr(merged, name))

    def has_cut(self, host: Host) -> bool:
        """Tell whether a host cannot be called.

        :param host: the host.
        :returns: True if calls to it fail.
        """
        return host.host_id in self.cut_hosts


class CutPeerClient(PeerClient):
    """Peer client whose calls to cut hosts fail.

    :param inner: the real client.
    :param cuts: what is cut.
    """

    def __init__(self, inner: PeerClient, cuts: Cuts):
        self._inner = inner
        self._cuts = cuts

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    async def _fail(self, host: Host, timeout: timedelta) -> Err[PeerFailure]:
        if self._cuts.mode is CutMode.REFUSED:
            detail = "connection refused by the test daemon"
            return Err(PeerFailure(PeerFailureKind.NOT_SENT, host.host_id, detail))
        await asyncio.sleep(timeout.total_seconds())
        detail = "no answer, cut by the test daemon"
        return Err(PeerFailure(PeerFailureKind.TIMEOUT, host.host_id, detail))

    async def _call(
        self,
        call: Callable[
            [Host, Request, timedelta], Awaitable[Result[Reply, PeerFailure]]
        ],
        host: Host,
        request: Request,
        timeout: timedelta,
    ) -> Result[Reply, PeerFailure]:
        if self._cuts.has_cut(host):
            return await self._fail(host, timeout)
        result = await call(host, request, timeout)
        if self._cuts.has_cut(host):
            return await self._fail(host, timeout)
        return result

    async def probe(
        self, host: Host, request: ProbeRequest, timeout: timedelta
    ) -> Result[ProbeReply, PeerFailure]:
        """Send a heartbeat unless the host is cut."""
        return await self._call(self._inner.probe, host, request, timeout)

    async def fetch_documents(
        self, host: Host, request: DocumentsRequest, timeout: timedelta
    ) -> Result[DocumentsReply, PeerFailure]:
        """Pull newer documents unless the host is cut."""
        return await self._call(self._inner.fetch_documents, host, request, timeout)

    async def fetch_observations(
        self, host: Host, request: ObservationsRequest, timeout: timedelta
    ) -> Result[ObservationsReply, PeerFailure]:
        """Read the state of upstreams unless the host is cut."""
        return await self._call(self._inner.fetch_observations, host, request, timeout)

    async def send_subqueries(
        self, host: Host, batch: SubqueryBatch, timeout: timedelta
    ) -> AsyncIterator[Result[PartialAnswer, PeerFailure]]:
        """Send a batch and pass on its lines until the host is cut."""
        if self._cuts.has_cut(host):
            yield await self._fail(host, timeout)
            return
        lines = self._inner.send_subqueries(host, batch, timeout)
        async with contextlib.aclosing(lines):
            async for line in lines:
                if self._cuts.has_cut(host):
                    yield await self._fail(host, timeout)
                    return
                yield line

    async def run(
        self, host: Host, request: RunRequest, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Ask an owner to run a request unless the host is cut."""
        return await self._call(self._inner.run, host, request, timeout)

    async def forward_run_once(
        self, host: Host, request: RunOnceForward, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Pass a run-once request on unless the host is cut."""
        return await self._call(self._inner.forward_run_once, host, request, timeout)


class Relay:
    """Passes connections on to a stand-in service and drops them while it is cut.

    :param target: address of the service.
    :param is_cut: tells whether the service is cut.
    """

    def __init__(self, target: str, is_cut: Callable[[], bool]):
        self._target = target
        self._is_cut = is_cut
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        """Listen on an address that the kernel chooses.

        :returns: the address.
        """
        ip, port = split_address(ANY_PORT_ADDRESS)
        self._server = await asyncio.start_server(self._accept, ip, port)
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    def drop_if_cut(self) -> None:
        """Close every open connection if the service is cut."""
        if self._is_cut():
            for writer in list(self._writers):
                writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and close every connection."""
        for writer in list(self._writers):
            writer.transport.abort()
        if self._server is not None:
            self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut():
            writer.transport.abort()
            return
        ip, port = split_address(self._target)
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, port)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._copy(reader, far_writer), self._copy(far_reader, writer)
            )
        finally:
            self._writers -= both

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                writer.write(chunk)
                await writer.drain()
        writer.close()
