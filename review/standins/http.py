"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """One request or response.

    :param start: words of the first line.
    :param headers: headers with names in lower case.
    """

    start: tuple[str, ...]
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def get(self, name: str) -> str | None:
        """Return the first value of a header, None if it is missing."""
        return next((value for key, value in self.headers if key == name), None)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message, None if the connection ends before it is complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head[:-4].decode("latin-1").split("\r\n")
        headers = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
        message = Message(tuple(lines[0].split(" ", 2)), tuple(headers), b"")
        if "chunked" in (message.get("transfer-encoding") or ""):
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(message.get("content-length") or 0))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    return Message(message.start, message.headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def encode_message(
    first_line: str, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Encode a message, with a Content-Length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
