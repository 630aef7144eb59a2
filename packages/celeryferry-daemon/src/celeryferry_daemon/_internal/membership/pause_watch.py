"""Detection of pauses of the event loop."""

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


class PauseWatch:
    """Measures the time between turns of the event loop.

    The first code that runs after a pause may be any callback, so whoever acts on
    leases or freshness calls ``check`` first and does not wait for the next tick.

    :param clock: source of time.
    :param log: receiver of decisions.
    :ivar on_pause: called with the present time after a pause, in this order.
    """

    def __init__(self, clock: Clock, log: DecisionLog) -> None:
        self._clock = clock
        self._log = log
        self._last_tick = clock.monotonic()
        self.on_pause: list[Callable[[timedelta], None]] = []

    def check(self, now: timedelta) -> bool:
        """Call ``on_pause`` if the process was paused since the last tick.

        :param now: present monotonic time.
        :returns: True if it was paused.
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
        """Tick until cancelled."""
        while True:
            now = self._clock.monotonic()
            self.check(now)
            self._last_tick = now
            await asyncio.sleep(TICK_INTERVAL.total_seconds())
