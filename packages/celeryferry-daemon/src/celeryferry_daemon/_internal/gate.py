"""Decides from the freshness of the configuration whether new work may start."""

from collections.abc import Callable
from datetime import timedelta

from celeryferry_core.environment import Clock
from celeryferry_core.freshness import Freshness
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.ports import FreshnessGate


def may_start_work(gate: FreshnessGate, mechanisms: Mechanisms) -> bool:
    """Return whether the freshness of the configuration allows new work to start.

    Without ``freshness_gate`` the gate is not asked, so that work may start even before
    the first configuration is complete.

    :param gate: knows whether the configuration is fresh.
    :param mechanisms: switches for tests.
    """
    return not mechanisms.freshness_gate or gate.may_act()


class ConfigurationGate:
    """Implements ``ports.FreshnessGate``.

    :param freshness: confirmations of the configuration that this host has received.
    :param clock: source of time.
    :param mechanisms: switches for tests.
    :param check_pause: called with the current time before every decision; it discards
        the confirmations if the process was paused.
    :ivar is_open: set to True when the first configuration is complete.
    """

    __slots__ = ("_check_pause", "_clock", "_freshness", "_mechanisms", "is_open")

    def __init__(
        self,
        freshness: Freshness,
        clock: Clock,
        mechanisms: Mechanisms,
        check_pause: Callable[[timedelta], bool],
    ) -> None:
        self._freshness = freshness
        self._clock = clock
        self._mechanisms = mechanisms
        self._check_pause = check_pause
        self.is_open = False

    def may_act(self) -> bool:
        """Return whether new work may start.

        :returns: False before the first configuration is complete, and while the
            configuration may be out of date.
        """
        if not self.is_open:
            return False
        if not self._mechanisms.freshness_gate:
            return True
        now = self._clock.monotonic()
        self._check_pause(now)
        return self._freshness.is_fresh(now)
