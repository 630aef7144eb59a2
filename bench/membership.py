"""Measures the links between hosts on simulated fleets of several sizes.

Run by hand: ``python -m bench.membership [HOSTS ...]``. Times are simulated; processor
time is that of this machine.
"""

import sys
import time
from datetime import timedelta

from celeryferry_core.forwarding.hosts import LinkRole
from celeryferry_standins.fleet_simulation import SimulatedFleet

# Hosts by number of failure domains, as the deployments have them.
DEFAULT_SIZES = (30, 195)
HOSTS_PER_DOMAIN_LIMIT = 245
SEED = 7
LOSS_COUNT = 10
CALM_TIME = timedelta(seconds=20)
GIVE_UP_TIME = timedelta(seconds=60)
# Pauses that are shorter than any silence limit must drop no host.
PAUSE_TIME = timedelta(milliseconds=1200)
PAUSE_COUNT = 20


def make_fleet(host_count: int) -> SimulatedFleet:
    """Return a fleet that has not started, in three domains or more."""
    domain_count = max(3, -(-host_count // HOSTS_PER_DOMAIN_LIMIT))
    domain_count = 5 if 100 < host_count <= 300 else domain_count
    domains = {
        f"d{number}": host_count // domain_count + (number < host_count % domain_count)
        for number in range(domain_count)
    }
    return SimulatedFleet(domains, SEED)


def measure_losses(fleet: SimulatedFleet, ends_by: str) -> list[float]:
    """Return the seconds after which single hosts have left all tables.

    :param ends_by: name of the method that ends a host.
    """
    times = []
    for name in fleet.random.sample(sorted(fleet.hosts), LOSS_COUNT):
        host = fleet.hosts[name]
        if not host.is_running:
            continue
        getattr(host, ends_by)()
        ids = {each.info.host_id for each in fleet.list_running()}
        took = fleet.run_until(lambda ids=ids: fleet.do_all_know(ids), GIVE_UP_TIME)
        times.append(took.total_seconds())
    return times


def measure(host_count: int) -> None:
    """Print the figures of one size."""
    began = time.process_time()
    fleet = make_fleet(host_count)
    fleet.start_all()
    fleet.run_for(timedelta(milliseconds=300))
    ids = set(fleet.hosts)
    took = fleet.run_until(lambda: fleet.do_all_know(ids), GIVE_UP_TIME)
    print(f"{host_count} hosts, seed {SEED}")
    print(f"  all know all: {took.total_seconds() + 0.3:.2f} s after the first start")
    start_bytes = fleet.remote_bytes
    print(f"  bytes between domains until then: {start_bytes}")
    fleet.run_for(CALM_TIME)
    fleet.remote_bytes = 0
    calm_began = time.process_time()
    fleet.run_for(CALM_TIME)
    calm_ms = (time.process_time() - calm_began) * 1000
    seconds = CALM_TIME.total_seconds()
    print(f"  calm, bytes a second between domains: {fleet.remote_bytes / seconds:.0f}")
    per_host = calm_ms / seconds / host_count
    print(f"  calm, decisions and simulation: {per_host:.2f} ms a host and second")
    links = sorted(len(host.links) for host in fleet.list_running())
    print(f"  links of a host: median {links[len(links) // 2]}, most {links[-1]}")
    relays = [host for host in fleet.list_running() if host.member.is_relay]
    between = [len(host.member.list_links(LinkRole.BETWEEN_DOMAINS)) for host in relays]
    print(f"  relays: {len(relays)}, links between domains each: {max(between)}")
    for host in fleet.hosts.values():
        host.losses.clear()
    for host in fleet.random.sample(fleet.list_running(), PAUSE_COUNT):
        host.pause(PAUSE_TIME)
        fleet.run_for(timedelta(seconds=3))
    losses = sum(len(host.losses) for host in fleet.list_running())
    print(f"  {PAUSE_COUNT} pauses of 1.2 s: {losses} false losses")
    for ends_by, label in (("kill", "killed"), ("power_off", "without power")):
        times = measure_losses(fleet, ends_by)
        mean = sum(times) / len(times)
        print(
            f"  {label}: out of all tables after {mean:.2f} s, at most {max(times):.2f}"
        )
    print(f"  processor time of the run: {time.process_time() - began:.0f} s")


if __name__ == "__main__":
    for size in map(int, sys.argv[1:] or DEFAULT_SIZES):
        measure(size)
