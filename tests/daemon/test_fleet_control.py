"""Tests of the helper that controls a test fleet."""

import unittest
from types import SimpleNamespace

import aiohttp

from celeryferry_standins.fleet_control import FleetControl


class FakeProcess:
    """Process that ends after its state was read a number of times.

    :param checks: number of reads that find it running.
    """

    def __init__(self, checks: int):
        self.checks = checks

    @property
    def running(self) -> bool:
        """Whether the process runs at this read."""
        self.checks -= 1
        return self.checks >= 0


class TestReadCounters(unittest.IsolatedAsyncioTestCase):
    """Guards scenarios that read counters while another scenario kills an upstream.

    The upstream may be killed between the check that it runs and the read of its
    counters, which then fails with a refused connection.
    """

    async def read(self, checks: int):
        """Read the counters of an upstream whose address refuses connections."""
        async with aiohttp.ClientSession() as session:
            control = FleetControl()
            control.session = session
            process_handle = SimpleNamespace(
                process=FakeProcess(checks), control_address="127.0.0.1:1"
            )
            control.upstreams = {"u": SimpleNamespace(process_handle=process_handle)}
            return await control.read_counters()

    async def test_upstream_killed_after_the_check_is_left_out(self):
        """Guards against an error in one scenario caused by a fault of another one."""
        self.assertEqual(await self.read(checks=1), {})

    async def test_refused_connection_of_a_running_upstream_is_an_error(self):
        """Guards against counters of a running upstream that are silently missing."""
        with self.assertRaises(aiohttp.ClientConnectionError):
            await self.read(checks=2)
