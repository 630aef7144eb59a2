"""Event loop on simulated time: a wait costs no real time."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta

START_S = 1_000.0
WALL_START = datetime(2026, 1, 1, tzinfo=UTC)


class _Selector(selectors.SelectSelector):
    """Moves the time of the loop on instead of waiting."""

    now_s = START_S

    def select(self, timeout=None):
        """Wait until the next timer of the loop is due."""
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now_s += max(0.0, timeout)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers fire in order without a wait."""

    def __init__(self) -> None:
        self._simulated = _Selector()
        super().__init__(self._simulated)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._simulated.now_s


class SimulatedClock:
    """Implements ``Clock`` with the time of a loop."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self._loop = loop

    def monotonic(self) -> timedelta:
        """Return the simulated time, in whole microseconds."""
        return timedelta(microseconds=round(self._loop.time() * 1_000_000))

    def wall(self) -> datetime:
        """Return a wall-clock time that moves with the simulated time."""
        return WALL_START + self.monotonic()
