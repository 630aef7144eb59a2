"""Command line of the load generator."""

import argparse
import asyncio
from pathlib import Path

import aiohttp
import msgspec

from celeryferry_standins.load.generator import LoadGenerator, LoadPlan
from celeryferry_standins.load.report import LoadReport, count_executions, make_report
from celeryferry_standins.upstream.behaviour import Counters


async def read_executions(control_addresses: list[str]) -> int | None:
    """Read the executions of all stand-in upstreams.

    :param control_addresses: control addresses of their processes.
    :returns: number of executions, None without addresses.
    """
    if not control_addresses:
        return None
    total = 0
    async with aiohttp.ClientSession() as session:
        for address in control_addresses:
            async with session.get(f"http://{address}/counters") as response:
                body = await response.read()
            counters = msgspec.json.decode(body, type=dict[str, Counters])
            total += count_executions(counters)
    return total


async def run(plan: LoadPlan, control_addresses: list[str]) -> LoadReport:
    """Run a load plan and measure the extra work.

    :param plan: what to send.
    :param control_addresses: control addresses of upstream processes.
    :returns: the report.
    """
    before = await read_executions(control_addresses)
    records = await LoadGenerator(plan).run()
    after = await read_executions(control_addresses)
    if before is None or after is None:
        return make_report(records)
    return make_report(records, after - before)


def main() -> None:
    """Parse the command line, run and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--application", required=True)
    parser.add_argument("--entry-host", action="append", required=True)
    parser.add_argument("--rate-per-s", type=float, default=50.0)
    parser.add_argument("--duration-s", type=float, default=10.0)
    parser.add_argument("--deadline-ms", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--failure-domain", default="")
    parser.add_argument("--upstream-control", action="append", default=[])
    parser.add_argument("--json", type=Path, help="file for the report as JSON")
    parser.add_argument("--picture", type=Path, help="file for the picture as SVG")
    arguments = parser.parse_args()
    plan = LoadPlan(
        application=arguments.application,
        seed_addresses=tuple(arguments.entry_host),
        rate_per_s=arguments.rate_per_s,
        duration_s=arguments.duration_s,
        seed=arguments.seed,
        deadline_ms=arguments.deadline_ms,
        failure_domain=arguments.failure_domain,
    )
    report = asyncio.run(run(plan, arguments.upstream_control))
    print(report.to_text())
    if arguments.json is not None:
        arguments.json.write_bytes(report.to_json())
    if arguments.picture is not None:
        from celeryferry_standins.load.picture import draw_series

        systems = {plan.application: report.series}
        draw_series(systems, arguments.picture, f"Load on {plan.application}")


if __name__ == "__main__":
    main()
