"""Headers and body type that requests to upstreams and to other daemons share."""

import aiohttp
from aiohttp.abc import AbstractStreamWriter

# Headers that aiohttp must not add to a request. Compressed responses are not accepted,
# because a decompressed response could exceed the size limit.
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


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
