"""Settings of the forwarding daemon."""

from datetime import timedelta

import msgspec

from celeryferry_core.exceptions import CeleryferryError


class InvalidSettingsError(CeleryferryError):
    """The settings can't be used; the message says why."""


class ForwardingSettings(msgspec.Struct, frozen=True, gc=False):
    """Checked settings of one process.

    :param host_id: unique name of this host.
    :param failure_domain: failure domain that it is in.
    :param callers_address: ``ip:port`` for requests of callers.
    :param readiness_address: ``ip:port`` for readiness checks.
    :param peers_address: ``ip:port`` for other hosts and operators.
    :param entry_hosts_address: ``ip:port`` for callers that ask for entry hosts.
    :param seed_addresses: ``peers_address`` of some hosts of the fleet.
    :param store_address: ``ip:port`` of the store with configuration and discovery.
    :param extra_ratio: hedges and retries of the fleet for each request.
    :param extra_burst: hedges and retries of the fleet beyond that.
    :param cold_excess: factor on the rate that a cold upstream states.
    :param cold_tolerance: requests a second that it bears beyond that.
    :param contact_time: time after a disturbance of the store or the network by which
        this host must know the present state again.
    :param stop_time: time from the stop signal until the process is killed.
    :param max_entry_hosts_validity: longest time that an entry hosts answer is kept.
    :param max_descriptors: file descriptors that the process may use.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    readiness_address: str
    peers_address: str
    entry_hosts_address: str
    seed_addresses: tuple[str, ...]
    store_address: str
    extra_ratio: float
    extra_burst: float
    cold_excess: float
    cold_tolerance: float
    contact_time: timedelta
    stop_time: timedelta
    max_entry_hosts_validity: timedelta
    max_descriptors: int
