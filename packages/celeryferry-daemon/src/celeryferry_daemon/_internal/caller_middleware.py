"""What applies to all requests of callers, whatever they ask for."""

from aiohttp import web

from celeryferry_core.models.callers import ErrorBody, ErrorType, Ran
from celeryferry_daemon._internal.callers_http import error_response

MAX_HEADER_BYTES = 8192
STARTING_RETRY_AFTER_MS = 500
RUN_ONCE_PATH = "/v1/run-once"


class CallerMiddleware:
    """Counts the requests of callers and refuses them during the start.

    :ivar is_serving: False until the first configuration is complete.
    :ivar is_leaving: True once a planned stop began; connections are then closed after
        each answer, so that none is idle when the listener closes.
    :ivar in_flight: running requests.
    """

    __slots__ = ("in_flight", "is_leaving", "is_serving")

    def __init__(self) -> None:
        self.is_serving = False
        self.is_leaving = False
        self.in_flight = 0

    def make_middleware(self):
        """Return the middleware.

        :returns: middleware for the caller listener.
        """

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
                    ErrorBody(ErrorType.STARTING, message, ran, STARTING_RETRY_AFTER_MS)
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
    """Return what is known of a request that this host has not run.

    A ticket may have run through another host, or through an earlier process of this
    one, so a refusal here proves nothing about it.
    """
    return Ran.UNKNOWN if request.path == RUN_ONCE_PATH else Ran.NO
