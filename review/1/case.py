"""A planned stop cuts requests that the process has read and passed on."""

import asyncio
import signal
from pathlib import Path

from standins.client import Answer, Connection
from standins.deployment import HOST, CouldNotRunError, Deployment, run
from standins.server import Server

ZONE = "agadir-a"
SERVICE = "foundry-orders"
DEADLINE_MS = 4002
# About three times the mean work of a plaque-read, and half of the longest.
WORK_S = 0.5
# Kept connections, each used once after the signal. The last is used 5.25 s after it.
CLIENT_COUNT = 22
SEND_INTERVAL_S = 0.25
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
            "warmup_s": 3.0,
            "warmup_per_s": 0.0,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


async def ask(connection: Connection, request_id: str) -> Answer:
    """Place one order."""
    return await connection.ask(
        request_id, HOST, "/orders/1", DEADLINE_MS, "POST", b"one plaque"
    )


async def case(deployment: Deployment, is_disrupted: bool) -> bool:
    """Stop one of two machines while clients use the connections that they kept."""
    record = deployment.record
    for number in range(3):
        server = Server(record, SERVICE, f"i-{number}", ZONE, 6, lambda _: WORK_S)
        await deployment.publish_server(server)
    await deployment.store.put("op/config", CONFIGURATION)
    stopped = deployment.add_daemon("edge-1", ZONE)
    deployment.add_daemon("edge-2", ZONE)
    await deployment.start_daemons()
    address = stopped.addresses["http"]
    connections = [Connection(record, address) for _ in range(CLIENT_COUNT)]
    answers = await asyncio.gather(
        *(ask(one, f"before-{n}") for n, one in enumerate(connections))
    )
    if any(answer.status != 200 for answer in answers):
        raise CouldNotRunError("not all requests before the stop were answered")
    await asyncio.sleep(0.5)
    if is_disrupted:
        record.add("SIGTERM to edge-1")
        stopped.send_signal(signal.SIGTERM)
    tasks = {}
    for number, connection in enumerate(connections):
        request_id = f"after-{number}"
        tasks[request_id] = asyncio.create_task(ask(connection, request_id))
        await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*tasks.values())
    ran = {request_id for server in deployment.servers for request_id, _ in server.runs}
    lost = [
        request_id
        for request_id, task in tasks.items()
        if request_id in ran and task.result().message is None
    ]
    for request_id in lost:
        record.add(
            f"LOST: {request_id} was passed on, its connection closed unanswered"
        )
    return not lost


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
