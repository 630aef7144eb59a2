"""Interfaces that the platform's adapter implements for the forwarding daemon."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Protocol

import msgspec
from result import Result

from celeryferry_core.exceptions import CeleryferryError
from celeryferry_core.forwarding.models import ForwardingConfiguration, Upstream
from celeryferry_core.forwarding.notices import UpstreamNotice
from celeryferry_core.forwarding.outcomes import AttemptOutcome, RequestResult
from celeryferry_core.forwarding.positions import Position
from celeryferry_core.forwarding.processes import WarmupStatement
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.messages import (
    CallerRequest,
    CallerResponse,
)
from celeryferry_daemon._internal.forwarding.settings import ForwardingSettings


class SourceUnavailableError(CeleryferryError):
    """The source did not answer or refused the call. Try again later."""


class HistoryGoneError(CeleryferryError):
    """The source no longer holds the changes after a revision. Read all items again."""


class SourceItem(msgspec.Struct, frozen=True, gc=False):
    """One item of a source, or the removal of one.

    :param revision: revision of the latest change of the item.
    :param value: content of the item, None if it was removed.
    """

    key: str
    revision: int
    value: bytes | None


class SourceChanges(msgspec.Struct, frozen=True, gc=False):
    """All items, or the changes after some revision.

    :param items: all items, or the changes in the order in which they happened.
    :param revision: revision of the source that the items reflect.
    :param era: era of the source that these revisions belong to.
    """

    items: tuple[SourceItem, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Position that the items reflect."""
        return Position(self.era, self.revision)


class UpstreamListed(msgspec.Struct, frozen=True, gc=False):
    """The item of an upstream was added or changed.

    :param key: key of the item.
    """

    key: str
    upstream: Upstream


class UpstreamUnlisted(msgspec.Struct, frozen=True, gc=False):
    """The item of an upstream was removed.

    :param key: key of the item.
    """

    key: str
    instance_id: str


class UpstreamRejected(msgspec.Struct, frozen=True, gc=False):
    """The item of an upstream is invalid; it names no upstream that can be used.

    :param key: key of the item.
    :param reason: what is wrong with the item, for the log.
    """

    key: str
    instance_id: str
    reason: str


class ConfigurationPublished(msgspec.Struct, frozen=True, gc=False):
    """Operators published a configuration.

    :param key: key of the item.
    """

    key: str
    configuration: ForwardingConfiguration


class DomainEvacuated(msgspec.Struct, frozen=True, gc=False):
    """Operators took a failure domain out of service; it gets no work.

    :param revision: revision of the item.
    """

    failure_domain: str
    revision: int = 0


class DomainRestored(msgspec.Struct, frozen=True, gc=False):
    """Operators put a failure domain back into service."""

    failure_domain: str


class ItemRejected(msgspec.Struct, frozen=True, gc=False):
    """An item is invalid. The state stays as it is.

    :param reason: what is wrong with the item, for the log.
    """

    key: str
    reason: str


Change = (
    UpstreamListed
    | UpstreamUnlisted
    | UpstreamRejected
    | ConfigurationPublished
    | DomainEvacuated
    | DomainRestored
    | ItemRejected
)


class Source(Protocol):
    """A set of items that the platform publishes and a host follows."""

    name: str

    async def read_all(
        self, may_be_stale: bool
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Return all items as of some revision of one era.

        A watch from that revision returns what has changed since.

        :param may_be_stale: whether contents that are seconds old are accepted; they
            cost less.
        """

    async def watch(
        self, after_revision: int, may_wait: bool
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Return changes after a revision; the result is empty if there are none.

        They follow the contents only if the result has the same era as these.

        :param may_wait: whether to wait for changes. The adapter decides how long.
        """

    def replace_settings(self, settings: ForwardingSettings) -> bool:
        """Use other settings from the next call on.

        :returns: whether the source is now read from another address.
        """

    def decode(self, item: SourceItem) -> Change | None:
        """Return the change that an item represents, None if it is ignored."""


class WireFormat(Protocol):
    """Encodes and decodes the HTTP messages of callers and upstreams."""

    READINESS_PATH: str
    ENTRY_HOSTS_PATH: str

    def read_time_left(self, headers: Iterable[tuple[str, str]]) -> timedelta | None:
        """Return how long the caller will wait, None if the headers do not state it."""

    def read_request_id(self, headers: Iterable[tuple[str, str]]) -> str:
        """Return the request id that the caller assigned, empty if none."""

    def make_payload(
        self, request: CallerRequest, upstream: Upstream, time_left: timedelta
    ) -> bytes | None:
        """Return the encoded request for an upstream, None if no time is left."""

    def is_matching_response(
        self, request: CallerRequest, response: RawResponse
    ) -> bool:
        """Return whether a response answers this request and not an earlier one."""

    def classify_response(self, response: RawResponse) -> AttemptOutcome:
        """Return the attempt outcome that a complete response indicates."""

    def read_load(self, response: RawResponse) -> int | None:
        """Return how many requests run or wait at the upstream, None if not stated."""

    def read_notice(self, response: RawResponse) -> UpstreamNotice | None:
        """Return what a response says of its upstream, None if nothing."""

    def make_health_request(self, upstream: Upstream, path: str) -> bytes:
        """Return the encoded request that asks an upstream for its health."""

    def read_health(self, upstream: Upstream, response: RawResponse) -> WarmupStatement:
        """Return what a response to the health check says of the cold start."""

    def make_response(self, result: RequestResult) -> CallerResponse:
        """Return the response to the caller."""

    def read_caller_domain(self, query: Mapping[str, str]) -> str:
        """Return the failure domain in a query for entry hosts, empty if none."""

    def make_entry_hosts_response(
        self, addresses: list[str], validity: timedelta
    ) -> CallerResponse:
        """Return the response to a query for entry hosts."""
