"""Interfaces of the clock and the random source.

Both are passed in, so that decisions can be replayed.
"""

from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> timedelta:
        """Return the time since a fixed origin, including time spent suspended."""

    def wall(self) -> datetime:
        """Return the wall-clock time in UTC."""


class RandomSource(Protocol):
    """Source of random numbers."""

    def randrange(self, stop: int) -> int:
        """Return a number from 0 up to but not including ``stop``."""

    def random(self) -> float:
        """Return a number from 0.0 up to but not including 1.0."""
