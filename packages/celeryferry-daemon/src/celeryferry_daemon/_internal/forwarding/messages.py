"""Requests of callers and responses to them, independent of any HTTP library."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
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


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A response to a caller.

    :param status: HTTP status.
    :param headers: end-to-end headers.
    :param body: whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
