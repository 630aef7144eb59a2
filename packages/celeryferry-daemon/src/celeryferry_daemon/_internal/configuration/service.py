"""Client of the configuration service."""

from datetime import timedelta

import aiohttp
import msgspec
from result import Err, Ok, Result

from celeryferry_core.models.messages import DocumentText
from celeryferry_daemon._internal.bodies import read_bounded
from celeryferry_daemon._internal.peers.failures import CALL_ERRORS

READ_TIMEOUT = timedelta(seconds=1)

# How long the service may hold a watch. A confirmation is dated from the time at which
# the watch was sent, so a watch must be much shorter than the validity of a
# confirmation.
WATCH_TIMEOUT = timedelta(milliseconds=500)
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class DocumentRevisions(msgspec.Struct, frozen=True):
    """List of all documents.

    :param revision: latest revision of the service.
    :param documents: revision of each document by name.
    """

    revision: int
    documents: dict[str, int]


class ChangedRevisions(msgspec.Struct, frozen=True):
    """Documents that changed after the revision of a watch.

    :param revision: latest revision of the service.
    :param changed: revision of each changed document by name.
    """

    revision: int
    changed: dict[str, int]


class ConfigurationServiceClient:
    """Reads documents from the configuration service over HTTP.

    Methods return a description of the failure instead of raising an exception.

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
        """Read the names and revisions of all documents."""
        return await self._get("/v1/documents", {}, DocumentRevisions, READ_TIMEOUT)

    async def fetch(self, name: str) -> Result[DocumentText, str]:
        """Read the text of one document."""
        path = f"/v1/documents/{name}"
        return await self._get(path, {}, DocumentText, READ_TIMEOUT)

    async def watch(self, revision: int) -> Result[ChangedRevisions, str]:
        """Wait until documents change, for at most ``WATCH_TIMEOUT``.

        :param revision: revision after which changes are reported.
        :returns: the changes, which are empty if the time passed, or the failure.
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
