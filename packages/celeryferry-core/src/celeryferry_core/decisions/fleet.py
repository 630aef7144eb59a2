"""Decisions about leases, configuration and hosts."""

from dataclasses import dataclass
from typing import ClassVar

from celeryferry_core.decisions.base import Decision


@dataclass(frozen=True, slots=True)
class _LeaseDecision(Decision):
    PREFIX: ClassVar[str] = "lease:"


@dataclass(frozen=True, slots=True)
class KeysHeld(_LeaseDecision):
    """The set of held ownership keys changed.

    :param acquired: ownership keys that are now held.
    :param lost: ownership keys that are no longer held.
    """

    SENTENCE: ClassVar[str] = "held keys changed"

    acquired: tuple[str, ...]
    lost: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KeysReleased(_LeaseDecision):
    """Ownership keys were handed over to a better-ranked host."""

    SENTENCE: ClassVar[str] = "released keys to a better-ranked host"

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GrantsConflict(_LeaseDecision):
    """Incomplete sets of grants for some keys were released because of a conflict.

    This host held grants from only some witnesses for a key. Another host holds grants
    for the same key, so this host released its own. A witness is a host that is asked
    to grant a lease.

    :param keys: ownership keys whose grants were released.
    :param witness: witness whose refusal revealed the conflict.
    """

    SENTENCE: ClassVar[str] = "gave up partial grants because another host has some"

    keys: tuple[str, ...]
    witness: str


@dataclass(frozen=True, slots=True)
class LeasesDropped(_LeaseDecision):
    """All leases were dropped after a pause of the event loop."""

    SENTENCE: ClassVar[str] = "dropped all leases after a pause of the event loop"

    gap_ms: int


@dataclass(frozen=True, slots=True)
class _ConfigDecision(Decision):
    PREFIX: ClassVar[str] = "config:"


@dataclass(frozen=True, slots=True)
class DocumentActivated(_ConfigDecision):
    """A document became active.

    :param version: version in the document.
    :param revision: revision of the configuration service.
    :param source: where the document came from.
    """

    SENTENCE: ClassVar[str] = "activated document"

    name: str
    version: int
    revision: int
    source: str


@dataclass(frozen=True, slots=True)
class DocumentRejected(_ConfigDecision):
    """A document was not activated; the last valid one stays.

    :param revision: revision of the configuration service.
    :param source: where the document came from.
    :param reason: what is wrong with the document.
    """

    SENTENCE: ClassVar[str] = "rejected document; the active one stays"

    name: str
    revision: int
    source: str
    reason: str


@dataclass(frozen=True, slots=True)
class StartupFinished(_ConfigDecision):
    """The first configuration after the start is complete.

    :param documents: number of active documents.
    :param service_answered: whether the configuration service answered.
    """

    SENTENCE: ClassVar[str] = "start-up configuration is complete"

    documents: int
    peers_asked: int
    peers_answered: int
    service_answered: bool


@dataclass(frozen=True, slots=True)
class StartupWithoutPeers(_ConfigDecision):
    """No peer supplied a configuration at the start."""

    SENTENCE: ClassVar[str] = (
        "no listed peer has a configuration; using the configuration service alone"
    )

    peers_asked: int


@dataclass(frozen=True, slots=True)
class WatchFailed(_ConfigDecision):
    """The configuration service did not answer.

    :param detail: the error.
    """

    SENTENCE: ClassVar[str] = "configuration service did not answer; trying again"

    detail: str


@dataclass(frozen=True, slots=True)
class WatcherChanged(_ConfigDecision):
    """This host started or stopped watching the configuration service."""

    SENTENCE: ClassVar[str] = "changed watching of the configuration service"

    watching: bool


@dataclass(frozen=True, slots=True)
class FreshnessChanged(_ConfigDecision):
    """The configuration became fresh, or can no longer be considered fresh.

    :param may_act: whether new work is accepted.
    :param service_age_ms: age of the latest confirmation in milliseconds, None if there
        is none.
    """

    SENTENCE: ClassVar[str] = "freshness of the configuration changed"

    may_act: bool
    service_age_ms: int | None


@dataclass(frozen=True, slots=True)
class _HostsDecision(Decision):
    PREFIX: ClassVar[str] = "hosts:"


@dataclass(frozen=True, slots=True)
class MembershipChanged(_HostsDecision):
    """The view of the hosts changed.

    :param listed: number of listed hosts.
    :param not_live: ids of listed hosts that are not live.
    :param leaving: ids of leaving hosts.
    :param leaving_upstreams: addresses of leaving upstreams.
    """

    SENTENCE: ClassVar[str] = "view of the hosts changed"

    listed: int
    not_live: tuple[str, ...]
    leaving: tuple[str, ...]
    leaving_upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HostListFailed(_HostsDecision):
    """The host list could not be read.

    :param detail: the error.
    """

    SENTENCE: ClassVar[str] = "host list could not be read; keeping the last one"

    detail: str


@dataclass(frozen=True, slots=True)
class StateChanged(_HostsDecision):
    """The state of this host changed."""

    SENTENCE: ClassVar[str] = "state of this host changed"

    state: str


@dataclass(frozen=True, slots=True)
class StopTimedOut(_HostsDecision):
    """Work that was still running at the end of a planned stop was cancelled."""

    SENTENCE: ClassVar[str] = "running work did not finish in time and was cut off"

    waited_ms: int
