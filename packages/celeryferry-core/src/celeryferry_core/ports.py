"""Interfaces of the log, the leases and the peers that the core relies on."""

from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Protocol

from result import Result

from celeryferry_core.decisions.base import Decision
from celeryferry_core.exceptions import PeerFailure
from celeryferry_core.models.messages import (
    DocumentsReply,
    DocumentsRequest,
    ObservationsReply,
    ObservationsRequest,
    PartialAnswer,
    ProbeReply,
    ProbeRequest,
    RunOnceForward,
    RunReply,
    RunRequest,
    SubqueryBatch,
)
from celeryferry_core.models.topology import Host


class DecisionLog(Protocol):
    """Log that receives decisions."""

    def record(self, decision: Decision) -> None:
        """Write one decision to the log."""


class Leases(Protocol):
    """Read access to the leases of this host."""

    def expires_at(self, key: str) -> timedelta | None:
        """Return the monotonic time at which the lease on a key ends.

        :param key: ownership key.
        :returns: the end, or None if this host does not hold the key or is handing it
            over.
        """

    def holder_of(self, key: str) -> str | None:
        """Return the id of the lease holder of a key, as far as this host knows."""


class FreshnessGate(Protocol):
    """Check of whether the active configuration is fresh enough to act on."""

    def may_act(self) -> bool:
        """Return False if the configuration may be out of date."""


class PeerClient(Protocol):
    """Client of the interface between daemons. It never repeats a call."""

    async def probe(
        self, host: Host, request: ProbeRequest, timeout: timedelta
    ) -> Result[ProbeReply, PeerFailure]:
        """Send a probe to a host."""

    async def fetch_documents(
        self, host: Host, request: DocumentsRequest, timeout: timedelta
    ) -> Result[DocumentsReply, PeerFailure]:
        """Fetch documents that are newer than the ones of this host."""

    async def fetch_observations(
        self, host: Host, request: ObservationsRequest, timeout: timedelta
    ) -> Result[ObservationsReply, PeerFailure]:
        """Read the state of the upstreams that a host owns."""

    def send_subqueries(
        self, host: Host, batch: SubqueryBatch, timeout: timedelta
    ) -> AsyncIterator[Result[PartialAnswer, PeerFailure]]:
        """Send a batch and iterate over the lines of its answer.

        Closing the iterator closes the connection, which cancels the batch. The
        iterator ends after the line marked ``final`` or after the first failure.
        """

    async def run(
        self, host: Host, request: RunRequest, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Ask an owner to run a non-repeatable request."""

    async def forward_run_once(
        self, host: Host, request: RunOnceForward, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Pass a request on to the process that issued its ticket."""
