"""Reads the settings file that the platform writes for each process.

The file is read at start and again on every reload.
"""

import os
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from celeryferry_core.addresses import is_address
from celeryferry_core.decoding import JsonDecoder
from celeryferry_daemon._internal.forwarding.settings import (
    ForwardingSettings,
    InvalidSettingsError,
)

SETTINGS_PATH_VARIABLE = "CELERYFERRY_BOOT"
_Ratio = Annotated[float, Meta(ge=0, le=1e6)]
_DurationMs = Annotated[float, Meta(ge=0, le=86_400_000)]
_DurationS = Annotated[float, Meta(ge=0, le=86_400)]


class _Addresses(msgspec.Struct):
    http: str
    readiness: str
    admin: str
    directory: str


class _Parameters(msgspec.Struct):
    retry_ratio: _Ratio = 0.2
    retry_burst: _Ratio = 50.0
    retry_window_s: Annotated[float, Meta(gt=0, le=86_400)] = 10.0
    warmup_excess: _Ratio = 1.0
    warmup_tolerance: _Ratio = 0.0
    # Time after a failure of the store or the network within which the daemon must know
    # the current state again.
    contact_ms: _DurationMs = 4000.0
    # Time from SIGTERM to SIGKILL.
    grace_s: _DurationS = 6.0
    # Longest time for which callers may use a response of the directory.
    ttl_max_s: _DurationS = 5.0


class _Store(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    max_fds: Annotated[int, Meta(ge=1, le=2**31)] = 1024
    # Fraction of one core's time, and the speed of that core as a factor; the processor
    # is not more than one core for a process with one thread.
    cpu_quota: _Ratio = 1.0
    cpus: _Ratio = 1.0


class _SettingsFile(msgspec.Struct):
    node_name: str
    zone: str
    bind_addrs: _Addresses
    platform: _Store
    seed_nodes: list[str] = []
    # Time between two writes of an upstream's entry.
    heartbeat_ms: _DurationMs = 1200.0
    parameters: _Parameters = msgspec.field(default_factory=_Parameters)
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = JsonDecoder(_SettingsFile)


def decode_settings(content: bytes) -> Result[ForwardingSettings, InvalidSettingsError]:
    """Decode the platform's settings file.

    Fields that the daemon does not know are ignored.

    :param content: JSON text of the file.
    :returns: settings of the daemon, or why they can't be used.
    """
    match _DECODER.decode(content):
        case Err(error):
            return Err(InvalidSettingsError(str(error)))
        case Ok(settings_file):
            pass
    addresses = settings_file.bind_addrs
    for address in (
        addresses.http,
        addresses.readiness,
        addresses.admin,
        addresses.directory,
        settings_file.platform.address,
    ):
        if not is_address(address):
            return Err(InvalidSettingsError(f"not a valid ip:port: {address[:100]}"))
    parameters = settings_file.parameters
    limits = settings_file.limits
    return Ok(
        ForwardingSettings(
            host_id=settings_file.node_name,
            failure_domain=settings_file.zone,
            callers_address=addresses.http,
            readiness_address=addresses.readiness,
            peers_address=addresses.admin,
            entry_hosts_address=addresses.directory,
            # The list may be stale. The settings as read are logged.
            seed_addresses=tuple(filter(is_address, settings_file.seed_nodes)),
            store_address=settings_file.platform.address,
            extra_ratio=parameters.retry_ratio,
            extra_burst=parameters.retry_burst,
            extra_window=timedelta(seconds=parameters.retry_window_s),
            cold_excess=parameters.warmup_excess,
            cold_tolerance=parameters.warmup_tolerance,
            contact_time=timedelta(milliseconds=parameters.contact_ms),
            stop_time=timedelta(seconds=parameters.grace_s),
            max_entry_hosts_validity=timedelta(seconds=parameters.ttl_max_s),
            heartbeat_interval=timedelta(milliseconds=settings_file.heartbeat_ms),
            max_descriptors=limits.max_fds,
            processor_share=limits.cpu_quota * limits.cpus,
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
