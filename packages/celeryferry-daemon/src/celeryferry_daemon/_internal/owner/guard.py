"""Checks just before each send to an upstream."""

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

# Clocks of hosts and upstreams agree within this.
MAX_CLOCK_SKEW = timedelta(milliseconds=100)
_ALREADY_SENT = OutcomeUnknown(UnknownReason.ALREADY_SENT)


@dataclass(frozen=True, slots=True)
class WorkerPorts:
    """What all workers of one owner share.

    :param leases: leases of this host.
    :param gate: tells whether the configuration may be acted on.
    :param clock: source of time.
    :param log: receiver of decisions.
    :param metrics: metrics of the owner.
    :param mechanisms: switches for tests.
    :param run_memory: tickets sent lately.
    """

    leases: Leases
    gate: FreshnessGate
    clock: Clock
    log: DecisionLog
    metrics: OwnerMetrics
    mechanisms: Mechanisms
    run_memory: SentTickets


@dataclass(frozen=True, slots=True)
class Assignment:
    """Why and how a worker serves its upstream.

    :param key: ownership key.
    :param limits: limits from the service document.
    :param is_domain_out: whether its failure domain is out of service.
    :param is_leaving: whether the host list calls the upstream leaving.
    """

    key: str
    limits: UpstreamLimits
    is_domain_out: bool = False
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class SendTime:
    """Time that a request has.

    :param deadline_unix_ms: deadline for the upstream, absolute wall-clock time.
    :param remaining: time until then.
    :param answer_timeout: time to wait for the answer. It lasts to the end of the
        lease, because the upstream's clock may be behind by the skew.
    """

    deadline_unix_ms: int
    remaining: timedelta
    answer_timeout: timedelta


class SendGuard:
    """Decides whether a request may be sent to one upstream at this moment.

    :param assignment: present assignment of the worker; replaced by the worker.
    :param ports: what all workers share.
    """

    __slots__ = ("_ports", "assignment", "is_stopped")

    def __init__(self, assignment: Assignment, ports: WorkerPorts) -> None:
        self.assignment = assignment
        self.is_stopped = False
        self._ports = ports

    def check(self, now: timedelta, is_draining: bool) -> NotRun | None:
        """Check all that may forbid a send, apart from the limit.

        :param now: present monotonic time.
        :param is_draining: whether the upstream itself has shown a drain.
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
        is_leaving = is_draining or self.assignment.is_leaving
        if mechanisms.drain_check and is_leaving:
            return NotRun(NotRunReason.DRAINING)
        return None

    def refuse_not_owner(self) -> NotRun:
        """Return the refusal that names the holder of the key."""
        holder = self._ports.leases.holder_of(self.assignment.key)
        return NotRun(NotRunReason.NOT_OWNER, holder=holder)

    def compute_send_time(self, work: Work) -> SendTime:
        """Bound the deadline of a request by the lease.

        The wall clock is read first, so a pause between the readings makes the
        deadline earlier, never later than the end of the lease.

        :param work: the request.
        :returns: the earlier of its deadline and the end of the lease less the skew.
        """
        clock = self._ports.clock
        wall = clock.wall()
        now = clock.monotonic()
        remaining = work.deadline - now
        if not self._ports.mechanisms.lease_check:
            return SendTime(work.deadline_unix_ms, remaining, remaining)
        expires_at = self._ports.leases.expires_at(self.assignment.key)
        if expires_at is None:
            return SendTime(0, ZERO_DURATION, ZERO_DURATION)
        lease_remaining = expires_at - MAX_CLOCK_SKEW - now
        lease_end = int(wall.timestamp() * 1000) + lease_remaining // MILLISECOND
        deadline = min(work.deadline_unix_ms, lease_end)
        answer_timeout = min(remaining, lease_remaining + MAX_CLOCK_SKEW)
        return SendTime(deadline, min(remaining, lease_remaining), answer_timeout)

    def claim_ticket(
        self, work: Work, now: timedelta
    ) -> NotRun | OutcomeUnknown | None:
        """Make sure that the ticket of a run request is sent once.

        :param work: run request.
        :param now: present monotonic time.
        :returns: None if the request may be sent, otherwise its outcome.
        """
        memory = self._ports.run_memory
        if not self._ports.mechanisms.ticket_memory:
            return None
        if work.request_id in memory:
            return _ALREADY_SENT
        if memory.is_full(now):
            retry_after_ms = to_milliseconds(memory.validity)
            return NotRun(NotRunReason.OVERLOADED, retry_after_ms=retry_after_ms)
        memory.add(work.request_id, now)
        return None
