"""Bodies of requests and responses between processes."""

import aiohttp
from aiohttp.abc import AbstractStreamWriter

from celeryferry_core.exceptions import CeleryferryError

# Headers that aiohttp must not add to a request. Compressed responses are not accepted,
# because a decompressed response could exceed the size limit.
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")

OK_STATUS = 200


class TrackedBody(aiohttp.BytesPayload):
    """JSON request body that records whether aiohttp began to send the request.

    aiohttp does not send the headers before it writes the body.

    :param content: encoded JSON.
    :ivar is_sent: False if no byte of the request was sent; True if some may have been.
    """

    def __init__(self, content: bytes) -> None:
        super().__init__(content, content_type="application/json")
        self.is_sent = False

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, which also sends the headers.

        :param writer: output stream of the connection.
        :param content_length: maximum number of bytes to write.
        """
        self.is_sent = True
        await super().write_with_length(writer, content_length)


def is_answer(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response is a successful one of HTTP/1.

    aiohttp also accepts other versions, and statuses that HTTP does not allow.
    """
    version = response.version
    is_known_version = version in (aiohttp.HttpVersion10, aiohttp.HttpVersion11)
    return is_known_version and response.status == OK_STATUS


class BodyTooLargeError(CeleryferryError, ValueError):
    """The body of a response is larger than its reader accepts."""


async def read_bounded(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Read a body of limited size.

    :param response: response whose body has not been read.
    :param limit_bytes: largest accepted size.
    :raises BodyTooLargeError: if the body is larger; the rest is not read.
    """
    chunks = []
    size_bytes = 0
    async for chunk in response.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise BodyTooLargeError(f"the answer is larger than {limit_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
