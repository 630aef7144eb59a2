"""Fakes that several tests of the daemon share, and a helper to serve applications."""

import asyncio
import time
from datetime import UTC, datetime, timedelta

from aiohttp import web


async def wait_for(condition, seconds=5.0):
    """Poll a condition until it holds.

    :param seconds: time after which the wait fails.
    :raises AssertionError: if the condition did not hold in time.
    """
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("condition did not hold in time")
        await asyncio.sleep(0.002)


class SystemClock:
    """Implements ``Clock`` with the real time."""

    def monotonic(self):
        return timedelta(seconds=time.monotonic())

    def wall(self):
        return datetime.now(UTC)


class FakeLeases:
    """Implements ``ports.Leases`` with values that a test sets.

    :ivar seconds: remaining time of every lease; None if no lease is held.
    :ivar until: fixed monotonic time at which the lease expires; replaces ``seconds``.
    :ivar holder: host id of the lease holder of every key.
    """

    def __init__(self):
        self.seconds = 60.0
        self.until = None
        self.holder = "host-1"

    def expires_at(self, key):
        if self.seconds is None:
            return None
        if self.until is not None:
            return self.until
        return timedelta(seconds=time.monotonic() + self.seconds)

    def holder_of(self, key):
        return self.holder


class FakeGate:
    """Implements ``ports.FreshnessGate`` with a value that a test sets."""

    def __init__(self):
        self.is_open = True

    def may_act(self):
        return self.is_open


class ListLog(list):
    """Decision log that is a list of the decisions."""

    record = list.append

    def list_by_type(self, decision_type):
        return [decision for decision in self if isinstance(decision, decision_type)]


async def listen(app, port=0):
    """Serve an application and return its runner and address.

    :param port: port to bind; 0 lets the kernel choose one.
    """
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"
