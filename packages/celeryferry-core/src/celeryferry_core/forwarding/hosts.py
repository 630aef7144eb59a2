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
MAX_PASSED_ON = 48
# Four hosts of a domain then reach another domain about every 750 ms.
REMOTE_ONE_IN = 3
# Silence of every other host at once is our own pause or cut, not their end.
OWN_PAUSE = timedelta(seconds=1)
# Callers take no more addresses from one answer.
MAX_NAMED = 64
# With fewer hosts in its own failure domain, a caller gets all hosts.
MIN_LOCAL = 2
# Remote hosts named beside the local ones.
NAMED_REMOTE = 1


class HostBeat(msgspec.Struct, frozen=True, gc=False):
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
class _Known:
    beat: HostBeat
    heard_at: timedelta


class HostTable:
    """Hosts as one host knows them.

    :param own: first heartbeat of this host.
    :param random: source of random numbers.
    """

    __slots__ = ("_known", "_refreshed_at", "own", "random")

    def __init__(self, own: HostBeat, random: RandomSource) -> None:
        self.own = own
        self.random = random
        self._known: dict[str, _Known] = {}
        self._refreshed_at: timedelta | None = None

    def refresh_own(self, now: timedelta, is_ready: bool, is_leaving: bool) -> None:
        """Raise the own heartbeat and forgive others after a pause of this process.

        :param now: present monotonic time.
        :param is_ready: whether this host serves callers.
        :param is_leaving: whether this host is stopping.
        """
        last = self._refreshed_at
        if last is not None and now - last > OWN_PAUSE:
            for known in self._known.values():
                known.heard_at += now - last
        self._refreshed_at = now
        self.own = msgspec.structs.replace(
            self.own,
            beat=self.own.beat + 1,
            is_ready=is_ready,
            is_leaving=is_leaving,
        )

    def merge(self, beats: Iterable[HostBeat], now: timedelta) -> list[HostBeat]:
        """Take over heartbeats.

        :param beats: heartbeats from another host.
        :param now: present monotonic time.
        :returns: hosts that were not known or not heard of lately.
        """
        found = []
        for beat in beats:
            if beat.host_id == self.own.host_id:
                continue
            known = self._known.get(beat.host_id)
            if known is None:
                self._known[beat.host_id] = _Known(beat, now)
                found.append(beat)
                continue
            is_silent = now - known.heard_at > SILENCE_TIMEOUT
            # After a step of the wall clock a later start can carry an earlier time.
            is_restart = is_silent and beat.started_ms != known.beat.started_ms
            if is_restart or _order(beat) > _order(known.beat):
                if is_silent:
                    found.append(beat)
                known.beat = beat
                known.heard_at = now
        return found

    def drop_silent(self, now: timedelta) -> list[HostBeat]:
        """Forget hosts that have been silent for ``FORGET_TIMEOUT``.

        :param now: present monotonic time.
        :returns: the hosts that were forgotten.
        """
        silent = [
            known.beat
            for known in self._known.values()
            if now - known.heard_at > FORGET_TIMEOUT
        ]
        for beat in silent:
            del self._known[beat.host_id]
        return silent

    def list_live(self, now: timedelta) -> list[HostBeat]:
        """Return the hosts heard of within ``SILENCE_TIMEOUT``, this one first.

        :param now: present monotonic time.
        """
        live = [self.own]
        live += [
            known.beat
            for known in self._known.values()
            if now - known.heard_at <= SILENCE_TIMEOUT
        ]
        return live

    def list_serving(self, now: timedelta) -> list[HostBeat]:
        """Return the hosts that callers may use.

        :param now: present monotonic time.
        """
        return [
            beat
            for beat in self.list_live(now)
            if beat.is_ready and not beat.is_leaving
        ]

    def list_to_pass_on(self, now: timedelta) -> list[HostBeat]:
        """Return the heartbeats of the next exchange, the own one first.

        :param now: present monotonic time.
        :returns: at most ``MAX_PASSED_ON``, drawn at random from the live hosts.
        """
        others = self.list_live(now)[1:]
        while len(others) >= MAX_PASSED_ON:
            others.pop(self.random.randrange(len(others)))
        return [self.own, *others]

    def pick_peers(self, count: int, now: timedelta) -> list[HostBeat]:
        """Choose hosts for the next exchange.

        Most exchanges stay in the own failure domain, since bytes between domains are
        dear; one in ``REMOTE_ONE_IN`` goes anywhere.

        :param count: number of hosts.
        :param now: present monotonic time.
        :returns: up to that many other live hosts.
        """
        others = self.list_live(now)[1:]
        if self.random.randrange(REMOTE_ONE_IN):
            domain = self.own.failure_domain
            local = [beat for beat in others if beat.failure_domain == domain]
            others = local if len(local) >= count else others
        picked = []
        while others and len(picked) < count:
            picked.append(others.pop(self.random.randrange(len(others))))
        return picked


def _order(beat: HostBeat) -> tuple[int, int]:
    return (beat.started_ms, beat.beat)


def choose_entry_hosts(
    serving: list[HostBeat], failure_domain: str, random: RandomSource
) -> list[str]:
    """Choose the hosts that a caller is told to use.

    Hosts of the caller's failure domain keep traffic between failure domains low. A
    few others are named so that the loss of the domain leaves the caller an address.

    :param serving: hosts that callers may use.
    :param failure_domain: failure domain of the caller.
    :param random: source of random numbers.
    :returns: their addresses for callers, at most ``MAX_NAMED``.
    """
    local = [beat for beat in serving if beat.failure_domain == failure_domain]
    others = [beat for beat in serving if beat.failure_domain != failure_domain]
    if len(local) >= MIN_LOCAL:
        while len(others) > NAMED_REMOTE:
            others.pop(random.randrange(len(others)))
    named = [beat.callers_address for beat in [*local, *others]]
    while len(named) > MAX_NAMED:
        named.pop(random.randrange(len(named)))
    return named
