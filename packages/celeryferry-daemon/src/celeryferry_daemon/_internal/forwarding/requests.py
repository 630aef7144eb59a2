"""Reads callers' requests and enforces the configured limits on their size and time."""

import asyncio
from enum import StrEnum

from aiohttp import web
from result import Err, Ok, Result

from celeryferry_core.forwarding.models import CallerBounds

# Asks a caller for the body that it holds back.
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Rejection(StrEnum):
    """Why a request was answered with a client error instead of being run."""

    NO_RULE = "no_rule"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    BODY_LATE = "body_late"


STATUS_CODES = {
    Rejection.NO_RULE: web.HTTPNotFound.status_code,
    Rejection.HEAD_TOO_LARGE: web.HTTPRequestHeaderFieldsTooLarge.status_code,
    Rejection.BODY_TOO_LARGE: web.HTTPRequestEntityTooLarge.status_code,
    Rejection.BODY_LATE: web.HTTPRequestTimeout.status_code,
}


def decode_headers(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request in the order and spelling of the caller."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.raw_headers
    )


async def read_bounded_body(
    request: web.BaseRequest, bounds: CallerBounds, timeout: asyncio.Timeout
) -> Result[bytes, Rejection]:
    """Check the size of a request head and read the body up to its limit.

    :param bounds: limits on the size of head and body.
    :param timeout: ends when the whole body must have arrived.
    :returns: the body, or why the request is rejected.
    """
    head_bytes = sum(len(name) + len(value) for name, value in request.raw_headers)
    if head_bytes > bounds.header_bytes:
        return Err(Rejection.HEAD_TOO_LARGE)
    if not request.body_exists:
        return Ok(b"")
    if (request.content_length or 0) > bounds.body_bytes:
        return Err(Rejection.BODY_TOO_LARGE)
    try:
        async with timeout:
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(CONTINUE_RESPONSE)
            return Ok(await request.read())
    except web.HTTPRequestEntityTooLarge:
        return Err(Rejection.BODY_TOO_LARGE)
    except TimeoutError:
        return Err(Rejection.BODY_LATE)
