"""Classification of failed calls, and bounded reading of answers."""

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.models.topology import Host

# The peer server answers with these before it hands the request to any handler, or
# when a handler refuses the request before it starts work.
REJECTED_STATUSES = frozenset({400, 401, 404, 405, 413, 415, 431, 503})


# What a call can raise: decoding errors are ValueErrors, and a line that is too long
# is an HttpProcessingError, which is no ClientError.
CALL_ERRORS = (
    TimeoutError,
    aiohttp.ClientError,
    HttpProcessingError,
    OSError,
    ValueError,
    RecursionError,
)


async def read_bounded(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Read a body of limited size.

    :param response: response whose body was not read yet.
    :param limit_bytes: largest accepted size in bytes.
    :returns: the body.
    :raises ValueError: if the body is larger; the rest is not read.
    """
    chunks = []
    size_bytes = 0
    async for chunk in response.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise ValueError(f"the answer is larger than {limit_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def classify_status(host: Host, status: int) -> PeerFailure:
    """Classify an answer that is not 200.

    :param host: host that answered.
    :param status: HTTP status.
    :returns: the failure.
    """
    is_rejected = status in REJECTED_STATUSES
    kind = PeerFailureKind.REJECTED if is_rejected else PeerFailureKind.BAD_ANSWER
    return PeerFailure(kind, host.host_id, f"status {status}")


def classify(host: Host, error: Exception, is_sent: bool) -> PeerFailure:
    """Classify an exception.

    :param host: host that was called.
    :param error: what was raised.
    :param is_sent: whether a byte may have been sent.
    :returns: the failure; ``not_sent`` only if no byte was sent.
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
