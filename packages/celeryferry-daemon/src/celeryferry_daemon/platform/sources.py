"""Makes the platform's store available to the daemon as a source."""

from result import Err, Ok, Result

from celeryferry_daemon._internal.forwarding.ports import (
    Change,
    ConfigurationPublished,
    DomainEvacuated,
    DomainRestored,
    HistoryGoneError,
    ItemRejected,
    SourceChanges,
    SourceItem,
    SourceUnavailableError,
    UpstreamListed,
    UpstreamRejected,
    UpstreamUnlisted,
)
from celeryferry_daemon._internal.forwarding.settings import ForwardingSettings
from celeryferry_daemon.platform.entries import (
    CONFIGURATION_KEY,
    EVACUATED_DOMAIN_PREFIX,
    OPERATOR_PREFIX,
    UPSTREAM_PREFIX,
    decode_configuration,
    decode_upstream,
)
from celeryferry_daemon.platform.store import StoreClient

# The platform charges for every watch of every host, so one watch covers all keys: the
# upstreams and what operators publish.
ALL_KEYS_PREFIX = ""


class StoreSource:
    """Source with all entries of the store."""

    __slots__ = ("_client", "name")

    def __init__(self, client: StoreClient) -> None:
        self._client = client
        self.name = "store"

    async def read_all(
        self, may_be_stale: bool
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Return all entries of the store.

        :param may_be_stale: whether entries that are seconds old are accepted.
        """
        return await self._client.read_all(ALL_KEYS_PREFIX, may_be_stale)

    async def watch(
        self, after_revision: int, may_wait: bool
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Return changes after a revision; the result is empty if there are none.

        :param may_wait: whether to wait for changes.
        """
        return await self._client.watch(ALL_KEYS_PREFIX, after_revision, may_wait)

    def replace_settings(self, settings: ForwardingSettings) -> bool:
        """Call the store that the settings name from the next call on.

        :returns: whether that is another address.
        """
        return self._client.replace_settings(
            settings.store_address, settings.contact_time
        )

    def decode(self, item: SourceItem) -> Change | None:
        """Return the change that an entry or its removal represents.

        :returns: the change, or None if the daemon does not use the entry.
        """
        if item.key.startswith(UPSTREAM_PREFIX):
            return decode_upstream_item(item)
        if item.key.startswith(OPERATOR_PREFIX):
            return decode_operator_item(item)
        return None


def decode_upstream_item(item: SourceItem) -> Change | None:
    """Return the change that an upstream's entry or its removal represents."""
    instance_id = item.key.removeprefix(UPSTREAM_PREFIX)
    if item.value is None:
        return UpstreamUnlisted(item.key, instance_id)
    match decode_upstream(instance_id, item.value):
        case Ok(upstream):
            return UpstreamListed(item.key, upstream)
        case Err(error):
            return UpstreamRejected(item.key, instance_id, str(error))


def decode_operator_item(item: SourceItem) -> Change | None:
    """Return the change that an operators' entry or its removal represents.

    :returns: the change, or None for other entries and for a removed configuration, in
        which case the configuration in force stays.
    """
    if item.key.startswith(EVACUATED_DOMAIN_PREFIX):
        domain = item.key.removeprefix(EVACUATED_DOMAIN_PREFIX)
        if item.value is None:
            return DomainRestored(domain)
        return DomainEvacuated(domain, item.revision)
    if item.key != CONFIGURATION_KEY or item.value is None:
        return None
    match decode_configuration(item.value):
        case Ok(configuration):
            return ConfigurationPublished(item.key, configuration)
        case Err(error):
            return ItemRejected(item.key, str(error))
