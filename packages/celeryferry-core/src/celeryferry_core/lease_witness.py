"""The granting side of leases; the holding side is in ``leases``."""

from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.lease_messages import (
    LEASE_DURATION,
    MAX_SEQUENCE_LEAD,
    MIN_PROBE_ROUND_INTERVAL,
    LeaseReply,
    LeaseRequest,
    LeaseSender,
)
from celeryferry_core.models.messages import LeaseRefusal

# How long the latest sequence number of a process is kept after its last probe: long
# enough to recognize delayed probes. It is then dropped, so that processes that have
# ended do not use memory forever.
SEQUENCE_RETENTION = 10 * LEASE_DURATION


@dataclass(frozen=True, slots=True)
class _Grant:
    sender: LeaseSender
    expires_at: timedelta


class LeaseWitness:
    """Grants each key to one process at a time.

    :param started_at: monotonic time at which the process started.
    :param startup_wait: time after the start during which nothing is granted, because
        grants made before a restart are unknown and may still be valid. A shorter time
        than ``LEASE_DURATION`` is for tests only.
    """

    __slots__ = ("_grants", "_grants_start_at", "_pruned_at", "_sequences")

    def __init__(
        self, started_at: timedelta, startup_wait: timedelta = LEASE_DURATION
    ) -> None:
        self._grants_start_at = started_at + startup_wait
        self._pruned_at = started_at
        self._grants: dict[str, _Grant] = {}
        self._sequences: dict[LeaseSender, tuple[int, timedelta]] = {}

    def handle_request(
        self, sender: LeaseSender, request: LeaseRequest, now: timedelta
    ) -> LeaseReply:
        """Release and grant the keys of a probe.

        Everything is refused if the probe is delayed or its sequence number is too far
        ahead. During ``startup_wait`` keys are released but not granted.

        :param sender: process that sent the probe.
        :param now: monotonic time of receipt.
        """
        self._prune(now)
        if self._is_delayed(sender, request.sequence):
            # A delayed probe must not undo a release or a renewal by a later probe.
            return LeaseReply((), _refuse_all(request.wanted))
        if self._is_too_far_ahead(sender, request.sequence, now):
            return LeaseReply((), _refuse_all(request.wanted))
        self._sequences[sender] = (request.sequence, now)
        for key in request.released:
            grant = self._grants.get(key)
            if grant is not None and grant.sender == sender:
                del self._grants[key]
        if now < self._grants_start_at:
            return LeaseReply((), _refuse_all(request.wanted))
        return self._grant_keys(sender, request.wanted, now)

    def find_holder(self, key: str, now: timedelta) -> str | None:
        """Return the id of the host that holds a grant of this witness, or None."""
        grant = self._grants.get(key)
        return grant.sender.host_id if grant and now < grant.expires_at else None

    def _grant_keys(
        self, sender: LeaseSender, wanted: tuple[str, ...], now: timedelta
    ) -> LeaseReply:
        granted = []
        refused = []
        for key in wanted:
            grant = self._grants.get(key)
            if grant and grant.sender != sender and now < grant.expires_at:
                refused.append(LeaseRefusal(key, grant.sender.host_id))
                continue
            self._grants[key] = _Grant(sender, now + LEASE_DURATION)
            granted.append(key)
        return LeaseReply(tuple(granted), tuple(refused))

    def _is_delayed(self, sender: LeaseSender, sequence: int) -> bool:
        latest = self._sequences.get(sender)
        return latest is not None and sequence < latest[0]

    def _is_too_far_ahead(
        self, sender: LeaseSender, sequence: int, now: timedelta
    ) -> bool:
        # The process itself never starts that many rounds in the time since its latest
        # probe, so the probe is forged: something else sent it in the name of the
        # process. If its number were accepted, the genuine probes of the process would
        # be refused as delayed.
        latest = self._sequences.get(sender)
        if latest is None:
            return False
        latest_sequence, seen_at = latest
        rounds = (now - seen_at) / MIN_PROBE_ROUND_INTERVAL
        return sequence - latest_sequence > MAX_SEQUENCE_LEAD + rounds

    def _prune(self, now: timedelta) -> None:
        if now < self._pruned_at + LEASE_DURATION:
            return
        self._pruned_at = now
        self._grants = {
            key: grant for key, grant in self._grants.items() if now < grant.expires_at
        }
        self._sequences = {
            sender: (sequence, seen_at)
            for sender, (sequence, seen_at) in self._sequences.items()
            if now < seen_at + SEQUENCE_RETENTION
        }


def _refuse_all(wanted: tuple[str, ...]) -> tuple[LeaseRefusal, ...]:
    return tuple(LeaseRefusal(key, "") for key in wanted)
