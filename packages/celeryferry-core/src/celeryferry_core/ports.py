"""Interfaces that the decisions and tasks need from the outside."""

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
    """Receiver of decisions."""

    def record(self, decision: Decision) -> None:
        """Write one decision to the log."""


class Leases(Protocol):
    """Read access to the leases of this host."""

    def expires_at(self, key: str) -> timedelta | None:
        """Return the monotonic time at which the lease on a key ends.

        :param key: ownership key.
        :returns: the end, or None if the key is not held or is being handed over.
        """

    def holder_of(self, key: str) -> str | None:
        """Return the host id that holds a key as far as this host knows."""


class FreshnessGate(Protocol):
    """Tells whether the active configuration may be acted on."""

    def may_act(self) -> bool:
        """Return False if the configuration may be out of date."""


class PeerClient(Protocol):
    """Client side of the interface between daemons. No call is ever repeated."""

    async def probe(
        self, host: Host, request: ProbeRequest, timeout: timedelta
    ) -> Result[ProbeReply, PeerFailure]:
        """Send a heartbeat."""

    async def fetch_documents(
        self, host: Host, request: DocumentsRequest, timeout: timedelta
    ) -> Result[DocumentsReply, PeerFailure]:
        """Pull newer documents."""

    async def fetch_observations(
        self, host: Host, request: ObservationsRequest, timeout: timedelta
    ) -> Result[ObservationsReply, PeerFailure]:
        """Read the state of the upstreams that a host owns."""

    def send_subqueries(
        self, host: Host, batch: SubqueryBatch, timeout: timedelta
    ) -> AsyncIterator[Result[PartialAnswer, PeerFailure]]:
        """Send a batch and iterate over the lines of its answer.

        Closing the iterator closes the connection, which cancels the batch. The
        iterator ends after the line with ``final`` or after the first failure.
        """

    async def run(
        self, host: Host, request: RunRequest, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Ask an owner to run a non-repeatable request."""

    async def forward_run_once(
        self, host: Host, request: RunOnceForward, timeout: timedelta
    ) -> Result[RunReply, PeerFailure]:
        """Pass a request on to the process that issued its ticket."""
