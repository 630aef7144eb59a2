"""Settings of the forwarding daemon."""

from datetime import timedelta

import msgspec

from celeryferry_core.exceptions import CeleryferryError

# The process has begun with them: other hosts know it by these, and its listeners are
# bound. A change needs a restart.
FIXED_SETTINGS = (
    "host_id",
    "failure_domain",
    "callers_address",
    "readiness_address",
    "peers_address",
    "entry_hosts_address",
)


class InvalidSettingsError(CeleryferryError):
    """The settings can't be used. The message says why."""


class ForwardingSettings(msgspec.Struct, frozen=True, gc=False):
    """Settings of one process.

    Only the types of the values are checked, when the settings file is decoded.

    :param host_id: unique name of this host.
    :param failure_domain: failure domain of this host.
    :param callers_address: ``ip:port`` of the listener for callers' requests.
    :param readiness_address: ``ip:port`` of the listener for readiness checks.
    :param peers_address: ``ip:port`` of the listener for other hosts and operators.
    :param entry_hosts_address: ``ip:port`` of the listener that answers callers with
        the entry hosts.
    :param seed_addresses: ``peers_address`` of some hosts of the fleet.
    :param store_address: ``ip:port`` of the store that publishes the configuration and
        the upstreams.
    :param extra_ratio: hedges and retries that the fleet may send per request.
    :param extra_burst: hedges and retries that the fleet may send beyond that ratio in
        each window.
    :param extra_window: length of that window.
    :param cold_excess: factor by which the request rate configured for cold upstreams
        of a service is multiplied; 1 leaves it as configured.
    :param cold_tolerance: requests per second that a cold upstream can process beyond
        that rate.
    :param contact_time: time after a failure of the store or the network within which
        this host must know the current state again.
    :param stop_time: time from the stop signal until the process is killed.
    :param max_entry_hosts_validity: longest time that a caller may keep the addresses
        of entry hosts.
    :param max_descriptors: file descriptors that the process may use.
    :param heartbeat_interval: time between two statements of an upstream to the store.
    :param processor_share: processor time that this host gives the process, in seconds
        of an ordinary core per second.
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
    extra_window: timedelta
    cold_excess: float
    cold_tolerance: float
    contact_time: timedelta
    stop_time: timedelta
    max_entry_hosts_validity: timedelta
    max_descriptors: int
    heartbeat_interval: timedelta = timedelta(milliseconds=1200)
    processor_share: float = 1.0


def keep_fixed_settings(
    current: ForwardingSettings, read: ForwardingSettings
) -> tuple[ForwardingSettings, tuple[str, ...]]:
    """Return the settings that can come into force, and what they leave out.

    :param current: settings in force.
    :param read: settings that were read again.
    :returns: the read settings with the fixed ones of those in force, and the names of
        the fixed ones that differ.
    """
    names = tuple(
        name for name in FIXED_SETTINGS if getattr(read, name) != getattr(current, name)
    )
    kept = {name: getattr(current, name) for name in names}
    return msgspec.structs.replace(read, **kept), names
