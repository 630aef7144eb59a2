"""One link to another host: a WebSocket that delivers messages in order."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

import aiohttp
from aiohttp import web

# The contents of a source take about 4 MB with 16,000 upstreams.
MAX_MESSAGE_BYTES = 16 * 1_048_576
# A peer that does not read for so long that this much waits to be sent is cut off.
MAX_QUEUED_BYTES = 2 * MAX_MESSAGE_BYTES
CLOSE_TIMEOUT = timedelta(milliseconds=200)

WebSocket = web.WebSocketResponse | aiohttp.ClientWebSocketResponse


class Link:
    """Sends and receives the messages of one WebSocket.

    :param link_id: number of the link in this process.
    :param socket: the opened WebSocket.
    """

    __slots__ = (
        "_queue",
        "_queued_bytes",
        "_reader",
        "_socket",
        "_wakeup",
        "link_id",
    )

    def __init__(self, link_id: int, socket: WebSocket) -> None:
        self.link_id = link_id
        self._socket = socket
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wakeup = asyncio.Event()
        self._reader: asyncio.Task | None = None

    def send(self, content: bytes) -> None:
        """Queue a message; it is dropped if the link is closed meanwhile."""
        self._queued_bytes += len(content)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.close()
            return
        self._queue.append(content)
        self._wakeup.set()

    def close(self) -> None:
        """End ``run`` of this link."""
        if self._reader is not None:
            self._reader.cancel()

    async def run(self, handle: Callable[[bytes], None]) -> None:
        """Deliver received messages until the link ends.

        :param handle: called with the bytes of each message.
        """
        writer = asyncio.create_task(self._write())
        self._reader = asyncio.create_task(self._read(handle))
        tasks = {self._reader, writer}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close_socket()

    async def receive_first(self, timeout: timedelta) -> bytes | None:
        """Return the first message, None if it does not arrive in time."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                message = await self._socket.receive()
        except (TimeoutError, OSError, aiohttp.ClientError, RuntimeError):
            return None
        return message.data if message.type is aiohttp.WSMsgType.BINARY else None

    async def send_first(self, content: bytes) -> bool:
        """Send the first message.

        :returns: False if the WebSocket has ended.
        """
        try:
            await self._socket.send_bytes(content)
        except (OSError, aiohttp.ClientError, RuntimeError):
            return False
        return True

    async def close_unused(self) -> None:
        """Close a link that was not run."""
        await self._close_socket()

    async def _read(self, handle: Callable[[bytes], None]) -> None:
        async for message in self._socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                return
            handle(message.data)

    async def _write(self) -> None:
        try:
            while True:
                await self._wakeup.wait()
                self._wakeup.clear()
                while self._queue:
                    content = self._queue.popleft()
                    await self._socket.send_bytes(content)
                    self._queued_bytes -= len(content)
        except (OSError, aiohttp.ClientError, RuntimeError):
            # The other end is gone; the reader ends too.
            return

    async def _close_socket(self) -> None:
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT.total_seconds()):
                await self._socket.close()
        except (TimeoutError, OSError, aiohttp.ClientError, RuntimeError):
            return
