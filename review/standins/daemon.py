"""Starts the daemon with the command of the deploy file, and stops it by signals."""

import json
import os
import signal
import subprocess
import tomllib
from pathlib import Path

from standins.ports import find_ports

REPOSITORY = Path(__file__).resolve().parent.parent.parent


class Daemon:
    """One process of the daemon with its settings.

    :param parameters: the bounds of the deployment, as in its sheet.
    """

    def __init__(
        self, folder: Path, name: str, zone: str, store_address: str, parameters: dict
    ) -> None:
        ports = find_ports(4)
        roles = ("http", "readiness", "admin", "directory")
        self.name = name
        self.addresses = {
            role: f"127.0.0.1:{port}" for role, port in zip(roles, ports, strict=True)
        }
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._zone = zone
        self._store_address = store_address
        self._parameters = parameters
        self.process: subprocess.Popen | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file."""
        settings = {
            "node_name": self.name,
            "role": "daemon",
            "instance_class": "edge",
            "serves": ["edge", "control", "directory"],
            "ip": "127.0.0.1",
            "zone": self._zone,
            "bind_addrs": self.addresses,
            "seed_nodes": seeds,
            "bootstrap": True,
            "limits": {"cpu_quota": 0.731, "cpus": 1, "memory_mb": 222},
            "parameters": self._parameters,
            "platform": {"address": self._store_address, "form": "read"},
        }
        self._path.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["CELERYFERRY_BOOT"] = str(self._path)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["daemon"]["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
