"""Pool of keep-alive connections to the upstreams."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.addresses import split_address
from celeryferry_core.environment import Clock
from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.outcomes import LossReason, Lost, Refused
from celeryferry_core.forwarding.outcomes import RefusalReason as Reason
from celeryferry_core.forwarding.processes import (
    SILENCE_TIME,
    DoubtCause,
    Known,
    ProcessIdentity,
    Unknown,
)
from celeryferry_daemon._internal.forwarding.connection import (
    ConnectionLost,
    MalformedResponse,
    RawResponse,
    ReceivedBytes,
    ResponsePredicate,
    UpstreamConnection,
)
from celeryferry_daemon._internal.forwarding.keep_alive import compute_max_idle_time
from celeryferry_daemon._internal.forwarding.questions import ProcessQuestions

# Connecting to a running upstream takes a few milliseconds. One whose machine is gone
# never answers, so waiting longer is of no use.
CONNECT_TIMEOUT = timedelta(milliseconds=500)
# Requests wait for the answer to a question, so its connection has less time.
QUESTION_CONNECT_TIMEOUT = timedelta(milliseconds=250)
# A request that must not be repeated is sent only on a connection that was idle for
# less than this time, since the upstream may be closing an older one.
MAX_IDLE_TIME_UNREPEATABLE = timedelta(milliseconds=500)


@dataclass(slots=True)
class _IdleConnection:
    connection: UpstreamConnection
    since: timedelta
    max_idle_time: timedelta


class UpstreamPool:
    """Keep-alive connections, kept by instance id of the upstream.

    When the last connection to an upstream is lost, the pool connects again at once.
    This tells a process that has ended, which refuses the connection, from one that has
    only closed connections. An upstream whose process is not known is asked whether it
    is cold before it gets a request on a new connection.

    :ivar on_reached: called with each upstream that has accepted a connection, and the
        monotonic time.
    :ivar on_refused: called with each upstream that refuses connections while none to
        it is open.
    :ivar opened_count: connections opened since the start.
    :ivar questions: tells whether the processes of upstreams are known, and asks them.
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
        "questions",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._busy: set[UpstreamConnection] = set()
        # Open connections by instance id, each with its upstream.
        self._open_connections: dict[str, dict[UpstreamConnection, Upstream]] = {}
        self._checks: dict[str, asyncio.Task] = {}
        self.questions = ProcessQuestions(clock, self._ask)
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
        connection: UpstreamConnection | None = None
        sent_at: timedelta | None = None
        try:
            async with asyncio.timeout(self._seconds_until(deadline)):
                connection = await self._acquire(upstream, is_repeatable)
                if connection is None:
                    return Refused(Reason.CONNECT_FAILED)
                payload = make_payload(self._clock.monotonic())
                if payload is None:
                    self._release(upstream, connection, None)
                    return Refused(Reason.NOT_SENT)
                sent_at = self._clock.monotonic()
                return await self._exchange(upstream, connection, payload, accepts)
        except TimeoutError:
            if sent_at is not None:
                self._record_silent(upstream, connection)
                # The connection may be dead without a reset. Idle connections to the
                # same upstream may be dead for the same reason.
                self.close_idle(upstream.instance_id)
                return Lost(LossReason.TIMEOUT)
            return Refused(Reason.CONNECT_FAILED)
        except asyncio.CancelledError:
            if sent_at is not None and self._is_silent(connection, sent_at):
                self._record_silent(upstream, connection)
            raise

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
        self.questions.drop_expired()

    def check_presence(self, upstream: Upstream) -> None:
        """Connect to an upstream in the background; nothing is sent.

        ``on_reached`` or ``on_refused`` tells the result. A check that is under way is
        not repeated.
        """
        instance_id = upstream.instance_id
        if instance_id not in self._checks:
            task = asyncio.get_running_loop().create_task(self._check(upstream))
            self._checks[instance_id] = task
            task.add_done_callback(lambda _: self._checks.pop(instance_id, None))

    def record_source_lost(self, unnoticed_time: timedelta) -> None:
        """Record that the source of entries can't be read.

        :param unnoticed_time: time for which the loss may have been unnoticed.
        """
        self.questions.record_source_lost(self._open_connections, unnoticed_time)

    async def _check(self, upstream: Upstream) -> None:
        identity = self._identify(upstream)
        if isinstance(identity, Unknown) and self.questions.inquiry.may_ask(upstream):
            await self.questions.settle(upstream, identity)
            return
        connection = await self._open(upstream)
        if connection is not None:
            self._release(upstream, connection, None)

    async def _acquire(
        self, upstream: Upstream, is_repeatable: bool
    ) -> UpstreamConnection | None:
        """Return a connection to the known process of an upstream, None without one."""
        while True:
            identity = self._identify(upstream)
            connection = self._acquire_idle(upstream, is_repeatable, identity)
            if connection is not None:
                return connection
            if isinstance(identity, Unknown):
                if not await self.questions.settle(upstream, identity):
                    return None
                continue
            connection = await self._open(upstream)
            if connection is None or isinstance(self._identify(upstream), Known):
                return connection
            self._release(upstream, connection, None)

    def _identify(self, upstream: Upstream) -> ProcessIdentity:
        connections = self._open_connections.get(upstream.instance_id, {})
        return self.questions.identify(upstream, connections)

    def _record_silent(
        self, upstream: Upstream, connection: UpstreamConnection
    ) -> None:
        since, cause = connection.heard_at, DoubtCause.SILENT
        self.questions.record_doubt(upstream.instance_id, since, cause)

    def _is_silent(self, connection: UpstreamConnection, sent_at: timedelta) -> bool:
        """Return whether a request that is being cancelled was sent long ago."""
        silent_since = max(sent_at, connection.heard_at)
        return self._clock.monotonic() - silent_since >= SILENCE_TIME

    async def _ask(self, upstream: Upstream) -> bool:
        """Ask an upstream on a new connection whether it is cold.

        :returns: whether its process is known now.
        """
        connection = await self._open(upstream, QUESTION_CONNECT_TIMEOUT)
        if connection is None:
            return False
        inquiry = self.questions.inquiry
        if not inquiry.is_askable(upstream):
            inquiry.record_unanswerable(upstream)
            self._settle(upstream, connection)
            self._release(upstream, connection, None)
            return True
        question = inquiry.make_question(upstream)
        response = await self._exchange(
            upstream, connection, question, lambda response: True
        )
        if not isinstance(response, RawResponse):
            return False
        is_settled = inquiry.record_answer(upstream, response)
        if is_settled:
            self._settle(upstream, connection)
        return is_settled

    def _settle(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        """Record that the process at the other end of a connection is known.

        Idle connections that may reach another one are closed.
        """
        instance_id = upstream.instance_id
        for idle in list(self._idle.get(instance_id, ())):
            if idle.connection is not connection:
                idle.connection.close()
        self.questions.record_settled(instance_id)

    def close(self) -> None:
        """Close all connections, including those with a running exchange."""
        self.questions.cancel()
        for check in list(self._checks.values()):
            check.cancel()
        for instance_id in list(self._idle):
            self.close_idle(instance_id)
        for connection in list(self._busy):
            connection.close()

    def _seconds_until(self, deadline: timedelta) -> float:
        return max(0.0, (deadline - self._clock.monotonic()).total_seconds())

    async def _open(
        self, upstream: Upstream, timeout: timedelta = CONNECT_TIMEOUT
    ) -> UpstreamConnection | None:
        ip, port = split_address(upstream.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        upstream.instance_id,
                        self._received,
                        self._forget_closed,
                        self._clock,
                    ),
                    ip,
                    port,
                )
        except ConnectionRefusedError:
            # With an open connection the process exists, and only refuses more.
            if upstream.instance_id not in self._open_connections:
                self.on_refused(upstream)
            return None
        except (OSError, TimeoutError):
            opened = self._open_connections.get(upstream.instance_id, {})
            since = max((each.heard_at for each in opened), default=timedelta(0))
            cause = DoubtCause.UNREACHABLE
            self.questions.record_doubt(upstream.instance_id, since, cause)
            return None
        except (ValueError, OverflowError):
            # Not an address.
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
        self, upstream: Upstream, is_repeatable: bool, identity: ProcessIdentity
    ) -> UpstreamConnection | None:
        idle_connections = self._idle.get(upstream.instance_id, [])
        now = self._clock.monotonic()
        while idle_connections:
            idle = idle_connections.pop()
            idle_time = now - idle.since
            is_fresh = is_repeatable or idle_time < MAX_IDLE_TIME_UNREPEATABLE
            match identity:
                case Known():
                    reaches_known = True
                case Unknown(since):
                    reaches_known = idle.connection.opened_at <= since
            if idle_time < idle.max_idle_time and is_fresh and reaches_known:
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
        if upstream is None:
            return
        # A connection that carried nothing is not replaced, as an upstream with a short
        # idle timeout would close its successors, too.
        is_telling = connection.is_lost and connection.has_carried_request
        if is_telling:
            since, cause = connection.heard_at, DoubtCause.LOST
            self.questions.record_doubt(connection.instance_id, since, cause)
        if opened:
            return
        del self._open_connections[connection.instance_id]
        if is_telling:
            self.check_presence(upstream)
