"""Keeps the demo fleet running to try out the command line on it."""

import asyncio
import sys
from pathlib import Path

from celeryferry_core.documents import render_document
from celeryferry_standins.demo import make_plan
from celeryferry_standins.demo_steps import APPLICATION
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.processes import StartError

TIME_LIMIT_S = 600.0
DOCUMENT_POLL_S = 0.5


def _describe(fleet: Fleet, directory: Path) -> str:
    host = next(iter(fleet.daemons.values())).host
    token = fleet.directory / "token"
    callers = f"--host {host.callers_address}"
    operator = f"--host {host.peers_address} --token-file {token}"
    return "\n".join(
        [
            f"{len(fleet.daemons)} daemons run for {TIME_LIMIT_S:.0f} s.",
            f"Service documents: {directory} (a saved change is stored at once)",
            f"Logs of the hosts: {fleet.directory}/HOST.1.log",
            "Try, in another terminal (.venv/bin holds the command):",
            f"  celeryferry search {APPLICATION} '\"flood mark 7\"'"
            f" {callers} --limit 3",
            f"  celeryferry entry-hosts {APPLICATION} {callers}",
            f"  celeryferry run-once {APPLICATION} '{{\"mark\": 7}}'"
            f" --service {next(iter(fleet.documents))} {callers}",
            f"  celeryferry check {directory}/*.toml",
            f"  celeryferry status {operator}",
            f"  celeryferry explain {APPLICATION} {operator}",
            f"  celeryferry drain {operator}",
        ]
    )


def _read_documents(directory: Path) -> dict[str, str]:
    return {path.stem: path.read_text() for path in directory.glob("*.toml")}


async def _store_changes(fleet: Fleet, directory: Path) -> None:
    """Send each changed document file to the configuration service.

    This is what a deployment tool does. Runs until it is cancelled.

    :param fleet: running fleet.
    :param directory: folder with one file for each service.
    """
    stored = _read_documents(directory)
    while True:
        await asyncio.sleep(DOCUMENT_POLL_S)
        present = _read_documents(directory)
        changed = {
            name: text for name, text in present.items() if text != stored.get(name)
        }
        if changed:
            await fleet.control_configuration(put=changed)
            print(f"Stored: {', '.join(sorted(changed))}", flush=True)
        stored = present


async def _run() -> None:
    async with Fleet(make_plan()) as fleet:
        await fleet.wait_for_coverage(APPLICATION)
        documents_directory = fleet.directory / "documents"
        documents_directory.mkdir()
        for service, document in fleet.documents.items():
            (documents_directory / f"{service}.toml").write_text(
                render_document(document)
            )
        print(_describe(fleet, documents_directory), flush=True)
        async with asyncio.timeout(TIME_LIMIT_S):
            await _store_changes(fleet, documents_directory)


def main() -> None:
    """Run the fleet until the time limit or Ctrl-C."""
    try:
        asyncio.run(_run())
    except (TimeoutError, KeyboardInterrupt):
        print("Everything is stopped.")
    except StartError as error:
        sys.exit(f"The fleet did not start: {error}")


if __name__ == "__main__":
    main()
