"""Pool of keep-alive connections to the upstreams."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.addresses import split_address
from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.outcomes import LossReason, Lost, Refused
from celeryferry_core.forwarding.outcomes import RefusalReason as Reason
from celeryferry_daemon._internal.forwarding.connection import (
    ConnectionLost,
    MalformedResponse,
    RawResponse,
    ReceivedBytes,
    ResponsePredicate,
    UpstreamConnection,
)

# Connecting to a running upstream takes a few milliseconds. One whose machine is gone
# never answers, so waiting longer is of no use.
CONNECT_TIMEOUT = timedelta(milliseconds=500)
# Upstreams close idle connections after an idle timeout that each upstream chooses.
# This is the longest time that an idle connection is kept here; a Keep-Alive header can
# only shorten it.
MAX_IDLE_TIME = timedelta(seconds=4)
# Subtracted from the upstream's idle timeout, so that no request is sent on a
# connection that the upstream is about to close.
KEEP_ALIVE_MARGIN = timedelta(milliseconds=500)
# A request that must not be repeated is sent only on a connection that was idle for
# less than this time, since the upstream may be closing an older one.
MAX_IDLE_TIME_UNREPEATABLE = timedelta(milliseconds=500)
# A longer timeout has more digits than a real one and is ignored.
_KEEP_ALIVE_TIMEOUT_S = re.compile(r"timeout\s*=\s*([0-9]{1,6})", re.IGNORECASE)


@dataclass(slots=True)
class _IdleConnection:
    connection: UpstreamConnection
    since: timedelta
    max_idle_time: timedelta


class UpstreamPool:
    """Keep-alive connections, kept by instance id of the upstream.

    When the last connection to an upstream is lost, the pool connects again at once.
    This tells a process that has ended, which refuses the connection, from one that has
    only closed connections.

    :ivar on_reached: called with each upstream that has accepted a connection, and the
        monotonic time.
    :ivar on_refused: called with each upstream that refuses connections while none to
        it is open.
    :ivar opened_count: connections opened since the start.
    """

    __slots__ = (
        "_busy",
        "_checks",
        "_clock",
        "_idle",
        "_open_connections",
        "_received",
        "on_reached",
        "on_refused",
        "opened_count",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._busy: set[UpstreamConnection] = set()
        # Open connections by instance id, each with its upstream.
        self._open_connections: dict[str, dict[UpstreamConnection, Upstream]] = {}
        self._checks: dict[str, asyncio.Task] = {}
        self._received = ReceivedBytes()
        self.on_reached: Callable[[Upstream, timedelta], None] = lambda upstream, now: (
            None
        )
        self.on_refused: Callable[[Upstream], None] = lambda upstream: None
        self.opened_count = 0

    async def exchange(
        self,
        upstream: Upstream,
        make_payload: Callable[[timedelta], bytes | None],
        accepts: ResponsePredicate,
        deadline: timedelta,
        is_repeatable: bool,
    ) -> RawResponse | Refused | Lost:
        """Send a request at most once and wait for its response.

        :param make_payload: takes the monotonic time of sending and returns the encoded
            request, or None if it must not be sent any more.
        :param accepts: returns whether a response belongs to the request.
        :param deadline: monotonic time at which the exchange times out.
        :param is_repeatable: whether the request may run more than once. If not, only a
            recently used idle connection is reused.
        :returns: the response, ``Refused`` if nothing was sent, or ``Lost`` if it is
            unknown whether the upstream ran the request.
        """
        is_sent = False
        try:
            async with asyncio.timeout(self._seconds_until(deadline)):
                connection = self._acquire_idle(upstream, is_repeatable)
                if connection is None:
                    connection = await self._open(upstream)
                if connection is None:
                    return Refused(Reason.CONNECT_FAILED)
                payload = make_payload(self._clock.monotonic())
                if payload is None:
                    self._release(upstream, connection, None)
                    return Refused(Reason.NOT_SENT)
                is_sent = True
                return await self._exchange(upstream, connection, payload, accepts)
        except TimeoutError:
            if is_sent:
                # The connection may be dead without a reset. Idle connections to the
                # same upstream may be dead for the same reason.
                self.close_idle(upstream.instance_id)
                return Lost(LossReason.TIMEOUT)
            return Refused(Reason.CONNECT_FAILED)

    def close_idle(self, instance_id: str) -> None:
        """Close the idle connections to an upstream."""
        for idle in self._idle.pop(instance_id, []):
            idle.connection.close()

    def close_expired(self) -> None:
        """Close connections that were idle for their maximum idle time."""
        now = self._clock.monotonic()
        for instance_id, idle_connections in list(self._idle.items()):
            for idle in list(idle_connections):
                if now - idle.since >= idle.max_idle_time:
                    idle.connection.close()
            if not idle_connections:
                self._idle.pop(instance_id, None)

    def check_presence(self, upstream: Upstream) -> None:
        """Connect to an upstream in the background; nothing is sent.

        ``on_reached`` or ``on_refused`` tells the result. A check that is under way is
        not repeated.
        """
        instance_id = upstream.instance_id
        if instance_id not in self._checks:
            task = asyncio.get_running_loop().create_task(self._connect_idle(upstream))
            self._checks[instance_id] = task
            task.add_done_callback(lambda _: self._checks.pop(instance_id, None))

    async def _connect_idle(self, upstream: Upstream) -> None:
        connection = await self._open(upstream)
        if connection is not None:
            self._release(upstream, connection, None)

    def close(self) -> None:
        """Close all connections, including those with a running exchange."""
        for check in list(self._checks.values()):
            check.cancel()
        for instance_id in list(self._idle):
            self.close_idle(instance_id)
        for connection in list(self._busy):
            connection.close()

    def _seconds_until(self, deadline: timedelta) -> float:
        return max(0.0, (deadline - self._clock.monotonic()).total_seconds())

    async def _open(self, upstream: Upstream) -> UpstreamConnection | None:
        ip, port = split_address(upstream.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        upstream.instance_id, self._received, self._forget_closed
                    ),
                    ip,
                    port,
                )
        except ConnectionRefusedError:
            # With an open connection the process exists, and only refuses more.
            if upstream.instance_id not in self._open_connections:
                self.on_refused(upstream)
            return None
        except (OSError, ValueError, OverflowError, TimeoutError):
            return None
        self.opened_count += 1
        if connection.is_closed:
            return None
        opened = self._open_connections.setdefault(upstream.instance_id, {})
        opened[connection] = upstream
        self._busy.add(connection)
        self.on_reached(upstream, self._clock.monotonic())
        return connection

    async def _exchange(
        self,
        upstream: Upstream,
        connection: UpstreamConnection,
        payload: bytes,
        accepts: ResponsePredicate,
    ) -> RawResponse | Lost:
        outcome = await connection.exchange(payload, accepts)
        match outcome:
            case RawResponse():
                self._release(upstream, connection, outcome)
                return outcome
            case ConnectionLost():
                return Lost(LossReason.CONNECTION_LOST)
            case MalformedResponse():
                return Lost(LossReason.BAD_RESPONSE)

    def _acquire_idle(
        self, upstream: Upstream, is_repeatable: bool
    ) -> UpstreamConnection | None:
        idle_connections = self._idle.get(upstream.instance_id, [])
        now = self._clock.monotonic()
        while idle_connections:
            idle = idle_connections.pop()
            idle_time = now - idle.since
            is_fresh = is_repeatable or idle_time < MAX_IDLE_TIME_UNREPEATABLE
            if idle_time < idle.max_idle_time and is_fresh:
                self._busy.add(idle.connection)
                return idle.connection
            idle.connection.close()
        return None

    def _release(
        self,
        upstream: Upstream,
        connection: UpstreamConnection,
        response: RawResponse | None,
    ) -> None:
        self._busy.discard(connection)
        is_clean = not connection.has_unexpected_data and not connection.is_closed
        is_written = (
            connection.transport is not None
            and not connection.transport.get_write_buffer_size()
        )
        keep_open = response is None or response.keep_open
        max_idle_time = compute_max_idle_time(response)
        if is_clean and is_written and keep_open and max_idle_time > timedelta(0):
            idle = _IdleConnection(connection, self._clock.monotonic(), max_idle_time)
            self._idle.setdefault(upstream.instance_id, []).append(idle)
        else:
            connection.close()

    def _forget_closed(self, connection: UpstreamConnection) -> None:
        self._busy.discard(connection)
        self._count_closed(connection)
        for idle_connections in self._idle.values():
            for idle in idle_connections:
                if idle.connection is connection:
                    idle_connections.remove(idle)
                    return

    def _count_closed(self, connection: UpstreamConnection) -> None:
        opened = self._open_connections.get(connection.instance_id, {})
        # A connection may also close while it is being opened.
        upstream = opened.pop(connection, None)
        if upstream is None or opened:
            return
        del self._open_connections[connection.instance_id]
        # A connection that carried nothing is not replaced, as an upstream with a short
        # idle timeout would close its successors, too.
        if connection.is_lost and connection.has_carried_request:
            self.check_presence(upstream)


def compute_max_idle_time(response: RawResponse | None) -> timedelta:
    """Return how long a connection may stay idle and still be used again.

    This is the timeout of the Keep-Alive header minus ``KEEP_ALIVE_MARGIN``, but at
    most ``MAX_IDLE_TIME``, which also applies without the header. If the result is zero
    or negative, the connection must not be used again.

    :param response: response of this exchange, None if no request was sent.
    """
    value = None if response is None else response.get_header("keep-alive")
    for parameter in (value or "").split(","):
        timeout = _KEEP_ALIVE_TIMEOUT_S.fullmatch(parameter.strip())
        if timeout is not None:
            return min(
                MAX_IDLE_TIME, timedelta(seconds=int(timeout[1])) - KEEP_ALIVE_MARGIN
            )
    return MAX_IDLE_TIME
