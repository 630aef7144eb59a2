"""Stand-in of a client: sends requests on connections that it keeps open."""

import asyncio
from dataclasses import dataclass

from standins.http import Message, encode_message, read_message
from standins.record import Record


@dataclass(frozen=True, slots=True)
class Answer:
    """How a request ended.

    :param status: 0 if the connection ended or no answer came in time.
    :param text: description for the record.
    """

    status: int
    text: str
    message: Message | None = None


class Connection:
    """One connection to a daemon."""

    def __init__(self, record: Record, address: str) -> None:
        self._record = record
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        """Connect within one second.

        :returns: False if that failed.
        """
        ip, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(1):
                self._reader, self._writer = await asyncio.open_connection(ip, port)
        except (OSError, TimeoutError):
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def ask(
        self,
        request_id: str,
        host: str,
        target: str,
        deadline_ms: int,
        method: str = "GET",
        body: bytes = b"",
        extra: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Send a request and wait for the answer, at most for the deadline."""
        if self._writer is None and not await self.open():
            return self._end(request_id, Answer(0, "no connection"))
        headers = [
            ("Host", host),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(deadline_ms)),
            *extra,
        ]
        line = f"{method} {target} HTTP/1.1"
        self._record.add(f"client sends {request_id} to {self._address}")
        try:
            self._writer.write(encode_message(line, headers, body))
            async with asyncio.timeout(deadline_ms / 1000):
                message = await read_message(self._reader)
        except TimeoutError:
            self.close()
            return self._end(request_id, Answer(0, "no answer in time"))
        except OSError as error:
            return self._end(request_id, Answer(0, f"connection lost: {error}"))
        if message is None:
            return self._end(request_id, Answer(0, "connection closed, no answer"))
        status = int(message.start[1])
        return self._end(request_id, Answer(status, str(status), message))

    def _end(self, request_id: str, answer: Answer) -> Answer:
        self._record.add(f"client has {request_id}: {answer.text}")
        return answer
