"""Checks that apply to every request of a caller."""

from aiohttp import web

from celeryferry_core.models.callers import ErrorBody, ErrorType, Ran
from celeryferry_daemon._internal.callers_http import error_response

MAX_HEADER_BYTES = 8192
STARTING_RETRY_MS = 500
RUN_ONCE_PATH = "/v1/run-once"


class CallerMiddleware:
    """Counts running requests, and refuses some before they reach a handler.

    Refused are requests with headers that are too large, and requests that arrive
    before start-up ends.

    :ivar is_serving: False until the first configuration is complete.
    :ivar is_leaving: True after a planned stop has begun; each response then closes its
        connection, so that no connection is idle when the listener closes.
    :ivar in_flight: number of running requests.
    """

    __slots__ = ("in_flight", "is_leaving", "is_serving")

    def __init__(self) -> None:
        self.is_serving = False
        self.is_leaving = False
        self.in_flight = 0

    def make_middleware(self):
        """Return the aiohttp middleware for the caller listener."""

        @web.middleware
        async def check_request(request: web.Request, handler) -> web.StreamResponse:
            if sum(len(k) + len(v) for k, v in request.raw_headers) > MAX_HEADER_BYTES:
                message = (
                    f"the headers are larger than {MAX_HEADER_BYTES} bytes; send less"
                )
                return error_response(
                    ErrorBody(ErrorType.TOO_LARGE, message, _determine_ran(request))
                )
            if not self.is_serving:
                message = "this host is starting; use another entry host or retry"
                ran = _determine_ran(request)
                return error_response(
                    ErrorBody(ErrorType.STARTING, message, ran, STARTING_RETRY_MS)
                )
            self.in_flight += 1
            try:
                response = await handler(request)
            finally:
                self.in_flight -= 1
            if self.is_leaving and not response.prepared:
                response.force_close()
            return response

        return check_request


def _determine_ran(request: web.Request) -> Ran:
    """Return whether a request that this host refuses may have run before.

    The request of a ticket may have run through another host or through an earlier
    process of this host, so ``UNKNOWN`` is all that this host can say about it.
    """
    return Ran.UNKNOWN if request.path == RUN_ONCE_PATH else Ran.NO
