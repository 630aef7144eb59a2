"""Search for two senders to one cold upstream, with random faults of a fleet.

Run the module with a number of seeds for a longer search than that of the suite::

    python -m tests.core.test_cold_sender_search 50
"""

import random
import sys
from datetime import timedelta

from celeryferry_standins.fleet_simulation import SimulatedFleet, SimulatedHost
from tests.core.test_cold_senders import SECOND, FleetTestCase

SUITE_SEEDS = range(4)
DOMAINS = "abcde"
MAX_HOSTS = 8
# After a longer cut, hosts forget each other (HOST_MEMORY), and each part may have its
# own sender. The last fault before the end of a cut takes up to 20 s.
MAX_CUT_TIME = timedelta(seconds=30)
# Parts into which hosts are cut at random, across the domains.
PART_COUNT = 3


class RandomFaults(FleetTestCase):
    """Applies random faults, which overlap, to a fleet of random size.

    :ivar cut_at: simulated time since which some hosts are cut off.
    """

    def play(self, seed: int) -> int:
        """Play the faults of a seed; returns the most senders of an upstream."""
        self.random = random.Random(seed)
        count = self.random.randint(2, len(DOMAINS))
        domains = {name: self.random.randint(1, MAX_HOSTS) for name in DOMAINS[:count]}
        self.start(SimulatedFleet(domains, seed=seed))
        self.heal()
        self.run_for(15 * SECOND)
        faults = (
            self.cut_domains,
            self.cut_parts,
            self.heal,
            self.pause,
            self.kill,
            self.power_off,
            self.kill_all,
            self.restart_as_planned,
        )
        for _ in range(self.random.randint(4, 10)):
            if self.cut_at + MAX_CUT_TIME <= self.fleet.now:
                self.heal()
            self.random.choice(faults)()
            self.run_for(self.random.uniform(1, 12) * SECOND)
        return self.most

    def draw_hosts(self) -> list[SimulatedHost]:
        """Return some of the running hosts."""
        running = self.fleet.list_running()
        return self.random.sample(running, self.random.randint(1, len(running)))

    def cut_domains(self) -> None:
        """Cut all failure domains from each other."""
        self.cut_at = min(self.cut_at, self.fleet.now)
        self.fleet.is_cut = lambda one, other: (
            one.info.failure_domain != other.info.failure_domain
        )

    def cut_parts(self) -> None:
        """Cut the fleet into parts that are no domains."""
        self.cut_at = min(self.cut_at, self.fleet.now)
        parts = {name: self.random.randrange(PART_COUNT) for name in self.fleet.hosts}
        self.fleet.is_cut = lambda one, other: (
            parts[one.info.host_id] != parts[other.info.host_id]
        )

    def heal(self) -> None:
        """End all cuts."""
        self.cut_at = timedelta(days=1)
        self.fleet.is_cut = lambda one, other: False

    def pause(self) -> None:
        """Pause some hosts for up to ten seconds."""
        for host in self.draw_hosts():
            host.pause(self.random.uniform(0.5, 10) * SECOND)

    def kill(self) -> None:
        """Kill some hosts and start them again."""
        self.restart(self.draw_hosts(), SimulatedHost.kill)

    def power_off(self) -> None:
        """Let some hosts lose power and start again."""
        self.restart(self.draw_hosts(), SimulatedHost.power_off)

    def kill_all(self) -> None:
        """Kill all hosts and start them again."""
        self.restart(self.fleet.list_running(), SimulatedHost.kill)

    def restart(self, hosts: list[SimulatedHost], end) -> None:
        """End hosts and start them after some time."""
        for host in hosts:
            end(host)
        self.run_for(self.random.uniform(0.2, 3) * SECOND)
        for host in hosts:
            host.start()

    def restart_as_planned(self) -> None:
        """Stop one host as planned and start it again."""
        host = self.random.choice(self.fleet.list_running())
        host.leave()
        self.run_for(timedelta(seconds=4))
        self.restart([host], SimulatedHost.kill)


class TestRandomFaults(RandomFaults):
    """Guards against orders of faults that nobody has thought of."""

    def test_there_is_never_a_second_sender(self):
        """Guards against overloading cold upstreams after any of these faults."""
        for seed in SUITE_SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(self.play(seed), 1)


if __name__ == "__main__":
    SEEDS = range(int(sys.argv[1]))
    FOUND = {seed: most for seed in SEEDS if (most := RandomFaults().play(seed)) > 1}
    print(f"{len(SEEDS)} seeds, most senders where there were several: {FOUND}")
