"""A restarted daemon misses for good that a server is draining."""

import asyncio
import signal
from pathlib import Path

from standins.client import Connection
from standins.deployment import HOST, Deployment, run
from standins.server import Server

ZONE = "agadir-a"
SERVICE = "foundry-orders"
OTHER_SERVICE = "commune-registry"
# More entries than fit on a page of the store.
OTHER_COUNT = 600
DEADLINE_MS = 4002
DRAIN_S = 3.0
# A machine is in touch this long after its start.
CONTACT_S = 4.0
# The server serves this much longer than drain_ms.
SERVED_LONGER_S = 6.0
# The store's stale reads are at most this old.
STALE_PAGE_AGE_S = 2.0
REQUESTS_PER_S = 20
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


async def publish_others(deployment: Deployment) -> None:
    """Write the entries of a service that no request goes to."""
    for number in range(OTHER_COUNT):
        other = Server(
            deployment.record, OTHER_SERVICE, f"a-{number:03}", ZONE, 6, lambda _: 0.1
        )
        other.address = f"127.0.0.1:{20000 + number}"
        await deployment.store.put(f"servers/{other.instance_id}", other.describe())


async def send_orders(deployment: Deployment, address: str, length_s: float) -> None:
    """Send orders to one daemon at a constant rate."""
    tasks = set()
    for number in range(int(length_s * REQUESTS_PER_S)):
        connection = Connection(deployment.record, address)
        coroutine = connection.ask(
            f"order-{number}", HOST, "/orders/1", DEADLINE_MS, "POST", b"one plaque"
        )
        task = asyncio.create_task(coroutine)
        task.add_done_callback(lambda _, connection=connection: connection.close())
        tasks.add(task)
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def case(deployment: Deployment, is_disrupted: bool) -> bool:
    """Restart a daemon just after a server has reported that it is draining."""
    record, store = deployment.record, deployment.store
    store.stale_page_age_s = STALE_PAGE_AGE_S
    await publish_others(deployment)
    for number in range(3):
        server = Server(record, SERVICE, f"z-{number}", ZONE, 6, lambda _: 0.1)
        await deployment.publish_server(server)
    await store.put("op/config", CONFIGURATION)
    await asyncio.sleep(STALE_PAGE_AGE_S)
    restarted = deployment.add_daemon("edge-1", ZONE)
    deployment.add_daemon("edge-2", ZONE)
    await deployment.start_daemons()
    leaving = deployment.servers[0]
    if is_disrupted:
        record.add("SIGTERM to edge-1")
        restarted.send_signal(signal.SIGTERM)
        await asyncio.to_thread(restarted.process.wait)
    leaving.lifecycle = "draining"
    await store.put(f"servers/{leaving.instance_id}", leaving.describe())
    acknowledged_s = record.now_s()
    record.add(f"the store has acknowledged that {leaving.instance_id} is draining")
    if is_disrupted:
        await asyncio.sleep(0.3)
        restarted.start()
        record.add("edge-1 starts again")
    started_s = record.now_s()
    await deployment.wait_until_ready(restarted)
    left_s = acknowledged_s + DRAIN_S + SERVED_LONGER_S - record.now_s()
    await send_orders(deployment, restarted.addresses["http"], left_s)
    judged_from_s = max(acknowledged_s + DRAIN_S, started_s + CONTACT_S)
    late = [run for run in leaving.runs if run[1] > judged_from_s]
    for request_id, at_s in late:
        after_s = at_s - acknowledged_s
        record.add(f"LATE: {request_id} {after_s:.2f} s after the acknowledgement")
    return not late


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
