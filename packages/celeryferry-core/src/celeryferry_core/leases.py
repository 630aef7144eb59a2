"""Leases on ownership keys; the granting side is in ``lease_witness``."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from celeryferry_core.lease_messages import (
    DISTANT_PAST,
    JOINT_MAJORITY_PERIOD,
    LEASE_DURATION,
    PROBE_INTERVAL,
    LeaseReply,
    LeaseRequest,
    LeaseSender,
)
from celeryferry_core.lease_witness import LeaseWitness

__all__ = [
    "LEASE_DURATION",
    "PROBE_INTERVAL",
    "LeaseHolder",
    "LeaseReply",
    "LeaseRequest",
    "LeaseSender",
    "LeaseWitness",
]


class LeaseHolder:
    """Counts the grants that one process has received.

    :param host_id: host of the process.
    :param jitter: returns the delay before a key is asked for again after a
        conflict; it must vary between hosts, or split votes repeat for ever.
    """

    __slots__ = (
        "_backoff",
        "_outdated_up_to",
        "_grants",
        "_handover",
        "_host_id",
        "_jitter",
        "_old_witnesses",
        "_refusals",
        "_released",
        "_sequence",
        "_witnesses",
    )

    def __init__(self, host_id: str, jitter: Callable[[], timedelta]) -> None:
        self._host_id = host_id
        self._jitter = jitter
        self._sequence = 0
        self._witnesses: frozenset[str] = frozenset()
        self._old_witnesses: list[tuple[frozenset[str], timedelta]] = []
        self._grants: dict[str, dict[str, timedelta]] = {}
        self._refusals: dict[str, dict[str, str]] = {}
        self._backoff: dict[str, timedelta] = {}
        self._released: dict[str, timedelta] = {}
        self._outdated_up_to: dict[str, int] = {}
        self._handover: set[str] = set()

    def replace_witnesses(self, host_ids: Iterable[str], now: timedelta) -> None:
        """Take over the listed hosts of the cell.

        :param host_ids: all listed hosts of the cell, this host included.
        :param now: present monotonic time.
        """
        witnesses = frozenset(host_ids)
        if witnesses == self._witnesses:
            return
        if self._witnesses:
            self._old_witnesses.append((self._witnesses, now + JOINT_MAJORITY_PERIOD))
        self._old_witnesses = [old for old in self._old_witnesses if now < old[1]]
        self._witnesses = witnesses

    def expires_at(self, key: str, now: timedelta) -> timedelta | None:
        """Return the end of the lease on a key.

        :param key: ownership key.
        :param now: present monotonic time.
        :returns: monotonic time, or None if new work must not start.
        """
        if key in self._handover:
            return None
        return self._expiry(key, now)

    def held_keys(self, now: timedelta) -> frozenset[str]:
        """Return the keys for which new work may start.

        :param now: present monotonic time.
        :returns: the keys.
        """
        return frozenset(
            key for key in self._grants if self.expires_at(key, now) is not None
        )

    def has_grants(self) -> bool:
        """Tell whether any key is held or being handed over.

        :returns: True if there are grants.
        """
        return bool(self._grants)

    def find_holder(self, key: str) -> str | None:
        """Return the host that most witnesses named when they refused a key.

        :param key: ownership key.
        :returns: host id, or None.
        """
        named = list(self._refusals.get(key, {}).values())
        return max(named, key=named.count) if named else None

    def hand_over(
        self,
        first_ranked: Iterable[str],
        in_flight: Callable[[str], int],
        now: timedelta,
    ) -> tuple[str, ...]:
        """Stop work on keys that another host should hold and release idle ones.

        :param first_ranked: keys that this host should hold.
        :param in_flight: returns the number of running requests of a key.
        :param now: present monotonic time.
        :returns: keys released by this call.
        """
        first_ranked = frozenset(first_ranked)
        self._handover.update(key for key in self._grants if key not in first_ranked)
        idle = [
            key
            for key in sorted(self._handover)
            if self._expiry(key, now) is None or in_flight(key) == 0
        ]
        for key in idle:
            self._release(key, now)
        return tuple(idle)

    def build_request(
        self, first_ranked: Iterable[str], now: timedelta
    ) -> LeaseRequest:
        """Build the lease part of the next probes.

        :param first_ranked: keys that this host should hold.
        :param now: present monotonic time, which is the send time of the probes.
        :returns: the request for every witness.
        """
        self._sequence += 1
        self._released = {k: u for k, u in self._released.items() if now < u}
        wanted = tuple(
            key
            for key in sorted(first_ranked)
            if key not in self._handover and now >= self._backoff.get(key, DISTANT_PAST)
        )
        for key in wanted:
            self._released.pop(key, None)
            self._backoff.pop(key, None)
        return LeaseRequest(self._sequence, wanted, tuple(sorted(self._released)))

    def record_reply(
        self,
        witness: str,
        sequence: int,
        sent_at: timedelta,
        reply: LeaseReply,
        now: timedelta,
    ) -> tuple[str, ...]:
        """Count the answer of a witness.

        :param witness: host that answered.
        :param sequence: number of the probe.
        :param sent_at: monotonic time just before the probe was sent.
        :param reply: the answer.
        :param now: present monotonic time.
        :returns: keys whose partial grants are given up because of a conflict.
        """
        for key in reply.granted:
            if self._is_outdated(key, sequence) or key in self._handover:
                continue
            until = sent_at + LEASE_DURATION
            grants = self._grants.setdefault(key, {})
            grants[witness] = max(until, grants.get(witness, DISTANT_PAST))
            self._refusals.get(key, {}).pop(witness, None)
        conflicts = []
        for refusal in reply.refused:
            if refusal.holder in ("", self._host_id):
                continue
            if self._is_outdated(refusal.key, sequence):
                continue
            self._refusals.setdefault(refusal.key, {})[witness] = refusal.holder
            if self._lacks_majority(refusal.key, now):
                self._release(refusal.key, now)
                self._backoff[refusal.key] = now + self._jitter()
                conflicts.append(refusal.key)
        return tuple(conflicts)

    def drop_all_grants(self) -> None:
        """Forget every grant; earlier probes bring none either."""
        for key in self._grants:
            self._outdated_up_to[key] = self._sequence
        self._grants.clear()
        self._handover.clear()

    def _is_outdated(self, key: str, sequence: int) -> bool:
        # The key was released, or all leases dropped, after that probe was sent.
        return sequence <= self._outdated_up_to.get(key, 0)

    def _release(self, key: str, now: timedelta) -> None:
        self._grants.pop(key, None)
        self._handover.discard(key)
        self._outdated_up_to[key] = self._sequence
        self._released[key] = now + LEASE_DURATION

    def _lacks_majority(self, key: str, now: timedelta) -> bool:
        refusals = self._refusals[key].keys() & self._witnesses
        majority = len(self._witnesses) // 2 + 1
        if len(self._witnesses) - len(refusals) >= majority:
            return False
        return self._expiry(key, now) is None

    def _expiry(self, key: str, now: timedelta) -> timedelta | None:
        grants = self._grants.get(key)
        if not grants or not self._witnesses:
            return None
        until = _majority_expiry(grants, self._witnesses)
        for witnesses, joint_until in self._old_witnesses:
            if now < joint_until:
                until = min(until, _majority_expiry(grants, witnesses))
        return until if now < until else None


def _majority_expiry(
    grants: dict[str, timedelta], witnesses: frozenset[str]
) -> timedelta:
    ends = sorted(
        (grants.get(host_id, DISTANT_PAST) for host_id in witnesses), reverse=True
    )
    return ends[len(witnesses) // 2]
