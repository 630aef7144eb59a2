"""Connections to one upstream."""

import asyncio
from collections.abc import Callable
from functools import lru_cache

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from yarl import URL

from celeryferry_core.exceptions import CeleryferryError
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import NotRun
from celeryferry_daemon._internal.bodies import SKIPPED_HEADERS, TrackedBody
from celeryferry_daemon._internal.owner.deadlines import Deadlines
from celeryferry_daemon._internal.owner.replies import (
    BAD_ANSWER,
    LOST,
    UNREACHABLE,
    AnswerReader,
    Expectation,
    Reply,
)

# The front accepts lines of at most 1 MiB; 4096 bytes are left for the envelope that
# surrounds an answer on its line.
MAX_ANSWER_BYTES = 1_048_576 - 4_096
MAX_CONNECT_SECONDS = 1.0
# Fraction of the remaining time after which opening a connection times out. A
# connection timeout proves that nothing was sent, so it must come before the deadline
# of the request.
CONNECT_TIMEOUT_FRACTION = 0.8
KEEP_ALIVE_SECONDS = 30.0
HEALTH_CONNECTIONS = 1


class _Pool:
    """A client session and the number of requests that use it."""

    __slots__ = ("session", "active_requests")

    def __init__(self, connections: int) -> None:
        self.active_requests = 0
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=max(1, connections - HEALTH_CONNECTIONS),
                keepalive_timeout=KEEP_ALIVE_SECONDS,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=SKIPPED_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )


class AnswerTooLargeError(CeleryferryError):
    """An answer is larger than ``MAX_ANSWER_BYTES``."""


class _SendRefusedError(CeleryferryError):
    """The check just before the first byte refused the request."""


