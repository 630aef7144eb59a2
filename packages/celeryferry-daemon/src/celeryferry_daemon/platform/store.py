"""Read-only client of the platform's store."""

import base64
from datetime import timedelta
from typing import Annotated, TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from celeryferry_core.decoding import JsonDecoder
from celeryferry_daemon._internal.bodies import is_answer, read_bounded
from celeryferry_daemon._internal.forwarding.ports import (
    HistoryGoneError,
    SourceChanges,
    SourceItem,
    SourceUnavailableError,
)

# The store normally answers within 4 ms, and within 240 ms while it is slow.
READ_TIMEOUT = timedelta(seconds=1)
# Wait of a watch that is only to show that the store answers.
SHORT_WAIT = timedelta(milliseconds=1)
CONNECT_TIMEOUT = timedelta(milliseconds=500)
# Fraction of the contact time for which the store may hold a watch. Shorter watches
# would cost more, as the platform charges for each one.
WATCH_TIME_FRACTION = 0.6
# Fraction of the contact time for which the client waits longer than that. After both,
# it treats the watch as hanging. Each host detects this itself, because all watches of
# the fleet can stop answering at the same time, and then no peer can help. The rest of
# the contact time is for reading all items again, at 240 ms per call while the store is
# slow.
WATCH_MARGIN_FRACTION = 0.125
# The platform limits a page to about 1 MB of values, which base64 makes a third larger.
MAX_BODY_BYTES = 8 * 1_048_576
HISTORY_GONE_STATUS = 410
# Rises each time the store has come back from a copy of itself.
ERA_HEADER = "Store-Era"
MAX_ERA = 2**63 - 1
# Listings begun anew because the store was restored between two pages.
MAX_LISTING_STARTS = 3


_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Item(msgspec.Struct):
    key: str
    revision: _Revision = 0
    value: str | None = None
    deleted: bool | int | None = None


class _RangeResponse(msgspec.Struct):
    items: list[_Item]
    as_of: _Revision
    # Whether more items follow after the last one of this page.
    truncated: bool = False


class _WatchResponse(msgspec.Struct):
    events: list[_Item]
    as_of: _Revision


_T = TypeVar("_T")
_RANGE_DECODER = JsonDecoder(_RangeResponse)
_WATCH_DECODER = JsonDecoder(_WatchResponse)


