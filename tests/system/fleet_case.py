"""Test case whose tests share one running fleet."""

import asyncio
import unittest
from collections.abc import Awaitable
from typing import Any

from celeryferry_standins.launcher import Fleet
from celeryferry_standins.plans import FleetPlan


async def wait_for_all_applications(fleet: Fleet) -> None:
    """Wait until every running daemon answers every application in full."""
    names = {document.application for document in fleet.documents.values()}
    await asyncio.gather(*(fleet.wait_for_coverage(one) for one in names))


class FleetCase(unittest.TestCase):
    """Tests that share one running fleet.

    :cvar plan: plan of the fleet.
    """

    plan: FleetPlan

    @classmethod
    def setUpClass(cls):
        """Start the fleet and wait until it is ready for the tests."""
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.fleet = Fleet(cls.plan)
        cls.run_async(cls.fleet.__aenter__())
        cls.addClassCleanup(lambda: cls.run_async(cls.fleet.close()))
        cls.run_async(cls.prepare())

    @classmethod
    async def prepare(cls) -> None:
        """Wait until every daemon answers every application in full."""
        await wait_for_all_applications(cls.fleet)

    @classmethod
    def run_async(cls, scenario: Awaitable) -> Any:
        """Run a coroutine on the event loop of the fleet and return its result."""
        return cls.runner.run(scenario)
