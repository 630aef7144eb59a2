"""What applies to all requests of callers, whatever they ask for."""

from aiohttp import web

from celeryferry_core.models.callers import ErrorBody, ErrorType, Ran
from celeryferry_daemon._internal.callers_http import error_response

HEADER_BYTES = 8192
STARTING_RETRY_MS = 500
RUN_ONCE_PATH = "/v1/run-once"


class CallersGate:
    """Counts the requests of callers and refuses them during the start.

    :ivar serving: False until the first configuration is complete.
    :ivar leaving: True once a planned stop began; connections are then closed after
        each answer, so that none is idle when the listener closes.
    :ivar in_flight: running requests.
    """

    __slots__ = ("in_flight", "leaving", "serving")

    def __init__(self) -> None:
        self.serving = False
        self.leaving = False
        self.in_flight = 0

    def make_middleware(self):
        """Return the middleware.

        :returns: middleware for the caller listener.
        """

        @web.middleware
        async def gate(request: web.Request, handler) -> web.StreamResponse:
            if sum(len(k) + len(v) for k, v in request.raw_headers) > HEADER_BYTES:
                message = f"the headers are larger than {HEADER_BYTES} bytes; send less"
                return error_response(
                    ErrorBody(ErrorType.TOO_LARGE, message, _ran_before(request))
                )
            if not self.serving:
                message = "this host is starting; use another entry host or retry"
                ran = _ran_before(request)
                return error_response(
                    ErrorBody(ErrorType.STARTING, message, ran, STARTING_RETRY_MS)
                )
            self.in_flight += 1
            try:
                response = await handler(request)
            finally:
                self.in_flight -= 1
            if self.leaving and not response.prepared:
                response.force_close()
            return response

        return gate


def _ran_before(request: web.Request) -> Ran:
    """Return what is known of a request that this host has not run.

    A ticket may have run through another host, or through an earlier process of this
    one, so a refusal here proves nothing about it.
    """
    return Ran.UNKNOWN if request.path == RUN_ONCE_PATH else Ran.NO
