"""Machines are restarted in turn while clients use connections that they have kept.

Breaks LOST if a request is passed on to a replica and its connection ends unanswered.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from kit import (  # noqa: E402
    Deployment,
    KeptConnection,
    Machine,
    Replica,
    make_configuration,
    run_case,
)

ZONES = ("agadir-a", "taroudant-b", "tiznit-c")
MACHINES_PER_ZONE = 3
SERVICE = "foundry"
PATH = "/booking/"
DEADLINE_MS = 1000
WORK_S = 0.005
# The machines get SIGTERM one after the other.
STOP_COUNT = 100
STOP_INTERVAL_S = 1.0
RESTART_DELAY_S = 0.3
# When the kept connections are used, in seconds after the SIGTERM.
USED_FROM_S, USED_UNTIL_S = 3.848, 3.88
CONNECTIONS_PER_STOP = 2
SEED = 6


async def play(deployment: Deployment) -> list[str]:
    """Stop and start the machines in turn, and look for requests that were cut."""
    source = random.Random(SEED)
    for zone in ZONES:
        deployment.machines += [
            Machine(f"edge-{zone}-{number + 1}", zone)
            for number in range(MACHINES_PER_ZONE)
        ]
        deployment.replicas += [
            Replica(f"i-{zone}-{number}", SERVICE, zone, WORK_S) for number in (1, 2)
        ]
    route_type = "non_idempotent"
    await deployment.start(make_configuration(SERVICE, PATH, route_type))
    await asyncio.sleep(3)
    lost: list[str] = []
    tasks = []
    for number in range(STOP_COUNT):
        machine = deployment.machines[number % len(deployment.machines)]
        stop = stop_and_start(deployment, machine, number, source, lost)
        tasks.append(asyncio.create_task(stop))
        await asyncio.sleep(STOP_INTERVAL_S)
    await asyncio.gather(*tasks)
    arrived = {each[1] for r in deployment.replicas for each in r.arrivals}
    cut = [request_id for request_id in lost if request_id in arrived]
    deployment.record.note(
        f"{STOP_COUNT} stops, {STOP_COUNT * CONNECTIONS_PER_STOP} late requests, "
        f"{len(lost)} without an answer, {len(cut)} of them run by a replica"
    )
    return [f"{each} was run and its connection ended unanswered" for each in cut]


async def stop_and_start(
    deployment: Deployment,
    machine: Machine,
    number: int,
    source: random.Random,
    lost: list[str],
) -> None:
    """Stop a machine, use kept connections to it meanwhile, and start it again."""
    connections = [KeptConnection(machine) for _ in range(CONNECTIONS_PER_STOP)]
    for index, connection in enumerate(connections):
        await connection.open()
        await connection.send(PATH, f"{number}-{index}-first", DEADLINE_MS)
    stopped_at = time.monotonic()
    if deployment.has_trouble:
        machine.signal(signal.SIGTERM)
    deployment.record.note(f"{number}: SIGTERM to {machine.name}")

    async def use(connection: KeptConnection, index: int) -> None:
        delay_s = source.uniform(USED_FROM_S, USED_UNTIL_S)
        await asyncio.sleep(stopped_at + delay_s - time.monotonic())
        request_id = f"{number}-{index}"
        sent_at = time.monotonic()
        response = await connection.send(PATH, request_id, DEADLINE_MS)
        answer = "no answer" if response is None else f"{response.status}"
        deployment.record.note(
            f"{request_id}: sent {sent_at - stopped_at:.3f} s after SIGTERM, {answer} "
            f"after {(time.monotonic() - sent_at) * 1000:.1f} ms"
        )
        if response is None:
            lost.append(request_id)
        connection.close()

    await asyncio.gather(*(use(c, i) for i, c in enumerate(connections)))
    if deployment.has_trouble:
        await machine.wait_for_end()
        await asyncio.sleep(RESTART_DELAY_S)
        deployment.start_machine(machine)


if __name__ == "__main__":
    run_case(play, FOLDER, 115)
