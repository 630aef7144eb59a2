"""Whether connections to an upstream reach the process that its entry describes.

Load pattern: an upstream falls silent, or is reset, and another process takes its place
while the source of entries says nothing of it. The new process is cold, and the full
load that the old one bore would end it.
"""

from collections.abc import Callable, Collection, Mapping
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import msgspec

# A request that was sent this long ago, on a connection that has been silent since, may
# be waiting for a process that is gone. Starting a process takes about as long.
SILENCE_TIME = timedelta(milliseconds=500)


class DoubtCause(StrEnum):
    """Why the process of an upstream is not known."""

    LOST = "connection_lost"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    NO_WITNESS = "no_witness"


class Known(msgspec.Struct, frozen=True, gc=False):
    """Connections reach the process that the entry describes."""


class Unknown(msgspec.Struct, frozen=True, gc=False):
    """Another process may have taken the place of the known one.

    :param since: latest time at which the known process was certainly there. A
        connection that was opened by then reaches it or is dead.
    """

    since: timedelta
    cause: DoubtCause


ProcessIdentity = Known | Unknown


class Warm(msgspec.Struct, frozen=True, gc=False):
    """An upstream has said that it is not cold."""


class Cold(msgspec.Struct, frozen=True, gc=False):
    """An upstream has said that it is cold.

    :param time_left: time for which it stays cold.
    """

    time_left: timedelta


class Undecided(msgspec.Struct, frozen=True, gc=False):
    """An upstream could not answer the question now."""


class OtherInstance(msgspec.Struct, frozen=True, gc=False):
    """Another instance has answered at the address of an upstream."""


class Unstated(msgspec.Struct, frozen=True, gc=False):
    """An upstream does not say whether it is cold."""


WarmupStatement = Warm | Cold | Undecided | OtherInstance | Unstated


def describe_statement(statement: WarmupStatement) -> str:
    """Return a statement as one word, for the log and the metrics."""
    match statement:
        case Warm():
            return "warm"
        case Cold():
            return "cold"
        case Undecided():
            return "undecided"
        case OtherInstance():
            return "other_instance"
        case Unstated():
            return "unstated"


class ContactTimes(Protocol):
    """Times of an open connection, all monotonic.

    :ivar opened_at: when it was opened.
    :ivar heard_at: when the upstream was last heard on it, at first ``opened_at``.
    :ivar sent_at: when the request under way was sent, None without one.
    """

    opened_at: timedelta
    heard_at: timedelta
    sent_at: timedelta | None


class _Doubt(msgspec.Struct, frozen=True, gc=False):
    """An event after which the process is not known.

    :param noticed_at: when this host noticed it.
    """

    since: timedelta
    noticed_at: timedelta
    cause: DoubtCause


