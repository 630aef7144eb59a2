"""Status messages that operators receive from a daemon."""

import msgspec


class _Status(msgspec.Struct, frozen=True):
    """Base of status messages; later versions may add fields."""


class KeyStatus(_Status, frozen=True):
    """An ownership key that the host holds.

    :param remaining_ms: time in milliseconds until the lease expires.
    """

    key: str
    remaining_ms: int


class DocumentStatus(_Status, frozen=True):
    """An active document.

    :param application: application that the document's service belongs to.
    :param version: version number stated in the document.
    :param revision: revision that the configuration service assigned to the document.
    """

    name: str
    application: str
    version: int
    revision: int


class RejectedDocument(_Status, frozen=True):
    """A document that was not activated.

    :param revision: revision that the configuration service assigned to the document.
    :param source: where the document came from.
    :param reason: what is wrong and must be corrected.
    """

    name: str
    revision: int
    source: str
    reason: str


class ListedHost(_Status, frozen=True):
    """A host of the host list, given so that operators can query every host.

    :param host_id: unique name of the host.
    :param peers_address: ``ip:port`` of its listener for other daemons and operators.
    :param state: ``live`` or ``leaving``.
    """

    host_id: str
    failure_domain: str
    peers_address: str
    state: str


class DaemonStatus(_Status, frozen=True):
    """Answer to ``GET /operator/v1/status``.

    :param host_id: id of the daemon's host.
    :param incarnation: random id of the process.
    :param state: ``starting``, ``serving``, ``leaving`` or ``stopped``.
    :param may_act: whether the configuration is fresh enough to accept new work.
    :param service_age_ms: time in milliseconds since the latest confirmation by the
        configuration service, None if there is none.
    :param watching: whether this host watches the configuration service.
    :param config_digest: digest of the active documents.
    :param documents: active documents.
    :param rejected: documents that were not activated.
    :param keys: ownership keys that the host holds.
    :param listed_hosts: ids of all hosts of the host list.
    :param live_hosts: ids of the live hosts.
    :param leaving_hosts: ids of the hosts that are leaving.
    :param leaving_upstreams: addresses of the upstreams that are leaving.
    :param requests_in_flight: number of callers' requests in progress.
    :param hosts: all hosts of the host list with their addresses.
    """

    host_id: str
    failure_domain: str
    incarnation: str
    state: str
    may_act: bool
    service_age_ms: int | None
    watching: bool
    config_digest: str
    documents: tuple[DocumentStatus, ...]
    rejected: tuple[RejectedDocument, ...]
    keys: tuple[KeyStatus, ...]
    listed_hosts: tuple[str, ...]
    live_hosts: tuple[str, ...]
    leaving_hosts: tuple[str, ...]
    leaving_upstreams: tuple[str, ...]
    requests_in_flight: int
    hosts: tuple[ListedHost, ...] = ()


class DrainAnswer(_Status, frozen=True):
    """Answer to ``POST /operator/v1/drain``.

    :param host_id: id of the daemon's host.
    :param state: state after the request.
    """

    host_id: str
    state: str
