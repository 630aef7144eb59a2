"""Checks that run just before a request is sent to an upstream."""

from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.durations import MILLISECOND, ZERO_DURATION, to_milliseconds
from celeryferry_core.environment import Clock
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
)
from celeryferry_core.models.topology import UpstreamLimits
from celeryferry_core.ports import DecisionLog, FreshnessGate, Leases
from celeryferry_core.tickets import SentTickets
from celeryferry_daemon._internal.owner.metrics import OwnerMetrics
from celeryferry_daemon._internal.owner.work import Work

# The clocks of hosts and upstreams are assumed to differ by no more than this.
MAX_CLOCK_SKEW = timedelta(milliseconds=100)
_ALREADY_SENT = OutcomeUnknown(UnknownReason.ALREADY_SENT)


@dataclass(frozen=True, slots=True)
class WorkerPorts:
    """Dependencies that all workers of one owner share.

    :param leases: leases of this host.
    :param gate: tells whether the configuration is fresh enough to act on.
    :param log: receiver of decisions.
    :param mechanisms: protections that are active; tests turn off some of them.
    :param sent_tickets: tickets that were sent within the ticket validity.
    """

    leases: Leases
    gate: FreshnessGate
    clock: Clock
    log: DecisionLog
    metrics: OwnerMetrics
    mechanisms: Mechanisms
    sent_tickets: SentTickets


@dataclass(frozen=True, slots=True)
class Assignment:
    """Ownership key of a worker's upstream, and the settings that apply to it.

    :param key: ownership key.
    :param limits: limits from the service document.
    :param is_domain_out: whether the upstream's failure domain is out of service.
    :param is_leaving: whether the host list marks the upstream as leaving.
    """

    key: str
    limits: UpstreamLimits
    is_domain_out: bool = False
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Time limits of a request at the moment of its send.

    :param deadline_unix_ms: deadline for the upstream, absolute wall-clock time.
    :param remaining: time until that deadline.
    :param answer_timeout: time to wait for the answer. If the lease limits the
        deadline, this is longer than ``remaining`` by up to ``MAX_CLOCK_SKEW``: the
        upstream's clock may be behind, so it may answer that much after
        ``deadline_unix_ms``.
    """

    deadline_unix_ms: int
    remaining: timedelta
    answer_timeout: timedelta


class SendGuard:
    """Decides whether a request may be sent to one upstream at this moment.

    :param assignment: current assignment; the worker replaces it.
    :param ports: dependencies that all workers share.
    """

    __slots__ = ("_ports", "assignment", "is_stopped")

    def __init__(self, assignment: Assignment, ports: WorkerPorts) -> None:
        self.assignment = assignment
        self.is_stopped = False
        self._ports = ports

    def check(self, now: timedelta, is_draining: bool) -> NotRun | None:
        """Check all conditions of a send apart from the concurrency limit.

        :param now: current monotonic time.
        :param is_draining: whether the upstream has reported that it is draining.
        :returns: the refusal, or None if a send is allowed.
        """
        ports = self._ports
        mechanisms = ports.mechanisms
        if self.is_stopped:
            return self.refuse_not_owner()
        if mechanisms.lease_check:
            expires_at = ports.leases.expires_at(self.assignment.key)
            if expires_at is None or now >= expires_at - MAX_CLOCK_SKEW:
                return self.refuse_not_owner()
        if mechanisms.freshness_gate and not ports.gate.may_act():
            return NotRun(NotRunReason.STALE_CONFIGURATION)
        if mechanisms.domain_out and self.assignment.is_domain_out:
            return NotRun(NotRunReason.FAILURE_DOMAIN_OUT)
        takes_no_work = is_draining or self.assignment.is_leaving
        if mechanisms.drain_check and takes_no_work:
            return NotRun(NotRunReason.DRAINING)
        return None

    def refuse_not_owner(self) -> NotRun:
        """Return the refusal that names the holder of the key."""
        holder = self._ports.leases.holder_of(self.assignment.key)
        return NotRun(NotRunReason.NOT_OWNER, holder=holder)

    def compute_time_limits(self, work: Work) -> TimeLimits:
        """Limit the deadline of a request to the end of the lease.

        The wall clock is read before the monotonic clock, so a pause between the two
        reads can only make the deadline earlier, never later than the end of the lease.

        :returns: time limits with the earlier of two deadlines: that of the request,
            and the end of the lease minus the clock skew.
        """
        clock = self._ports.clock
        wall = clock.wall()
        now = clock.monotonic()
        remaining = work.deadline - now
        if not self._ports.mechanisms.lease_check:
            return TimeLimits(work.deadline_unix_ms, remaining, remaining)
        expires_at = self._ports.leases.expires_at(self.assignment.key)
        if expires_at is None:
            return TimeLimits(0, ZERO_DURATION, ZERO_DURATION)
        lease_remaining = expires_at - MAX_CLOCK_SKEW - now
        lease_end = int(wall.timestamp() * 1000) + lease_remaining // MILLISECOND
        deadline = min(work.deadline_unix_ms, lease_end)
        answer_timeout = min(remaining, lease_remaining + MAX_CLOCK_SKEW)
        return TimeLimits(deadline, min(remaining, lease_remaining), answer_timeout)

    def claim_ticket(
        self, work: Work, now: timedelta
    ) -> NotRun | OutcomeUnknown | None:
        """Claim the single send that the ticket of a run request allows.

        :param work: run request.
        :param now: current monotonic time.
        :returns: None if the request may be sent, otherwise its outcome.
        """
        sent_tickets = self._ports.sent_tickets
        if not self._ports.mechanisms.ticket_memory:
            return None
        if work.request_id in sent_tickets:
            return _ALREADY_SENT
        if sent_tickets.is_full(now):
            retry_after_ms = to_milliseconds(sent_tickets.validity)
            return NotRun(NotRunReason.OVERLOADED, retry_after_ms=retry_after_ms)
        sent_tickets.add(work.request_id, now)
        return None
