"""What requests to upstreams and to other daemons have in common."""

import aiohttp
from aiohttp.abc import AbstractStreamWriter

# Headers that aiohttp must not add to those of the sender and the body. Compressed
# answers are not asked for; decompressing one could exceed the bound on the size of an
# answer.
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


class TrackedBody(aiohttp.BytesPayload):
    """JSON body that knows whether its request was sent.

    aiohttp holds the headers back until the body is written.

    :param content: JSON text.
    :ivar is_sent: False proves that no byte was sent.
    """

    def __init__(self, content: bytes) -> None:
        super().__init__(content, content_type="application/json")
        self.is_sent = False

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write headers and body.

        :param writer: stream of the connection.
        :param content_length: largest number of bytes to write.
        """
        self.is_sent = True
        await super().write_with_length(writer, content_length)
