"""Requests of callers and responses to them, independent of any HTTP library."""

import msgspec


class CallerRequest(msgspec.Struct, frozen=True, gc=False):
    """A complete request of a caller.

    :param request_id: id that the caller gave it, empty if none.
    :param method: HTTP method.
    :param target: path with its query, as sent.
    :param headers: headers in order, as sent.
    :param body: whole body.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallerResponse(msgspec.Struct, frozen=True, gc=False):
    """A response to a caller.

    :param status: HTTP status.
    :param headers: end-to-end headers.
    :param body: whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
