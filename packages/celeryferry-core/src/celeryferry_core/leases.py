"""The holding side of leases on ownership keys; witnesses are in ``lease_witness``."""

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
    """Tracks the grants that one process has received from the witnesses.

    A lease on a key is held while grants of a majority of the witnesses are valid.

    :param host_id: host of the process.
    :param jitter: returns the delay before a key is requested again after a conflict.
        It must differ between hosts, or split votes repeat forever.
    """

    __slots__ = (
        "_backoff",
        "_ignored_up_to_sequence",
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
        self._ignored_up_to_sequence: dict[str, int] = {}
        self._handover: set[str] = set()

    def replace_witnesses(self, host_ids: Iterable[str], now: timedelta) -> None:
        """Use the listed hosts of the cell as witnesses.

        A majority of the previous witnesses is needed as well for
        ``JOINT_MAJORITY_PERIOD``.

        :param host_ids: all listed hosts of the cell, this host included.
        """
        witnesses = frozenset(host_ids)
        if witnesses == self._witnesses:
            return
        if self._witnesses:
            self._old_witnesses.append((self._witnesses, now + JOINT_MAJORITY_PERIOD))
        self._old_witnesses = [old for old in self._old_witnesses if now < old[1]]
        self._witnesses = witnesses

    def expires_at(self, key: str, now: timedelta) -> timedelta | None:
        """Return the monotonic time at which the lease on a key ends.

        :returns: the time, or None if no new work may start, because the lease is not
            held or is being handed over.
        """
        if key in self._handover:
            return None
        return self._compute_expiry(key, now)

    def held_keys(self, now: timedelta) -> frozenset[str]:
        """Return the keys for which new work may start."""
        return frozenset(
            key for key in self._grants if self.expires_at(key, now) is not None
        )

    def has_grants(self) -> bool:
        """Return whether any witness has granted a key, even if no majority has."""
        return bool(self._grants)

    def find_holder(self, key: str) -> str | None:
        """Return the host named most often by the witnesses that refuse a key.

        :returns: host id, or None if no witness named a host.
        """
        named_hosts = list(self._refusals.get(key, {}).values())
        return max(named_hosts, key=named_hosts.count) if named_hosts else None

    def hand_over(
        self,
        preferred_keys: Iterable[str],
        count_in_flight: Callable[[str], int],
        now: timedelta,
    ) -> tuple[str, ...]:
        """Hand over keys that another host should hold.

        No new work starts on them, and the idle ones are released.

        :param preferred_keys: keys for which this host is the preferred owner.
        :param count_in_flight: returns the number of running requests of a key.
        :returns: keys released by this call: those without running requests, and those
            whose lease has expired.
        """
        preferred_keys = frozenset(preferred_keys)
        self._handover.update(key for key in self._grants if key not in preferred_keys)
        released = [
            key
            for key in sorted(self._handover)
            if self._compute_expiry(key, now) is None or count_in_flight(key) == 0
        ]
        for key in released:
            self._release(key, now)
        return tuple(released)

    def build_request(
        self, preferred_keys: Iterable[str], now: timedelta
    ) -> LeaseRequest:
        """Build the lease part of the next probes; it is the same for every witness.

        :param preferred_keys: keys for which this host is the preferred owner.
        :param now: present monotonic time, which is the send time of the probes.
        """
        self._sequence += 1
        self._released = {
            released_key: expires_at
            for released_key, expires_at in self._released.items()
            if now < expires_at
        }
        wanted = tuple(
            key
            for key in sorted(preferred_keys)
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
        """Record the grants and refusals in the answer of a witness.

        A witness refuses a key that another host holds. If the refusals leave too few
        witnesses for a majority, and this host does not hold the lease at present, the
        grants already received on the key are released.

        :param witness: host that answered.
        :param sequence: number of the probe.
        :param sent_at: monotonic time just before the probe was sent.
        :returns: keys whose grants were released because of such a conflict.
        """
        for key in reply.granted:
            if self._is_outdated(key, sequence) or key in self._handover:
                continue
            expires_at = sent_at + LEASE_DURATION
            grants = self._grants.setdefault(key, {})
            grants[witness] = max(expires_at, grants.get(witness, DISTANT_PAST))
            self._refusals.get(key, {}).pop(witness, None)
        conflicts = []
        for refusal in reply.refused:
            if refusal.holder in ("", self._host_id):
                continue
            if self._is_outdated(refusal.key, sequence):
                continue
            self._refusals.setdefault(refusal.key, {})[witness] = refusal.holder
            if self._cannot_reach_majority(refusal.key, now):
                self._release(refusal.key, now)
                self._backoff[refusal.key] = now + self._jitter()
                conflicts.append(refusal.key)
        return tuple(conflicts)

    def drop_all_grants(self) -> None:
        """Drop all grants; answers to probes sent before this call are ignored."""
        for key in self._grants:
            self._ignored_up_to_sequence[key] = self._sequence
        self._grants.clear()
        self._handover.clear()

    def _is_outdated(self, key: str, sequence: int) -> bool:
        # The key was released, or all grants were dropped, after that probe was sent.
        return sequence <= self._ignored_up_to_sequence.get(key, 0)

    def _release(self, key: str, now: timedelta) -> None:
        self._grants.pop(key, None)
        self._handover.discard(key)
        self._ignored_up_to_sequence[key] = self._sequence
        self._released[key] = now + LEASE_DURATION

    def _cannot_reach_majority(self, key: str, now: timedelta) -> bool:
        refusals = self._refusals[key].keys() & self._witnesses
        majority = len(self._witnesses) // 2 + 1
        if len(self._witnesses) - len(refusals) >= majority:
            return False
        return self._compute_expiry(key, now) is None

    def _compute_expiry(self, key: str, now: timedelta) -> timedelta | None:
        grants = self._grants.get(key)
        if not grants or not self._witnesses:
            return None
        expires_at = _compute_majority_expiry(grants, self._witnesses)
        for witnesses, joint_until in self._old_witnesses:
            if now < joint_until:
                expires_at = min(
                    expires_at, _compute_majority_expiry(grants, witnesses)
                )
        return expires_at if now < expires_at else None


def _compute_majority_expiry(
    grants: dict[str, timedelta], witnesses: frozenset[str]
) -> timedelta:
    expiry_times = sorted(
        (grants.get(host_id, DISTANT_PAST) for host_id in witnesses), reverse=True
    )
    return expiry_times[len(witnesses) // 2]
