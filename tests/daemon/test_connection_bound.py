"""Tests of the limit on the open connections of a listener."""

import asyncio
import socket
import unittest

from aiohttp import web

from celeryferry_daemon._internal.peers.server import make_peer_app, start_listener
from tests.daemon.fleet import wait_until

MAX_CONNECTIONS = 8
EXCESS_CONNECTIONS = 12


class TestConnectionBound(unittest.IsolatedAsyncioTestCase):
    """Guards against a burst of connections that exceeds the limit.

    The event loop accepts many connections in one iteration, before the server counts
    the first of them.
    """

    async def asyncSetUp(self):
        app = make_peer_app("secret", [web.get("/peer/v1/none", self.handle)])
        self.runner = await start_listener(
            app, "127.0.0.1:0", connections=MAX_CONNECTIONS
        )
        self.addAsyncCleanup(self.runner.cleanup)

    async def handle(self, request):
        return web.json_response({})

    def connect(self):
        connection = socket.create_connection(self.runner.addresses[0])
        self.addCleanup(connection.close)
        connection.setblocking(False)
        return connection

    async def wait_for_close(self, connection):
        loop = asyncio.get_running_loop()
        try:
            self.assertEqual(await loop.sock_recv(connection, 1), b"")
        except ConnectionError:
            return

    async def wait_for_closed(self, connections, count):
        """Wait until the listener has closed ``count`` connections and count them."""
        tasks = {asyncio.create_task(self.wait_for_close(c)) for c in connections}
        closed = 0
        async with asyncio.timeout(5.0):
            while closed < count:
                done, tasks = await asyncio.wait(
                    tasks, return_when=asyncio.FIRST_COMPLETED
                )
                closed += len(done)
        for task in tasks:
            task.cancel()
        return closed

    async def test_connections_accepted_at_once_are_bounded(self):
        # The event loop does not run while these connections are opened, as in a paused
        # process, and then accepts all of them before the server has counted any.
        connections = [
            self.connect() for _ in range(MAX_CONNECTIONS + EXCESS_CONNECTIONS)
        ]
        self.assertEqual(
            await self.wait_for_closed(connections, EXCESS_CONNECTIONS),
            EXCESS_CONNECTIONS,
        )
        self.assertEqual(len(self.runner.server.connections), MAX_CONNECTIONS)

    async def test_closed_connections_make_room(self):
        connections = [self.connect() for _ in range(MAX_CONNECTIONS)]
        await wait_until(lambda: len(self.runner.server.connections) == MAX_CONNECTIONS)
        await self.wait_for_closed([self.connect()], 1)
        for connection in connections:
            connection.close()
        await wait_until(lambda: not self.runner.server.connections)
        for _ in range(MAX_CONNECTIONS):
            self.connect()
        await wait_until(lambda: len(self.runner.server.connections) == MAX_CONNECTIONS)


if __name__ == "__main__":
    unittest.main()
