"""One request to another daemon, what its failure means, and its end."""

import asyncio
from datetime import timedelta

import aiohttp

from celeryferry_core.exceptions import PeerFailure
from celeryferry_core.models.topology import Host
from celeryferry_daemon._internal.bodies import TrackedBody
from celeryferry_daemon._internal.peers.failures import classify, classify_status

# After the last line the end of the stream follows at once; waiting for it keeps the
# connection usable for the next batch.
STREAM_END_TIMEOUT = timedelta(milliseconds=20)


class StatusError(ValueError):
    """The answer has another status than 200.

    :param status: HTTP status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Exchange:
    """One request and its answer, as far as they got.

    :ivar body: body of the request, None before it is encoded.
    :ivar response: None before its headers have arrived.
    """

    __slots__ = ("body", "response")

    def __init__(self) -> None:
        self.body: TrackedBody | None = None
        self.response: aiohttp.ClientResponse | None = None

    def classify(self, host: Host, error: Exception) -> PeerFailure:
        """Classify what was raised during the exchange.

        :param host: host that was called.
        :param error: what was raised.
        """
        if isinstance(error, StatusError):
            return classify_status(host, error.status)
        is_sent = self.body is not None and self.body.is_sent
        return classify(host, error, is_sent)

    async def finish_stream(self, final: bool) -> None:
        """Release the connection of a stream.

        :param final: whether the last line was read, so that the end follows at once.
        """
        response = self.response
        if response is not None and final and not response.content.is_eof():
            try:
                async with asyncio.timeout(STREAM_END_TIMEOUT.total_seconds()):
                    await response.content.wait_eof()
            except (TimeoutError, aiohttp.ClientError, OSError):
                response.close()
        self.release()

    def release(self) -> None:
        """Close the connection unless the answer was read to its end.

        The rest of an answer must not be met by the next request.
        """
        response = self.response
        if response is None:
            return
        if response.content.is_eof():
            response.release()
        else:
            response.close()
