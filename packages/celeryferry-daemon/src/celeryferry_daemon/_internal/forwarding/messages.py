"""Requests of callers and responses to them, independent of any HTTP library."""

import msgspec


class CallerRequest(msgspec.Struct, frozen=True, gc=False):
    """A complete request of a caller.

    :param request_id: id that the caller assigned, empty if none.
    :param target: path and query string as sent, still percent-encoded.
    :param headers: headers in the order and spelling in which they were sent.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallerResponse(msgspec.Struct, frozen=True, gc=False):
    """A complete response to a caller.

    :param headers: end-to-end headers.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
