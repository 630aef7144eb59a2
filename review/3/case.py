"""After a kill of all processes, each of them sends to the same cold servers."""

import asyncio
import signal
from pathlib import Path

from standins.client import Answer, Connection
from standins.deployment import HOST, SEED_COUNT, CouldNotRunError, Deployment, run
from standins.server import Server

ZONES = ("agadir-a", "taroudant-b", "tiznit-c")
DAEMONS_PER_ZONE = 5
SERVICE = "foundry-orders"
DEADLINE_MS = 4002
WORK_S = 0.02
WARMUP_PER_S = 10.0
WARMUP_S = 3.0
# warmup_per_s x warmup_excess + warmup_tolerance
LIMIT_PER_S = WARMUP_PER_S * 1.5 + 5
REQUESTS_PER_S = 190
RESTART_DELAY_S = 0.3
START_SPREAD_S = 0.25
LENGTH_S = 12.0
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "orders",
            "host": HOST,
            "path_prefix": "/orders/",
            "type": "idempotent",
            "timeout_ms": 4001,
            "target_latency_ms": 639,
            "priority": 2,
            "attempts": 2,
            "backend": SERVICE,
        }
    ],
    "backends": [
        {
            "name": SERVICE,
            "health_check": "/healthz",
            "max_conns": 214,
            "warmup_s": WARMUP_S,
            "warmup_per_s": WARMUP_PER_S,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def find_most_in_a_second(times: list[float]) -> int:
    """Return the largest number of times within any second."""
    most, first = 0, 0
    for last, time in enumerate(times):
        while time - times[first] >= 1:
            first += 1
        most = max(most, last - first + 1)
    return most


async def ask(deployment: Deployment, number: int) -> Answer:
    """Send a request, and once more to another daemon if it can't connect."""
    daemons = deployment.daemons
    for attempt in range(2):
        daemon = daemons[(number + attempt) % len(daemons)]
        connection = Connection(deployment.record, daemon.addresses["http"])
        request_id = f"read-{number}-{attempt}"
        answer = await connection.ask(request_id, HOST, "/orders/1", DEADLINE_MS)
        connection.close()
        if answer.status == 200:
            break
    return answer


async def send_all(deployment: Deployment) -> list[Answer]:
    """Send requests at a constant rate to all daemons in turn."""
    tasks = []
    for number in range(int(LENGTH_S * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(ask(deployment, number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


async def disrupt(deployment: Deployment) -> None:
    """Kill all daemons, and let the servers return cold as the daemons start."""
    record = deployment.record
    await asyncio.sleep(2)
    for server in deployment.servers:
        server.crash()
        await deployment.store.delete(f"servers/{server.instance_id}")
    record.add("SIGKILL to all daemons")
    for daemon in deployment.daemons:
        daemon.send_signal(signal.SIGKILL)
        daemon.process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    # All machines start within 0.3 s of each other, in any order: here the seeds last.
    for daemon in deployment.daemons[SEED_COUNT:]:
        daemon.start()
    await asyncio.sleep(START_SPREAD_S)
    for daemon in deployment.daemons[:SEED_COUNT]:
        daemon.start()
    for server in deployment.servers:
        server.cold_until_s = record.now_s() + WARMUP_S
        server.born_ms += int(record.now_s() * 1000)
        await server.start()
        await deployment.store.put(f"servers/{server.instance_id}", server.describe())
        record.add(f"server {server.instance_id} has started again and is cold")


async def case(deployment: Deployment, is_disrupted: bool) -> bool:
    """Send requests to a deployment with 15 daemons and two servers."""
    record = deployment.record
    for zone in ZONES[:2]:
        server = Server(record, SERVICE, f"i-{zone}", zone, 6, lambda request: WORK_S)
        await deployment.publish_server(server)
    await deployment.store.put("op/config", CONFIGURATION)
    for number in range(DAEMONS_PER_ZONE * len(ZONES)):
        deployment.add_daemon(f"edge-{number}", ZONES[number % len(ZONES)])
    await deployment.start_daemons()
    sending = asyncio.create_task(send_all(deployment))
    if is_disrupted:
        await disrupt(deployment)
    answers = await sending
    if not is_disrupted and any(answer.status != 200 for answer in answers):
        raise CouldNotRunError("not all requests were answered without a disruption")
    is_kept = True
    for server in deployment.servers:
        cold_from_s = server.cold_until_s - WARMUP_S
        arrivals = [at for at in server.arrivals if 0 <= at - cold_from_s < WARMUP_S]
        most = find_most_in_a_second(arrivals)
        record.add(f"{server.instance_id}: at most {most} requests in a second")
        record.add(f"allowed while cold: {LIMIT_PER_S:.0f}")
        is_kept &= not is_disrupted or most <= LIMIT_PER_S
    return is_kept


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
