"""Tests of a planned stop while callers use the connections that they kept."""

import asyncio
from datetime import timedelta

from celeryferry_standins.platform.fleet import STOP_TIME
from tests.system.platform_case import ORDER, TEST_TIMEOUT, PlatformTestCase

DEADLINE_MS = 1000
WORK_TIME = timedelta(milliseconds=300)
# Each of the kept connections is used once after the signal, so that some request runs
# at every moment until the process exits.
SEND_INTERVAL = timedelta(milliseconds=60)
CONNECTION_COUNT = int(STOP_TIME / SEND_INTERVAL)


class KeptConnection:
    """One connection of a caller; it is not closed between requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer

    async def order(self, request_id: str) -> int | None:
        """Place an order; return the status, None if the connection just ends."""
        head = (
            f"POST {ORDER['path_prefix']}1 HTTP/1.1\r\nHost: {ORDER['host']}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            "Content-Length: 3\r\n\r\none"
        )
        try:
            self._writer.write(head.encode())
            response_head = await self._reader.readuntil(b"\r\n\r\n")
            lines = response_head.decode().lower().split("\r\n")
            length = next(x for x in lines if x.startswith("content-length"))
            await self._reader.readexactly(int(length.partition(":")[2]))
        except (OSError, asyncio.IncompleteReadError):
            return None
        return int(lines[0].split()[1])

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class TestStopUnderSteadyLoad(PlatformTestCase):
    """Guards against a stopping host that cuts requests which it has passed on.

    Callers use each kept connection once more, so requests arrive until the process
    exits. The last ones used to be passed on and cut when the stop time was over.
    """

    async def open_connections(self, address: str) -> list[KeptConnection]:
        """Open connections and use each once, so that the host keeps them open."""
        ip, _, port = address.rpartition(":")
        connections = []
        for number in range(CONNECTION_COUNT):
            connection = KeptConnection(*await asyncio.open_connection(ip, port))
            self.addCleanup(connection.close)
            self.assertEqual(await connection.order(f"before-{number}"), 200)
            connections.append(connection)
        return connections

    async def test_orders_that_ran_are_answered(self):
        """Guards against orders that run and end with a closed connection."""
        host = self.fleet.hosts[0]
        connections = await self.open_connections(host.addresses["http"])
        for upstream in self.fleet.upstreams:
            upstream.work_time = WORK_TIME
        host.process.terminate()
        tasks = {}
        for number, connection in enumerate(connections):
            request_id = f"after-{number}"
            tasks[request_id] = asyncio.create_task(connection.order(request_id))
            await asyncio.sleep(SEND_INTERVAL.total_seconds())
        await asyncio.gather(*tasks.values())
        statuses = {request_id: task.result() for request_id, task in tasks.items()}
        ran = {name for name in statuses if self.list_runs(name)}
        refused = {name for name, status in statuses.items() if status == 503}
        self.assertEqual(
            {name: statuses[name] for name in ran}, dict.fromkeys(ran, 200)
        )
        self.assertTrue(ran)
        self.assertTrue(refused)
        self.assertEqual(await host.process.wait(TEST_TIMEOUT), 0)
