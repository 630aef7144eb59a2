"""Freshness of the configuration for the tasks that take new work."""

from collections.abc import Callable
from datetime import timedelta

from celeryferry_core.environment import Clock
from celeryferry_core.freshness import Freshness
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.ports import FreshnessGate


def may_start_work(gate: FreshnessGate, mechanisms: Mechanisms) -> bool:
    """Tell whether new work may be taken, as far as the configuration is concerned.

    :param gate: tells whether the configuration may be acted on.
    :param mechanisms: switches for tests; one of them leaves the gate out.
    """
    return not mechanisms.freshness_gate or gate.may_act()


class ConfigurationGate:
    """Implements ``ports.FreshnessGate``.

    :param freshness: observations of this host.
    :param clock: source of time.
    :param mechanisms: switches for tests.
    :param check_pause: called with the present time first; it forgets observations
        if the process was paused.
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
        """Tell whether new work may be taken.

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
