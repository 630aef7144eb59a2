"""Probes of this host and its replies to those of others."""

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

# Bounds the size of replies in fleets of many cells.
MAX_GOSSIPED_CELLS = 8


class ProbeMessages:
    """Builds messages from what this host knows at the time of each.

    :param sender: identity of this process.
    :param table: membership of this host.
    :param freshness: freshness of this host.
    :param streams: streams of the daemon.
    :param random: source of the choice among summaries of other cells.
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

        :param leases: its lease part.
        """
        return ProbeRequest(
            host_id=self._sender.host_id,
            incarnation=self._sender.incarnation,
            config_digest=self._own_digest(),
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
        :param leases: lease part of the reply.
        :param now: present monotonic time.
        """
        digest = self._own_digest()
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

        :param now: present monotonic time.
        :returns: milliseconds, None if there is none.
        """
        age = self._freshness.confirmation_age(now)
        return None if age is None else to_ms(age)

    def _own_digest(self) -> str:
        if not self._table.is_serving:
            return ""
        return self._streams.configuration.value.digest

    def _choose_summaries(
        self, receiver: str, now: timedelta
    ) -> tuple[CellSummary, ...]:
        """Return the summaries of cells for a reply.

        :param receiver: id of the host that receives it.
        :param now: present monotonic time.
        """
        own, *others = self._table.list_summaries(now)
        while len(others) > MAX_GOSSIPED_CELLS:
            others.pop(self._random.randrange(len(others)))
        if receiver in self._table.list_members(self._table.own_cell):
            # The receiver counts the hosts of its own cell by its own probes.
            return tuple(others)
        return (own, *others)
