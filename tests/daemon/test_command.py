"""Tests of ``celeryferryd`` as a process."""

import asyncio
import signal
import socket
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import aiohttp

from tests.daemon.fleet import TOKEN, Fleet, make_text, wait_until

HEADERS = {"Authorization": f"Bearer {TOKEN}"}
NAME = "survey-desk-01"


def write_settings(directory, host, services_address):
    (directory / "token").write_text(TOKEN)
    file = directory / "celeryferryd.toml"
    file.write_text(
        f"""
host_id = "{host.host_id}"
failure_domain = "{host.failure_domain}"
callers_address = "{host.callers_address}"
peers_address = "{host.peers_address}"
fleet_token_file = "token"
configuration_service = "{services_address}"
host_list = "{services_address}"
[limits]
entry_hosts_valid_ms = 300
"""
    )
    return file


async def start_process(file):
    arguments = ("-m", "celeryferry_daemon", "--settings", str(file))
    return await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stderr=asyncio.subprocess.PIPE
    )


class TestCommand(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong exit codes and against acting on old documents.

    Faulty settings or an address in use must end the start with an exit code, and
    SIGTERM must be a planned stop. A process that is stopped with SIGSTOP misses
    changes and must not start work on its old documents when it resumes.
    """

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.fleet = await Fleet().__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def start(self, host):
        file = write_settings(self.directory, host, self.fleet.services.address)
        process = await start_process(file)
        self.addCleanup(lambda: process.returncode is None and process.kill())
        return process

    async def read_status(self, host):
        url = f"http://{host.peers_address}/operator/v1/status"
        try:
            async with self.session.get(url, headers=HEADERS) as response:
                return await response.json()
        except aiohttp.ClientError:
            return {}

    async def wait_for(self, host, condition):
        status = {}
        async with asyncio.timeout(9):
            while not status or not condition(status):
                status = await self.read_status(host)
                await asyncio.sleep(0.02)

    async def test_every_wrong_setting_is_reported_with_exit_code_2(self):
        file = self.directory / "wrong.toml"
        file.write_text('host_id = 7\nunknown = "x"\n')
        process = await start_process(file)
        _, errors = await process.communicate()
        self.assertEqual(process.returncode, 2)
        for name in (b"host_id", b"unknown", b"peers_address"):
            self.assertIn(name, errors)

    async def test_address_in_use_ends_with_exit_code_1(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            host = self.fleet.list_host(0, "agadir-a")
            port = listener.getsockname()[1]
            host = replace(host, callers_address=f"127.0.0.1:{port}")
            process = await self.start(host)
            _, errors = await process.communicate()
        self.assertEqual(process.returncode, 1)
        self.assertIn(b"cannot listen", errors)

    async def test_sigterm_is_a_planned_stop_with_exit_code_0(self):
        await self.fleet.services.put(NAME, make_text(1))
        host = self.fleet.list_host(0, "agadir-a")
        process = await self.start(host)
        await self.wait_for(host, lambda status: status["keys"])
        process.send_signal(signal.SIGTERM)
        await self.wait_for(host, lambda status: status["state"] == "leaving")
        _, errors = await process.communicate()
        self.assertEqual(process.returncode, 0, errors)

    async def test_stopped_process_does_not_act_on_old_documents_afterwards(self):
        await self.fleet.services.put(NAME, make_text(1))
        others = await self.fleet.start(2, ("agadir-a",))
        host = self.fleet.list_host(2, "agadir-a")
        process = await self.start(host)
        await self.wait_for(host, lambda s: s["may_act"] and s["documents"])
        live = lambda: len(others[0].streams.membership.value.live)  # noqa: E731
        await wait_until(lambda: live() == 3)
        process.send_signal(signal.SIGSTOP)
        await self.fleet.services.put(NAME, make_text(2))
        view = others[0].streams.configuration
        await wait_until(lambda: view.value.documents[NAME].version.version == 2)
        await wait_until(lambda: live() == 2)
        process.send_signal(signal.SIGCONT)

        def has_caught_up(status):
            is_new = status["documents"][0]["version"] == 2
            self.assertTrue(is_new or not status["may_act"])
            return is_new and status["may_act"]

        await self.wait_for(host, has_caught_up)