class _GuardedBody(TrackedBody):
    """Body that runs a check in the synchronous step that writes the first byte.

    Opening a connection may take long. The conditions under which the request was
    allowed may no longer hold when the connection is open.

    :param content: JSON body.
    :param check: returns a refusal, or None if the request may be sent.
    :param reports_lost_as_unknown: whether a request that was sent and lost has an
        unknown outcome. Tests set False: it is then reported as not run.
    :ivar refusal: refusal by the check, None if it passed or has not run.
    """

    def __init__(
        self,
        content: bytes,
        check: Callable[[], NotRun | None],
        reports_lost_as_unknown: bool = True,
    ) -> None:
        super().__init__(content)
        self._check = check
        self._reports_lost_as_unknown = reports_lost_as_unknown
        self.refusal: NotRun | None = None

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Run the check, then write headers and body.

        :param content_length: largest number of bytes to write.
        :raises _SendRefusedError: if the request may no longer be sent.
        """
        self.refusal = self._check()
        if self.refusal is not None:
            raise _SendRefusedError
        await super().write_with_length(writer, content_length)

    @property
    def lost_reply(self) -> Reply:
        """Reply to return if the connection fails now."""
        if self.refusal is not None:
            return Reply(self.refusal)
        return LOST if self.is_sent and self._reports_lost_as_unknown else UNREACHABLE


class UpstreamClient:
    """HTTP client of one upstream.

    The client never sends a request twice: aiohttp retries only idempotent methods, and
    redirects, which could repeat a POST, are not followed.

    :param address: ``ip:port`` of the upstream.
    :param connections: largest number of connections.
    :param mechanisms: protections that are active; tests turn off some of them.
    """

    __slots__ = (
        "_closing",
        "_connections",
        "_deadlines",
        "_mechanisms",
        "_pool",
        "_reader",
        "_urls",
    )

    def __init__(self, address: str, connections: int, mechanisms: Mechanisms) -> None:
        self._connections = connections
        self._mechanisms = mechanisms
        self._urls = {
            path: URL(f"http://{address}/{path}")
            for path in ("search", "run", "health")
        }
        self._pool = _Pool(connections)
        self._closing: set[asyncio.Task] = set()
        self._deadlines = Deadlines()
        self._reader = AnswerReader(mechanisms)

    def replace_connections(self, connections: int) -> None:
        """Apply a changed number of connections by switching to a new pool.

        Requests that are running finish on the previous pool.

        :param connections: largest number of connections.
        """
        if connections != self._connections:
            self._connections = connections
            self._retire(self._pool)

    async def close(self) -> None:
        """Close all connections, and wait for retired pools to close."""
        self._deadlines.close()
        await self._pool.session.close()
        if self._closing:
            await asyncio.wait(self._closing)

    async def send(
        self,
        path: str,
        body: bytes,
        headers: dict[str, str],
        expected: Expectation,
        timeout: float,
        check: Callable[[], NotRun | None],
    ) -> Reply:
        """Send one request. Cancelling the task closes the connection.

        :param path: ``search`` or ``run``.
        :param body: JSON body.
        :param headers: headers of the upstream protocol.
        :param expected: what the answer has to match.
        :param timeout: bound of the whole request in seconds.
        :param check: called just before the first byte is written; returns a refusal
            or None.
        :returns: outcome, and what the answer says about the upstream.
        :raises TimeoutError: if the request was sent and no answer came in time.
        """
        guarded = _GuardedBody(body, check, self._mechanisms.sent_unknown)
        pool = self._pool
        pool.active_requests += 1
        reply: Reply | None = None
        task = asyncio.current_task()
        assert task is not None
        self._deadlines.add(task, timeout)
        try:
            reply = await self._exchange(
                pool, path, guarded, headers, expected, timeout
            )
        except asyncio.CancelledError:
            # ``remove`` returns True if the deadline has not passed; ``uncancel`` is
            # non-zero if there was another cancellation besides that of the deadline.
            # Both are passed on.
            if self._deadlines.remove(task) or task.uncancel():
                raise
            if guarded.is_sent:
                raise TimeoutError from None
            reply = guarded.lost_reply
        finally:
            self._deadlines.remove(task)
            pool.active_requests -= 1
            is_bad = reply is not None and reply.is_bad_answer
            if is_bad and self._mechanisms.connection_retire:
                self._retire(pool)
            elif pool is not self._pool and pool.active_requests == 0:
                self._close_later(pool)
        return reply

    async def _exchange(
        self,
        pool: _Pool,
        path: str,
        body: _GuardedBody,
        headers: dict[str, str],
        expected: Expectation,
        timeout: float,
    ) -> Reply:
        try:
            response = await pool.session.post(
                self._urls[path],
                data=body,
                headers=headers,
                allow_redirects=False,
                timeout=_make_connect_timeout(timeout),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return UNREACHABLE
        except aiohttp.ClientResponseError:
            return BAD_ANSWER
        except (aiohttp.ClientError, OSError):
            return body.lost_reply
        try:
            content = await read_bounded(response)
            return self._reader.read(
                response.status, response.headers, content, expected
            )
        except (aiohttp.ClientPayloadError, AnswerTooLargeError):
            return BAD_ANSWER
        except (aiohttp.ClientError, OSError):
            return LOST
        finally:
            # If the answer was read to its end, the connection is back in the pool by
            # now; otherwise this closes the connection.
            if self._mechanisms.connection_close:
                response.close()
            else:
                response.release()

    def _retire(self, pool: _Pool) -> None:
        """Replace a pool and close its connections once no request uses it.

        aiohttp returns a connection to its pool at the end of the body, before the
        body can be checked. The connection of a bad answer can then no longer be told
        from the others, so all of them are closed.

        :param pool: pool whose connections are to be closed.
        """
        if pool is self._pool:
            self._pool = _Pool(self._connections)
        if pool.active_requests == 0:
            self._close_later(pool)

    def _close_later(self, pool: _Pool) -> None:
        task = asyncio.get_running_loop().create_task(pool.session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _make_connect_timeout(seconds: float) -> aiohttp.ClientTimeout:
    connect_ms = int(
        1000 * min(MAX_CONNECT_SECONDS, seconds * CONNECT_TIMEOUT_FRACTION)
    )
    # aiohttp treats zero as "no timeout", so the smallest value is 1 ms.
    return _make_cached_timeout(max(1, connect_ms))


@lru_cache(maxsize=1000)
def _make_cached_timeout(connect_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=None, sock_connect=connect_ms / 1000)


async def read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Read a body of at most ``MAX_ANSWER_BYTES``.

    :returns: whole body.
    :raises AnswerTooLargeError: if the body is larger; the rest is not read.
    """
    if response.content.is_eof():
        # Fast path: most answers are short and arrive together with their headers.
        body = response.content.read_nowait()
        if len(body) > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError
        return body
    declared = response.content_length
    if declared is not None and declared > MAX_ANSWER_BYTES:
        raise AnswerTooLargeError
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError
        chunks.append(chunk)
    return b"".join(chunks)
