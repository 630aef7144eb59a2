"""HTTP routes for tickets on the caller listener and the peer listener."""

from collections.abc import Callable
from typing import Protocol

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from celeryferry_core.environment import Clock
from celeryferry_core.models.callers import (
    ErrorBody,
    ErrorType,
    Ran,
    RunOnceRequest,
    TicketAnswer,
    TicketRequest,
)
from celeryferry_core.models.messages import RunOnceForward, RunReply
from celeryferry_core.models.outcomes import RunOutcome
from celeryferry_daemon._internal.callers_http import decode_body, error_response
from celeryferry_daemon._internal.peers.server import check_deadline, decode_request
from celeryferry_daemon._internal.tickets.answers import to_answer

MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 60_000
_FORWARD_DECODER = msgspec.json.Decoder(RunOnceForward)
_ENCODER = msgspec.json.Encoder()


class TicketService(Protocol):
    """Interface of the ticket handler that the routes use."""

    def issue(self, request: TicketRequest) -> Result[TicketAnswer, ErrorBody]:
        """Issue a ticket."""

    async def run_once(
        self, ticket_text: str, request: msgspec.Raw, deadline_unix_ms: int
    ) -> Result[RunOutcome, ErrorBody]:
        """Run the request of a ticket, here or at its issuer."""

    async def run_forwarded(self, message: RunOnceForward) -> RunReply:
        """Run a request that another entry host forwarded."""


class TicketRoutes:
    """Decodes requests and encodes answers.

    :param service: the ticket handler.
    :param body_bytes: largest accepted body of a caller's request in bytes.
    :param is_unused: returns whether a given ticket was issued by this process and has
        certainly not run.
    """

    __slots__ = ("_body_bytes", "_clock", "_service", "_is_unused")

    def __init__(
        self,
        service: TicketService,
        body_bytes: int,
        clock: Clock,
        is_unused: Callable[[str], bool],
    ) -> None:
        self._is_unused = is_unused
        self._service = service
        self._body_bytes = body_bytes
        self._clock = clock

    def caller_routes(self) -> list[web.RouteDef]:
        """Return the route definitions of the caller listener."""
        return [
            web.post("/v1/tickets", self._answer_ticket),
            web.post("/v1/run-once", self._answer_run_once),
        ]

    def peer_routes(self) -> list[web.RouteDef]:
        """Return the route definitions of the peer listener."""
        return [web.post("/peer/v1/run-once", self._answer_forward)]

    async def _answer_ticket(self, request: web.Request) -> web.Response:
        decoded = await decode_body(request, TicketRequest, self._body_bytes)
        if isinstance(decoded, Err):
            return error_response(decoded.err_value)
        return _respond(self._service.issue(decoded.ok_value))

    async def _answer_run_once(self, request: web.Request) -> web.Response:
        decoded = await decode_body(request, RunOnceRequest, self._body_bytes)
        if isinstance(decoded, Err):
            return error_response(decoded.err_value)
        message = decoded.ok_value
        if not MIN_DEADLINE_MS <= message.deadline_ms <= MAX_DEADLINE_MS:
            text = f"deadline_ms must be {MIN_DEADLINE_MS} to {MAX_DEADLINE_MS}."
            # An earlier call may have run the ticket even though this one is rejected.
            ran = Ran.NO if self._is_unused(message.ticket) else Ran.UNKNOWN
            return error_response(ErrorBody(ErrorType.BAD_REQUEST, text, ran))
        now_ms = int(self._clock.wall().timestamp() * 1000)
        completed = await self._service.run_once(
            message.ticket, message.request, now_ms + message.deadline_ms
        )
        if isinstance(completed, Err):
            return _respond(completed)
        answer = to_answer(message.ticket, completed.ok_value)
        return _respond(Err(answer) if isinstance(answer, ErrorBody) else Ok(answer))

    async def _answer_forward(self, request: web.Request) -> web.Response:
        message = await decode_request(request, _FORWARD_DECODER)
        check_deadline(message.deadline_unix_ms, self._clock)
        return _respond(Ok(await self._service.run_forwarded(message)))


def _respond(result: Result[msgspec.Struct, ErrorBody]) -> web.Response:
    match result:
        case Ok(message):
            content = _ENCODER.encode(message)
            return web.Response(body=content, content_type="application/json")
        case Err(error):
            return error_response(error)
