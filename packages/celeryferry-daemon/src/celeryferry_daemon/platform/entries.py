"""Decodes the entries that the platform's store holds."""

import re
from datetime import timedelta
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from celeryferry_core.addresses import is_address
from celeryferry_core.decoding import JsonDecoder
from celeryferry_core.exceptions import CeleryferryError
from celeryferry_core.forwarding.models import (
    CallerBounds,
    ForwardingConfiguration,
    ForwardingRule,
    ServiceBounds,
    Sharded,
    Upstream,
    Weighted,
    WeightedService,
)

CONFIGURATION_KEY = "op/config"
EVACUATED_DOMAIN_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"

_REPEATABLE_TYPE = "idempotent"
_READY = "ready"
_DRAINING = "draining"
# Defaults for routes that state no times. The platform defines no defaults; these are
# the times of the longest request in its description.
_DEFAULT_TIMEOUT_MS = 5_000
_DEFAULT_TARGET_LATENCY_MS = 500
# The id of an instance is sent in a request header. Other characters could end the
# header or the whole request head.
_INSTANCE_ID = re.compile(r"[!-~]{1,200}")

# Other characters would end the request line.
_PATH = re.compile(r"/[!-~]{0,1000}")

# Ranges of the numbers in entries. Larger ones can't be converted to durations, written
# to the log or compared in a meaningful way.
_MAX_DURATION_MS = 86_400_000
_DurationMs = Annotated[float, Meta(ge=0, le=_MAX_DURATION_MS)]
_Count = Annotated[int, Meta(ge=0, le=2**31)]
_Integer = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
_Rate = Annotated[float, Meta(ge=0, le=1e9)]
_Ratio = Annotated[float, Meta(ge=0, le=1)]


class InvalidEntryError(CeleryferryError):
    """An entry of the store is not in the platform's format, or can't be used."""


class _WeightedBackend(msgspec.Struct):
    backend: str
    weight: _Rate


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    # "idempotent" or "non_idempotent". Any other value means that a request must not
    # run more than once.
    type: str = ""
    timeout_ms: _DurationMs = _DEFAULT_TIMEOUT_MS
    target_latency_ms: _DurationMs = _DEFAULT_TARGET_LATENCY_MS
    priority: _Integer = 0
    attempts: _Integer = 1
    backend: str | None = None
    traffic_split: list[_WeightedBackend] | None = None
    # Services to query; each holds one shard.
    gather: list[str] | None = None
    top_k: _Count = 0
    min_shard_ratio: _Ratio = 1.0


class _Backend(msgspec.Struct):
    name: str
    max_conns: _Count = 16
    warmup_per_s: _Rate = 0.0
    warmup_s: Annotated[float, Meta(ge=0, le=86_400)] = 0.0
    health_check: str | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 262_144
    header_timeout_ms: _DurationMs = 10_000
    idle_timeout_ms: _DurationMs = 60_000


class _Configuration(msgspec.Struct):
    version: _Integer
    routes: list[_Route]
    backends: list[_Backend] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct):
    backend: str
    address: str
    zone: str
    lifecycle: str
    capacity: _Integer
    # Remaining time of the cold start when the entry was written.
    warmup_left_ms: Annotated[float, Meta(le=_MAX_DURATION_MS)] = 0.0
    # Time at which this instance started, in Unix milliseconds.
    born: _Integer = 0
    # Counts what the instance has written since its start.
    seq: _Integer = 0


_CONFIGURATION_DECODER = JsonDecoder(_Configuration)
_SERVER_DECODER = JsonDecoder(_Server)


def decode_configuration(
    value: bytes,
) -> Result[ForwardingConfiguration, InvalidEntryError]:
    """Decode the operators' configuration.

    :param value: JSON value of ``CONFIGURATION_KEY``.
    :returns: the configuration, or why it can't be used.
    """
    match _CONFIGURATION_DECODER.decode(value):
        case Err(error):
            return Err(InvalidEntryError(str(error)))
        case Ok(document):
            pass
    try:
        rules = tuple(_translate_route(route) for route in document.routes)
    except InvalidEntryError as error:
        return Err(error)
    services = {
        backend.name: ServiceBounds(
            backend.max_conns,
            backend.warmup_per_s,
            timedelta(seconds=backend.warmup_s),
            _translate_health_path(backend.health_check),
        )
        for backend in document.backends
    }
    limits = document.limits
    callers = CallerBounds(
        limits.max_header_bytes,
        limits.max_body_bytes,
        timedelta(milliseconds=limits.header_timeout_ms),
        timedelta(milliseconds=limits.idle_timeout_ms),
    )
    return Ok(ForwardingConfiguration(document.version, rules, services, callers))


def decode_upstream(
    instance_id: str, value: bytes
) -> Result[Upstream, InvalidEntryError]:
    """Decode the entry of an upstream.

    :param instance_id: key of the entry without ``UPSTREAM_PREFIX``.
    :param value: JSON value of the entry.
    :returns: the upstream, or why the entry can't be used.
    """
    if not _INSTANCE_ID.fullmatch(instance_id):
        return Err(InvalidEntryError("the instance id has characters other than ASCII"))
    match _SERVER_DECODER.decode(value):
        case Err(error):
            return Err(InvalidEntryError(str(error)))
        case Ok(server):
            pass
    if server.lifecycle not in (_READY, _DRAINING):
        return Err(InvalidEntryError("unknown lifecycle"))
    if not is_address(server.address):
        return Err(InvalidEntryError("the address is not a valid ip:port"))
    return Ok(
        Upstream(
            instance_id=instance_id,
            service=server.backend,
            address=server.address,
            failure_domain=server.zone,
            slots=max(1, server.capacity),
            is_draining=server.lifecycle == _DRAINING,
            cold_for=timedelta(milliseconds=max(0.0, server.warmup_left_ms)),
            started_ms=server.born,
            sequence=server.seq,
        )
    )


def _translate_health_path(path: str | None) -> str:
    """Return a path that can be sent in a request line, empty without one."""
    return path if path is not None and _PATH.fullmatch(path) else ""


def _translate_route(route: _Route) -> ForwardingRule:
    match route:
        case _Route(gather=[_, *_] as services):
            if len(set(services)) < len(services):
                raise InvalidEntryError(f"route {route.name} names a shard twice")
            target = Sharded(tuple(services), route.top_k, route.min_shard_ratio)
        case _Route(traffic_split=[_, *_] as weighted_backends):
            if not any(item.weight for item in weighted_backends):
                raise InvalidEntryError(f"route {route.name} has no positive weight")
            target = Weighted(
                tuple(
                    WeightedService(item.backend, item.weight)
                    for item in weighted_backends
                )
            )
        case _Route(backend=str(service)):
            target = Weighted((WeightedService(service, 1.0),))
        case _:
            raise InvalidEntryError(f"route {route.name} names no service")
    return ForwardingRule(
        name=route.name,
        host_name=route.host,
        path_prefix=route.path_prefix,
        target=target,
        is_repeatable=route.type == _REPEATABLE_TYPE,
        max_attempts=max(1, route.attempts),
        timeout=timedelta(milliseconds=route.timeout_ms),
        target_latency=timedelta(milliseconds=route.target_latency_ms),
        priority=route.priority,
    )
