"""The store comes back from a copy; then the operator publishes a version."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import fleet  # noqa: E402

CONFIG_APPLY_S = fleet.PARAMETERS["config_apply_ms"] / 1000
CONTACT_S = fleet.PARAMETERS["contact_ms"] / 1000
DRAIN_S = fleet.PARAMETERS["drain_ms"] / 1000
HOST_COUNTS = {"agadir-a": 2, "taroudant-b": 2, "tiznit-c": 2}
HEARTBEAT_S = 1.2
# Servers that start after the copy was made. While they are cold, each heartbeat
# changes their entries.
STARTING_COUNT = 12
COLD_S = 3.0
COPY_AGE_S = 4.8
AWAY_S = 1.0
REWRITTEN_S = 1.0
PROBED_S = 10.0
PROBE_INTERVAL_S = 0.25


async def probe(host, number, handled):
    """Send one request on the moved route."""
    sent_at = time.monotonic()
    headers = {
        "Host": "site.example",
        "X-Request-Id": f"{host.name}-{number}",
        "X-Deadline-Ms": "800",
    }
    status, _, body = await fleet.fetch(host.addresses["http"], "/moved/x", headers)
    handled.append((sent_at, host.name, status, body.decode()))


async def start_servers(world, servers):
    """Start the servers of another index, and write their entries until the end."""
    began = time.monotonic()
    for server in servers:
        await server.start()
        server.begin_cold(COLD_S)
    for number in range(4):
        await fleet.sleep_until(began + number * HEARTBEAT_S)
        for server in servers:
            world.register(server, seq=number)
    await fleet.sleep_until(began + COPY_AGE_S)


async def case(record):
    """Return whether a version that was published after the return is in force."""
    servers = [
        fleet.Server(f"i-{service}-{zone}", service, zone)
        for service in ("old", "new")
        for zone in HOST_COUNTS
    ]
    starting = [
        fleet.Server(f"i-next-{number}", "next", "agadir-a")
        for number in range(STARTING_COUNT)
    ]
    world = fleet.Fleet(record, HOST_COUNTS, servers)
    services = {"old": {}, "new": {}, "next": {}}
    store = world.store
    try:
        await world.start(
            fleet.make_configuration(3, {"/moved/": {"backend": "old"}}, services)
        )
        await asyncio.sleep(6)
        copy = store.copy()
        record(f"copy of the store made at revision {store.revision}")
        await start_servers(world, starting)
        record(f"{STARTING_COUNT} servers have started; revision {store.revision}")
        if fleet.is_trouble():
            store.is_silent = True
            record("the store is away")
            await asyncio.sleep(AWAY_S)
            store.restore(copy)
            record(f"it is back: Store-Era {store.era}, revision {store.revision}")
        for server in starting:
            await asyncio.sleep(REWRITTEN_S / len(starting))
            world.register(server, seq=9)
        record(f"the servers have written again; revision {store.revision}")
        await asyncio.sleep(CONTACT_S + 1)
        gone = servers[0]
        store.delete(f"servers/{gone.name}")
        store.put(
            "op/config",
            fleet.make_configuration(7, {"/moved/": {"backend": "new"}}, services),
        )
        acked_at = time.monotonic()
        calls = store.call_count
        record(
            f"version 7 acknowledged at revision {store.revision}: /moved/ goes to"
            f" 'new' instead of 'old'; the entry of {gone.name} was removed before it"
        )
        handled = []
        number = 0
        while time.monotonic() < acked_at + PROBED_S:
            number += 1
            await asyncio.gather(
                *(probe(host, number, handled) for host in world.hosts)
            )
            await asyncio.sleep(PROBE_INTERVAL_S)
        late = set()
        late_count = 0
        for sent_at, name, status, body in handled:
            after_s = sent_at - acked_at
            record(f"{name}: sent {after_s:.3f} s after the ack: {status} {body}")
            if after_s > CONFIG_APPLY_S and body.startswith("i-old"):
                late.add(name)
                late_count += 1
        to_gone = sum(at > acked_at + DRAIN_S for at, _, _ in gone.arrivals)
        record.say(
            f"{store.call_count - calls} calls of the store in {PROBED_S} s;"
            f" {to_gone} requests reached {gone.name} later than {DRAIN_S} s after its"
            " entry was removed"
        )
        record.say(
            f"{late_count} requests sent later than {CONFIG_APPLY_S} s after the ack"
            f" were run by the old service, on {len(late)} machines of"
            f" {len(world.hosts)}"
        )
        return not late
    finally:
        world.stop()
        for server in starting:
            if server.address:
                server.stop()


if __name__ == "__main__":
    sys.exit(fleet.run_case(case, HERE))
