"""A small deployment: store, servers, daemons, and the script around them."""

import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.client import Connection
from standins.daemon import Daemon
from standins.record import Record
from standins.server import Server
from standins.store import Store

# Bounds of the sheet of reperes-crue.
PARAMETERS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_timeout_ms": 5000,
    "sync_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 12000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_burst": 116,
    "warmup_excess": 1.5,
    "warmup_tolerance": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "ttl_max_s": 5,
}
SEED_COUNT = 3
START_CHECKS = 400
START_CHECK_INTERVAL_S = 0.05
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_COULD_NOT_RUN = 2
HOST = "plaques.example"


class CouldNotRunError(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Deployment:
    """The processes and stand-ins of one script."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.store = Store()
        self.servers: list[Server] = []
        self.daemons: list[Daemon] = []
        self._folder = folder

    def add_daemon(self, name: str, zone: str) -> Daemon:
        """Add a daemon; the store must have been started."""
        daemon = Daemon(self._folder, name, zone, self.store.address, PARAMETERS)
        self.daemons.append(daemon)
        return daemon

    async def publish_server(self, server: Server) -> None:
        """Start a server and write its entry."""
        self.servers.append(server)
        await server.start()
        await self.store.put(f"servers/{server.instance_id}", server.describe())

    async def start_daemons(self) -> None:
        """Start all daemons and wait until they are ready and know each other."""
        seeds = [daemon.addresses["admin"] for daemon in self.daemons[:SEED_COUNT]]
        for daemon in self.daemons:
            daemon.write_settings(seeds)
            daemon.start()
        for daemon in self.daemons:
            await self.wait_until_ready(daemon)
        # Traffic starts some seconds after the machines.
        await asyncio.sleep(4)

    async def wait_until_ready(self, daemon: Daemon) -> None:
        """Wait until the daemon is ready.

        :raises CouldNotRunError: if it is not ready in time.
        """
        for _ in range(START_CHECKS):
            if await self.is_ready(daemon):
                return
            await asyncio.sleep(START_CHECK_INTERVAL_S)
        raise CouldNotRunError(f"{daemon.name} did not become ready")

    async def is_ready(self, daemon: Daemon) -> bool:
        """Return whether the daemon's readiness check succeeds."""
        connection = Connection(Record(), daemon.addresses["readiness"])
        answer = await connection.ask("", "ready", "/readyz", 1000)
        connection.close()
        return answer.status == 200

    def stop(self) -> None:
        """End all processes."""
        for daemon in self.daemons:
            daemon.stop()


def run(case: Callable[[Deployment, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case, write its record and exit with its result.

    :param case: takes the deployment and whether to disrupt it, and returns whether
        the rule was kept.
    :param folder: folder of the case.
    """
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_run(case, folder, is_disrupted)))


async def _run(
    case: Callable[[Deployment, bool], Awaitable[bool]],
    folder: Path,
    is_disrupted: bool,
) -> int:
    record = Record()
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(record, Path(temporary))
        try:
            await deployment.store.start()
            async with asyncio.timeout(100):
                is_kept = await case(deployment, is_disrupted)
            result = EXIT_HELD if is_kept else EXIT_BROKEN
        except (CouldNotRunError, OSError, TimeoutError) as error:
            record.add(f"could not run: {error!r}")
            result = EXIT_COULD_NOT_RUN
        finally:
            deployment.stop()
    record.add(f"exit code {result}")
    record.save(folder / "record.txt")
    return result
