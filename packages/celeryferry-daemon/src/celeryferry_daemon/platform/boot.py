"""Reads the settings file that the platform writes for each process.

The file is read at start and again on every reload.
"""

import os
from datetime import timedelta
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from celeryferry_daemon._internal.forwarding.settings import (
    ForwardingSettings,
    InvalidSettingsError,
)

SETTINGS_PATH_VARIABLE = "CELERYFERRY_BOOT"


class _Addresses(msgspec.Struct):
    http: str
    readiness: str
    admin: str
    directory: str


class _Parameters(msgspec.Struct):
    retry_ratio: float = 0.2
    retry_burst: float = 50.0
    warmup_excess: float = 1.0
    warmup_tolerance: float = 0.0
    # Time after a failure of the store or the network within which the daemon must know
    # the current state again.
    contact_ms: float = 4000.0
    # Time from SIGTERM to SIGKILL.
    grace_s: float = 6.0
    # Longest time for which callers may use a response of the directory.
    ttl_max_s: float = 5.0


class _Store(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    max_fds: int = 1024


class _SettingsFile(msgspec.Struct):
    node_name: str
    zone: str
    bind_addrs: _Addresses
    platform: _Store
    seed_nodes: list[str] = []
    parameters: _Parameters = msgspec.field(default_factory=_Parameters)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_settings(content: bytes) -> Result[ForwardingSettings, InvalidSettingsError]:
    """Decode the platform's settings file.

    Fields that the daemon does not know are ignored.

    :param content: JSON text of the file.
    :returns: settings of the daemon, or why they can't be used.
    """
    try:
        settings_file = msgspec.json.decode(content, type=_SettingsFile)
    except msgspec.MsgspecError as error:
        return Err(InvalidSettingsError(str(error)))
    parameters = settings_file.parameters
    return Ok(
        ForwardingSettings(
            host_id=settings_file.node_name,
            failure_domain=settings_file.zone,
            callers_address=settings_file.bind_addrs.http,
            readiness_address=settings_file.bind_addrs.readiness,
            peers_address=settings_file.bind_addrs.admin,
            entry_hosts_address=settings_file.bind_addrs.directory,
            seed_addresses=tuple(settings_file.seed_nodes),
            store_address=settings_file.platform.address,
            extra_ratio=parameters.retry_ratio,
            extra_burst=parameters.retry_burst,
            cold_excess=parameters.warmup_excess,
            cold_tolerance=parameters.warmup_tolerance,
            contact_time=timedelta(milliseconds=parameters.contact_ms),
            stop_time=timedelta(seconds=parameters.grace_s),
            max_entry_hosts_validity=timedelta(seconds=parameters.ttl_max_s),
            max_descriptors=settings_file.limits.max_fds,
        )
    )


def load_settings() -> Result[ForwardingSettings, InvalidSettingsError]:
    """Read the settings file named by the environment variable ``CELERYFERRY_BOOT``.

    :returns: settings of the daemon, or why they can't be used.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if path is None:
        return Err(InvalidSettingsError(f"{SETTINGS_PATH_VARIABLE} is not set"))
    try:
        return decode_settings(Path(path).read_bytes())
    except OSError as error:
        return Err(InvalidSettingsError(f"cannot read {path}: {error}"))