class ProcessObservations:
    """What this host knows of the processes of upstreams, by instance id.

    A process is known as long as the source of entries can announce another one, or a
    connection that was open before is still answered. After a connection was lost or
    remained silent, only an answer on an older connection shows that the process is the
    same; without one the upstream must be asked. Arguments named ``now`` are monotonic
    times.
    """

    __slots__ = ("_asked_at", "_doubts", "_source_lost_at")

    def __init__(self) -> None:
        self._doubts: dict[str, _Doubt] = {}
        # Times of the latest answers to the question whether an upstream is cold.
        self._asked_at: dict[str, timedelta] = {}
        self._source_lost_at = timedelta(0)

    def record_doubt(
        self, instance_id: str, since: timedelta, cause: DoubtCause, now: timedelta
    ) -> None:
        """Record an event after which another process may have taken the place.

        :param since: latest time at which the known process was certainly there.
        """
        known = self._doubts.get(instance_id)
        if known is not None:
            since, cause = min(since, known.since), known.cause
        self._doubts[instance_id] = _Doubt(since, now, cause)

    def record_asked(self, instance_id: str, now: timedelta) -> None:
        """Record that an upstream has said whether it is cold, which ends the doubt."""
        self._doubts.pop(instance_id, None)
        self._asked_at[instance_id] = now

    def record_source_lost(
        self,
        connections: Mapping[str, Collection[ContactTimes]],
        unnoticed_time: timedelta,
        now: timedelta,
    ) -> None:
        """Record that the source of entries can't be read.

        :param connections: open connections by instance id.
        :param unnoticed_time: time for which the loss may have been unnoticed. The
            source vouches for no connection that was opened in it.
        """
        self._source_lost_at = since = now - unnoticed_time
        for instance_id, opened in connections.items():
            asked_at = self._asked_at.get(instance_id, since)
            if asked_at <= since and not any(
                each.opened_at <= since for each in opened
            ):
                self.record_doubt(instance_id, since, DoubtCause.NO_WITNESS, now)

    def forget(self, instance_id: str) -> None:
        """Drop what is known of an upstream that is gone or has a new entry."""
        self._doubts.pop(instance_id, None)
        self._asked_at.pop(instance_id, None)

    def keep_only(self, is_listed: Callable[[str], bool]) -> None:
        """Drop what is known of upstreams that are not listed."""
        for instance_id in [*self._doubts, *self._asked_at]:
            if not is_listed(instance_id):
                self.forget(instance_id)

    def identify(
        self,
        instance_id: str,
        connections: Collection[ContactTimes],
        is_source_read: bool,
        is_askable: bool,
        now: timedelta,
    ) -> ProcessIdentity:
        """Return whether a new connection reaches the known process.

        A doubt that arises here is kept until an older connection or the upstream
        itself ends it.

        :param connections: open connections to the upstream.
        :param is_source_read: whether the source of entries is known to be readable, so
            that it would announce a new process.
        :param is_askable: whether the upstream can be asked.
        """
        doubt = self._doubts.get(instance_id)
        if doubt is not None:
            if not any(
                each.opened_at <= doubt.since and each.heard_at > doubt.noticed_at
                for each in connections
            ):
                return Unknown(doubt.since, doubt.cause)
            del self._doubts[instance_id]
        identity = self._find_silence(instance_id, connections, now)
        if isinstance(identity, Known) and not is_source_read:
            identity = self._find_witness(instance_id, connections, is_askable, now)
        if isinstance(identity, Unknown):
            self.record_doubt(instance_id, identity.since, identity.cause, now)
        return identity

    def _find_silence(
        self, instance_id: str, connections: Collection[ContactTimes], now: timedelta
    ) -> ProcessIdentity:
        """Return Unknown if the known process may be gone behind a silent connection.

        Another connection shows that it is not.
        """
        asked_at = self._asked_at.get(instance_id)
        for silent in connections:
            if silent.sent_at is None:
                continue
            silent_since = max(silent.sent_at, silent.heard_at)
            if now - silent_since < SILENCE_TIME:
                continue
            was_heard = asked_at is not None and asked_at > silent_since
            was_heard |= any(
                each.opened_at <= silent.heard_at and each.heard_at > silent_since
                for each in connections
            )
            if not was_heard:
                return Unknown(silent.heard_at, DoubtCause.SILENT)
        return Known()

    def _find_witness(
        self,
        instance_id: str,
        connections: Collection[ContactTimes],
        is_askable: bool,
        now: timedelta,
    ) -> ProcessIdentity:
        """Return Known if the known process was heard just now.

        This is needed while the source does not announce new processes.
        """
        heard_at = max((each.heard_at for each in connections), default=timedelta(0))
        asked_at = self._asked_at.get(instance_id)
        if now - max(heard_at, asked_at or heard_at) < SILENCE_TIME:
            return Known()
        # One that can't be asked is taken for a new process once in each outage.
        if not is_askable and asked_at is not None and asked_at >= self._source_lost_at:
            return Known()
        return Unknown(heard_at, DoubtCause.NO_WITNESS)
