"""Helpers of the endpoints for callers: reading bodies and writing responses."""

import asyncio
from datetime import timedelta
from functools import cache
from typing import Any, TypeVar

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from celeryferry_core.models.callers import ErrorAnswer, ErrorBody, ErrorType, Ran

JSON_CONTENT_TYPE = "application/json"
# Time to receive a whole body. A slower caller would occupy a connection for too long.
BODY_TIMEOUT = timedelta(seconds=10)
DEADLINE_RANGE_MS = (1, 60_000)

STATUS_CODES = {
    ErrorType.BAD_REQUEST: 400,
    ErrorType.UNKNOWN_APPLICATION: 404,
    ErrorType.NOT_FOUND: 404,
    ErrorType.TOO_LARGE: 413,
    ErrorType.TICKET_EXPIRED: 410,
    ErrorType.TICKET_UNKNOWN: 404,
    ErrorType.OVERLOADED: 503,
    ErrorType.NO_COVERAGE: 503,
    ErrorType.STALE_CONFIGURATION: 503,
    ErrorType.STARTING: 503,
    ErrorType.OUTCOME_UNKNOWN: 502,
    ErrorType.NOT_RUN: 503,
    ErrorType.INTERNAL: 500,
}

_ENCODER = msgspec.json.Encoder()

T = TypeVar("T")


@cache
def _get_decoder(message_type: type[T]) -> msgspec.json.Decoder[T]:
    return msgspec.json.Decoder(message_type)


async def decode_body(
    request: web.Request, message_type: type[T], max_bytes: int
) -> Result[T, ErrorBody]:
    """Read and decode the JSON body of a request.

    :param request: request whose body has not been read.
    :param message_type: type to decode; it determines whether unknown fields are
        errors.
    :param max_bytes: maximum size of the body in bytes.
    :returns: the message, or the error to send to the caller.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT.total_seconds()):
            body = await _read_bounded(request, max_bytes)
    except TimeoutError:
        return Err(
            make_bad_request_error("the body did not arrive in time; send it at once")
        )
    if body is None:
        text = f"the body is larger than {max_bytes} bytes; send a smaller one"
        return Err(ErrorBody(ErrorType.TOO_LARGE, text, Ran.NO))
    try:
        return Ok(_get_decoder(message_type).decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(
            make_bad_request_error(f"the body is not valid: {error}; correct it")
        )


async def _read_bounded(request: web.Request, max_bytes: int) -> bytes | None:
    if request.content_length is not None and request.content_length > max_bytes:
        return None
    chunks = bytearray()
    async for chunk in request.content.iter_any():
        chunks += chunk
        if len(chunks) > max_bytes:
            return None
    return bytes(chunks)


def make_bad_request_error(message: str) -> ErrorBody:
    """Return the error for an invalid request that has not run.

    :param message: what is wrong with the request, and how to correct it.
    """
    return ErrorBody(ErrorType.BAD_REQUEST, message, Ran.NO)


def check_deadline(deadline_ms: int | None) -> ErrorBody | None:
    """Check that a deadline is within ``DEADLINE_RANGE_MS``.

    :param deadline_ms: deadline in milliseconds, None if the caller gave none.
    :returns: the error to send to the caller, or None.
    """
    lowest, highest = DEADLINE_RANGE_MS
    if deadline_ms is None or lowest <= deadline_ms <= highest:
        return None
    text = f"deadline_ms is {deadline_ms}; give {lowest} to {highest}"
    return make_bad_request_error(text)


def error_response(error: ErrorBody) -> web.Response:
    """Return a response with an ``ErrorAnswer`` and the status code of its type."""
    return json_response(ErrorAnswer(error), STATUS_CODES[error.type])


def json_response(message: Any, status: int = 200) -> web.Response:
    """Return a response with a JSON body.

    :param message: any value that msgspec can encode.
    :param status: HTTP status code.
    """
    body = _ENCODER.encode(message)
    return web.Response(body=body, status=status, content_type=JSON_CONTENT_TYPE)
