"""Hosts of the fleet, known from heartbeats that hosts forward to one another."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from celeryferry_core.environment import RandomSource

# A host that was not heard from for this long is considered failed. Each host starts an
# exchange every 500 ms, and a heartbeat arrives over up to two hops. The time-out
# allows for three missed exchanges. It is the longest time for which a stopped host is
# still named to callers.
SILENCE_TIMEOUT = timedelta(seconds=4)
# A failed host is remembered for longer than its heartbeats can circulate, so that an
# old heartbeat does not bring it back.
FORGET_TIMEOUT = timedelta(seconds=30)
# Limits the size of one exchange's message at any fleet size.
MAX_SENT_HEARTBEATS = 48
# On average, one exchange in this many may go to another failure domain. With this
# value, four hosts of a domain together reach another domain about every 750 ms.
EXCHANGES_PER_REMOTE = 3
# A longer gap between two refreshes is a pause of this process. The other hosts only
# seem silent then, and are not considered failed.
OWN_PAUSE_THRESHOLD = timedelta(seconds=1)
# Callers of the forwarding daemon accept no more addresses from one answer. The limit
# in ``celeryferry_core.entry_hosts`` is for callers of the query daemon.
MAX_ENTRY_HOSTS = 64
# A caller with fewer hosts in its failure domain is told all hosts.
MIN_LOCAL_ENTRY_HOSTS = 2
# Number of hosts of other failure domains named in addition to the local ones.
REMOTE_ENTRY_HOST_COUNT = 1


class HostHeartbeat(msgspec.Struct, frozen=True, gc=False):
    """State that a host announces of itself; other hosts forward it unchanged.

    :param host_id: unique name of the host.
    :param failure_domain: failure domain of the host.
    :param callers_address: ``ip:port`` of the listener for callers.
    :param peers_address: ``ip:port`` of the listener for other hosts.
    :param started_ms: Unix time of the process start in milliseconds; a later start
        replaces an earlier one.
    :param beat: sequence number, increased with every heartbeat of the process.
    :param is_ready: whether the host serves callers.
    :param is_leaving: whether the host is stopping.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    peers_address: str
    started_ms: int
    beat: int
    is_ready: bool = False
    is_leaving: bool = False


@dataclass(slots=True)
class _KnownHost:
    heartbeat: HostHeartbeat
    last_heard_at: timedelta


