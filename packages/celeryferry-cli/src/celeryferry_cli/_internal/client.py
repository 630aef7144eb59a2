"""HTTP client for daemons. The client itself never retries a call."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Any, TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from celeryferry_core.models.callers import ErrorAnswer, ErrorBody

CONNECT_TIMEOUT = timedelta(seconds=3)
MAX_ERROR_TEXT_BYTES = 200
# A response with one of these statuses and no JSON error body comes from the HTTP
# server, which rejected the request before it reached any code that could run it.
REJECTED_STATUSES = (401, 403, 404, 405)
TOKEN_REJECTED_HINT = "the fleet token was rejected; check --token-file"
CALLERS_ADDRESS_HINT = (
    "this is a peer listener; give the address of a listener for callers "
    "(callers_address in the host's settings)"
)
PEERS_ADDRESS_HINT = (
    "not found; give the address of a peer listener "
    "(peers_address in the host's settings)"
)
CONNECT_FAILED_DETAIL = (
    "connection failed; check the address and whether the host is running"
)
# Response body of the HTTP server for a path without a route.
UNKNOWN_PATH_BODY = b"404: Not Found"

Answer = TypeVar("Answer")


class CallFailureKind(StrEnum):
    """Reasons why a call brought no usable answer."""

    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    BAD_ANSWER = "bad_answer"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without a usable answer.

    :param kind: ``not_sent`` and ``rejected`` mean that the request did not run; with
        any other kind it may have run.
    :param address: ``ip:port`` of the daemon.
    :param detail: cause of the failure, for people.
    """

    kind: CallFailureKind
    address: str
    detail: str

    @property
    def ran_nothing(self) -> bool:
        """Whether the request certainly did not run."""
        return self.kind in (CallFailureKind.NOT_SENT, CallFailureKind.REJECTED)

    def __str__(self) -> str:
        return f"{self.address}: {self.detail}"


@dataclass(frozen=True, slots=True)
class DaemonError:
    """An error in the JSON body of a daemon's answer.

    :param address: ``ip:port`` of the daemon.
    :param error: decoded error; its ``ran`` says whether the request ran.
    """

    address: str
    error: ErrorBody

    def __str__(self) -> str:
        return f"{self.address}: {self.error.type}: {self.error.message}"


CallError = CallFailure | DaemonError


class DaemonClient:
    """Sends requests to daemons over HTTP.

    :param session: HTTP session; :func:`open_client` makes one that opens a new
        connection for each call.
    :param token: fleet token for peer listeners, None for listeners for callers.
    """

    __slots__ = ("_headers", "_session")

    def __init__(self, session: aiohttp.ClientSession, token: str | None) -> None:
        self._session = session
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}

    async def get(
        self, address: str, path: str, answer_type: type[Answer], timeout: timedelta
    ) -> Result[Answer, CallError]:
        """Send a GET request.

        :param address: ``ip:port`` of the daemon.
        :param path: path with the query string.
        :param answer_type: type that the JSON answer is decoded to.
        :param timeout: time limit of the whole call, including the connection.
        :returns: the decoded answer, or why there is none.
        """
        return await self._call("GET", address, path, None, answer_type, timeout)

    async def post(
        self,
        address: str,
        path: str,
        message: Any,
        answer_type: type[Answer],
        timeout: timedelta,
    ) -> Result[Answer, CallError]:
        """Send a POST request.

        :param address: ``ip:port`` of the daemon.
        :param message: value sent as JSON.
        :param answer_type: type that the JSON answer is decoded to.
        :param timeout: time limit of the whole call, including the connection.
        :returns: the decoded answer, or why there is none.
        """
        body = msgspec.json.encode(message)
        return await self._call("POST", address, path, body, answer_type, timeout)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        answer_type: type[Answer],
        timeout: timedelta,
    ) -> Result[Answer, CallError]:
        headers = dict(self._headers)
        if body is not None:
            headers["Content-Type"] = "application/json"
        client_timeout = aiohttp.ClientTimeout(
            total=timeout.total_seconds(),
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
        )
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body,
                headers=headers,
                timeout=client_timeout,
                allow_redirects=False,
            ) as response:
                content = await response.read()
            has_token = bool(self._headers)
            return _decode_answer(
                address, response.status, content, answer_type, has_token
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return _build_failure(
                CallFailureKind.NOT_SENT, address, CONNECT_FAILED_DETAIL
            )
        except TimeoutError:
            detail = f"no answer within {timeout.total_seconds():g} s"
            return _build_failure(CallFailureKind.TIMEOUT, address, detail)
        except (aiohttp.ClientError, OSError) as error:
            detail = f"connection lost ({type(error).__name__})"
            return _build_failure(CallFailureKind.CONNECTION_LOST, address, detail)


@asynccontextmanager
async def open_client(token: str | None = None) -> AsyncIterator[DaemonClient]:
    """Open a client that makes a new connection for each call.

    :param token: fleet token for peer listeners, None for listeners for callers.
    :returns: context manager that closes the HTTP session at its end.
    """
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield DaemonClient(session, token)


async def call_first_reachable(
    addresses: tuple[str, ...], call: Any
) -> Result[Any, CallError]:
    """Call the addresses in turn until one answers.

    Only for repeatable calls: a call that failed may have run.

    :param addresses: at least one ``ip:port``.
    :param call: coroutine function that takes an address and returns a result.
    :returns: the first answer or :class:`DaemonError`, else the last failure.
    """
    result: Result[Any, CallError] | None = None
    for address in addresses:
        result = await call(address)
        if result.is_ok() or isinstance(result.err_value, DaemonError):
            break
        await asyncio.sleep(0)
    assert result is not None
    return result


def _decode_answer(
    address: str,
    status: int,
    content: bytes,
    answer_type: type[Answer],
    has_token: bool,
) -> Result[Answer, CallError]:
    try:
        if status in (200, 202):
            return Ok(msgspec.json.decode(content, type=answer_type))
        error = msgspec.json.decode(content, type=ErrorAnswer).error
    except (msgspec.DecodeError, RecursionError) as decode_error:
        if status in REJECTED_STATUSES:
            detail = _explain_rejection(status, content, has_token)
            return _build_failure(
                CallFailureKind.REJECTED, address, f"{status}: {detail}"
            )
        cause = decode_error if status < 400 else _format_body(content)
        detail = f"cannot decode the answer with status {status}: {cause}"
        return _build_failure(CallFailureKind.BAD_ANSWER, address, detail)
    return Err(DaemonError(address, error))


def _explain_rejection(status: int, content: bytes, has_token: bool) -> str:
    if status == 401:
        return TOKEN_REJECTED_HINT if has_token else CALLERS_ADDRESS_HINT
    if has_token and content.strip() == UNKNOWN_PATH_BODY:
        return PEERS_ADDRESS_HINT
    return _format_body(content)


def _build_failure(
    kind: CallFailureKind, address: str, detail: str
) -> Err[CallFailure]:
    return Err(CallFailure(kind, address, detail))


def _format_body(content: bytes) -> str:
    text = content[:MAX_ERROR_TEXT_BYTES].decode("ascii", "replace")
    return " ".join(text.split())
