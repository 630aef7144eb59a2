"""A server that returns cold while the store is down gets the full load."""

import asyncio
from pathlib import Path

from standins.client import Answer, Connection
from standins.deployment import HOST, CouldNotRunError, Deployment, run
from standins.server import Server

ZONES = ("agadir-a", "taroudant-b", "tiznit-c")
SERVICE = "foundry-orders"
DEADLINE_MS = 4002
WORK_S = 0.02
WARMUP_PER_S = 10.0
WARMUP_S = 3.0
# warmup_per_s x warmup_excess + warmup_tolerance
LIMIT_PER_S = WARMUP_PER_S * 1.5 + 5
# A cold server crashes at a rate well above what it tolerates.
CRASH_PER_S = 2 * LIMIT_PER_S
REQUESTS_PER_S = 150
STORE_DOWN_S = 4.5
SERVER_DOWN_S = 1.0
LENGTH_S = 10.0
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "orders",
            "host": HOST,
            "path_prefix": "/orders/",
            "type": "non_idempotent",
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


async def ask(connections: list[Connection], request_id: str) -> Answer:
    """Place one order on a free connection."""
    connection = connections.pop()
    answer = await connection.ask(
        request_id, HOST, "/orders/1", DEADLINE_MS, "POST", b"one plaque"
    )
    if answer.message is not None:
        connections.append(connection)
    return answer


async def send_all(deployment: Deployment) -> dict[str, Answer]:
    """Send orders at a constant rate to all daemons in turn."""
    record = deployment.record
    pools = [
        [Connection(record, daemon.addresses["http"]) for _ in range(300)]
        for daemon in deployment.daemons
    ]
    tasks = {}
    for number in range(int(LENGTH_S * REQUESTS_PER_S)):
        request_id = f"order-{number}"
        pool = pools[number % len(pools)]
        tasks[request_id] = asyncio.create_task(ask(pool, request_id))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks.values())
    return {request_id: task.result() for request_id, task in tasks.items()}


async def crash_if_overloaded(server: Server, deployment: Deployment) -> bool:
    """Crash the server if it gets far more requests while cold than it bears.

    :returns: whether it has crashed.
    """
    record = deployment.record
    while record.now_s() < server.cold_until_s:
        latest = [at for at in server.arrivals if at > record.now_s() - 1]
        if (
            len([at for at in latest if at > server.cold_until_s - WARMUP_S])
            > CRASH_PER_S
        ):
            server.crash()
            return True
        await asyncio.sleep(0.01)
    return False


async def disrupt(server: Server, deployment: Deployment) -> tuple[float, float]:
    """Take the store down, and let a server crash and return cold meanwhile.

    :returns: the time span in which the server was cold.
    """
    record, store = deployment.record, deployment.store
    await asyncio.sleep(2)
    record.add("the store answers nothing")
    store.is_silent = True
    down_at_s = record.now_s()
    await asyncio.sleep(0.2)
    server.crash()
    await asyncio.sleep(SERVER_DOWN_S)
    start_s = record.now_s()
    server.cold_until_s = start_s + WARMUP_S
    server.born_ms += int(start_s * 1000)
    await server.start()
    record.add(f"server {server.instance_id} has started again and is cold")
    has_crashed = await crash_if_overloaded(server, deployment)
    end_s = record.now_s()
    await asyncio.sleep(max(0.0, down_at_s + STORE_DOWN_S - end_s))
    store.is_silent = False
    record.add("the store answers again")
    if not has_crashed:
        await store.put(f"servers/{server.instance_id}", server.describe())
    return start_s, end_s


async def case(deployment: Deployment, is_disrupted: bool) -> bool:
    """Send orders to a deployment with one daemon and one server in each zone."""
    record = deployment.record
    for zone in ZONES:
        server = Server(record, SERVICE, f"i-{zone}", zone, 6, lambda request: WORK_S)
        await deployment.publish_server(server)
    await deployment.store.put("op/config", CONFIGURATION)
    for number, zone in enumerate(ZONES):
        deployment.add_daemon(f"edge-{number}", zone)
    await deployment.start_daemons()
    cold_server = deployment.servers[0]
    sending = asyncio.create_task(send_all(deployment))
    cold_s = (0.0, 0.0)
    if is_disrupted:
        cold_s = await disrupt(cold_server, deployment)
    answers = await sending
    if not is_disrupted and any(answer.status != 200 for answer in answers.values()):
        raise CouldNotRunError("not all requests were answered without a disruption")
    arrivals = [at for at in cold_server.arrivals if cold_s[0] <= at < cold_s[1]]
    most = find_most_in_a_second(arrivals)
    record.add(f"most requests to the cold server in a second: {most}")
    record.add(f"allowed: {LIMIT_PER_S:.0f}")
    ran = {request_id for one in deployment.servers for request_id, _ in one.runs}
    lost = [
        one for one, answer in answers.items() if one in ran and answer.status != 200
    ]
    record.add(f"orders that ran and were not answered with success: {len(lost)}")
    return most <= LIMIT_PER_S


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
