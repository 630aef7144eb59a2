"""Life cycle of one HTTP request to another daemon."""

import asyncio
from datetime import timedelta

import aiohttp

from celeryferry_core.exceptions import PeerFailure
from celeryferry_core.models.topology import Host
from celeryferry_daemon._internal.bodies import TrackedBody
from celeryferry_daemon._internal.peers.failures import classify, classify_status

# The end of the stream follows right after the last line. Waiting for it lets the next
# batch use the connection again.
STREAM_END_TIMEOUT = timedelta(milliseconds=20)


class StatusError(ValueError):
    """The status of the answer is not 200."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Exchange:
    """Progress of one request, needed to classify its failure and to clean up.

    :ivar body: body of the request, None until it is encoded.
    :ivar response: response, None until its headers have arrived.
    """

    __slots__ = ("body", "response")

    def __init__(self) -> None:
        self.body: TrackedBody | None = None
        self.response: aiohttp.ClientResponse | None = None

    def classify(self, host: Host, error: Exception) -> PeerFailure:
        """Classify an exception that was raised during the exchange."""
        if isinstance(error, StatusError):
            return classify_status(host, error.status)
        is_sent = self.body is not None and self.body.is_sent
        return classify(host, error, is_sent)

    async def finish_stream(self, is_last_line_read: bool) -> None:
        """Release the connection of a stream.

        :param is_last_line_read: whether the last line was read, so that the end of the
            stream follows right away.
        """
        response = self.response
        if response is not None and is_last_line_read and not response.content.is_eof():
            try:
                async with asyncio.timeout(STREAM_END_TIMEOUT.total_seconds()):
                    await response.content.wait_eof()
            except (TimeoutError, aiohttp.ClientError, OSError):
                response.close()
        self.release()

    def release(self) -> None:
        """Close the connection unless the answer was read to its end.

        Otherwise the next request would read the rest of this answer.
        """
        response = self.response
        if response is None:
            return
        if response.content.is_eof():
            response.release()
        else:
            response.close()
