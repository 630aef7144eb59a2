"""HTTP routes of the owner role on the peer listener."""

from collections.abc import Collection
from typing import Protocol

import msgspec
from aiohttp import web

from celeryferry_core.environment import Clock
from celeryferry_core.models.messages import (
    ObservationsReply,
    ObservationsRequest,
    RunReply,
    RunRequest,
    SubqueryBatch,
)
from celeryferry_daemon._internal.owner.batches import BatchRun
from celeryferry_daemon._internal.peers.server import check_deadline, decode_request

_BATCH_DECODER = msgspec.json.Decoder(SubqueryBatch)
_OBSERVATIONS_DECODER = msgspec.json.Decoder(ObservationsRequest)
_RUN_DECODER = msgspec.json.Decoder(RunRequest)
_ENCODER = msgspec.json.Encoder()


class OwnerService(Protocol):
    """Interface of the owner that the routes use."""

    def submit_batch(self, batch: SubqueryBatch) -> BatchRun:
        """Pass the subqueries of a batch to the workers."""

    def observe(
        self, application: str, addresses: Collection[str] = ()
    ) -> ObservationsReply:
        """Return the state of the owned upstreams of an application."""

    async def run(self, request: RunRequest) -> RunReply:
        """Run a non-repeatable request."""


class OwnerRoutes:
    """Decodes requests from fronts and encodes the owner's answers."""

    __slots__ = ("_clock", "_owner")

    def __init__(self, owner: OwnerService, clock: Clock) -> None:
        self._owner = owner
        self._clock = clock

    def routes(self) -> list[web.RouteDef]:
        """Return the route definitions."""
        return [
            web.post("/peer/v1/subqueries", self._answer_batch),
            web.post("/peer/v1/observations", self._answer_observations),
            web.post("/peer/v1/run", self._answer_run),
        ]

    async def _answer_batch(self, request: web.Request) -> web.StreamResponse:
        batch = await decode_request(request, _BATCH_DECODER)
        check_deadline(batch.deadline_unix_ms, self._clock)
        run = self._owner.submit_batch(batch)
        try:
            return await run.respond(request)
        finally:
            # Cancels something only if the front has disconnected: otherwise all work
            # is done.
            run.cancel()

    async def _answer_observations(self, request: web.Request) -> web.Response:
        message = await decode_request(request, _OBSERVATIONS_DECODER)
        return _respond(self._owner.observe(message.application, message.addresses))

    async def _answer_run(self, request: web.Request) -> web.Response:
        message = await decode_request(request, _RUN_DECODER)
        check_deadline(message.deadline_unix_ms, self._clock)
        return _respond(await self._owner.run(message))


def _respond(message: msgspec.Struct) -> web.Response:
    return web.Response(body=_ENCODER.encode(message), content_type="application/json")
