"""Client of the configuration service."""

from datetime import timedelta

import aiohttp
import msgspec
from result import Err, Ok, Result

from celeryferry_core.models.messages import DocumentText
from celeryferry_daemon._internal.peers.failures import CALL_ERRORS, read_bounded

READ_TIMEOUT = timedelta(seconds=1)

# The confirmation counts from the time at which the watch was sent, so a watch must
# be much shorter than the time for which a confirmation lasts.
WATCH_TIMEOUT = timedelta(milliseconds=500)
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class DocumentRevisions(msgspec.Struct, frozen=True):
    """Answer to a listing.

    :param revision: latest revision of the service.
    :param documents: revision of each document by name.
    """

    revision: int
    documents: dict[str, int]


class ChangedRevisions(msgspec.Struct, frozen=True):
    """Answer to a watch.

    :param revision: latest revision of the service.
    :param changed: revision of each changed document by name.
    """

    revision: int
    changed: dict[str, int]


class ConfigurationServiceClient:
    """Reads from the configuration service.

    :param address: ``ip:port`` of the service.
    """

    def __init__(self, address: str) -> None:
        self._base_url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the connection pool."""
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def list_documents(self) -> Result[DocumentRevisions, str]:
        """Read names and revisions of all documents.

        :returns: the listing, or what went wrong.
        """
        return await self._get("/v1/documents", {}, DocumentRevisions, READ_TIMEOUT)

    async def fetch(self, name: str) -> Result[DocumentText, str]:
        """Read one document.

        :param name: name of the document.
        :returns: the document, or what went wrong.
        """
        path = f"/v1/documents/{name}"
        return await self._get(path, {}, DocumentText, READ_TIMEOUT)

    async def watch(self, revision: int) -> Result[ChangedRevisions, str]:
        """Wait for changes.

        :param revision: revision up to which changes are known.
        :returns: the changes, or what went wrong.
        """
        timeout_ms = WATCH_TIMEOUT // timedelta(milliseconds=1)
        query = {"after": str(revision), "timeout_ms": str(timeout_ms)}
        timeout = WATCH_TIMEOUT + READ_TIMEOUT
        return await self._get("/v1/watch", query, ChangedRevisions, timeout)

    async def _get(
        self, path: str, query: dict[str, str], message_type: type, timeout: timedelta
    ) -> Result:
        if self._session is None:
            return Err("the client is not started")
        try:
            async with self._session.get(
                self._base_url + path,
                params=query,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                if response.status != 200:
                    return Err(f"{path}: status {response.status}")
                body = await read_bounded(response, MAX_ANSWER_BYTES)
                return Ok(msgspec.json.decode(body, type=message_type))
        except CALL_ERRORS as error:
            return Err(f"{path}: {type(error).__name__}: {error}")
