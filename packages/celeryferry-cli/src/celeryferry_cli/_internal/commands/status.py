"""``celeryferry status``."""

from typing import Any

import msgspec
from result import Err

from celeryferry_cli._internal.client import open_client
from celeryferry_cli._internal.failures import load_token
from celeryferry_cli._internal.fleet import FleetStatus, collect_status
from celeryferry_cli._internal.options import parse_hosts, parse_with
from celeryferry_cli._internal.reports import ExitCode, Invocation, Report
from celeryferry_core.freshness import MAX_FRESH_AGE
from celeryferry_core.models.status import DaemonStatus
from celeryferry_core.models.views import DocumentVersion


@parse_with(host=parse_hosts)
def status(
    *, host: tuple[str, ...], token_file: str | None = None, json: bool = False
) -> Invocation:
    """Show the state of the whole fleet.

    Asks the given host for its host list and then each listed host. Shows the active
    version of every document, hosts with older versions, held keys, rejected documents
    and the address of each host's peer listener, which drain needs.
    Exit code 0: every host answered; 1: none did; 3: some did not.

    :param host: ip:port of one or more peer listeners, separated by commas.
    :param token_file: file with the fleet token.
    :param json: print JSON instead of text.
    """

    async def start() -> Report:
        token = load_token(token_file)
        if isinstance(token, Err):
            return token.err_value
        async with open_client(token.ok_value) as client:
            return _build_report(await collect_status(client, host))

    return Invocation(start, json)


def _build_report(fleet: FleetStatus) -> Report:
    if not fleet.unreachable:
        code = ExitCode.OK
    else:
        code = ExitCode.INCOMPLETE if fleet.hosts else ExitCode.FAILED
    return Report(code, tuple(_describe(fleet)), _build_record(fleet))


def _describe(fleet: FleetStatus) -> list[str]:
    total = len(fleet.hosts) + len(fleet.unreachable)
    lines = [f"hosts: {len(fleet.hosts)} of {total} answered"]
    addresses = fleet.get_peer_addresses()
    lines += [f"  {_describe_host(host, addresses)}" for host in fleet.hosts]
    lines += [
        f"  {name}: no answer: {reason.removeprefix(f'{name}: ')}"
        for name, reason in fleet.unreachable.items()
    ]
    if not fleet.hosts:
        return lines
    newest = fleet.find_newest_versions()
    lines.append(f"documents: {len(newest)}")
    lines += [
        f"  {name}: {_describe_version(version)}" for name, version in newest.items()
    ]
    outdated = fleet.find_outdated_documents()
    lines.append(f"behind: {len(outdated)}")
    for document in outdated:
        lines.append(
            f"  {document.host_id}: {document.name}: "
            f"has {_describe_version(document.has)}; "
            f"newest is {_describe_version(document.newest)}"
        )
    rejected = [
        (host.host_id, rejection) for host in fleet.hosts for rejection in host.rejected
    ]
    lines.append(f"rejected documents: {len(rejected)}")
    lines += [
        f"  {host_id}: {rejection.name} revision {rejection.revision} "
        f"from {rejection.source}: {rejection.reason}"
        for host_id, rejection in rejected
    ]
    return lines


def _describe_host(host: DaemonStatus, addresses: dict[str, str]) -> str:
    state = host.state
    age_ms = host.service_age_ms
    if age_ms is not None and age_ms > MAX_FRESH_AGE.total_seconds() * 1000:
        state += (
            f", last confirmed by the configuration service {age_ms / 1000:.0f} s ago"
        )
    if not host.may_act:
        state += ", accepts no new work because its configuration may be stale"
    keys = ", ".join(held_key.key for held_key in host.keys) or "none"
    address = addresses.get(host.host_id, "not in the host list")
    return (
        f"{host.host_id}  {host.failure_domain}  {address}  {state}  held keys: {keys}"
    )


def _describe_version(version: DocumentVersion | None) -> str:
    if version is None:
        return "nothing"
    return f"version {version.version}, revision {version.revision}"


def _build_record(fleet: FleetStatus) -> dict[str, Any]:
    return {
        "hosts": fleet.hosts,
        "unreachable": fleet.unreachable,
        "documents": [
            {"name": name, **msgspec.to_builtins(version)}
            for name, version in fleet.find_newest_versions().items()
        ],
        "behind": [
            msgspec.to_builtins(document)
            for document in fleet.find_outdated_documents()
        ],
    }
