"""Reads callers' requests and enforces the configured limits on their size and time."""

import asyncio
from collections.abc import Callable
from enum import StrEnum

from aiohttp import web
from aiohttp.http import HttpProcessingError
from result import Err, Ok, Result

from celeryferry_core.forwarding.models import CallerBounds

# A name of one character, a colon and the end of the line.
MIN_HEADER_LINE_BYTES = 4
# Asks a caller for the body that it holds back.
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Rejection(StrEnum):
    """Why a request was answered with a client error instead of being run."""

    NO_RULE = "no_rule"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    BODY_LATE = "body_late"
    MALFORMED = "malformed"


STATUS_CODES = {
    Rejection.NO_RULE: web.HTTPNotFound.status_code,
    Rejection.HEAD_TOO_LARGE: web.HTTPRequestHeaderFieldsTooLarge.status_code,
    Rejection.BODY_TOO_LARGE: web.HTTPRequestEntityTooLarge.status_code,
    Rejection.BODY_LATE: web.HTTPRequestTimeout.status_code,
    Rejection.MALFORMED: web.HTTPBadRequest.status_code,
}


def decode_headers(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request in the order and spelling of the caller."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.raw_headers
    )


async def read_bounded_body(
    request: web.BaseRequest,
    read_bounds: Callable[[], CallerBounds],
    timeout: asyncio.Timeout,
) -> Result[bytes, Rejection]:
    """Check the size of a request head and read the body up to its limit.

    :param read_bounds: returns the limits on the request, which may rise while its body
        arrives.
    :param timeout: ends when the whole body must have arrived.
    :returns: the body, or why the request is rejected.
    """
    bounds = read_bounds()
    if is_head_too_large(request, bounds.header_bytes):
        return Err(Rejection.HEAD_TOO_LARGE)
    if not request.body_exists:
        return Ok(b"")
    if (request.content_length or 0) > bounds.body_bytes:
        return Err(Rejection.BODY_TOO_LARGE)
    body = bytearray()
    try:
        async with timeout:
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(CONTINUE_RESPONSE)
            async for part in request.content.iter_any():
                body += part
                if len(body) > read_bounds().body_bytes:
                    return Err(Rejection.BODY_TOO_LARGE)
    except TimeoutError:
        return Err(Rejection.BODY_LATE)
    except HttpProcessingError:
        return Err(Rejection.MALFORMED)
    return Ok(bytes(body))


def is_head_too_large(request: web.BaseRequest, limit_bytes: int) -> bool:
    """Return whether the target or the headers of a request exceed the limit."""
    headers = request.raw_headers
    header_bytes = sum(len(name) + len(value) for name, value in headers)
    has_too_many = len(headers) > limit_bytes // MIN_HEADER_LINE_BYTES
    return max(len(request.raw_path), header_bytes) > limit_bytes or has_too_many
