"""Immutable views that the streams of the daemon carry."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from celeryferry_core.models.topology import Host, ServiceDocument


@dataclass(frozen=True, slots=True, order=True)
class DocumentVersion:
    """Version of a document in force.

    :param version: number in the document, raised by operators.
    :param revision: revision that the configuration service gave the write.
    """

    version: int
    revision: int


@dataclass(frozen=True, slots=True)
class ActiveDocument:
    """A document in force with its version.

    :param document: checked content.
    :param version: its version.
    :param text: TOML source, passed on to peers.
    """

    document: ServiceDocument
    version: DocumentVersion
    text: str


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """All documents in force on this host.

    :param documents: active documents by service name.
    :param digest: hexadecimal digest over names and versions.
    """

    documents: Mapping[str, ActiveDocument] = field(default_factory=dict)
    digest: str = ""

    def list_services(self, application: str) -> tuple[ServiceDocument, ...]:
        """Return the services of an application, sorted by name.

        :param application: name of the application.
        :returns: documents of its services; empty if there are none.
        """
        found = (
            active.document
            for active in self.documents.values()
            if active.document.application == application
        )
        return tuple(sorted(found, key=lambda document: document.service))


@dataclass(frozen=True, slots=True)
class Membership:
    """Hosts and leaving upstreams as this host knows them.

    :param hosts: listed hosts by host id, this host included.
    :param live: ids of the hosts that answered a probe lately, this host included;
        hosts outside this host's cell count as live while they are listed.
    :param leaving: ids of hosts that announced a planned stop or are listed as leaving.
    :param leaving_upstreams: addresses of upstreams that the host list calls leaving.
    :param silent: ids of the hosts of cells that were heard of before, but not lately.
    """

    hosts: Mapping[str, Host] = field(default_factory=dict)
    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    leaving_upstreams: frozenset[str] = frozenset()
    silent: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class HeldKeys:
    """Ownership keys that this host holds at the time of publication.

    :param keys: held keys.
    """

    keys: frozenset[str] = frozenset()
