"""Calls to other daemons over HTTP."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Generic, TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result
from yarl import URL

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
from celeryferry_daemon._internal.bodies import (
    SKIPPED_HEADERS,
    TrackedBody,
    read_bounded,
)
from celeryferry_daemon._internal.peers.exchange import Exchange, StatusError
from celeryferry_daemon._internal.peers.failures import (
    CALL_ERRORS,
)
from celeryferry_daemon._internal.peers.traffic import ControlTraffic

MAX_REPLY_BYTES = 4 * 1024 * 1024
MAX_LINE_BYTES = 1024 * 1024
MAX_CONTROL_CONNECTIONS_PER_PEER = 4
MAX_QUERY_CONNECTIONS_PER_PEER = 512
KEEPALIVE_SECONDS = 30.0

_T = TypeVar("_T")


def _make_session(token: str, connections: int) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, limit_per_host=connections, keepalive_timeout=KEEPALIVE_SECONDS
        ),
        headers={"Authorization": f"Bearer {token}"},
        skip_auto_headers=SKIPPED_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )


@dataclass(frozen=True, slots=True)
class _Endpoint(Generic[_T]):
    path: str
    reply_type: type[_T]
    is_control: bool = True


_PROBE = _Endpoint("/peer/v1/probe", ProbeReply)
_DOCUMENTS = _Endpoint("/peer/v1/documents", DocumentsReply)
_OBSERVATIONS = _Endpoint("/peer/v1/observations", ObservationsReply)
_RUN = _Endpoint("/peer/v1/run", RunReply, is_control=False)
_RUN_ONCE = _Endpoint("/peer/v1/run-once", RunReply, is_control=False)
_SUBQUERIES = _Endpoint("/peer/v1/subqueries", PartialAnswer, is_control=False)


class HttpPeerClient:
    """HTTP implementation of ``ports.PeerClient``; a failed call is never retried.

    :param token: fleet token.
    :ivar traffic: totals of the control calls so far.
    """

    __slots__ = (
        "_control_session",
        "_decoders",
        "_encoder",
        "_query_session",
        "_token",
        "_urls",
        "traffic",
    )

    def __init__(self, token: str) -> None:
        self._token = token
        self.traffic = ControlTraffic()
        self._control_session: aiohttp.ClientSession | None = None
        self._query_session: aiohttp.ClientSession | None = None
        self._encoder = msgspec.json.Encoder()
        self._decoders: dict[type, msgspec.json.Decoder] = {}
        self._urls: dict[tuple[str, str], URL] = {}

    async def start(self) -> None:
        """Create the connection pools; control calls have a pool of their own."""
        self._open_sessions()

    def _open_sessions(self) -> None:
        if self._control_session is None:
            self._control_session = _make_session(
                self._token, MAX_CONTROL_CONNECTIONS_PER_PEER
            )
            self._query_session = _make_session(
                self._token, MAX_QUERY_CONNECTIONS_PER_PEER
            )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._control_session, self._query_session):
            if session is not None:
                await session.close()

    async def probe(
        self, host: Host, request: ProbeRequest, timeout: timedelta
    ) -> Result[ProbeReply, PeerFailure]:
        """Send a probe.

        :param timeout: bound of the whole call.
        """
        return await self._call(_PROBE, host, request, timeout)

    async def fetch_documents(
        self, host: Host, request: DocumentsRequest, timeout: timedelta
    ) -> Result[DocumentsReply, PeerFailure]:
        """Fetch the documents that are newer than the known ones.

        :param request: versions and revisions of the known documents.
        :param timeout: bound of the whole call.
        """
        return await self._call(_DOCUMENTS, host, request, timeout)

    async def fetch_observations(
        self, host: Host, request: ObservationsRequest, timeout: timedelta
    ) -> Result[ObservationsReply, PeerFailure]:
        """Fetch the state of the upstreams that a host owns.

        :param request: application, and optionally the upstreams to report.
        :param timeout: bound of the whole call.
        """
        return await self._call(_OBSERVATIONS, host, request, timeout)

    async def run(
        self, host: Host, request: RunRequest, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Ask an owner to run a non-repeatable request.

        :param timeout: bound of the whole call.
        """
        return await self._call(_RUN, host, request, timeout)

    async def forward_run_once(
        self, host: Host, request: RunOnceForward, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Forward a request to the host that issued its ticket.

        :param timeout: bound of the whole call.
        """
        return await self._call(_RUN_ONCE, host, request, timeout)

    async def send_subqueries(
        self, host: Host, batch: SubqueryBatch, timeout: timedelta
    ) -> AsyncIterator[Result[PartialAnswer, PeerFailure]]:
        """Send a batch and iterate over the lines of its answer.

        :param timeout: bound of the whole call.
        :returns: iterator that ends after a line with ``final`` set or a failure.
            Closing the iterator before that closes the connection.
        """
        exchange = Exchange()
        is_last_line_read = False
        try:
            response = await self._post(exchange, _SUBQUERIES, host, batch, timeout)
            # In the loop it is also True after an error, which ends the iteration.
            while not is_last_line_read:
                line = await response.content.readline(max_line_length=MAX_LINE_BYTES)
                answer = self._decode_line(host, line)
                is_last_line_read = answer.is_err() or answer.ok_value.final
                yield answer
            # After an error, the rest of the stream is not awaited.
            is_last_line_read = answer.is_ok()
        except CALL_ERRORS as error:
            yield Err(exchange.classify(host, error))
        finally:
            await exchange.finish_stream(is_last_line_read)

    def _decode_line(
        self, host: Host, line: bytes
    ) -> Result[PartialAnswer, PeerFailure]:
        if not line.endswith(b"\n"):
            kind = PeerFailureKind.CONNECTION_LOST
            detail = "the stream ended without a final line"
            return Err(PeerFailure(kind, host.host_id, detail))
        try:
            return Ok(self._get_decoder(PartialAnswer).decode(line))
        except (ValueError, RecursionError) as error:
            kind = PeerFailureKind.BAD_ANSWER
            return Err(PeerFailure(kind, host.host_id, str(error)))

    async def _call(
        self,
        endpoint: _Endpoint[_T],
        host: Host,
        request: msgspec.Struct,
        timeout: timedelta,
    ) -> Result[_T, PeerFailure]:
        exchange = Exchange()
        try:
            response = await self._post(exchange, endpoint, host, request, timeout)
            content = await read_bounded(response, MAX_REPLY_BYTES)
            if endpoint.is_control:
                headers = response.request_info.headers
                self.traffic.count(endpoint.path, headers, len(content))
            return Ok(self._get_decoder(endpoint.reply_type).decode(content))
        except CALL_ERRORS as error:
            return Err(exchange.classify(host, error))
        finally:
            exchange.release()

    async def _post(
        self,
        exchange: Exchange,
        endpoint: _Endpoint,
        host: Host,
        request: msgspec.Struct,
        timeout: timedelta,
    ) -> aiohttp.ClientResponse:
        self._open_sessions()
        session = self._control_session if endpoint.is_control else self._query_session
        exchange.body = TrackedBody(self._encoder.encode(request))
        exchange.response = response = await session.post(
            self._get_url(host.peers_address, endpoint.path),
            data=exchange.body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=max(timeout.total_seconds(), 0.001)),
        )
        if response.status != 200:
            raise StatusError(response.status)
        return response

    def _get_decoder(self, message_type: type) -> msgspec.json.Decoder:
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = self._decoders[message_type] = msgspec.json.Decoder(message_type)
        return decoder

    def _get_url(self, address: str, path: str) -> URL:
        url = self._urls.get((address, path))
        if url is None:
            if len(self._urls) > 4096:
                self._urls.clear()
            url = self._urls[address, path] = URL(f"http://{address}{path}")
        return url
