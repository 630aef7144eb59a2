"""Builds the status that operators read."""

from datetime import timedelta
from typing import TYPE_CHECKING

from celeryferry_core.models.status import (
    DaemonStatus,
    DocumentStatus,
    KeyStatus,
    ListedHost,
    RejectedDocument,
)
from celeryferry_daemon._internal.clock import to_ms

if TYPE_CHECKING:
    from celeryferry_daemon._internal.app import Daemon


def read_status(daemon: "Daemon") -> DaemonStatus:
    """Return the current status of a daemon."""
    now = daemon.now()
    age = daemon.control.freshness.confirmation_age(now)
    membership = daemon.streams.membership.value
    view = daemon.streams.configuration.value
    return DaemonStatus(
        host_id=daemon.control.sender.host_id,
        failure_domain=daemon.settings.host.failure_domain,
        incarnation=daemon.incarnation,
        state=daemon.state.value,
        may_act=daemon.control.gate.may_act(),
        service_age_ms=None if age is None else to_ms(age),
        watching=daemon.control.configuration.watching,
        config_digest=view.digest,
        documents=_list_documents(daemon),
        rejected=_list_rejected(daemon),
        keys=_list_keys(daemon, now),
        listed_hosts=tuple(sorted(membership.hosts)),
        live_hosts=tuple(sorted(membership.live)),
        leaving_hosts=tuple(sorted(membership.leaving)),
        leaving_upstreams=tuple(sorted(membership.leaving_upstreams)),
        requests_in_flight=daemon.caller_middleware.in_flight,
        hosts=_list_hosts(daemon),
    )


def _list_hosts(daemon: "Daemon") -> tuple[ListedHost, ...]:
    hosts = daemon.streams.membership.value.hosts
    return tuple(
        ListedHost(
            host.host_id, host.failure_domain, host.peers_address, host.state.value
        )
        for _, host in sorted(hosts.items())
    )


def _list_documents(daemon: "Daemon") -> tuple[DocumentStatus, ...]:
    return tuple(
        DocumentStatus(
            name,
            active.document.application,
            active.version.version,
            active.version.revision,
        )
        for name, active in sorted(daemon.control.store.active.items())
    )


def _list_rejected(daemon: "Daemon") -> tuple[RejectedDocument, ...]:
    return tuple(
        RejectedDocument(entry.name, entry.revision, entry.source, entry.reason)
        for _, entry in sorted(daemon.control.store.rejected.items())
    )


def _list_keys(daemon: "Daemon", now: timedelta) -> tuple[KeyStatus, ...]:
    keys = []
    for key in sorted(daemon.control.lease_manager.held_keys()):
        expires_at = daemon.control.lease_manager.expires_at(key)
        if expires_at is not None:
            keys.append(KeyStatus(key, to_ms(expires_at - now)))
    return tuple(keys)
