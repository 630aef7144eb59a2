"""Probes between hosts, which carry liveness, leases, digests and gossip."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from aioprometheus import Counter
from result import Err, Ok

from celeryferry_core.decisions.fleet import FreshnessChanged, MembershipChanged
from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.freshness import Freshness
from celeryferry_core.lease_messages import MIN_PROBE_ROUND_INTERVAL
from celeryferry_core.leases import (
    PROBE_INTERVAL,
    LeaseReply,
    LeaseRequest,
    LeaseSender,
)
from celeryferry_core.membership import MembershipTable
from celeryferry_core.models.messages import SAME_DIGEST, ProbeReply, ProbeRequest
from celeryferry_core.models.topology import Host
from celeryferry_core.models.views import Membership
from celeryferry_core.placement import get_cell_domain
from celeryferry_core.ports import DecisionLog, PeerClient
from celeryferry_daemon._internal.membership.host_list import HostList
from celeryferry_daemon._internal.membership.lease_manager import LeaseManager
from celeryferry_daemon._internal.membership.probe_messages import ProbeMessages
from celeryferry_daemon._internal.streams import Streams
from celeryferry_daemon._internal.tasks import TaskSet

PROBE_TIMEOUT = timedelta(seconds=1)

# New probes start only while fewer than PENDING_PROBES_FACTOR * (number of hosts + 1)
# are unanswered, so that tasks do not accumulate for peers that do not answer.
PENDING_PROBES_FACTOR = 4


class Prober:
    """Sends and answers probes, and updates liveness, leases and freshness.

    :param sender: identity of this process.
    :param table: membership as this host sees it.
    :param lease_manager: leases of this host.
    :param freshness: freshness of the configuration of this host.
    :param streams: receive the membership when it changes.
    :param peers: client for other daemons.
    :param clock: source of time.
    :param random: chooses among the hosts and the summaries of other cells.
    :param log: receives decisions.
    :param probe_counter: counts probes by result.
    :param check_pause: called with the current time before a round of probes and before
        a reply is recorded; it discards what this host has observed of others if the
        process was paused.
    :ivar on_digest: called with a host and the digest of its documents; returns whether
        the documents here are at least as new.
    """

    def __init__(
        self,
        sender: LeaseSender,
        table: MembershipTable,
        lease_manager: LeaseManager,
        freshness: Freshness,
        streams: Streams,
        peers: PeerClient,
        clock: Clock,
        random: RandomSource,
        log: DecisionLog,
        probe_counter: Counter,
        check_pause: Callable[[timedelta], bool] = lambda now: False,
    ) -> None:
        self._sender = sender
        self._table = table
        self._lease_manager = lease_manager
        self._freshness = freshness
        self._streams = streams
        self._peers = peers
        self._clock = clock
        self._random = random
        self._log = log
        self._probe_counter = probe_counter
        self._check_pause = check_pause
        self._messages = ProbeMessages(sender, table, freshness, streams, random)
        self._tasks = TaskSet()
        self._round_requested = asyncio.Event()
        self._was_fresh: bool | None = None
        self.on_digest: Callable[[Host, str], bool] = lambda host, digest: False

    async def run(self) -> None:
        """Probe every ``PROBE_INTERVAL``, or earlier on request, until cancelled."""
        try:
            while True:
                self.probe_all()
                await asyncio.sleep(MIN_PROBE_ROUND_INTERVAL.total_seconds())
                remaining_s = (
                    PROBE_INTERVAL - MIN_PROBE_ROUND_INTERVAL
                ).total_seconds()
                try:
                    async with asyncio.timeout(remaining_s):
                        await self._round_requested.wait()
                except TimeoutError:
                    pass
                self._round_requested.clear()
        finally:
            await self._tasks.stop()

    def request_round(self) -> None:
        """Start the next round early, so that a change spreads without delay.

        Rounds still start at least ``MIN_PROBE_ROUND_INTERVAL`` apart.
        """
        self._round_requested.set()

    def replace_host_list(self, hosts: HostList) -> None:
        """Apply a host list; new hosts are probed early.

        :param hosts: list as read.
        """
        listed = hosts.to_hosts()
        new_ids = listed.keys() - self._table.hosts.keys()
        self._table.replace_host_list(listed, frozenset(hosts.leaving_upstreams))
        self.refresh()
        if new_ids:
            self.request_round()

    def refresh(self) -> None:
        """Recompute freshness, and publish the membership if it changed."""
        now = self._clock.monotonic()
        self._update_freshness(now)
        membership = self._table.build_view(now)
        if membership == self._streams.membership.value:
            return
        self._log.record(
            MembershipChanged(
                len(membership.hosts),
                tuple(sorted(membership.hosts.keys() - membership.live)),
                tuple(sorted(membership.leaving)),
                tuple(sorted(membership.leaving_upstreams)),
            )
        )
        self._streams.membership.on_next(membership)

    def reset_after_pause(self, now: timedelta) -> None:
        """Discard what was observed before a pause and request a round of probes.

        :param now: monotonic time at which the process resumed.
        """
        self._table.clear_observations()
        self._freshness.reset(now)
        self.request_round()

    def probe_all(self) -> None:
        """Start one round of probes."""
        now = self._clock.monotonic()
        self._check_pause(now)
        self.refresh()
        table = self._table
        cell_name = table.own_cell
        cell_members = table.list_members(cell_name)
        membership: Membership = self._streams.membership.value
        domain_host_count = table.count_hosts_in_domain(get_cell_domain(cell_name))
        keys = self._lease_manager.choose_keys(
            self._streams.configuration.value,
            membership,
            cell_members,
            domain_host_count,
            cell_name,
        )
        if 2 * table.count_answering_hosts(now) <= len(cell_members):
            # Without a majority this host can't hold a lease, and partial grants would
            # prevent other hosts from acquiring theirs.
            keys = frozenset()
        request, released = self._lease_manager.prepare_request(cell_members, keys, now)
        self._spawn_probes(cell_members, request)
        self._lease_manager.publish_held_keys()
        if released:
            self.request_round()

    def answer_probe(self, request: ProbeRequest) -> ProbeReply:
        """Answer the probe of another host.

        A confirmation of the configuration is never recorded from a request, because
        the request may have waited in a socket buffer for any time while this process
        was paused. A planned stop is recorded, because it is never revoked.
        """
        sender = LeaseSender(request.host_id, request.incarnation)
        leases = LeaseRequest(request.sequence, request.wanted, request.released)
        reply = self._lease_manager.answer_request(sender, leases)
        host = self._table.hosts.get(request.host_id)
        if host is not None:
            self.on_digest(host, request.config_digest)
            if request.leaving and self._table.record_leaving(host.host_id):
                self.refresh()
                self.request_round()
        return self._messages.make_reply(request, reply, self._clock.monotonic())

    def _spawn_probes(
        self, cell_members: frozenset[str], request: LeaseRequest
    ) -> None:
        """Probe every other host of the cell, and one host of another cell for gossip.

        :param cell_members: ids of the listed hosts of this host's cell.
        :param request: lease request of the probes within the cell.
        """
        hosts = self._table.hosts
        for host_id in sorted(cell_members - {self._sender.host_id}):
            self._spawn_probe(hosts[host_id], request)
        others = sorted(hosts.keys() - cell_members - {self._sender.host_id})
        if others:
            chosen = others[self._random.randrange(len(others))]
            self._spawn_probe(hosts[chosen], LeaseRequest(request.sequence))

    def _spawn_probe(self, host: Host, leases: LeaseRequest) -> None:
        if len(self._tasks) < PENDING_PROBES_FACTOR * (len(self._table.hosts) + 1):
            self._tasks.spawn(self._probe(host, leases), f"probe {host.host_id}")

    async def _probe(self, host: Host, leases: LeaseRequest) -> None:
        sent_at = self._clock.monotonic()
        request = self._messages.make_request(leases)
        answer = await self._peers.probe(host, request, PROBE_TIMEOUT)
        match answer:
            case Ok(reply) if reply.host_id == host.host_id:
                self._probe_counter.inc({"result": "answered"})
                self._handle_reply(host, request, sent_at, reply)
            case Ok(_):
                self._probe_counter.inc({"result": "wrong_host"})
            case Err(failure):
                self._probe_counter.inc({"result": failure.kind.value})

    def _handle_reply(
        self, host: Host, request: ProbeRequest, sent_at: timedelta, reply: ProbeReply
    ) -> None:
        self._check_pause(self._clock.monotonic())
        table = self._table
        digest = reply.config_digest
        if digest == SAME_DIGEST:
            digest = request.config_digest
        is_serving = digest != ""
        is_up_to_date = self.on_digest(host, digest)
        changed = table.record_answer(
            host.host_id, sent_at, reply.leaving, is_serving, is_up_to_date
        )
        for summary in reply.cells:
            changed |= table.record_summary(summary, sent_at)
        if is_up_to_date and reply.service_age_ms is not None:
            age = timedelta(milliseconds=reply.service_age_ms)
            self._freshness.confirm(sent_at, age)
        grants = LeaseReply(reply.granted, reply.refused)
        self._lease_manager.record_reply(
            host.host_id, request.sequence, sent_at, grants
        )
        if changed:
            self.refresh()
        else:
            self._update_freshness(self._clock.monotonic())

    def _update_freshness(self, now: timedelta) -> None:
        """Recompute whether a majority is reached, and log a change of freshness.

        :param now: current monotonic time.
        """
        # Pairs of a time and the number of hosts that were reached at it.
        reached_counts = self._table.list_reached_counts()
        if self._table.is_listed:
            reached_counts.append((now, 1))
        self._freshness.update_majority(reached_counts, max(1, len(self._table.hosts)))
        fresh = self._freshness.is_fresh(now)
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            self._log.record(
                FreshnessChanged(fresh, self._messages.service_age_ms(now))
            )
