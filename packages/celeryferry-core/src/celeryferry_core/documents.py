"""Parsing and rendering of service documents; parsing reports all errors at once."""

from collections import defaultdict
from collections.abc import Sequence

from result import Err, Ok, Result

from celeryferry_core.exceptions import DocumentErrors, FieldError
from celeryferry_core.findings import Findings, format_value, parse_toml
from celeryferry_core.models.topology import (
    Hedging,
    Preference,
    Replica,
    Retries,
    ServiceDocument,
    Shard,
    UpstreamLimits,
)
from celeryferry_core.table_reader import TableReader

SCHEMA_VERSION = 1
# The configuration service stores values up to 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000
# Larger integers lose precision in JSON readers that use double precision.
MAX_VERSION = 2**53 - 1
MAX_DEADLINE_MS = 60_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_CONNECT_COST_MS = 60_000.0
MAX_BUDGET_PERCENT = 100.0
MAX_HEDGING_FLOOR_MS = 60_000.0
MAX_SHARDS = 10_000
MAX_REPLICAS = 1_000


def parse_document(text: str) -> Result[ServiceDocument, DocumentErrors]:
    """Parse and check a service document in TOML.

    :returns: the document, or all errors in it.
    """
    size_bytes = len(text.encode(errors="surrogatepass"))
    if size_bytes > MAX_DOCUMENT_BYTES:
        allowed = f"at most {MAX_DOCUMENT_BYTES} bytes; split the service"
        error = FieldError("", f"a document of {size_bytes} bytes", allowed)
        return Err(DocumentErrors((error,)))
    match parse_toml(text):
        case Err(error):
            return Err(DocumentErrors((error,)))
        case Ok(table):
            findings = Findings(text)
            document = _read_document(TableReader(findings, table))
            if findings.errors:
                return Err(DocumentErrors(findings.sort_errors()))
            return Ok(document)


# An invalid field is None in the objects built below, except the preference, which is
# ``COVERAGE`` then. Such an object never leaves this module, because an error is
# recorded for every invalid field.
def _read_document(top: TableReader) -> ServiceDocument:
    top.read_integer("schema", SCHEMA_VERSION, SCHEMA_VERSION)
    preference = top.read_choice("preference", tuple(Preference))
    document = ServiceDocument(
        version=top.read_integer("version", 1, MAX_VERSION),
        application=top.read_name("application"),
        service=top.read_name("service"),
        team=top.read_name("team"),
        preference=Preference(preference) if preference else Preference.COVERAGE,
        repeatable=top.read_bool("repeatable"),
        deadline_ms=top.read_integer("deadline_ms", 1, MAX_DEADLINE_MS),
        answer_within_ms=top.read_integer("answer_within_ms", 1, MAX_DEADLINE_MS),
        failure_domains_out=top.read_names("failure_domains_out"),
        upstreams=_read_upstreams(top.open_table("upstreams")),
        shards=_read_shards(top),
        hedging=_read_hedging(top.open_table("hedging")),
        retries=_read_retries(top.open_table("retries")),
    )
    _check_order(
        top,
        "answer_within_ms",
        document.answer_within_ms,
        "deadline_ms",
        document.deadline_ms,
    )
    _check_domains_out(top, document)
    top.reject_unknown_fields()
    return document


def _read_upstreams(table: TableReader) -> UpstreamLimits:
    limits = UpstreamLimits(
        slots=table.read_integer("slots", 1, MAX_SLOTS),
        connections=table.read_integer("connections", 1, MAX_CONNECTIONS),
        cold_limit=table.read_integer("cold_limit", 1, MAX_SLOTS, default=1),
        connect_cost_ms=table.read_float(
            "connect_cost_ms", 0.0, MAX_CONNECT_COST_MS, default=0.0
        ),
    )
    _check_order(table, "cold_limit", limits.cold_limit, "slots", limits.slots)
    _check_order(table, "slots", limits.slots, "connections", limits.connections)
    table.reject_unknown_fields()
    return limits


def _read_hedging(table: TableReader) -> Hedging:
    default = Hedging()
    hedging = Hedging(
        budget_percent=table.read_float(
            "budget_percent", 0.0, MAX_BUDGET_PERCENT, default.budget_percent
        ),
        floor_ms=table.read_float(
            "floor_ms", 0.0, MAX_HEDGING_FLOOR_MS, default.floor_ms
        ),
    )
    table.reject_unknown_fields()
    return hedging


def _read_retries(table: TableReader) -> Retries:
    default = Retries().budget_percent
    retries = Retries(
        table.read_float("budget_percent", 0.0, MAX_BUDGET_PERCENT, default)
    )
    table.reject_unknown_fields()
    return retries


def _read_shards(top: TableReader) -> tuple[Shard, ...]:
    # A document that is deleted from the configuration service stays active on the
    # hosts. To retire a service, its document must contain an explicit empty array of
    # shards.
    tables = top.open_tables("shards", MAX_SHARDS, min_count=0)
    domains_by_address: dict[str, tuple[str, str]] = {}
    shards = tuple(_read_shard(table, domains_by_address) for table in tables)
    _check_snapshot_ranges(tables, shards)
    _check_groups(tables, shards)
    return shards


def _read_shard(
    table: TableReader, domains_by_address: dict[str, tuple[str, str]]
) -> Shard:
    replica_tables = table.open_tables("replicas", MAX_REPLICAS)
    shard = Shard(
        name=table.read_name("name"),
        replicas=tuple(_read_replica(replica) for replica in replica_tables),
        first_snapshot=table.read_integer("first_snapshot", 0, MAX_VERSION, default=0),
        last_snapshot=table.read_integer("last_snapshot", 0, MAX_VERSION, default=None),
        group=table.read_name("group", default=None),
    )
    _check_order(
        table,
        "first_snapshot",
        shard.first_snapshot,
        "last_snapshot",
        shard.last_snapshot,
    )
    _check_replicas(replica_tables, shard.replicas, domains_by_address)
    table.reject_unknown_fields()
    return shard


