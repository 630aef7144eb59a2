"""Immutable views of the daemon's state."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from celeryferry_core.models.topology import Host, ServiceDocument


@dataclass(frozen=True, slots=True, order=True)
class DocumentVersion:
    """Version of an active document.

    Comparison operators order by version, then by revision. Which document stays active
    is decided by ``versions.supersedes``, where the lower revision wins.

    :param version: version number stated in the document, increased by operators.
    :param revision: revision that the configuration service assigned to the write.
    """

    version: int
    revision: int


@dataclass(frozen=True, slots=True)
class ActiveDocument:
    """An active document with its version.

    :param document: validated content.
    :param text: TOML source, which peers receive on request.
    """

    document: ServiceDocument
    version: DocumentVersion
    text: str


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """All active documents of this host.

    :param documents: active documents by service name.
    :param digest: hexadecimal digest of the documents' names and versions.
    """

    documents: Mapping[str, ActiveDocument] = field(default_factory=dict)
    digest: str = ""

    def list_services(self, application: str) -> tuple[ServiceDocument, ...]:
        """Return the service documents of an application, sorted by service name."""
        documents = (
            active.document
            for active in self.documents.values()
            if active.document.application == application
        )
        return tuple(sorted(documents, key=lambda document: document.service))


@dataclass(frozen=True, slots=True)
class Membership:
    """Hosts and leaving upstreams as known to this host.

    :param hosts: listed hosts by host id, this host included.
    :param live: ids of the hosts that answered a probe recently, this host included;
        hosts outside this host's cell are considered live while they are listed.
    :param leaving: ids of hosts that announced a planned stop or are listed as leaving.
    :param leaving_upstreams: addresses of upstreams that the host list calls leaving.
    :param hosts_without_summary: ids of the hosts of cells whose latest summary is not
        recent.
    """

    hosts: Mapping[str, Host] = field(default_factory=dict)
    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    leaving_upstreams: frozenset[str] = frozenset()
    hosts_without_summary: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class HeldKeys:
    """Ownership keys that this host holds at the time of publication."""

    keys: frozenset[str] = frozenset()
