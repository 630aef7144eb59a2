"""Execution of one non-repeatable request on one of the replicas."""

from datetime import timedelta

import msgspec

from celeryferry_core.decisions.tickets import TicketSent
from celeryferry_core.durations import MILLISECOND, ZERO_DURATION
from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.exceptions import PeerFailureKind
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import RunRequest
from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    RunOutcome,
)
from celeryferry_core.models.topology import Host, Replica, ServiceDocument, ShardId
from celeryferry_core.models.views import Membership
from celeryferry_core.owners import OwnerDirectory
from celeryferry_core.placement import (
    format_key,
    hash_name,
    select_group,
)
from celeryferry_core.ports import DecisionLog, PeerClient
from celeryferry_core.tickets import Ticket
from celeryferry_daemon._internal.streams import Streams
from celeryferry_daemon._internal.tickets.replies import read_reply

# Time to wait after the deadline, so that an owner whose request timed out can still
# report that outcome before this host's call to the owner times out.
ANSWER_MARGIN = timedelta(milliseconds=100)


class TicketRunner:
    """Sends a request to owners until one of them has run it or may have run it.

    :param host: this host; replicas in its failure domain are preferred.
    :param streams: configuration and membership of the daemon.
    :param peers: client for other daemons.
    :param random: source of random numbers for the order of replicas.
    :param log: receiver of decisions.
    :param mechanisms: protections that are active; tests turn off some of them.
    """

    def __init__(
        self,
        host: Host,
        streams: Streams,
        peers: PeerClient,
        clock: Clock,
        random: RandomSource,
        log: DecisionLog,
        mechanisms: Mechanisms,
    ) -> None:
        self._host = host
        self._streams = streams
        self._peers = peers
        self._clock = clock
        self._random = random
        self._log = log
        self._mechanisms = mechanisms
        self._directory = OwnerDirectory()

    def replace_membership(self, membership: Membership) -> None:
        """Apply a new membership."""
        self._directory.replace_membership(membership)

    async def run(
        self, ticket: Ticket, request: msgspec.Raw, deadline_unix_ms: int
    ) -> RunOutcome:
        """Try one replica after another until the outcome is not "not run".

        :param ticket: ticket in state running.
        :param request: JSON value for the upstream.
        :param deadline_unix_ms: absolute deadline in milliseconds of wall-clock time.
        :returns: the first outcome other than "not run", or the last "not run".
        """
        outcome: RunOutcome = NotRun(NotRunReason.UNKNOWN_SHARD)
        target = self._find_shard(ticket)
        if target is None:
            return outcome
        document, shard_id, group = target
        outcome = NotRun(NotRunReason.FAILURE_DOMAIN_OUT)
        for replica in self._order_replicas(document, shard_id):
            if time_until(deadline_unix_ms, self._clock) <= ZERO_DURATION:
                return NotRun(NotRunReason.DEADLINE)
            message = RunRequest(
                ticket=ticket.text,
                application=ticket.application,
                service=shard_id.service,
                shard=shard_id.shard,
                upstream=replica.address,
                deadline_unix_ms=deadline_unix_ms,
                request=request,
            )
            key = format_key(ticket.application, group, replica.failure_domain)
            outcome = await self._try_owner(key, message)
            if not isinstance(outcome, NotRun):
                return outcome
        return outcome

    async def _try_owner(self, key: str, message: RunRequest) -> RunOutcome:
        """Send to the owner of a replica, and follow one redirect to another owner.

        :param key: ownership key of the replica.
        """
        owner = self._directory.find_owner(key, self._clock.monotonic())
        if owner is None:
            return NotRun(NotRunReason.NO_OWNER)
        outcome = await self._send(owner, message)
        if not isinstance(outcome, NotRun) or outcome.holder in (None, owner.host_id):
            return outcome
        now = self._clock.monotonic()
        self._directory.record_redirect(key, outcome.holder, now)
        named_owner = self._directory.find_owner(key, now)
        if named_owner is None or named_owner.host_id != outcome.holder:
            return outcome
        return await self._send(named_owner, message)

    async def _send(self, owner: Host, message: RunRequest) -> RunOutcome:
        self._log.record(TicketSent(message.ticket, message.upstream, owner.host_id))
        timeout = time_until(message.deadline_unix_ms, self._clock) + ANSWER_MARGIN
        reply = await self._peers.run(owner, message, timeout)
        if reply.is_err() and reply.err_value.kind is PeerFailureKind.NOT_SENT:
            self._directory.mark_unusable(owner.host_id, self._clock.monotonic())
        return read_reply(reply, message.ticket, NotRun(NotRunReason.UNREACHABLE))

    def _find_shard(
        self, ticket: Ticket
    ) -> tuple[ServiceDocument, ShardId, str] | None:
        """Find the shard that serves a ticket.

        The tickets of a service are spread over its shards by hash.

        :returns: document, shard and placement group, or None if the service was
            removed or has no shards.
        """
        view = self._streams.configuration.value
        services = view.list_services(ticket.application)
        document = next((s for s in services if s.service == ticket.service), None)
        if document is None:
            return None
        # Run requests do not refer to a snapshot, so they use only shards without
        # ``last_snapshot``, that is, shards that newer snapshots still use.
        shards = [s for s in document.shards if s.last_snapshot is None]
        if not shards:
            return None
        shard = shards[hash_name(ticket.text) % len(shards)]
        shard_id = ShardId(document.service, shard.name)
        return document, shard_id, select_group(document.service, shard)

    def _order_replicas(
        self, document: ServiceDocument, shard_id: ShardId
    ) -> list[Replica]:
        """Return the replicas in service in random order, own failure domain first."""
        leaving = self._streams.membership.value.leaving_upstreams
        domains_out = (
            document.failure_domains_out if self._mechanisms.domain_out else ()
        )
        shard = next(s for s in document.shards if s.name == shard_id.shard)
        usable = [
            replica
            for replica in shard.replicas
            if replica.failure_domain not in domains_out
            and replica.address not in leaving
        ]
        own_domain = self._host.failure_domain
        sort_keys = [
            (
                replica.failure_domain != own_domain,
                self._random.random(),
                replica.address,
            )
            for replica in usable
        ]
        by_address = {replica.address: replica for replica in usable}
        return [by_address[address] for *_, address in sorted(sort_keys)]


def time_until(deadline_unix_ms: int, clock: Clock) -> timedelta:
    """Return the time until a wall-clock deadline, negative after it.

    :param deadline_unix_ms: milliseconds of wall-clock time.
    """
    now_ms = clock.wall().timestamp() * 1000
    return (deadline_unix_ms - now_ms) * MILLISECOND
