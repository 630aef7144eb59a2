"""Builds the probes of this host and its replies to the probes of others."""

from datetime import timedelta

from celeryferry_core.environment import RandomSource
from celeryferry_core.freshness import Freshness
from celeryferry_core.leases import LeaseReply, LeaseRequest, LeaseSender
from celeryferry_core.membership import MembershipTable
from celeryferry_core.models.messages import (
    SAME_DIGEST,
    CellSummary,
    ProbeReply,
    ProbeRequest,
)
from celeryferry_daemon._internal.clock import to_ms
from celeryferry_daemon._internal.streams import Streams

# Limits the size of replies in a fleet of many cells.
MAX_GOSSIPED_CELLS = 8


class ProbeMessages:
    """Builds probes and replies from the current state of this host.

    :param sender: identity of this process.
    :param table: membership as this host sees it.
    :param freshness: freshness of the configuration of this host.
    :param streams: streams of the daemon.
    :param random: chooses among the summaries of other cells.
    """

    __slots__ = ("_freshness", "_random", "_sender", "_streams", "_table")

    def __init__(
        self,
        sender: LeaseSender,
        table: MembershipTable,
        freshness: Freshness,
        streams: Streams,
        random: RandomSource,
    ) -> None:
        self._sender = sender
        self._table = table
        self._freshness = freshness
        self._streams = streams
        self._random = random

    def make_request(self, leases: LeaseRequest) -> ProbeRequest:
        """Return a probe.

        :param leases: lease request that the probe carries.
        """
        return ProbeRequest(
            host_id=self._sender.host_id,
            incarnation=self._sender.incarnation,
            config_digest=self._get_own_digest(),
            leaving=self._table.is_leaving,
            wanted=leases.wanted,
            released=leases.released,
            sequence=leases.sequence,
        )

    def make_reply(
        self, request: ProbeRequest, leases: LeaseReply, now: timedelta
    ) -> ProbeReply:
        """Return the reply to a probe.

        :param request: the probe.
        :param leases: lease reply that the reply carries.
        :param now: current monotonic time.
        """
        digest = self._get_own_digest()
        return ProbeReply(
            host_id=self._sender.host_id,
            config_digest=SAME_DIGEST if digest == request.config_digest else digest,
            leaving=self._table.is_leaving,
            granted=leases.granted,
            refused=leases.refused,
            service_age_ms=self.service_age_ms(now),
            cells=self._choose_summaries(request.host_id, now),
        )

    def service_age_ms(self, now: timedelta) -> int | None:
        """Return the age of the latest confirmation by the configuration service.

        :param now: current monotonic time.
        :returns: age in milliseconds, None if there is no confirmation.
        """
        age = self._freshness.confirmation_age(now)
        return None if age is None else to_ms(age)

    def _get_own_digest(self) -> str:
        if not self._table.has_configuration:
            return ""
        return self._streams.configuration.value.digest

    def _choose_summaries(
        self, receiver: str, now: timedelta
    ) -> tuple[CellSummary, ...]:
        """Return the summaries of cells for a reply.

        :param receiver: id of the host that receives the reply.
        :param now: current monotonic time.
        """
        own, *others = self._table.list_summaries(now)
        while len(others) > MAX_GOSSIPED_CELLS:
            others.pop(self._random.randrange(len(others)))
        if receiver in self._table.list_members(self._table.own_cell):
            # The receiver probes the hosts of its own cell itself.
            return tuple(others)
        return (own, *others)
