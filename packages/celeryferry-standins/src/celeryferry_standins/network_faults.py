"""Network faults that a test daemon injects into its own outgoing traffic."""

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


class FailureMode(StrEnum):
    """How a call to an unreachable host fails."""

    TIMEOUT = "timeout"
    REFUSED = "refused"


class NetworkFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Destinations that a daemon cannot reach.

    Each test daemon blocks only its own outgoing calls and their answers. A partition
    therefore needs the faults on the daemons of both sides.

    :param cut_hosts: ids of the unreachable hosts.
    :param mode: how calls fail.
    :param configuration_service: True if the configuration service is unreachable.
    :param host_list: True if the host list is unreachable.
    """

    cut_hosts: list[str] = []
    mode: FailureMode = FailureMode.TIMEOUT
    configuration_service: bool = False
    host_list: bool = False

    def apply(self, change: dict[str, Any]) -> None:
        """Change some of the faults.

        :param change: new values by field name; ``add_cut_hosts`` adds to
            ``cut_hosts``, so that several faults can be active at the same time.
        :raises msgspec.ValidationError: a field is unknown or has a wrong type.
        """
        fields = {**msgspec.structs.asdict(self), **change}
        added = fields.pop("add_cut_hosts", [])
        merged = msgspec.convert(fields, NetworkFaults)
        merged.cut_hosts = [*merged.cut_hosts, *added]
        for name in self.__struct_fields__:
            setattr(self, name, getattr(merged, name))

    def is_unreachable(self, host: Host) -> bool:
        """Return whether calls to a host fail."""
        return host.host_id in self.cut_hosts


class PartitionedPeerClient(PeerClient):
    """Peer client whose calls to unreachable hosts fail.

    :param inner: client that sends the other calls.
    :param faults: current faults; read at each call and again at each answer.
    """

    def __init__(self, inner: PeerClient, faults: NetworkFaults):
        self._inner = inner
        self._faults = faults

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    async def _fail(self, host: Host, timeout: timedelta) -> Err[PeerFailure]:
        if self._faults.mode is FailureMode.REFUSED:
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
        if self._faults.is_unreachable(host):
            return await self._fail(host, timeout)
        result = await call(host, request, timeout)
        if self._faults.is_unreachable(host):
            return await self._fail(host, timeout)
        return result

    async def probe(
        self, host: Host, request: ProbeRequest, timeout: timedelta
    ) -> Result[ProbeReply, PeerFailure]:
        """Send a heartbeat; fails if the host is unreachable."""
        return await self._call(self._inner.probe, host, request, timeout)

    async def fetch_documents(
        self, host: Host, request: DocumentsRequest, timeout: timedelta
    ) -> Result[DocumentsReply, PeerFailure]:
        """Fetch newer documents; fails if the host is unreachable."""
        return await self._call(self._inner.fetch_documents, host, request, timeout)

    async def fetch_observations(
        self, host: Host, request: ObservationsRequest, timeout: timedelta
    ) -> Result[ObservationsReply, PeerFailure]:
        """Fetch the state of upstreams; fails if the host is unreachable."""
        return await self._call(self._inner.fetch_observations, host, request, timeout)

    async def send_subqueries(
        self, host: Host, batch: SubqueryBatch, timeout: timedelta
    ) -> AsyncIterator[Result[PartialAnswer, PeerFailure]]:
        """Send a batch and yield its answers until the host is unreachable."""
        if self._faults.is_unreachable(host):
            yield await self._fail(host, timeout)
            return
        lines = self._inner.send_subqueries(host, batch, timeout)
        async with contextlib.aclosing(lines):
            async for line in lines:
                if self._faults.is_unreachable(host):
                    yield await self._fail(host, timeout)
                    return
                yield line

    async def run(
        self, host: Host, request: RunRequest, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Send a request to its owner; fails if the host is unreachable."""
        return await self._call(self._inner.run, host, request, timeout)

    async def forward_run_once(
        self, host: Host, request: RunOnceForward, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Forward a run-once request; fails if the host is unreachable."""
        return await self._call(self._inner.forward_run_once, host, request, timeout)


class TcpProxy:
    """TCP proxy to a stand-in service that drops connections on request.

    :param target: address of the service.
    :param is_unreachable: returns whether connections to the service are dropped.
    """

    def __init__(self, target: str, is_unreachable: Callable[[], bool]):
        self._target = target
        self._is_unreachable = is_unreachable
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        """Listen on a port that the kernel chooses.

        :returns: the address as ``ip:port``.
        """
        ip, port = split_address(ANY_PORT_ADDRESS)
        self._server = await asyncio.start_server(self._accept, ip, port)
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    def drop_if_unreachable(self) -> None:
        """Abort every open connection if the service is unreachable."""
        if self._is_unreachable():
            for writer in list(self._writers):
                writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        for writer in list(self._writers):
            writer.transport.abort()
        if self._server is not None:
            self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_unreachable():
            writer.transport.abort()
            return
        ip, port = split_address(self._target)
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, port)
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._copy(reader, target_writer), self._copy(target_reader, writer)
            )
        finally:
            self._writers -= writers

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                writer.write(chunk)
                await writer.drain()
        writer.close()
