"""Ports that the platform's adapter implements for the forwarding daemon."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Protocol

import msgspec
from result import Result

from celeryferry_core.exceptions import CeleryferryError
from celeryferry_core.forwarding.models import ForwardingConfiguration, Upstream
from celeryferry_core.forwarding.outcomes import AttemptOutcome, RequestResult
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.messages import (
    CallerRequest,
    CallerResponse,
)


class SourceUnavailableError(CeleryferryError):
    """The source did not answer, or refused the call; try again later."""


class HistoryGoneError(CeleryferryError):
    """The source no longer has the changes after a revision; read everything again."""


class SourceItem(msgspec.Struct, frozen=True, gc=False):
    """One item of a source, or the removal of one.

    :param key: its key.
    :param revision: revision of its latest change.
    :param value: its bytes, None if it was removed.
    """

    key: str
    revision: int
    value: bytes | None


class SourceChanges(msgspec.Struct, frozen=True, gc=False):
    """Items or changes as of a revision.

    :param items: items or changes in order.
    :param revision: revision that they reflect.
    """

    items: tuple[SourceItem, ...]
    revision: int


class SourceContents(msgspec.Struct, frozen=True, gc=False):
    """Copy of a source that one host passes to another.

    :param changes: all items.
    :param is_confirmed: False if the host itself can't read the source now, so that
        an entry that is missing may only have lapsed.
    """

    changes: SourceChanges
    is_confirmed: bool


class UpstreamListed(msgspec.Struct, frozen=True, gc=False):
    """An upstream is listed.

    :param upstream: its entry.
    """

    upstream: Upstream


class UpstreamUnlisted(msgspec.Struct, frozen=True, gc=False):
    """An entry is gone, or names no upstream.

    :param instance_id: id of the upstream.
    :param is_removed: False if the entry is there and can't be used.
    """

    instance_id: str
    is_removed: bool


class ConfigurationPublished(msgspec.Struct, frozen=True, gc=False):
    """Operators published a configuration.

    :param configuration: its content.
    """

    configuration: ForwardingConfiguration


class DomainEvacuated(msgspec.Struct, frozen=True, gc=False):
    """A failure domain gets no work.

    :param failure_domain: its name.
    """

    failure_domain: str


class DomainRestored(msgspec.Struct, frozen=True, gc=False):
    """A failure domain gets work again.

    :param failure_domain: its name.
    """

    failure_domain: str


class ItemRejected(msgspec.Struct, frozen=True, gc=False):
    """An item can't be used and changes nothing.

    :param key: its key.
    :param reason: why.
    """

    key: str
    reason: str


Change = (
    UpstreamListed
    | UpstreamUnlisted
    | ConfigurationPublished
    | DomainEvacuated
    | DomainRestored
    | ItemRejected
)


class Source(Protocol):
    """Part of the platform's store: either upstreams or what operators publish."""

    name: str

    async def read_all(
        self,
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Read all items."""

    async def watch(
        self, after_revision: int
    ) -> Result[SourceChanges, SourceUnavailableError | HistoryGoneError]:
        """Wait for changes; returns none if there were none in time."""

    def decode(self, item: SourceItem) -> Change | None:
        """Translate an item; None if it is of no interest here."""


class WireFormat(Protocol):
    """Messages of callers and upstreams."""

    READINESS_PATH: str
    ENTRY_HOSTS_PATH: str

    def read_time_left(self, headers: Iterable[tuple[str, str]]) -> timedelta | None:
        """Return how long the caller will wait, None if it states nothing."""

    def read_request_id(self, headers: Iterable[tuple[str, str]]) -> str:
        """Return the id of a request, empty if it has none."""

    def make_payload(
        self, request: CallerRequest, upstream: Upstream, time_left: timedelta
    ) -> bytes | None:
        """Return the request for an upstream, None if no time is left."""

    def is_matching_response(
        self, request: CallerRequest, response: RawResponse
    ) -> bool:
        """Tell whether a response answers this request."""

    def classify_response(self, response: RawResponse) -> AttemptOutcome:
        """Translate the response of an upstream."""

    def read_load(self, response: RawResponse) -> int | None:
        """Return the running and waiting requests that an upstream reports."""

    def make_response(self, result: RequestResult) -> CallerResponse:
        """Return what the caller gets."""

    def read_caller_domain(self, query: Mapping[str, str]) -> str:
        """Return the failure domain of a caller that asks for entry hosts."""

    def make_entry_hosts_response(
        self, addresses: list[str], validity: timedelta
    ) -> CallerResponse:
        """Return the answer to a caller that asks for entry hosts."""
