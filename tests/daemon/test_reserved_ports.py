"""Tests of ports that are reserved before a listener opens."""

import asyncio
import socket
import unittest

from tests.daemon.fleet import Fleet


class TestReservedPorts(unittest.IsolatedAsyncioTestCase):
    """Guards against a fleet that can't start because its port was taken meanwhile.

    The port used to be free between its choice and the start of the listener, and an
    outgoing connection could get it.
    """

    async def test_others_can_not_bind_it(self):
        """Guards against another socket on the port before the listener opens."""
        async with Fleet() as fleet:
            ip, _, port = fleet.reserve_address().partition(":")
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind((ip, int(port)))

    async def test_a_server_can_listen_on_it(self):
        """Guards against a reservation that keeps the listener out, too."""
        async with Fleet() as fleet:
            ip, _, port = fleet.reserve_address().partition(":")
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(ip, port)
            server = await asyncio.start_server(lambda r, w: w.close(), ip, port)
            _, writer = await asyncio.open_connection(ip, port)
            writer.close()
            server.close()
