"""Detects pauses of the event loop."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from celeryferry_core.decisions.fleet import LeasesDropped
from celeryferry_core.environment import Clock
from celeryferry_core.leases import LEASE_DURATION
from celeryferry_core.ports import DecisionLog
from celeryferry_daemon._internal.clock import to_ms

TICK_INTERVAL = timedelta(milliseconds=100)
MAX_LOOP_GAP = LEASE_DURATION / 4


class PauseDetector:
    """Detects pauses from the time between periodic ticks in the event loop.

    Any callback may be the first code to run after a pause. Code that relies on leases
    or on freshness therefore calls ``check`` first and does not wait for the next tick.

    :param clock: source of time.
    :param log: receives decisions.
    :ivar on_pause: callbacks that are called in this order after a pause, with the
        current time.
    """

    def __init__(self, clock: Clock, log: DecisionLog) -> None:
        self._clock = clock
        self._log = log
        self._last_tick = clock.monotonic()
        self.on_pause: list[Callable[[timedelta], None]] = []

    def check(self, now: timedelta) -> bool:
        """Call ``on_pause`` if the process was paused since the last tick.

        :param now: current monotonic time.
        :returns: whether the process was paused.
        """
        gap = now - self._last_tick
        if gap <= MAX_LOOP_GAP:
            return False
        self._last_tick = now
        self._log.record(LeasesDropped(to_ms(gap)))
        for callback in self.on_pause:
            callback(now)
        return True

    async def run(self) -> None:
        """Check for pauses every ``TICK_INTERVAL`` until cancelled."""
        while True:
            now = self._clock.monotonic()
            self.check(now)
            self._last_tick = now
            await asyncio.sleep(TICK_INTERVAL.total_seconds())