def _read_replica(table: TableReader) -> Replica:
    replica = Replica(table.read_address("address"), table.read_name("failure_domain"))
    table.reject_unknown_fields()
    return replica


def _check_order(
    table: TableReader, low_name: str, low: int | None, high_name: str, high: int | None
) -> None:
    if low is not None and high is not None and low > high:
        table.reject(low_name, str(low), f"at most {high_name}, which is {high}")


def _check_domains_out(top: TableReader, document: ServiceDocument) -> None:
    used = {
        replica.failure_domain
        for shard in document.shards
        for replica in shard.replicas
        if replica.failure_domain is not None
    }
    for name in document.failure_domains_out:
        if used and name not in used:
            rule = "failure domains of the replicas: " + ", ".join(sorted(used))
            top.reject("failure_domains_out", format_value(name), rule)


def _check_replicas(
    tables: Sequence[TableReader],
    replicas: Sequence[Replica],
    domains_by_address: dict[str, tuple[str, str]],
) -> None:
    paths_by_address: dict[str, str] = {}
    for table, replica in zip(tables, replicas, strict=True):
        address, failure_domain = replica.address, replica.failure_domain
        if address is None:
            continue
        if address in paths_by_address:
            rule = (
                f"each replica once in a shard; {paths_by_address[address]} has this "
                "address"
            )
            table.reject("address", format_value(address), rule)
        paths_by_address.setdefault(address, table.table_path)
        if failure_domain is None:
            continue
        first_domain, first_path = domains_by_address.setdefault(
            address, (failure_domain, table.table_path)
        )
        if first_domain != failure_domain:
            rule = (
                f"{format_value(first_domain)}, as {first_path} states for the same "
                "address"
            )
            table.reject("failure_domain", format_value(failure_domain), rule)


def _check_groups(tables: Sequence[TableReader], shards: Sequence[Shard]) -> None:
    # An upstream in two groups would have two owners that limit its load separately.
    groups_by_address: dict[str, tuple[str | None, str]] = {}
    for table, shard in zip(tables, shards, strict=True):
        for replica in shard.replicas:
            if replica.address is None:
                continue
            entry = (shard.group, table.table_path)
            first_group, first_path = groups_by_address.setdefault(
                replica.address, entry
            )
            if first_group != shard.group:
                rule = f"the group of {first_path}, which has {replica.address} as well"
                table.reject("group", format_value(shard.group), rule)
                break


def _check_snapshot_ranges(
    tables: Sequence[TableReader], shards: Sequence[Shard]
) -> None:
    by_name: dict[str, list[tuple[int, float, TableReader]]] = defaultdict(list)
    for table, shard in zip(tables, shards, strict=True):
        if shard.name is None or shard.first_snapshot is None:
            continue
        last = float("inf") if shard.last_snapshot is None else shard.last_snapshot
        by_name[shard.name].append((shard.first_snapshot, last, table))
    for name, ranges in by_name.items():
        ranges.sort(key=lambda entry: entry[:2])
        _, latest_end, latest_table = ranges[0]
        for first, last, table in ranges[1:]:
            if first <= latest_end:
                rule = (
                    "shards of the same name only with snapshot ranges that do not "
                    f"overlap; {latest_table.table_path} overlaps"
                )
                table.reject("name", format_value(name), rule)
            if last > latest_end:
                latest_end, latest_table = last, table


def render_document(document: ServiceDocument) -> str:
    """Render a valid document as TOML source that parses to the same document."""
    limits = document.upstreams
    domains_out = ", ".join(f'"{name}"' for name in document.failure_domains_out)
    lines = [
        f"schema = {SCHEMA_VERSION}",
        f"version = {document.version}",
        f'application = "{document.application}"',
        f'service = "{document.service}"',
        f'team = "{document.team}"',
        f'preference = "{document.preference}"',
        f"repeatable = {str(document.repeatable).lower()}",
        f"deadline_ms = {document.deadline_ms}",
        f"answer_within_ms = {document.answer_within_ms}",
        f"failure_domains_out = [{domains_out}]",
        "\n[upstreams]",
        f"slots = {limits.slots}",
        f"connections = {limits.connections}",
        f"cold_limit = {limits.cold_limit}",
        f"connect_cost_ms = {limits.connect_cost_ms}",
        "\n[hedging]",
        f"budget_percent = {document.hedging.budget_percent}",
        f"floor_ms = {document.hedging.floor_ms}",
        "\n[retries]",
        f"budget_percent = {document.retries.budget_percent}",
    ]
    if not document.shards:
        lines.insert(0, "shards = []")
    for shard in document.shards:
        lines += _render_shard(shard)
    return "\n".join(lines) + "\n"


def _render_shard(shard: Shard) -> list[str]:
    lines = ["\n[[shards]]", f'name = "{shard.name}"']
    if shard.first_snapshot:
        lines.append(f"first_snapshot = {shard.first_snapshot}")
    if shard.last_snapshot is not None:
        lines.append(f"last_snapshot = {shard.last_snapshot}")
    if shard.group is not None:
        lines.append(f'group = "{shard.group}"')
    replicas = [
        f'  {{ address = "{replica.address}", '
        f'failure_domain = "{replica.failure_domain}" }},'
        for replica in shard.replicas
    ]
    return [*lines, "replicas = [", *replicas, "]"]
