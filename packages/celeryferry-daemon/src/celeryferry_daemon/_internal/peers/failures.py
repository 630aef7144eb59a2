"""Classification of failed calls, and bounded reading of answers."""

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.models.topology import Host

# With these statuses the peer server has rejected a request before any handler ran, or
# the handler has rejected it before starting any work, so nothing was run.
REJECTED_STATUSES = frozenset({400, 401, 404, 405, 413, 415, 431, 503})


# Exceptions that a call can raise. Decoding errors are ValueErrors. A line that is too
# long raises an HttpProcessingError, which is not a ClientError.
CALL_ERRORS = (
    TimeoutError,
    aiohttp.ClientError,
    HttpProcessingError,
    OSError,
    ValueError,
    RecursionError,
)


def classify_status(host: Host, status: int) -> PeerFailure:
    """Classify an answer whose status is not 200."""
    is_rejected = status in REJECTED_STATUSES
    kind = PeerFailureKind.REJECTED if is_rejected else PeerFailureKind.BAD_ANSWER
    return PeerFailure(kind, host.host_id, f"status {status}")


def classify(host: Host, error: Exception, is_sent: bool) -> PeerFailure:
    """Classify an exception that a call raised.

    :param is_sent: whether any byte of the request may have been sent.
    :returns: the failure; its kind is ``not_sent`` only if no byte was sent.
    """
    detail = f"{type(error).__name__}: {error}"
    if not is_sent:
        return PeerFailure(PeerFailureKind.NOT_SENT, host.host_id, detail)
    match error:
        case TimeoutError():
            kind = PeerFailureKind.TIMEOUT
        case (
            aiohttp.ClientResponseError()
            | HttpProcessingError()
            | ValueError()
            | RecursionError()
        ):
            kind = PeerFailureKind.BAD_ANSWER
        case _:
            kind = PeerFailureKind.CONNECTION_LOST
    return PeerFailure(kind, host.host_id, detail)