class StoreClient:
    """Reads and watches the store.

    :param address: ``ip:port`` of the store.
    :param contact_time: time after a failure of the store or the network within which
        the current state must be known again.
    :ivar address: ``ip:port`` that the next call goes to.
    :ivar watch_wait: longest time for which the store may hold a watch.
    :ivar watch_timeout: time after which a watch without a response times out.
    """

    __slots__ = ("_session", "address", "watch_timeout", "watch_wait")

    def __init__(self, address: str, contact_time: timedelta) -> None:
        self.address = address
        self.replace_settings(address, contact_time)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(keepalive_timeout=30.0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    def replace_settings(self, address: str, contact_time: timedelta) -> bool:
        """Call another address, or wait for other times, from the next call on.

        Idle connections to a former address close within 30 s.

        :returns: whether the address has changed.
        """
        has_changed = address != self.address
        self.address = address
        self.watch_wait = contact_time * WATCH_TIME_FRACTION
        self.watch_timeout = self.watch_wait + contact_time * WATCH_MARGIN_FRACTION
        return has_changed

    async def close(self) -> None:
        """Close all connections to the store."""
        await self._session.close()

    async def read_all(
        self, prefix: str, may_be_stale: bool
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Read all items under a prefix.

        The pages are not read from one snapshot, and each page of a stale read may be
        of another age, so the lowest revision of all pages is returned. A watch from
        that revision may repeat changes, but misses none. If the store is restored
        between two pages, they do not belong together, and the listing begins anew.

        :param may_be_stale: whether items that are seconds old are accepted. The store
            charges a tenth for such a read and does not count it towards its rate
            limit; all hosts may start at the same time.
        :returns: the items, or why there are none.
        """
        for _ in range(MAX_LISTING_STARTS):
            match await self._read_pages(prefix, may_be_stale):
                case Err(error):
                    return Err(error)
                case Ok(SourceChanges() as changes):
                    return Ok(changes)
        return Err(SourceUnavailableError("/kv-range: pages of different eras"))

    async def _read_pages(
        self, prefix: str, may_be_stale: bool
    ) -> Result[SourceChanges | None, SourceUnavailableError | HistoryGoneError]:
        """Read all pages, None if they are of different eras."""
        items: list[SourceItem] = []
        revisions: list[int] = []
        eras: set[int] = set()
        after = ""
        while True:
            params = {"path_prefix": prefix}
            if may_be_stale:
                params["serializable"] = "1"
            if after:
                params["after"] = after
            match await self._get("/kv-range", params, READ_TIMEOUT, _RANGE_DECODER):
                case Err(error):
                    return Err(error)
                case Ok((page, era)):
                    pass
            eras.add(era)
            if len(eras) > 1:
                return Ok(None)
            revisions.append(page.as_of)
            items += [_translate_item(item) for item in page.items]
            if not page.truncated or not page.items:
                return Ok(SourceChanges(tuple(items), min(revisions), era))
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after_revision: int, may_wait: bool = True
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Return changes under a prefix.

        :param after_revision: revision up to which changes are known.
        :param may_wait: whether to wait for changes, at most for ``watch_wait``.
        :returns: the changes (empty if there were none within ``watch_wait``), or why
            the call failed.
        """
        wait = self.watch_wait if may_wait else SHORT_WAIT
        params = {
            "path_prefix": prefix,
            "after": str(after_revision),
            "wait_ms": str(wait // timedelta(milliseconds=1)),
        }
        timeout = self.watch_timeout if may_wait else READ_TIMEOUT
        result = await self._get("/kv-watch", params, timeout, _WATCH_DECODER)
        match result:
            case Err(error):
                return Err(error)
            case Ok((response, era)):
                pass
        items = tuple(_translate_item(item) for item in response.events)
        return Ok(SourceChanges(items, response.as_of, era))

    async def _get(
        self,
        path: str,
        params: dict[str, str],
        timeout: timedelta,
        decoder: JsonDecoder[_T],
    ) -> Result[tuple[_T, int], SourceUnavailableError | HistoryGoneError]:
        """Call the store; returns its message and its era, or why there is none."""
        client_timeout = aiohttp.ClientTimeout(
            total=timeout.total_seconds(),
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
        )
        try:
            async with self._session.get(
                f"http://{self.address}{path}", params=params, timeout=client_timeout
            ) as response:
                body = await read_bounded(response, MAX_BODY_BYTES)
                status, is_usable = response.status, is_answer(response)
                era = _read_era(response.headers.getall(ERA_HEADER, ["0"]))
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
        ) as error:
            return Err(SourceUnavailableError(f"{self.address}{path}: {error!r}"))
        if status == HISTORY_GONE_STATUS:
            return Err(
                HistoryGoneError(
                    f"{path}: the changes after this revision are no longer available"
                )
            )
        if not is_usable:
            return Err(SourceUnavailableError(f"{path}: status {status}"))
        if era is None:
            return Err(SourceUnavailableError(f"{path}: {ERA_HEADER} is not a number"))
        match decoder.decode(body):
            case Ok(message):
                return Ok((message, era))
            case Err(error):
                return Err(SourceUnavailableError(f"{path}: {error}"))


def _read_era(values: list[str]) -> int | None:
    """Return the era that a header states, None if it can't be read."""
    text = values[0] if len(values) == 1 else ""
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(MAX_ERA))):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None


def _translate_item(item: _Item) -> SourceItem:
    if item.value is None or item.deleted:
        return SourceItem(item.key, item.revision, None)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # The value is not base64. With an empty value, the entry is rejected when it is
        # decoded; it is not treated as removed.
        value = b""
    return SourceItem(item.key, item.revision, value)
