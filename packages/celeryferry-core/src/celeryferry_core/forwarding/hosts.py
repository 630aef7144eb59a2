"""Hosts of the fleet, learned from heartbeats that are passed on from host to host."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from celeryferry_core.environment import RandomSource

# Three missed exchanges at most two hops apart; a stopped host is named to callers for
# no longer than this.
SILENCE_TIMEOUT = timedelta(seconds=4)
# A host that is gone is remembered longer than its heartbeat can travel, so that an
# old heartbeat does not bring it back.
FORGET_TIMEOUT = timedelta(seconds=30)
# Bounds the message of one exchange at any fleet size.
MAX_SENT_HEARTBEATS = 48
# Four hosts of a domain then reach another domain about every 750 ms.
EXCHANGES_PER_REMOTE = 3
# Silence of every other host at once is our own pause or cut, not their end.
OWN_PAUSE_THRESHOLD = timedelta(seconds=1)
# Callers take no more addresses from one answer.
MAX_ENTRY_HOSTS = 64
# With fewer hosts in its own failure domain, a caller gets all hosts.
MIN_LOCAL_ENTRY_HOSTS = 2
# Remote hosts named beside the local ones.
REMOTE_ENTRY_HOST_COUNT = 1


class HostHeartbeat(msgspec.Struct, frozen=True, gc=False):
    """What a host says of itself, passed on unchanged.

    :param host_id: unique name of the host.
    :param failure_domain: failure domain that it is in.
    :param callers_address: ``ip:port`` for callers.
    :param peers_address: ``ip:port`` for other hosts.
    :param started_ms: Unix time of the process start in milliseconds; a later start
        replaces an earlier one.
    :param beat: rises with every heartbeat of the process.
    :param is_ready: whether it serves callers.
    :param is_leaving: whether it is stopping.
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
    """Hosts as one host knows them.

    :param own_heartbeat: first heartbeat of this host.
    :param random: source of random numbers.
    """

    __slots__ = ("_known_hosts", "_refreshed_at", "own_heartbeat", "random")

    def __init__(self, own: HostHeartbeat, random: RandomSource) -> None:
        self.own_heartbeat = own
        self.random = random
        self._known_hosts: dict[str, _KnownHost] = {}
        self._refreshed_at: timedelta | None = None

    def refresh_own_heartbeat(
        self, now: timedelta, is_ready: bool, is_leaving: bool
    ) -> None:
        """Raise the own heartbeat and forgive others after a pause of this process.

        :param now: present monotonic time.
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
        """Take over heartbeats.

        :param heartbeats: heartbeats from another host.
        :param now: present monotonic time.
        :returns: hosts that were not known or not heard of lately.
        """
        found = []
        for heartbeat in heartbeats:
            if heartbeat.host_id == self.own_heartbeat.host_id:
                continue
            known = self._known_hosts.get(heartbeat.host_id)
            if known is None:
                self._known_hosts[heartbeat.host_id] = _KnownHost(heartbeat, now)
                found.append(heartbeat)
                continue
            is_silent = now - known.last_heard_at > SILENCE_TIMEOUT
            # After a step of the wall clock a later start can carry an earlier time.
            is_restart = (
                is_silent and heartbeat.started_ms != known.heartbeat.started_ms
            )
            if is_restart or _get_recency(heartbeat) > _get_recency(known.heartbeat):
                if is_silent:
                    found.append(heartbeat)
                known.heartbeat = heartbeat
                known.last_heard_at = now
        return found

    def drop_silent(self, now: timedelta) -> list[HostHeartbeat]:
        """Forget hosts that have been silent for ``FORGET_TIMEOUT``.

        :param now: present monotonic time.
        :returns: the hosts that were forgotten.
        """
        silent = [
            known.heartbeat
            for known in self._known_hosts.values()
            if now - known.last_heard_at > FORGET_TIMEOUT
        ]
        for heartbeat in silent:
            del self._known_hosts[heartbeat.host_id]
        return silent

    def list_live(self, now: timedelta) -> list[HostHeartbeat]:
        """Return the hosts heard of within ``SILENCE_TIMEOUT``, this one first.

        :param now: present monotonic time.
        """
        live = [self.own_heartbeat]
        live += [
            known.heartbeat
            for known in self._known_hosts.values()
            if now - known.last_heard_at <= SILENCE_TIMEOUT
        ]
        return live

    def list_serving(self, now: timedelta) -> list[HostHeartbeat]:
        """Return the hosts that callers may use.

        :param now: present monotonic time.
        """
        return [
            heartbeat
            for heartbeat in self.list_live(now)
            if heartbeat.is_ready and not heartbeat.is_leaving
        ]

    def list_heartbeats_to_send(self, now: timedelta) -> list[HostHeartbeat]:
        """Return the heartbeats of the next exchange, the own one first.

        :param now: present monotonic time.
        :returns: at most ``MAX_SENT_HEARTBEATS``, drawn at random from the live hosts.
        """
        others = self.list_live(now)[1:]
        while len(others) >= MAX_SENT_HEARTBEATS:
            others.pop(self.random.randrange(len(others)))
        return [self.own_heartbeat, *others]

    def pick_peers(self, count: int, now: timedelta) -> list[HostHeartbeat]:
        """Choose hosts for the next exchange.

        Most exchanges stay in the own failure domain, since bytes between domains are
        dear; one in ``EXCHANGES_PER_REMOTE`` goes anywhere.

        :param count: number of hosts.
        :param now: present monotonic time.
        :returns: up to that many other live hosts.
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
    """Choose the hosts that a caller is told to use.

    Hosts of the caller's failure domain keep traffic between failure domains low. A
    few others are named so that the loss of the domain leaves the caller an address.

    :param serving: hosts that callers may use.
    :param failure_domain: failure domain of the caller.
    :param random: source of random numbers.
    :returns: their addresses for callers, at most ``MAX_ENTRY_HOSTS``.
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
