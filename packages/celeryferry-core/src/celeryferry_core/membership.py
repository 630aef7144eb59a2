"""View of the other hosts, from the host list, the probes of this host and gossip."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec

from celeryferry_core.durations import to_milliseconds
from celeryferry_core.freshness import MAX_FRESH_AGE
from celeryferry_core.models.messages import CellSummary
from celeryferry_core.models.topology import Host, HostState
from celeryferry_core.models.views import Membership
from celeryferry_core.placement import select_host_cell

# Three times ``PROBE_INTERVAL`` of the leases, counted from the sending of the latest
# answered probe: one lost probe does not move ownership, because the answer to the next
# one can still arrive in time. After two lost probes the host is considered failed.
LIVENESS_TIMEOUT = timedelta(milliseconds=1500)


@dataclass(frozen=True, slots=True)
class _ProbeAnswer:
    sent_at: timedelta
    is_leaving: bool
    has_configuration: bool
    has_all_documents: bool


@dataclass(frozen=True, slots=True)
class _ReceivedSummary:
    as_of: timedelta
    summary: CellSummary


class MembershipTable:
    """Listed hosts with their liveness.

    Hosts of the own cell are live if they answered a recent probe. Hosts of other cells
    are live unless a recent summary from a host that reaches a majority of that cell
    says otherwise.

    :param host: this host.
    :ivar is_leaving: whether this host has announced its planned stop.
    :ivar has_configuration: whether this host has a configuration.
    """

    __slots__ = (
        "_answers",
        "_cells",
        "_hosts",
        "_leaving_upstreams",
        "_own_cell",
        "_host",
        "_summaries",
        "is_leaving",
        "has_configuration",
    )

    def __init__(self, host: Host) -> None:
        self._host = host
        self._hosts: dict[str, Host] = {}
        self._own_cell = select_host_cell(host, 1)
        self._cells: dict[str, frozenset[str]] = {}
        self._leaving_upstreams: frozenset[str] = frozenset()
        self._answers: dict[str, _ProbeAnswer] = {}
        self._summaries: dict[str, _ReceivedSummary] = {}
        self.is_leaving = False
        self.has_configuration = False

    @property
    def hosts(self) -> Mapping[str, Host]:
        """Listed hosts by host id."""
        return self._hosts

    @property
    def own_cell(self) -> str:
        """Name of this host's cell."""
        return self._own_cell

    @property
    def is_listed(self) -> bool:
        """Whether this host is in the list."""
        return self._host.host_id in self._hosts

    def count_hosts_in_domain(self, failure_domain: str) -> int:
        """Return the number of listed hosts in a failure domain."""
        hosts = self._hosts.values()
        return sum(host.failure_domain == failure_domain for host in hosts)

    def list_members(self, cell: str) -> frozenset[str]:
        """Return the ids of the listed hosts of a cell, given the cell's name."""
        return self._cells.get(cell, frozenset())

    def replace_host_list(
        self, hosts: Mapping[str, Host], leaving_upstreams: frozenset[str]
    ) -> None:
        """Apply a newly read host list.

        Observations of hosts and cells that are no longer listed are dropped.

        :param leaving_upstreams: addresses of leaving upstreams.
        """
        self._hosts = dict(hosts)
        self._leaving_upstreams = leaving_upstreams
        sizes: dict[str, int] = {}
        for host in hosts.values():
            sizes[host.failure_domain] = sizes.get(host.failure_domain, 0) + 1
        cells: dict[str, set[str]] = {}
        for host in hosts.values():
            cell = select_host_cell(host, sizes[host.failure_domain])
            cells.setdefault(cell, set()).add(host.host_id)
        self._cells = {cell: frozenset(members) for cell, members in cells.items()}
        own_size = max(1, sizes.get(self._host.failure_domain, 0))
        self._own_cell = select_host_cell(self._host, own_size)
        self._answers = {
            host_id: answer
            for host_id, answer in self._answers.items()
            if host_id in hosts
        }
        self._summaries = {
            name: entry for name, entry in self._summaries.items() if name in cells
        }

    def record_answer(
        self,
        host_id: str,
        sent_at: timedelta,
        is_leaving: bool,
        has_configuration: bool,
        has_all_documents: bool,
    ) -> bool:
        """Record that a host answered a probe.

        :param host_id: host that answered.
        :param sent_at: time just before the probe was sent.
        :param is_leaving: whether that host announced a planned stop.
        :param has_configuration: whether that host has a configuration.
        :param has_all_documents: whether the local host has applied all documents of
            the host that answered. If not, the host that answered does not count as
            reached, because it knows of a change that is missing locally.
        :returns: True if the view of the hosts may have changed.
        """
        latest = self._answers.get(host_id)
        if latest is not None and sent_at < latest.sent_at:
            return False
        self._answers[host_id] = _ProbeAnswer(
            sent_at, is_leaving, has_configuration, has_all_documents
        )
        if latest is None or sent_at - latest.sent_at >= LIVENESS_TIMEOUT:
            return True
        return (latest.is_leaving, latest.has_configuration) != (
            is_leaving,
            has_configuration,
        )

    def record_leaving(self, host_id: str) -> bool:
        """Record that a host announced its planned stop in its own probe.

        :returns: True if the host has answered a probe before and its planned stop was
            not known.
        """
        latest = self._answers.get(host_id)
        if latest is None or latest.is_leaving:
            return False
        self._answers[host_id] = replace(latest, is_leaving=True)
        return True

    def record_summary(self, summary: CellSummary, sent_at: timedelta) -> bool:
        """Record a gossiped summary of another cell if it is newer than the known one.

        :param sent_at: time just before the probe that brought it was sent.
        :returns: True if the view of the hosts may have changed.
        """
        if summary.cell == self.own_cell or summary.cell not in self._cells:
            return False
        as_of = sent_at - timedelta(milliseconds=max(0, summary.age_ms))
        known = self._summaries.get(summary.cell)
        if known is not None and as_of <= known.as_of:
            return False
        self._summaries[summary.cell] = _ReceivedSummary(as_of, summary)
        if known is None:
            return True
        old = known.summary
        return (old.live_count, old.leaving, old.unavailable) != (
            summary.live_count,
            summary.leaving,
            summary.unavailable,
        )

    def clear_observations(self) -> None:
        """Discard the observations made before a pause of the process."""
        self._answers.clear()
        self._summaries.clear()

    def build_view(self, now: timedelta) -> Membership:
        """Build the view of the hosts as of now."""
        unavailable: set[str] = set()
        leaving = {
            host_id
            for host_id, host in self._hosts.items()
            if host.state is HostState.LEAVING
        }
        for summary in self._list_fresh_summaries(now):
            members = self._cells[summary.cell]
            leaving.update(members.intersection(summary.leaving))
            if 2 * summary.live_count > len(members):
                # Only a majority of a cell may declare its other hosts unavailable.
                unavailable.update(summary.unavailable)
        own_unavailable, own_leaving = self._list_unavailable_and_leaving(now)
        return Membership(
            hosts=self._hosts,
            live=frozenset(self._hosts.keys() - unavailable - own_unavailable),
            leaving=frozenset(leaving | own_leaving),
            leaving_upstreams=self._leaving_upstreams,
            hosts_with_old_summary=self._list_hosts_with_old_summary(now),
        )

    def count_answering_hosts(self, now: timedelta) -> int:
        """Return how many hosts of the own cell, this one included, answered recently.

        The period is ``LIVENESS_TIMEOUT``.
        """
        return len(self.list_members(self.own_cell)) - len(self._list_unresponsive(now))

    def list_summaries(self, now: timedelta) -> tuple[CellSummary, ...]:
        """Return the summaries to send with probes.

        :returns: own cell first, then the other cells with a recent summary.
        """
        cell = self.own_cell
        unavailable_hosts, leaving = self._list_unavailable_and_leaving(now)
        own = CellSummary(
            cell=cell,
            live_count=self.count_answering_hosts(now),
            age_ms=0,
            leaving=tuple(sorted(leaving)),
            unavailable=tuple(sorted(unavailable_hosts)),
        )
        return (own, *self._list_fresh_summaries(now))

    def list_reached_counts(self) -> list[tuple[timedelta, int]]:
        """Return times and the number of other hosts that were reached at each.

        They show whether a majority of all hosts was reached recently.

        :returns: pairs of a time and a number: 1 for each host of the own cell, and the
            number of live hosts for each other cell.
        """
        members = self.list_members(self.own_cell)
        reached = [
            (answer.sent_at, 1)
            for host_id, answer in self._answers.items()
            if host_id in members and answer.has_all_documents
        ]
        for cell, entry in self._summaries.items():
            count = min(entry.summary.live_count, len(self._cells[cell]))
            reached.append((entry.as_of, count))
        return reached

    def _list_unresponsive(self, now: timedelta) -> set[str]:
        return {
            host_id
            for host_id in self.list_members(self.own_cell)
            if host_id != self._host.host_id and not self._has_answered(host_id, now)
        }

    def _has_answered(self, host_id: str, now: timedelta) -> bool:
        answer = self._answers.get(host_id)
        return answer is not None and now - answer.sent_at < LIVENESS_TIMEOUT

    def _list_unavailable_and_leaving(
        self, now: timedelta
    ) -> tuple[set[str], set[str]]:
        unavailable = self._list_unresponsive(now)
        leaving = set()
        for host_id in self.list_members(self.own_cell) - unavailable:
            if host_id == self._host.host_id:
                answer = _ProbeAnswer(
                    now, self.is_leaving, self.has_configuration, True
                )
            else:
                answer = self._answers[host_id]
            if answer.is_leaving:
                leaving.add(host_id)
            if not answer.has_configuration:
                unavailable.add(host_id)
        return unavailable, leaving

    def _list_hosts_with_old_summary(self, now: timedelta) -> frozenset[str]:
        cells = [
            cell
            for cell, entry in self._summaries.items()
            if now - entry.as_of >= MAX_FRESH_AGE
        ]
        return frozenset().union(*(self._cells[cell] for cell in cells))

    def _list_fresh_summaries(self, now: timedelta) -> list[CellSummary]:
        fresh = []
        for _, entry in sorted(self._summaries.items()):
            age = now - entry.as_of
            if age < MAX_FRESH_AGE:
                age_ms = to_milliseconds(age)
                fresh.append(msgspec.structs.replace(entry.summary, age_ms=age_ms))
        return fresh
