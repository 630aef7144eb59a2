"""Tests of a host whose callers open more connections than it has descriptors."""

import asyncio
import resource

from celeryferry_core.addresses import split_address
from tests.system.platform_case import LOOKUP, PlatformTestCase, make_configuration

MAX_DESCRIPTORS = 320
CALLER_CONNECTIONS = 400


class TestManyConnections(PlatformTestCase):
    """Guards against callers that take the descriptors of everything else.

    Without any left, a host can reach neither its upstreams nor the store, although it
    still has callers to serve.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.host = self.fleet.hosts[0]
        self.host.process.kill()
        limits = {"limits": {"max_fds": MAX_DESCRIPTORS}}
        self.host.start(self.fleet.folder, self.fleet.settings | limits)
        bound = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(self.host.process.pid, resource.RLIMIT_NOFILE, bound)
        await self.wait(self.do_all_hosts_list_all, "the host serves")

    async def open_connection(self) -> bool:
        """Open a connection that stays idle; returns whether it was accepted."""
        address = split_address(self.host.addresses["http"])
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return False
        self.addCleanup(writer.close)
        try:
            async with asyncio.timeout(0.5):
                return bool(await reader.read(1))
        except TimeoutError:
            return True
        except OSError:
            return False

    async def test_host_serves_and_follows_the_store(self):
        """Guards against a host that idle connections put out of service."""
        self.assertEqual((await self.send(self.host))[0], 200)
        opened = await asyncio.gather(
            *(self.open_connection() for _ in range(CALLER_CONNECTIONS))
        )
        self.assertGreater(sum(opened), 0)
        self.assertLess(sum(opened), MAX_DESCRIPTORS / 2)
        # The session of the test still has its connection from before.
        self.assertEqual((await self.send(self.host))[0], 200)
        extra = dict(LOOKUP, name="extra", path_prefix="/extra/")
        await self.fleet.store.put("op/config", make_configuration(2, LOOKUP, extra))

        async def is_in_force() -> bool:
            return (await self.send(self.host, "/extra/1"))[0] == 200

        await self.wait(is_in_force, "version 2 on the host")
