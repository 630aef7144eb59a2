"""Extrapolates the load of one host at the two-year size from the last results.

Run ``python -m bench.capacity`` after the scenarios ``cost`` and ``control``.
"""

import sys
from typing import Any

import msgspec

from bench.results import RESULTS_DIRECTORY, Table, fit_slope

HOSTS = 2_200
REPLICAS = 16_000
QUERIES_PER_S = 430_000
SHARDS = 620
FAILURE_DOMAINS = 9
CHANGES_PER_DAY = 3_900
RESTARTS_PER_DAY = 2_400
FAILURES_PER_DAY = 96
# A host that restarts or fails leaves the list and comes back.
LIST_CHANGES_PER_EVENT = 2
# Upper bound that tests.daemon.test_membership asserts for an unchanged list.
UNCHANGED_READ_BYTES = 600
READS_PER_S = 1.0
SECONDS_PER_DAY = 86_400
HOSTS_PER_CELL = 16
SHARDS_PER_GROUP = 5
PROBES_PER_S = 2.0
REFRESHES_PER_S = 2.0
# Connections to hosts of other cells stay open this long after a probe.
KEEPALIVE_S = 30.0
# Host table and published view, from a trial with tracemalloc and 2,200 hosts.
TABLE_KIB_PER_HOST = 0.5
WATCHES_PER_S = 2.0
WATCHERS_PER_DOMAIN = 2
# Replicas of one shard in the documents of the memory measurement.
REPLICAS_PER_DOCUMENT = 3
# Subqueries prefer replicas in the failure domain of the front, so answers report the
# state of one replica of each shard.
REPLICAS_IN_ANSWERS = 1
# Upstreams of the fleets of the control measurement.
MEASURED_UPSTREAMS = 30


def read_table(scenario: str, title: str) -> list[dict[str, Any]]:
    """Read a table from the last result of a scenario.

    :param scenario: name of the scenario.
    :param title: title of the table.
    :returns: rows by column name.
    :raises FileNotFoundError: the scenario has not been run.
    """
    content = (RESULTS_DIRECTORY / f"{scenario}.json").read_bytes()
    for table in msgspec.json.decode(content)["tables"]:
        if table["title"] == title:
            return [
                dict(zip(table["columns"], row, strict=True)) for row in table["rows"]
            ]
    raise ValueError(f"{scenario} has no table {title!r}; run python -m bench")


def measure_slopes() -> dict[str, float]:
    """Return the slopes of the last measurements.

    :returns: slopes by name, with units.
    """
    largest_row = next(
        row for row in read_table("cost", "processor time") if row["shards"] == SHARDS
    )
    traffic = read_table("control", "control traffic and processor time of a daemon")
    idle = [row for row in traffic if row["state"] == "idle"]
    busy = [row for row in traffic if row["state"] == "queried lately"]
    memory = {r["for each"]: r["KiB"] for r in read_table("cost", "memory of a daemon")}
    sizes = read_table("control", "size, configuration")
    slopes = read_table("control", "slope for each further daemon")
    by_figure = {row["figure"]: row["slope"] for row in slopes}
    polls = read_table("cost", "daemons without queries")
    poll_percent = fit_slope(
        [(row["upstreams each"], row["cpu % of a core"]) for row in polls]
    )
    # The fleets also differ in upstreams per daemon; the cost of polls is subtracted.
    cpu = [
        (
            row["probes/s"],
            row["cpu % of a core"] - poll_percent * MEASURED_UPSTREAMS / row["daemons"],
        )
        for row in idle
    ]
    # Without queries, each reply lists the ten upstreams that one host owns in the
    # smallest fleet.
    return {
        "front us/query of 620 shards": largest_row["front us/query"],
        "owner us/subquery": largest_row["owner us/subquery"],
        "cpu % for each probe/s": fit_slope(cpu),
        "cpu % for each upstream": poll_percent,
        "bytes for each probe": idle[-1]["body B/probe"] + idle[-1]["header B/call"],
        "bytes for each observation": busy[0]["body B/observation"] / 10,
        "base MiB": sizes[0]["RSS MiB"],
        "KiB for each connected host": by_figure["memory of a daemon, KiB"],
        "KiB for each document": next(
            kib for name, kib in memory.items() if name.startswith("document")
        ),
        "KiB for each upstream": next(
            kib for name, kib in memory.items() if name.startswith("upstream")
        ),
        "host list bytes for each host": by_figure["host list, bytes"],
    }


