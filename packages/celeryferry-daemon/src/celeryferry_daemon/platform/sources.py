"""The two parts of the platform's store as sources of the daemon."""

from collections.abc import Callable

from result import Err, Ok, Result

from celeryferry_daemon._internal.forwarding.ports import (
    Change,
    ConfigurationPublished,
    DomainTakenBack,
    DomainTakenOut,
    HistoryGoneError,
    ItemRejected,
    SourceChanges,
    SourceItem,
    SourceUnavailableError,
    UpstreamListed,
    UpstreamUnlisted,
)
from celeryferry_daemon.platform.entries import (
    CONFIGURATION_KEY,
    DOMAIN_OUT_PREFIX,
    OPERATOR_PREFIX,
    UPSTREAM_PREFIX,
    decode_configuration,
    decode_upstream,
)
from celeryferry_daemon.platform.store import StoreClient


class StorePart:
    """Items of the store under one prefix.

    :param client: client of the store.
    :param name: name of the source.
    :param prefix: beginning of its keys.
    :param decode: translates an item; returns None if it is of no interest.
    """

    __slots__ = ("_client", "_prefix", "decode", "name")

    def __init__(
        self,
        client: StoreClient,
        name: str,
        prefix: str,
        decode: Callable[[SourceItem], Change | None],
    ) -> None:
        self._client = client
        self._prefix = prefix
        self.name = name
        self.decode = decode

    async def read_all(
        self,
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Read all items."""
        return await self._client.read_all(self._prefix)

    async def watch(
        self, after_revision: int
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Wait for changes.

        :param after_revision: revision up to which changes are known.
        """
        return await self._client.watch(self._prefix, after_revision)


def list_sources(client: StoreClient) -> list[StorePart]:
    """Return all sources of a host.

    :param client: client of the store.
    """
    return [
        StorePart(client, "upstreams", UPSTREAM_PREFIX, decode_upstream_item),
        StorePart(client, "operators", OPERATOR_PREFIX, decode_operator_item),
    ]


def decode_upstream_item(item: SourceItem) -> Change | None:
    """Translate an entry of service discovery.

    :param item: the entry or its removal.
    """
    instance_id = item.key.removeprefix(UPSTREAM_PREFIX)
    if item.value is None:
        return UpstreamUnlisted(instance_id, is_removed=True)
    match decode_upstream(instance_id, item.value):
        case Ok(upstream):
            return UpstreamListed(upstream)
        case Err():
            return UpstreamUnlisted(instance_id, is_removed=False)


def decode_operator_item(item: SourceItem) -> Change | None:
    """Translate what operators publish.

    :param item: the item or its removal.
    """
    if item.key.startswith(DOMAIN_OUT_PREFIX):
        domain = item.key.removeprefix(DOMAIN_OUT_PREFIX)
        is_out = item.value is not None
        return DomainTakenOut(domain) if is_out else DomainTakenBack(domain)
    if item.key != CONFIGURATION_KEY or item.value is None:
        return None
    match decode_configuration(item.value):
        case Ok(configuration):
            return ConfigurationPublished(configuration)
        case Err(error):
            return ItemRejected(item.key, str(error))