class HostTable:
    """Hosts of the fleet as known to this host.

    Arguments named ``now`` are monotonic times.

    :param own_heartbeat: first heartbeat of this host.
    """

    __slots__ = ("_known_hosts", "_refreshed_at", "own_heartbeat", "random")

    def __init__(self, own_heartbeat: HostHeartbeat, random: RandomSource) -> None:
        self.own_heartbeat = own_heartbeat
        self.random = random
        self._known_hosts: dict[str, _KnownHost] = {}
        self._refreshed_at: timedelta | None = None

    def refresh_own_heartbeat(
        self, now: timedelta, is_ready: bool, is_leaving: bool
    ) -> None:
        """Advance the heartbeat of this host.

        The length of a pause of this process is not counted as silence of the other
        hosts, since their heartbeats could not be received.

        :param is_ready: whether this host serves callers.
        :param is_leaving: whether this host is stopping.
        """
        last = self._refreshed_at
        if last is not None and now - last > OWN_PAUSE_THRESHOLD:
            for known in self._known_hosts.values():
                known.last_heard_at += now - last
        self._refreshed_at = now
        self.own_heartbeat = msgspec.structs.replace(
            self.own_heartbeat,
            beat=self.own_heartbeat.beat + 1,
            is_ready=is_ready,
            is_leaving=is_leaving,
        )

    def merge(
        self, heartbeats: Iterable[HostHeartbeat], now: timedelta
    ) -> list[HostHeartbeat]:
        """Apply heartbeats received from another host.

        Heartbeats of this host, and those older than the known ones, are ignored.

        :returns: heartbeats of the hosts that were unknown or considered failed.
        """
        newly_live = []
        for heartbeat in heartbeats:
            if heartbeat.host_id == self.own_heartbeat.host_id:
                continue
            known = self._known_hosts.get(heartbeat.host_id)
            if known is None:
                self._known_hosts[heartbeat.host_id] = _KnownHost(heartbeat, now)
                newly_live.append(heartbeat)
                continue
            is_silent = now - known.last_heard_at > SILENCE_TIMEOUT
            # After a step of the wall clock, a later start can have an earlier time.
            is_restart = (
                is_silent and heartbeat.started_ms != known.heartbeat.started_ms
            )
            if is_restart or _get_recency(heartbeat) > _get_recency(known.heartbeat):
                if is_silent:
                    newly_live.append(heartbeat)
                known.heartbeat = heartbeat
                known.last_heard_at = now
        return newly_live

    def forget_failed(self, now: timedelta) -> list[HostHeartbeat]:
        """Forget failed hosts that were not heard from for ``FORGET_TIMEOUT``.

        :returns: last heartbeats of the hosts that were forgotten.
        """
        forgotten = [
            known.heartbeat
            for known in self._known_hosts.values()
            if now - known.last_heard_at > FORGET_TIMEOUT
        ]
        for heartbeat in forgotten:
            del self._known_hosts[heartbeat.host_id]
        return forgotten

    def list_live(self, now: timedelta) -> list[HostHeartbeat]:
        """Return the hosts heard from within ``SILENCE_TIMEOUT``, this one first."""
        live = [self.own_heartbeat]
        live += [
            known.heartbeat
            for known in self._known_hosts.values()
            if now - known.last_heard_at <= SILENCE_TIMEOUT
        ]
        return live

    def list_serving(self, now: timedelta) -> list[HostHeartbeat]:
        """Return the live hosts that are ready and not leaving."""
        return [
            heartbeat
            for heartbeat in self.list_live(now)
            if heartbeat.is_ready and not heartbeat.is_leaving
        ]

    def list_heartbeats_to_send(self, now: timedelta) -> list[HostHeartbeat]:
        """Return the heartbeats to send in the next exchange, this host's first.

        :returns: at most ``MAX_SENT_HEARTBEATS``, drawn at random from the live hosts.
        """
        others = self.list_live(now)[1:]
        while len(others) >= MAX_SENT_HEARTBEATS:
            others.pop(self.random.randrange(len(others)))
        return [self.own_heartbeat, *others]

    def pick_peers(self, count: int, now: timedelta) -> list[HostHeartbeat]:
        """Choose hosts for the next exchange.

        Most exchanges stay in the failure domain of this host, since traffic between
        domains is expensive. On average, one in ``EXCHANGES_PER_REMOTE`` goes to any
        host. If the failure domain has fewer than ``count`` other live hosts, every
        exchange goes to any host.

        :param count: maximum number of hosts.
        :returns: other live hosts, drawn at random.
        """
        others = self.list_live(now)[1:]
        if self.random.randrange(EXCHANGES_PER_REMOTE):
            domain = self.own_heartbeat.failure_domain
            local = [
                heartbeat for heartbeat in others if heartbeat.failure_domain == domain
            ]
            others = local if len(local) >= count else others
        picked = []
        while others and len(picked) < count:
            picked.append(others.pop(self.random.randrange(len(others))))
        return picked


def _get_recency(heartbeat: HostHeartbeat) -> tuple[int, int]:
    return (heartbeat.started_ms, heartbeat.beat)


def choose_entry_hosts(
    serving: list[HostHeartbeat], failure_domain: str, random: RandomSource
) -> list[str]:
    """Choose the hosts that are named to a caller.

    Hosts of the caller's failure domain keep traffic between failure domains low. If
    there are at least ``MIN_LOCAL_ENTRY_HOSTS`` of them, ``REMOTE_ENTRY_HOST_COUNT``
    others are added, so that the caller still has an address if its domain fails.
    Otherwise all others are added.

    :param serving: heartbeats of the hosts that callers may use.
    :param failure_domain: failure domain of the caller.
    :returns: addresses of the chosen hosts, at most ``MAX_ENTRY_HOSTS``.
    """
    local = [
        heartbeat for heartbeat in serving if heartbeat.failure_domain == failure_domain
    ]
    others = [
        heartbeat for heartbeat in serving if heartbeat.failure_domain != failure_domain
    ]
    if len(local) >= MIN_LOCAL_ENTRY_HOSTS:
        while len(others) > REMOTE_ENTRY_HOST_COUNT:
            others.pop(random.randrange(len(others)))
    named = [heartbeat.callers_address for heartbeat in [*local, *others]]
    while len(named) > MAX_ENTRY_HOSTS:
        named.pop(random.randrange(len(named)))
    return named