def compute_host_load(slopes: dict[str, float]) -> Table:
    """Compute the load of one host.

    :param slopes: slopes of :func:`measure_slopes`.
    :returns: one row for each figure.
    """
    table = Table("one node at the two-year size", ("figure", "value", "allowed"))
    queries = QUERIES_PER_S / HOSTS
    subqueries = queries * SHARDS
    groups = SHARDS / SHARDS_PER_GROUP
    probes = PROBES_PER_S * HOSTS_PER_CELL
    probe_bytes = 2 * probes * slopes["bytes for each probe"]
    events = RESTARTS_PER_DAY + FAILURES_PER_DAY
    list_changes = LIST_CHANGES_PER_EVENT * events / SECONDS_PER_DAY
    host_list_bytes_per_s = READS_PER_S * UNCHANGED_READ_BYTES
    host_list_bytes_per_s += (
        list_changes * HOSTS * slopes["host list bytes for each host"]
    )
    replicas_not_in_answers = REPLICAS * (
        1 - REPLICAS_IN_ANSWERS / REPLICAS_PER_DOCUMENT
    )
    observation_bytes_per_s = (
        replicas_not_in_answers * REFRESHES_PER_S * slopes["bytes for each observation"]
    )
    documents_kib = REPLICAS / REPLICAS_PER_DOCUMENT * slopes["KiB for each document"]
    # In the measured fleets every listed host is also a connected one.
    connected = HOSTS_PER_CELL + PROBES_PER_S * KEEPALIVE_S
    hosts_kib = HOSTS * TABLE_KIB_PER_HOST
    hosts_kib += connected * slopes["KiB for each connected host"]
    owned_upstreams_kib = REPLICAS / HOSTS * slopes["KiB for each upstream"]
    watchers = WATCHERS_PER_DOMAIN * FAILURE_DOMAINS
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    table.add("front: queries/s", queries, None)
    table.add("front: batches/s", queries * groups, None)
    table.add("front: cores", queries * slopes["front us/query of 620 shards"] / 1e6, 1)
    table.add("owner: subqueries/s", subqueries, None)
    table.add("owner: cores", subqueries * slopes["owner us/subquery"] / 1e6, 1)
    table.add("owner: upstreams", REPLICAS / HOSTS, None)
    table.add("leases: probes/s sent", probes, None)
    lease_percent = probes * slopes["cpu % for each probe/s"]
    poll_percent = REPLICAS / HOSTS * slopes["cpu % for each upstream"]
    table.add("leases: cpu % of a core", lease_percent, 4.3)
    table.add("owner: health polls, cpu % of a core", poll_percent, 4.3)
    table.add("leases: B/s, both directions", probe_bytes, 6_000)
    table.add("membership: host list B/s", host_list_bytes_per_s, 6_000)
    table.add("membership: MiB", hosts_kib / 1024, 128)
    table.add("front: observations B/s, received", observation_bytes_per_s, 6_000)
    table.add("configuration: MiB of documents", documents_kib / 1024, 128)
    table.add("owner: MiB of upstreams", owned_upstreams_kib / 1024, 128)
    total_mib = (
        slopes["base MiB"] + (hosts_kib + documents_kib + owned_upstreams_kib) / 1024
    )
    table.add("all: MiB", total_mib, 128)
    table.add("configuration: reads/s, fleet", watchers * WATCHES_PER_S, 2_000)
    table.add("configuration: changes/s", changes, None)
    table.add("membership: restarts/min", 60 * RESTARTS_PER_DAY / SECONDS_PER_DAY, None)
    return table


def main() -> int:
    """Print the slopes and the load of one host.

    :returns: exit code.
    """
    slopes = measure_slopes()
    inputs = Table("slopes of the last runs of cost and control", ("slope", "value"))
    for name, value in slopes.items():
        inputs.add(name, value)
    print(inputs.to_text(), compute_host_load(slopes).to_text(), sep="\n\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
