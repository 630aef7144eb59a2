"""All replicas of a service go dark while the store is down, and return cold.

Breaks FAILBACK if the machines send to the new processes as to warm ones.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from kit import (  # noqa: E402
    PARAMETERS,
    Client,
    Deployment,
    Machine,
    Replica,
    make_configuration,
    run_case,
)

ZONES = ("agadir-a", "taroudant-b", "tiznit-c")
SERVICE = "foundry"
PATH = "/plaque/"
DEADLINE_MS = 1000
INTERVAL_S = 0.06
CLIENTS_PER_MACHINE = 6
WARMUP_PER_S = 10.0
COLD_S = 3.0
# The store is silent for this time. The replicas go dark in its first second.
STORE_DOWN_S = 4.5
DARK_AFTER_S = 0.2
DARK_S = 1.0
BOUND_PER_S = (
    WARMUP_PER_S * PARAMETERS["warmup_excess"] + PARAMETERS["warmup_tolerance"]
)


async def play(deployment: Deployment) -> list[str]:
    """Silence the store and a replica, which returns as a new, cold process."""
    record = deployment.record
    for zone in ZONES:
        deployment.machines.append(Machine(f"edge-{zone}-1", zone))
        deployment.replicas.append(Replica(f"i-{zone}-1", SERVICE, zone, 0.05))
    configuration = make_configuration(SERVICE, PATH, "non_idempotent", WARMUP_PER_S)
    await deployment.start(configuration)
    # After this time one machine is certain that it may send to a cold replica.
    await asyncio.sleep(12)
    for number in range(CLIENTS_PER_MACHINE * len(ZONES)):
        machine = deployment.machines[number % len(ZONES)]
        client = Client(f"c{number}", machine, f"{PATH}{machine.name}")
        deployment.spawn(client.run(INTERVAL_S, DEADLINE_MS))
    await asyncio.sleep(3)
    if deployment.has_trouble:
        deployment.store.set_silent(True)
        record.note("the store gives no answers")
    down_at = time.monotonic()
    await asyncio.sleep(DARK_AFTER_S)
    for replica in deployment.replicas:
        replica.go_dark()
    record.note("the replicas are dark")
    await asyncio.sleep(DARK_S)
    cold_from = time.monotonic()
    for replica in deployment.replicas:
        replica.return_anew(COLD_S)
    record.note("they are back as new processes, and cold")
    if not deployment.has_trouble:
        for replica in deployment.replicas:
            await deployment.store.put(replica.key, replica.make_entry())
        record.note("their entries say so")
    await asyncio.sleep(COLD_S)
    cold_until = time.monotonic()
    await asyncio.sleep(max(0.0, down_at + STORE_DOWN_S - cold_until))
    deployment.store.set_silent(False)
    return [
        text
        for replica in deployment.replicas
        for text in find_excess(deployment, replica, cold_from, cold_until)
    ]


def find_excess(
    deployment: Deployment, replica: Replica, cold_from: float, cold_until: float
) -> list[str]:
    """Return the fullest second of a cold replica if it is above the bound."""
    times = [at for at, _, _ in replica.arrivals if cold_from <= at <= cold_until]
    counts = [
        sum(start <= at < start + 1 for at in times)
        for start in times
        if start + 1 <= cold_until
    ]
    highest = max(counts, default=0)
    deployment.record.note(
        f"{replica.instance_id}: {len(times)} requests while cold, {highest} in the "
        f"fullest second, bound {BOUND_PER_S:.0f}; {replica.health_count} health checks"
    )
    if highest <= BOUND_PER_S:
        return []
    return [f"{replica.instance_id}: {highest} in a second, bound {BOUND_PER_S:.0f}"]


if __name__ == "__main__":
    run_case(play, FOLDER, 60)
