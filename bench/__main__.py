"""Entry point: ``python -m bench [scenario ...]``."""

import asyncio
import os
import sys
import time
from importlib import import_module

from bench.pictures import draw_pictures

# Scenarios of a run without arguments, in order; each is a module with ``measure``.
SCENARIOS = ("tail", "preference", "owners", "cost", "control")
# Scenarios that run only when named.
OPTIONAL_SCENARIOS = ("profiling", "versions", "notices")
SCENARIO_TIMEOUT_S = 420.0


def run_scenario(name: str) -> bool:
    """Run one scenario, print its tables, write its JSON file and draw its pictures.

    :param name: name of the scenario.
    :returns: False if it failed or ran into its time limit.
    """
    load_average = os.getloadavg()[0]
    started = time.monotonic()
    module = import_module(f"bench.{name}")

    async def run_bounded():
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            return await module.measure()

    try:
        result = asyncio.run(run_bounded())
    except Exception as error:
        print(f"== {name} FAILED: {error!r}", flush=True)
        return False
    seconds = time.monotonic() - started
    path = result.write(seconds, load_average)
    print(result.to_text())
    if name == "tail":
        draw_pictures(path)
    print(f"  {seconds:.0f} s, load average before {load_average:.1f}\n", flush=True)
    return True


def main(names: list[str]) -> int:
    """Run scenarios.

    :param names: names of scenarios, empty for all.
    :returns: exit code, 0 if every scenario ran to its end.
    """
    known = (*SCENARIOS, *OPTIONAL_SCENARIOS)
    unknown = [name for name in names if name not in known]
    if unknown:
        print(f"unknown scenario {unknown[0]!r}; use some of: {', '.join(known)}")
        return 2
    outcomes = [run_scenario(name) for name in names or SCENARIOS]
    return 0 if all(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
