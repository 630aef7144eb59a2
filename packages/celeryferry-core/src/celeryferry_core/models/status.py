"""Status of a daemon as operators receive it."""

import msgspec


class _Status(msgspec.Struct, frozen=True):
    """Base of status messages; later versions may add fields."""


class KeyStatus(_Status, frozen=True):
    """A held key.

    :param key: ownership key.
    :param remaining_ms: rest of the lease in milliseconds.
    """

    key: str
    remaining_ms: int


class DocumentStatus(_Status, frozen=True):
    """A document in force.

    :param name: name of the document.
    :param application: application of the service.
    :param version: version in the document.
    :param revision: revision of the configuration service.
    """

    name: str
    application: str
    version: int
    revision: int


class RejectedDocument(_Status, frozen=True):
    """A document that was not activated.

    :param name: name of the document.
    :param revision: revision of the configuration service.
    :param source: where it came from.
    :param reason: what to correct.
    """

    name: str
    revision: int
    source: str
    reason: str


class ListedHost(_Status, frozen=True):
    """A host of the host list, so that operators can ask every host.

    :param host_id: unique name of the host.
    :param failure_domain: its failure domain.
    :param peers_address: ``ip:port`` of its listener for other daemons and operators.
    :param state: ``live`` or ``leaving``.
    """

    host_id: str
    failure_domain: str
    peers_address: str
    state: str


class DaemonStatus(_Status, frozen=True):
    """Answer to ``GET /operator/v1/status``.

    :param host_id: host of the daemon.
    :param failure_domain: its failure domain.
    :param incarnation: random id of the process.
    :param state: ``starting``, ``serving``, ``leaving`` or ``stopped``.
    :param may_act: whether the configuration is fresh enough to take new work.
    :param service_age_ms: age in milliseconds of the latest confirmation by the
        configuration service, None if there is none.
    :param watching: whether this host watches the configuration service.
    :param config_digest: digest of the active documents.
    :param documents: active documents.
    :param rejected: documents that were not activated.
    :param keys: held keys.
    :param listed_hosts: ids of all listed hosts.
    :param live_hosts: ids of the live hosts.
    :param leaving_hosts: ids of the hosts that are leaving.
    :param leaving_upstreams: addresses of the upstreams that are leaving.
    :param requests_in_flight: running requests of callers.
    :param hosts: all listed hosts with their addresses.
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

    :param host_id: host of the daemon.
    :param state: state after the request.
    """

    host_id: str
    state: str
